package jsonc_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tailscale/hujson"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
)

type sample struct {
	Name  string
	Count int             `jsonc:"optional"`
	Share float64         `jsonc:"optional"`
	On    bool            `jsonc:"optional"`
	List  []string        `jsonc:"optional,max=2"`
	Map   map[string]bool `jsonc:"optional"`
}

type outerSample struct {
	Limit time.Duration `jsonc:"optional"`
	Parts []sample      `jsonc:"optional"`
}

// Guards against messages that do not state the fault and its position, which an
// operator needs to repair a file.
func TestDecodeFaults(t *testing.T) {
	for name, c := range map[string]struct{ data, want string }{
		"unknown key":        {"{\n\t\"Limt\": 1}", `f:2:2: Limt: unknown key; expected "Limit"`},
		"far unknown key":    {`{"Height": 1}`, `f:1:2: Height: unknown key; expected one of "Limit", "Parts"`},
		"lower case key":     {`{"limit": "1s"}`, `f:1:2: limit: unknown key; expected "Limit"`},
		"wrong type":         {`{"Limit": 5}`, `f:1:11: Limit: wrong type number; expected a duration such as "1m30s"`},
		"null":               {`{"Limit": null}`, `f:1:11: Limit: wrong type null; expected a duration such as "1m30s"`},
		"nested wrong type":  {`{"Parts": [{"Name": "a", "On": "x"}]}`, `f:1:32: Parts[0].On: wrong type string; expected true or false`},
		"missing key":        {"{\"Parts\": [\n{}]}", `f:2:1: Parts[0].Name: missing required key; expected a string`},
		"duplicate key":      {`{"Limit": "1s", "\u004cimit": "2s"}`, `f:1:17: Limit: duplicate key; expected each key once`},
		"duplicate map key":  {`{"Parts": [{"Name": "a", "Map": {"b": true, "b": true}}]}`, `f:1:45: Parts[0].Map.b: duplicate key; expected each key once`},
		"bad duration":       {`{"Limit": "5"}`, `f:1:11: Limit: bad duration "5"; expected a duration such as "1m30s"`},
		"fraction":           {`{"Parts": [{"Name": "a", "Count": 1.5}]}`, `f:1:35: Parts[0].Count: bad number 1.5; expected a whole number`},
		"huge number":        {`{"Parts": [{"Name": "a", "Share": 1e999}]}`, `f:1:35: Parts[0].Share: bad number 1e999; expected a number`},
		"long list":          {`{"Parts": [{"Name": "a", "List": [1, 2, 3]}]}`, `f:1:34: Parts[0].List: 3 entries; expected at most 2`},
		"wrong root":         {`[]`, `f:1:1: file: wrong type list; expected an object`},
		"syntax":             {"{\n\"Limit\" 5}", `f:2:9: file: invalid character '5' after object name; expected JSON with comments`},
		"empty":              {``, `f:1:1: file: parsing value: unexpected EOF; expected JSON with comments`},
		"invalid UTF-8":      {"{} // \xff", `f:1:7: file: invalid UTF-8; expected UTF-8 text`},
		"too deep":           {strings.Repeat("[", 1000), `f:1:33: file: nested too deep; expected at most 32 levels`},
		"too large":          {strings.Repeat(" ", jsonc.MaxSize) + "{}", `f:1:1: file: larger than 1 MiB; expected at most 1048576 bytes`},
		"unusual key":        {`{"a.b": 1}`, `f:1:2: ["a.b"]: unknown key; expected one of "Limit", "Parts"`},
		"order of positions": {"{\"Parts\": [{\"List\": 1}],\n \"X\": 0, \"Limit\": 1}", "f:1:12: Parts[0].Name: missing required key; expected a string\n" + "f:1:21: Parts[0].List: wrong type number; expected a list\n" + `f:2:2: X: unknown key; expected one of "Limit", "Parts"` + "\n" + `f:2:19: Limit: wrong type number; expected a duration such as "1m30s"`},
	} {
		t.Run(name, func(t *testing.T) {
			d := jsonc.Parse("f", []byte(c.data))
			d.Decode(&outerSample{})
			err := d.Err()
			if err == nil || err.Error() != c.want {
				t.Errorf("\ngot  %v\nwant %s", err, c.want)
			}
		})
	}
}

// Guards against a message of hundreds of MiB for a file of 1 MiB that has a fault
// every few bytes.
func TestFaultsAreBounded(t *testing.T) {
	d := jsonc.Parse("f", []byte(`{"Parts":[`+strings.Repeat("1,", 50_000)+"]}"))
	d.Decode(&outerSample{})
	got := d.Err().Error()
	if want := "\nf: 49000 more faults are not listed"; !strings.HasSuffix(got, want) || strings.Count(got, "\n") != 1000 {
		t.Errorf("got %d lines, want 1001 that end with %q", strings.Count(got, "\n")+1, want)
	}
}

// Guards against a short file that exhausts the memory by repeating a long parameter.
func TestExpansionIsBounded(t *testing.T) {
	d := jsonc.Parse("f", []byte(`{"Parts":[`+strings.Repeat(`{"Name":"${Q}"},`, 256)+"\n"+`{"Name":{"Parameter":"Q"}}]}`))
	d.SetParameters(map[string]jsonc.Parameter{"Q": {Value: strings.Repeat("x", 4096)}})
	d.Decode(&outerSample{})
	got, want := d.Err(), "f:2:9: Parts[256].Name: parameters expand to more than 1 MiB; expected shorter values or fewer references"
	if got == nil || got.Error() != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// Guards against panics on malicious files and against values that differ from those
// that encoding/json decodes.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("{\"Name\": \"a\", // comment\n\"List\": [\"b\",], \"Map\": {\"c\": true}, \"Share\": 0.5}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got, want sample
		d := jsonc.Parse("f", b)
		d.SetParameters(map[string]jsonc.Parameter{"P": {Value: 7}, "Q": {Value: "text"}, "R": {}})
		d.Decode(&got)
		var faults *jsonc.Error
		if errors.As(d.Err(), &faults) {
			assertPositions(t, faults, b)
			return
		}
		if len(d.References()) > 0 {
			return
		}
		s, err := hujson.Standardize(append(slices.Clone(b), '\n'))
		if err == nil {
			err = json.Unmarshal(s, &want)
		}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v (%v)", got, want, err)
		}
	})
}

func assertPositions(t *testing.T, e *jsonc.Error, b []byte) {
	t.Helper()
	lines := strings.Split(string(b), "\n")
	line, column := 1, 1
	for _, f := range e.Faults {
		if f.Line < line || (f.Line == line && f.Column < column) {
			t.Errorf("got %s after line %d, column %d, want faults in order", f, line, column)
		}
		line, column = f.Line, f.Column
		if line > len(lines) || column > len(lines[line-1])+1 {
			t.Errorf("got %s, want a position within the file", f)
		}
	}
}

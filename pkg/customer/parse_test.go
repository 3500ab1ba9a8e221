package customer_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// valid is a valid file with a parameter of each type that its fields can use.
const valid = `{
"Customer": "c",
"Parameters": {
"Slots": {"Type": "Integer", "Value": 4, "Minimum": 1, "Maximum": 8},
"Limit": {"Type": "Duration", "Value": "2s", "Maximum": "5s"},
"Share": {"Type": "Number", "Value": 0.25},
"Domain": {"Type": "String", "Value": "Example.org"}
},
"Services": [
{"Name": "s", "Slots": {"Parameter": "Slots"}, "Connections": 1, "ColdStart": "1s"}],
"Ranks": [
{"Name": "r1", "Order": 1, "Target": "1s", "Worth": {"Parameter": "Slots"}, "Floor": 0.5},
{"Name": "r2", "Order": 2, "Target": "1s", "Worth": 0, "Floor": {"Parameter": "Share"}}],
"Routes": [
{"Host": "a.${Domain}", "Method": "GET", "Path": "/p${Slots}",
"Service": "s", "Rank": "r1", "Deadline": {"Parameter": "Limit"}, "Execution": "Idempotent"},
{"Host": "b.example.org", "Method": "PUT", "Path": "/", "Service": "s", "Rank": "r2", "Deadline": "1s", "Execution": "Once"}]
}`

// TestMain sets a fixed seed for the property tests, so that every run has the same
// result. A seed on the command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// Guards against a parameter that is dropped or mixed up, which would send wrong limits
// to every node.
func TestParseExpandsParameters(t *testing.T) {
	c, err := customer.Parse("f", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	got := c.Routes()[0]
	want := customer.Route{
		Host: "a.example.org", Method: "GET", Path: "/p4", Service: "s", Rank: "r1",
		Deadline: 2 * time.Second, Execution: customer.Idempotent,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	s, _ := c.Service("s")
	if want := (customer.Service{Name: "s", Slots: 4, Connections: 1, ColdStart: time.Second}); s != want {
		t.Errorf("got %+v, want %+v", s, want)
	}
	if r, _ := c.Rank("r1"); r.Worth != 4 {
		t.Errorf("got worth %v, want 4", r.Worth)
	}
	if r, _ := c.Rank("r2"); r.Floor != 0.25 {
		t.Errorf("got floor %v, want 0.25", r.Floor)
	}
}

// Guards against accepting a file with a fault, which would then reach every node.
func TestParseFaults(t *testing.T) {
	names := "; expected 1 to 100 letters, digits, dots and dashes"
	count := "; expected a whole number from 1 to 1000000"
	for name, c := range map[string]struct{ old, replacement, want string }{
		"unknown parameter":        {`{"Parameter": "Limit"}`, `"${Limit}${Limt}"`, `f:16:43: Routes[0].Deadline: unknown parameter "Limt"; expected a name listed in Parameters`},
		"unused parameter":         {`{"Parameter": "Share"}`, `0`, `f:6:10: Parameters.Share: unused parameter; expected a reference to it in the file`},
		"open reference":           {`"/p${Slots}"`, `"/p${Slots"`, `f:15:50: Routes[0].Path: "${" without "}"; expected a reference such as "${NAME}"`},
		"wrong parameter type":     {`"Connections": 1`, `"Connections": {"Parameter": "Limit"}`, `f:10:63: Services[0].Connections: wrong type of parameter "Limit"; expected a whole number`},
		"text as duration":         {`"Deadline": "1s"`, `"Deadline": {"Parameter": "Domain"}`, `f:17:99: Routes[1].Deadline: wrong type of parameter "Domain"; expected a duration such as "1m30s"`},
		"unknown type":             {`"Number"`, `"Float"`, `f:6:19: Parameters.Share.Type: unknown type "Float"; expected one of "Integer", "Number", "Duration", "String", "Boolean"`},
		"value of another type":    {`"Value": 4`, `"Value": "4"`, `f:4:39: Parameters.Slots.Value: wrong type string; expected a whole number`},
		"below minimum":            {`"Value": 4`, `"Value": 0`, `f:4:39: Parameters.Slots.Value: 0 is out of range; expected at least 1`},
		"above maximum":            {`"2s"`, `"6s"`, `f:5:40: Parameters.Limit.Value: 6s is out of range; expected at most 5s`},
		"crossed bounds":           {`"Minimum": 1`, `"Minimum": 9`, `f:4:53: Parameters.Slots.Minimum: 9 is above the maximum; expected at most 8`},
		"bounds of text":           {`"Example.org"`, `"x", "Minimum": 1`, `f:7:55: Parameters.Domain.Minimum: a String has no bounds; expected no Minimum`},
		"reference in a parameter": {`"Example.org"`, `"${Share}"`, `f:7:39: Parameters.Domain.Value: refers to a parameter; expected a value without references`},
		"parameter name":           {`"Share": {`, `"9": {"Type": "Boolean", "Value": true}, "Share": {`, `f:6:6: Parameters.9: bad name; expected a letter, then up to 63 letters, digits, underscores and dashes`},
		"long text":                {`"Example.org"`, `"` + strings.Repeat("x", 4097) + `"`, `f:7:39: Parameters.Domain.Value: 4097 bytes; expected at most 4096`},
		"unknown key":              {`"ColdStart"`, `"Coldstart"`, `f:10:66: Services[0].Coldstart: unknown key; expected "ColdStart"`},
		"customer name":            {`"c"`, `"c/d"`, `f:2:13: Customer: bad name "c/d"` + names},
		"slots":                    {`{"Parameter": "Slots"}, "C`, `0, "C`, `f:10:24: Services[0].Slots: 0 is out of range` + count},
		"connections":              {`"Connections": 1`, `"Connections": -1`, `f:10:63: Services[0].Connections: -1 is out of range` + count},
		"cold start":               {`"ColdStart": "1s"`, `"ColdStart": "-1s"`, `f:10:79: Services[0].ColdStart: -1s is out of range; expected a duration of at least 0s`},
		"same service":             {`"ColdStart": "1s"}`, `"ColdStart": "1s"}, {"Name": "s", "Slots": 1, "Connections": 1}`, `f:10:95: Services[1].Name: duplicate name "s"; expected unique names`},
		"same rank":                {`"r2"`, `"r1"`, `f:13:10: Ranks[1].Name: duplicate name "r1"; expected unique names` + "\n" + `f:17:81: Routes[1].Rank: unknown rank "r2"; expected the name of a rank in this file`},
		"same order":               {`"Order": 2`, `"Order": 1`, `f:13:25: Ranks[1].Order: duplicate order 1; expected unique orders`},
		"gap in orders":            {`"Order": 2`, `"Order": 3`, `f:13:25: Ranks[1].Order: 3 is out of range; expected a whole number from 1 to 2`},
		"target":                   {`"Target": "1s"`, `"Target": "0s"`, `f:12:38: Ranks[0].Target: 0s is out of range; expected a duration above 0s`},
		"worth":                    {`"Worth": 0`, `"Worth": -1`, `f:13:53: Ranks[1].Worth: -1 is out of range; expected a number from 0 to 1000000`},
		"floor":                    {`"Floor": 0.5`, `"Floor": 1.5`, `f:12:86: Ranks[0].Floor: 1.5 is out of range; expected a number from 0 to 1`},
		"sum of floors":            {`"Floor": 0.5`, `"Floor": 0.8`, `f:13:65: Ranks[1].Floor: the floors add up to 1.05; expected a sum of at most 1`},
		"host":                     {`"b.example.org"`, `""`, `f:17:10: Routes[1].Host: bad host ""; expected 1 to 100 letters, digits, dots and dashes, without a port`},
		"method":                   {`"PUT"`, `"put"`, `f:17:37: Routes[1].Method: unknown method "put"; expected one of "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"`},
		"path":                     {`"/"`, `"p"`, `f:17:52: Routes[1].Path: bad path "p"; expected a path that starts with "/", without a query`},
		"missing service":          {`"Service": "s", "Rank": "r2"`, `"Service": "x", "Rank": "r2"`, `f:17:68: Routes[1].Service: unknown service "x"; expected the name of a service in this file`},
		"missing rank":             {`"Rank": "r2"`, `"Rank": "x"`, `f:17:81: Routes[1].Rank: unknown rank "x"; expected the name of a rank in this file`},
		"deadline":                 {`"Deadline": "1s"`, `"Deadline": "-1s"`, `f:17:99: Routes[1].Deadline: -1s is out of range; expected a duration above 0s`},
		"execution":                {`"Once"`, `"Twice"`, `f:17:118: Routes[1].Execution: unknown execution "Twice"; expected one of "Idempotent", "AtMostOnce", "Once"`},
		"same match":               {`"b.example.org", "Method": "PUT", "Path": "/"`, `"A.EXAMPLE.org", "Method": "GET", "Path": "/p4"`, `f:17:1: Routes[1]: duplicate match "GET a.example.org/p4"; expected each host, method and path once`},
	} {
		t.Run(name, func(t *testing.T) { assertFault(t, strings.Replace(valid, c.old, c.replacement, 1), c.want) })
	}
}

// Guards against huge lists, which would overload every node, and against an empty list
// of ranks, which leaves routes without a rank.
func TestParseListBounds(t *testing.T) {
	file := func(services, ranks, routes string) string {
		return `{"Customer": "c", "Services": [` + services + `], "Ranks": [` + ranks + `], "Routes": [` + routes + `]}`
	}
	rank := `{"Name": "r", "Order": 1, "Target": "1s", "Worth": 1}`
	assertFault(t, file(strings.Repeat("{},", 10_001), rank, ""), `f:1:31: Services: 10001 entries; expected at most 10000`)
	assertFault(t, file("", rank, strings.Repeat("{},", 50_001)), `f:1:111: Routes: 50001 entries; expected at most 50000`)
	assertFault(t, file("", "", ""), `f:1:44: Ranks: empty; expected at least one rank`)
}

func assertFault(t *testing.T, data, want string) {
	t.Helper()
	_, err := customer.Parse("f", []byte(data))
	if err == nil || err.Error() != want || errkind.Of(err) != errkind.InvalidFile {
		t.Errorf("\ngot  %v (kind %s)\nwant %s", err, errkind.Of(err), want)
	}
}

// Guards against panics on malicious files and against accepted files that violate the
// assumptions of nodes.
func FuzzParse(f *testing.F) {
	for _, c := range []string{"pichler", "vineta-norte"} {
		b, err := os.ReadFile(filepath.Join("..", "..", "examples", c, "customer.jsonc"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := customer.Parse("f", b)
		if err != nil {
			return
		}
		if err := c.Check(); err != nil || len(c.Ranks()) == 0 {
			t.Errorf("got %v and %d ranks, want valid references and a rank", err, len(c.Ranks()))
		}
		n, err := customer.NewConfig(c.Customer()).WithChange(customer.Diff(nil, c))
		if err != nil || n.Digest() != c.Digest() {
			t.Errorf("got %v, want the same digest after the change from an empty configuration", err)
		}
	})
}

// Guards against accounts whose keys, limits or ranks are lost between the file and the
// nodes, and against routes that need no key although the file lists accounts.
func TestParseAccounts(t *testing.T) {
	withAccounts := func(l string) string {
		return strings.Replace(valid, `"Routes": [`, `"Accounts": [`+l+`], "Routes": [`, 1)
	}
	hash := strings.Repeat("0a", 32)
	c, err := customer.Parse("f", []byte(strings.Replace(withAccounts(`{"Name": "x", "KeyHashes": ["`+hash+`"], "Rank": "r2", "RatePerSecond": 5, "Burst": 2.5}`), `"Execution": "Once"`, `"Execution": "Once", "Public": true`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	var k customer.KeyDigest
	for i := range k {
		k[i] = 0x0a
	}
	got, _ := c.Account("x")
	want := customer.Account{Name: "x", Keys: []customer.KeyDigest{k}, Ranks: []customer.RankOverride{{Rank: "r1", Use: "r2"}}, RatePerSecond: 5, Burst: 2.5}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if l := c.Routes(); !l[0].KeyRequired || l[1].KeyRequired {
		t.Errorf("got KeyRequired %v and %v, want true and false for the public route", l[0].KeyRequired, l[1].KeyRequired)
	}
	place := "f:14:"
	for l, want := range map[string]string{
		`{"Name": "x", "KeyHashes": ["secret"]}`:                                                     `Accounts[0].KeyHashes[0]: not a SHA-256 hash; expected 64 hex digits`,
		`{"Name": "x", "KeyHashes": ["` + hash + `"]}, {"Name": "y", "KeyHashes": ["` + hash + `"]}`: `Accounts[1].KeyHashes[0]: duplicate key; expected each key once`,
		`{"Name": "x"}, {"Name": "x"}`:                                                               `Accounts[1].Name: duplicate name "x"; expected unique names`,
		`{"Name": "x", "Rank": "r9"}`:                                                                `Accounts[0].Rank: unknown rank "r9"; expected the name of a rank in this file`,
		`{"Name": "x", "RatePerSecond": -1}`:                                                         `Accounts[0].RatePerSecond: -1 is out of range; expected a number from 0 to 1000000000`,
	} {
		_, err := customer.Parse("f", []byte(withAccounts(l)))
		if err == nil || !strings.HasPrefix(err.Error(), place) || !strings.HasSuffix(err.Error(), want) || errkind.Of(err) != errkind.InvalidFile {
			t.Errorf("%s:\ngot  %v\nwant %s… %s", l, err, place, want)
		}
	}
}

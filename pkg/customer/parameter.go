package customer

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
)

const (
	maxParameters = 1000
	// maxStringBytes bounds a String parameter, because many references may repeat it.
	maxStringBytes = 4096
)

// Types of a parameter.
const (
	typeInteger  = "Integer"
	typeNumber   = "Number"
	typeDuration = "Duration"
	typeString   = "String"
	typeBoolean  = "Boolean"
)

var (
	types         = []string{typeInteger, typeNumber, typeDuration, typeString, typeBoolean}
	parameterName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,63}$`)
)

type fileParameter struct {
	Type    string
	Value   jsonc.Raw
	Minimum jsonc.Raw `jsonc:"optional"`
	Maximum jsonc.Raw `jsonc:"optional"`
}

// parameters decodes and checks the parameters of a file and returns them by name.
func parameters(d *jsonc.Document) map[string]jsonc.Parameter {
	var l map[string]fileParameter
	d.DecodeKey("Parameters", &l)
	m := make(map[string]jsonc.Parameter, len(l))
	if len(l) > maxParameters {
		d.Fault("Parameters", fmt.Sprintf("%d entries", len(l)), fmt.Sprintf("at most %d", maxParameters))
	}
	used := d.References()
	for _, name := range slices.Sorted(maps.Keys(l)) {
		path := jsonc.Path("Parameters", name)
		switch {
		case !parameterName.MatchString(name):
			d.Fault(path, "bad name", "a letter, then up to 63 letters, digits, underscores and dashes")
		case !used[name]:
			d.Fault(path, "unused parameter", "a reference to it in the file")
		}
		m[name] = jsonc.Parameter{Value: parameter(d, path, l[name])}
	}
	return m
}

// parameter returns the value of a parameter, or nil if it has a fault.
func parameter(d *jsonc.Document, path string, p fileParameter) any {
	switch p.Type {
	case typeInteger:
		return decodeBounded[int](d, path)
	case typeNumber:
		return decodeBounded[float64](d, path)
	case typeDuration:
		return decodeBounded[time.Duration](d, path)
	case typeString:
		v, ok := decodeUnbounded[string](d, path, p.Type).(string)
		return checkString(d, path, v, ok)
	case typeBoolean:
		return decodeUnbounded[bool](d, path, p.Type)
	}
	if t := jsonc.Path(path, "Type"); d.Valid(t) {
		d.Fault(t, "unknown type "+jsonc.Quote(p.Type), jsonc.OneOf(quoted(types)))
	}
	return nil
}

// decodeBounded decodes a value and checks it against its minimum and maximum, if any.
func decodeBounded[T cmp.Ordered](d *jsonc.Document, path string) any {
	var v, low, high T
	least, most := jsonc.Path(path, "Minimum"), jsonc.Path(path, "Maximum")
	hasLow := d.DecodeAt(least, &low)
	hasHigh := d.DecodeAt(most, &high)
	if hasLow && hasHigh && low > high {
		d.Fault(least, fmt.Sprintf("%v is above the maximum", low), fmt.Sprintf("at most %v", high))
		return nil
	}
	at := jsonc.Path(path, "Value")
	if !d.DecodeAt(at, &v) {
		return nil
	}
	switch {
	case hasLow && v < low:
		d.Fault(at, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("at least %v", low))
		return nil
	case hasHigh && v > high:
		d.Fault(at, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("at most %v", high))
		return nil
	}
	return v
}

// decodeUnbounded decodes a value of a type that allows no minimum and maximum.
func decodeUnbounded[T any](d *jsonc.Document, path, name string) any {
	for _, k := range []string{"Minimum", "Maximum"} {
		if p := jsonc.Path(path, k); d.Valid(p) {
			d.Fault(p, "a "+name+" has no bounds", "no "+k)
		}
	}
	var v T
	if !d.DecodeAt(jsonc.Path(path, "Value"), &v) {
		return nil
	}
	return v
}

func checkString(d *jsonc.Document, path, v string, ok bool) any {
	at := jsonc.Path(path, "Value")
	switch {
	case !ok:
		return nil
	case len(v) > maxStringBytes:
		d.Fault(at, fmt.Sprintf("%d bytes", len(v)), fmt.Sprintf("at most %d", maxStringBytes))
		return nil
	case strings.Contains(v, "${"):
		d.Fault(at, "refers to a parameter", "a value without references")
		return nil
	}
	return v
}

func quoted(l []string) []string {
	q := slices.Clone(l)
	for i, s := range q {
		q[i] = jsonc.Quote(s)
	}
	return q
}

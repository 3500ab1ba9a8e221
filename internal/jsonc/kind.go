package jsonc

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Kinds of JSON values as in hujson, except that kindBool covers both true and false.
const (
	kindNull   = hujson.Kind('n')
	kindBool   = hujson.Kind('t')
	kindString = hujson.Kind('"')
	kindNumber = hujson.Kind('0')
	kindObject = hujson.Kind('{')
	kindList   = hujson.Kind('[')
)

func kindOf(n hujson.Value) hujson.Kind {
	if k := n.Value.Kind(); k != 'f' {
		return k
	}
	return kindBool
}

func kindName(n hujson.Value) string {
	return map[hujson.Kind]string{
		kindNull: "null", kindBool: "boolean", kindString: "string",
		kindNumber: "number", kindObject: "object", kindList: "list",
	}[kindOf(n)]
}

// kindOfType returns the kind of the JSON values that represent a Go type.
func kindOfType(t reflect.Type) hujson.Kind {
	if t == durationType {
		return kindString
	}
	switch t.Kind() {
	case reflect.String:
		return kindString
	case reflect.Bool:
		return kindBool
	case reflect.Int, reflect.Float64:
		return kindNumber
	case reflect.Slice:
		return kindList
	case reflect.Struct, reflect.Map:
		return kindObject
	}
	panic(fmt.Sprintf("jsonc: unsupported type %s", t)) // a bug in the struct, not a fault of the file
}

func expectedOf(t reflect.Type) string {
	switch t {
	case rawType:
		return "a value" // used if a required key is missing
	case durationType:
		return `a duration such as "1m30s"`
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	}
	return "a string"
}

func keyOf(m hujson.ObjectMember) string { return m.Name.Value.(hujson.Literal).String() }

func shorten(s string) string {
	const limit = 64
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}

// suggest returns the known key that is most similar to key, or all known keys if
// none is similar.
func suggest(key string, fields []field) string {
	best, least := "", 0
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, Quote(f.name))
		n := levenshtein(strings.ToLower(key), strings.ToLower(f.name))
		if n <= max(2, len(f.name)/3) && (best == "" || n < least) {
			best, least = f.name, n
		}
	}
	if best != "" {
		return Quote(best)
	}
	return OneOf(names)
}

// OneOf joins words, which are already quoted, for the expected part of a fault.
func OneOf(words []string) string {
	const limit = 20
	switch n := len(words); {
	case n == 0:
		return "none"
	case n == 1:
		return words[0]
	case n > limit:
		return "one of " + strings.Join(words[:limit], ", ") + fmt.Sprintf(" and %d more", n-limit)
	}
	return "one of " + strings.Join(words, ", ")
}

// levenshtein returns the Levenshtein distance of two keys. For keys that are too long
// to be a misspelling it returns a large number.
func levenshtein(a, b string) int {
	const longest = 64
	if len(a) > longest || len(b) > longest {
		return longest
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(diagonal+cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

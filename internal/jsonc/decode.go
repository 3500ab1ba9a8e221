package jsonc

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	rawType      = reflect.TypeFor[Raw]()
)

// Decode decodes the whole file into the struct that v points to.
func (d *Document) Decode(v any) {
	if !d.unparsable {
		d.decodeEntry("", d.root, reflect.ValueOf(v).Elem())
	}
}

// DecodeKey decodes only the value of one key of the top-level object, if present.
func (d *Document) DecodeKey(key string, v any) {
	o, ok := d.root.Value.(*hujson.Object)
	if d.unparsable || !ok {
		return
	}
	for _, m := range o.Members {
		if keyOf(m) == key {
			d.decodeEntry(Path("", key), m.Value, reflect.ValueOf(v).Elem())
			return
		}
	}
}

// DecodeAt decodes the value at the path of a Raw field. It reports whether the value
// is present and valid.
func (d *Document) DecodeAt(path string, v any) bool {
	p, ok := d.entries[path]
	return ok && p.valid && d.decodeEntry(path, p.value, reflect.ValueOf(v).Elem())
}

// decodeEntry decodes n into v. It records n under path, and whether it was valid.
func (d *Document) decodeEntry(path string, n hujson.Value, v reflect.Value) bool {
	ok := d.decode(path, n, v)
	d.entries[path] = entry{n, ok}
	return ok
}

func (d *Document) decode(path string, n hujson.Value, v reflect.Value) bool {
	if v.Type() == rawType {
		return true
	}
	if name, ok := reference(n); ok && d.parameters != nil {
		return d.setFromParameter(path, name, n, v)
	}
	if kindOf(n) != kindOfType(v.Type()) {
		d.addAt(n.StartOffset, path, "wrong type "+kindName(n), expectedOf(v.Type()))
		return false
	}
	switch v.Kind() {
	case reflect.Struct:
		return d.decodeObject(path, n, v)
	case reflect.Map:
		return d.decodeMap(path, n, v)
	case reflect.Slice:
		return d.decodeList(path, n, v)
	}
	return d.decodeScalar(path, n, v)
}

// field describes a field of a struct and the options of its tag.
type field struct {
	name     string
	index    int
	optional bool
	limit    int
}

func fieldsOf(t reflect.Type) []field {
	l := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		f := field{name: t.Field(i).Name, index: i}
		for o := range strings.SplitSeq(t.Field(i).Tag.Get("jsonc"), ",") {
			if o == "optional" {
				f.optional = true
			} else if n, ok := strings.CutPrefix(o, "max="); ok {
				f.limit, _ = strconv.Atoi(n)
			}
		}
		l = append(l, f)
	}
	return l
}

func (d *Document) decodeObject(path string, n hujson.Value, v reflect.Value) bool {
	fields := fieldsOf(v.Type())
	byName := make(map[string]field, len(fields))
	for _, f := range fields {
		byName[f.name] = f
	}
	valid := true
	seen := map[string]bool{}
	for _, m := range n.Value.(*hujson.Object).Members {
		k := keyOf(m)
		f, known := byName[k]
		switch {
		case !known:
			d.addUnknownKey(m, Path(path, k), k, fields)
			valid = false
		case seen[k]:
			d.addAt(m.Name.StartOffset, Path(path, k), "duplicate key", "each key once")
			valid = false
		default:
			seen[k] = true
			valid = d.checkLength(Path(path, k), m.Value, f.limit) && d.decodeEntry(Path(path, k), m.Value, v.Field(f.index)) && valid
		}
	}
	for _, f := range fields {
		if !seen[f.name] && !f.optional {
			d.addAt(n.StartOffset, Path(path, f.name), "missing required key", expectedOf(v.Field(f.index).Type()))
			valid = false
		}
	}
	return valid
}

// checkLength checks the number of entries before they are decoded, so that an
// oversized list causes only one fault.
func (d *Document) checkLength(path string, n hujson.Value, limit int) bool {
	count := 0
	switch o := n.Value.(type) {
	case *hujson.Array:
		count = len(o.Elements)
	case *hujson.Object:
		count = len(o.Members)
	}
	if limit == 0 || count <= limit {
		return true
	}
	d.addAt(n.StartOffset, path, fmt.Sprintf("%d entries", count), fmt.Sprintf("at most %d", limit))
	d.entries[path] = entry{n, false}
	return false
}

func (d *Document) addUnknownKey(m hujson.ObjectMember, path, key string, fields []field) {
	expected := ""
	if !d.faultLimitReached() { // the search for the nearest key is the expensive part of a fault
		expected = suggest(key, fields)
	}
	d.addAt(m.Name.StartOffset, path, "unknown key", expected)
}

func (d *Document) decodeMap(path string, n hujson.Value, v reflect.Value) bool {
	valid := true
	v.Set(reflect.MakeMap(v.Type()))
	for _, m := range n.Value.(*hujson.Object).Members {
		k := keyOf(m)
		if v.MapIndex(reflect.ValueOf(k)).IsValid() {
			d.addAt(m.Name.StartOffset, Path(path, k), "duplicate key", "each key once")
			valid = false
			continue
		}
		e := reflect.New(v.Type().Elem()).Elem()
		valid = d.decodeEntry(Path(path, k), m.Value, e) && valid
		v.SetMapIndex(reflect.ValueOf(k), e)
	}
	return valid
}

// decodeList decodes all entries, even after a fault, so that the indices in v match
// those in the file.
func (d *Document) decodeList(path string, n hujson.Value, v reflect.Value) bool {
	l := n.Value.(*hujson.Array).Elements
	valid := true
	v.Set(reflect.MakeSlice(v.Type(), len(l), len(l)))
	for i, e := range l {
		valid = d.decodeEntry(Index(path, i), e, v.Index(i)) && valid
	}
	return valid
}

func (d *Document) decodeScalar(path string, n hujson.Value, v reflect.Value) bool {
	l := n.Value.(hujson.Literal)
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(l.Bool())
		return true
	case reflect.Int:
		i, err := strconv.ParseInt(string(l), 10, strconv.IntSize)
		if err != nil {
			d.addAt(n.StartOffset, path, "bad number "+shorten(string(l)), expectedOf(v.Type()))
			return false
		}
		v.SetInt(i)
		return true
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(l), 64)
		if err != nil {
			d.addAt(n.StartOffset, path, "bad number "+shorten(string(l)), expectedOf(v.Type()))
			return false
		}
		v.SetFloat(f)
		return true
	}
	s, ok := d.expand(path, n, l.String())
	return ok && d.setText(path, n, v, s)
}

// setText sets v, a string or a duration, from the string s.
func (d *Document) setText(path string, n hujson.Value, v reflect.Value, s string) bool {
	if v.Type() != durationType {
		v.SetString(s)
		return true
	}
	t, err := time.ParseDuration(s)
	if err != nil {
		d.addAt(n.StartOffset, path, "bad duration "+Quote(s), expectedOf(v.Type()))
		return false
	}
	v.SetInt(int64(t))
	return true
}

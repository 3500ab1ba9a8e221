package jsonc

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxExpandedBytes bounds the text that references to parameters add, because a short
// file can refer to a long parameter many times.
const maxExpandedBytes = MaxSize

// Parameter is a value that a file can refer to by name.
type Parameter struct {
	// Value is an int, float64, time.Duration, string or bool. It is nil if the
	// parameter itself has a fault; references to it are then invalid, but add no
	// further fault.
	Value any
}

// String returns the text that replaces a reference to the parameter within a string.
func (p Parameter) String() string {
	if f, ok := p.Value.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(p.Value)
}

// SetParameters makes the decoding methods replace {"Parameter":"NAME"}, which may
// stand for any value, and ${NAME} within strings.
func (d *Document) SetParameters(m map[string]Parameter) { d.parameters = m }

// References returns the names of the parameters that the file refers to.
func (d *Document) References() map[string]bool {
	names := map[string]bool{}
	if d.unparsable {
		return names
	}
	for v := range d.root.All() {
		if name, ok := reference(*v); ok {
			names[name] = true
		}
		if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == kindString {
			walkReferences(l.String(), func(string) {}, func(name string) { names[name] = true })
		}
	}
	return names
}

// reference returns the name in a value of the form {"Parameter":"NAME"}. It returns
// false for other values.
func reference(n hujson.Value) (string, bool) {
	o, ok := n.Value.(*hujson.Object)
	if !ok || len(o.Members) != 1 || keyOf(o.Members[0]) != "Parameter" {
		return "", false
	}
	l, ok := o.Members[0].Value.Value.(hujson.Literal)
	return l.String(), ok && l.Kind() == kindString
}

// setFromParameter sets v to the value of a parameter.
func (d *Document) setFromParameter(path, name string, n hujson.Value, v reflect.Value) bool {
	p, ok := d.parameter(path, name, n)
	if !ok {
		return false
	}
	g := reflect.ValueOf(p.Value)
	switch {
	case g.Type() == v.Type():
	case g.Kind() == reflect.Int && v.Kind() == reflect.Float64:
	case g.Kind() == reflect.String && v.Kind() == reflect.String:
	default:
		d.addAt(n.StartOffset, path, "wrong type of parameter "+Quote(name), expectedOf(v.Type()))
		return false
	}
	if s, ok := p.Value.(string); ok && !d.countExpanded(path, n, len(s)) {
		return false
	}
	v.Set(g.Convert(v.Type()))
	return true
}

func (d *Document) parameter(path, name string, n hujson.Value) (Parameter, bool) {
	p, ok := d.parameters[name]
	if !ok {
		d.addAt(n.StartOffset, path, "unknown parameter "+Quote(name), "a name listed in Parameters")
	}
	return p, ok && p.Value != nil
}

// countExpanded adds size to the bytes of expanded text. It adds a fault and returns
// false if they exceed the maximum.
func (d *Document) countExpanded(path string, n hujson.Value, size int) bool {
	d.expandedBytes += size
	if d.expandedBytes > maxExpandedBytes {
		d.addAt(n.StartOffset, path, "parameters expand to more than 1 MiB", "shorter values or fewer references")
		return false
	}
	return true
}

// expand replaces each ${NAME} in s by the text of the parameter.
func (d *Document) expand(path string, n hujson.Value, s string) (string, bool) {
	if d.parameters == nil || !strings.Contains(s, "${") {
		return s, true
	}
	var b strings.Builder
	valid := true
	closed := walkReferences(s, func(t string) { b.WriteString(t) }, func(name string) {
		p, ok := d.parameter(path, name, n)
		if ok = ok && valid && d.countExpanded(path, n, len(p.String())); ok {
			b.WriteString(p.String())
		}
		valid = valid && ok
	})
	if !closed {
		d.addAt(n.StartOffset, path, `"${" without "}"`, `a reference such as "${NAME}"`)
		return "", false
	}
	return b.String(), valid
}

// walkReferences calls text for each literal part of s and name for each reference, in
// their order. It returns false if a reference is not closed.
func walkReferences(s string, text, name func(string)) bool {
	for {
		before, rest, found := strings.Cut(s, "${")
		text(before)
		if !found {
			return true
		}
		n, after, closed := strings.Cut(rest, "}")
		if !closed {
			return false
		}
		name(n)
		s = after
	}
}

// Package jsonc strictly decodes JSON with comments into structs and reports each
// fault of a file with its position.
//
// Keys are the names of the struct's fields. A field without the option
// "optional" must be present. The option "max=N" bounds the entries of a list
// or map. Supported types are string, bool, int, float64, time.Duration (as a
// Go duration string), Raw, and lists, maps and structs of these.
//
// # Usage
//
//	var s struct {
//		Name    string
//		Members []string      `jsonc:"max=5"`
//		Limit   time.Duration `jsonc:"optional"`
//	}
//	d := jsonc.Parse("node.jsonc", data)
//	d.Decode(&s)
//	if d.Valid("Name") && s.Name == "" {
//		d.Fault("Name", "empty", "a name")
//	}
//	return d.Err()
//
// Decode leaves fields with faults at their zero value, so checks must call Valid
// first. Err lists the faults in the order of their positions.
package jsonc

import (
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxSize is the largest accepted file in bytes.
	MaxSize = 1 << 20
	// maxDepth bounds the nesting, because the parser is recursive and a stack
	// overflow cannot be recovered from. The project's files need 4 levels.
	maxDepth = 32
	// fileKey replaces the key in faults of the file as a whole.
	fileKey = "file"
)

// Raw is the type of a field whose value is decoded later by DecodeAt instead of with
// its struct.
type Raw struct{}

// Document is a parsed file and the faults found in it so far.
type Document struct {
	file          string
	lines         []int // offset of the start of each line
	root          hujson.Value
	unparsable    bool // a fault of the whole file, so there is no tree to decode
	entries       map[string]entry
	faults        []Fault
	dropped       int
	parameters    map[string]Parameter
	expandedBytes int
}

// entry is a value of the file and whether it was decoded without a fault.
type entry struct {
	value hujson.Value
	valid bool
}

// Parse parses data. If that fails, for example because of a syntax error, Err reports
// the fault and the decoding methods do nothing.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, lines: lineStarts(data), entries: map[string]entry{}}
	switch {
	case len(data) > MaxSize:
		d.failAt(0, "larger than 1 MiB", "at most 1048576 bytes")
		return d
	case !utf8.Valid(data):
		d.failAt(firstInvalidUTF8(data), "invalid UTF-8", "UTF-8 text")
		return d
	}
	if n, deep := findTooDeep(data); deep {
		d.failAt(n, "nested too deep", "at most "+strconv.Itoa(maxDepth)+" levels")
		return d
	}
	// The parser requires a newline after a line comment, even at the end of the file.
	v, err := hujson.Parse(append(data[:len(data):len(data)], '\n'))
	if err != nil {
		line, column, problem := parseSyntaxError(err.Error())
		if line > len(d.lines) { // after the added newline
			line = len(d.lines)
			column = len(data) - d.lines[line-1] + 1
		}
		d.unparsable = true
		d.add(Fault{d.file, line, column, fileKey, problem, "JSON with comments"})
		return d
	}
	d.root = v
	return d
}

func (d *Document) failAt(offset int, problem, expected string) {
	d.unparsable = true
	d.addAt(offset, fileKey, problem, expected)
}

// Valid reports whether the value at path is present and was decoded without
// a fault.
func (d *Document) Valid(path string) bool { return d.entries[path].valid }

// Has reports whether the value at path is present.
func (d *Document) Has(path string) bool { _, ok := d.entries[path]; return ok }

// Fault adds a fault at the value of path. If the value is missing, the position is
// that of the innermost enclosing value.
func (d *Document) Fault(path, problem, expected string) {
	for p := path; ; p = p[:strings.LastIndexAny(p, ".[")] {
		if l, ok := d.entries[p]; ok {
			d.addAt(l.value.StartOffset, path, problem, expected)
			return
		}
		if !strings.ContainsAny(p, ".[") {
			d.addAt(d.root.StartOffset, path, problem, expected)
			return
		}
	}
}

// Err returns nil or an *Error with all faults in the order of their positions.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return newError(d.file, d.faults, d.dropped)
}

// plainKey matches keys that a path shows without quotes.
var plainKey = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Path returns the path of key within the value at parent.
func Path(parent, key string) string {
	switch {
	case !plainKey.MatchString(key):
		return parent + "[" + Quote(key) + "]"
	case parent == "":
		return key
	}
	return parent + "." + key
}

// Index returns the path of entry i of the list at parent.
func Index(parent string, i int) string { return parent + "[" + strconv.Itoa(i) + "]" }

// Quote quotes s for a message and truncates long texts, so that the message stays
// readable whatever the file contains.
func Quote(s string) string {
	const limit = 64
	if r := []rune(s); len(r) > limit {
		return strconv.Quote(string(r[:limit])) + "..."
	}
	return strconv.Quote(s)
}

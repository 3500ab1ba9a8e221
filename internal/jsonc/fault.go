package jsonc

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxFaults bounds the faults that are kept. A malicious file of 1 MiB could otherwise
// cause an error message of hundreds of MiB.
const maxFaults = 1000

// Fault is one fault of a file with its position.
type Fault struct {
	File         string
	Line, Column int
	Key          string
	Problem      string
	Expected     string
}

// String formats the fault as "FILE:LINE:COLUMN: KEY: PROBLEM; expected EXPECTED".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s; expected %s", f.File, f.Line, f.Column, f.Key, f.Problem, f.Expected)
}

// Error lists the faults of a file.
type Error struct {
	File   string
	Faults []Fault
	// Dropped counts the faults beyond the limit, which are not listed.
	Dropped int
}

func newError(file string, l []Fault, dropped int) *Error {
	l = slices.Clone(l)
	slices.SortStableFunc(l, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &Error{File: file, Faults: l, Dropped: dropped}
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	var b strings.Builder
	for i, f := range e.Faults {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(f.String())
	}
	if e.Dropped > 0 {
		fmt.Fprintf(&b, "\n%s: %d more faults are not listed", e.File, e.Dropped)
	}
	return b.String()
}

func (d *Document) addAt(offset int, key, problem, expected string) {
	if d.faultLimitReached() {
		d.dropped++
		return
	}
	line := sort.SearchInts(d.lines, offset+1)
	column := offset - d.lines[line-1] + 1
	d.add(Fault{d.file, line, column, key, problem, expected})
}

func (d *Document) add(f Fault) {
	if f.Key == "" {
		f.Key = fileKey
	}
	d.faults = append(d.faults, f)
}

func (d *Document) faultLimitReached() bool { return len(d.faults) >= maxFaults }

func lineStarts(data []byte) []int {
	l := []int{0}
	for i, c := range data {
		if c == '\n' {
			l = append(l, i+1)
		}
	}
	return l
}

func firstInvalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, n := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return len(data)
}

// findTooDeep returns the offset of the first bracket that is nested deeper than
// maxDepth. It skips strings and comments as the parser does.
func findTooDeep(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '/':
			i = commentEnd(data, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// stringEnd returns the offset of the quote that ends the string at i.
func stringEnd(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the offset of the last byte of the comment at i.
func commentEnd(data []byte, i int) int {
	var end string
	switch rest := data[i:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(data[i+2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}

var syntaxErrorPattern = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// parseSyntaxError extracts the position from the parser's error message, because the
// parser provides it in no other form.
func parseSyntaxError(s string) (line, column int, problem string) {
	m := syntaxErrorPattern.FindStringSubmatch(s)
	if m == nil {
		return 1, 1, s
	}
	line, _ = strconv.Atoi(m[1])
	column, _ = strconv.Atoi(m[2])
	problem = m[3]
	if lit, ok := strings.CutPrefix(problem, "invalid literal: "); ok {
		problem = "invalid literal " + Quote(lit)
	}
	return line, column, problem
}

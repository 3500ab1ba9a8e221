package caller

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// framedLineBytes is how much of a header line is kept to read its name and, for
	// Content-Length, its value.
	framedLineBytes = 64
	// maxLengthDigits keeps a Content-Length within an int64.
	maxLengthDigits = 18
)

// framing finds the end of each HTTP/1.1 request in the bytes of a connection. It reads
// only what decides where a request ends, and leaves everything else to net/http. Where
// the end is not plain (chunked bodies, folded lines, HTTP/2), the connection is opaque
// from then on: no later request is told apart.
type framing struct {
	opaque bool
	// http2 is whether the connection begins as one of HTTP/2.
	http2  bool
	inHead bool
	// firstLine is whether the current line is the request line.
	firstLine bool
	// hasLength is whether the head has a Content-Length.
	hasLength bool
	// bodyLeft is the number of bytes of the body that are still due.
	bodyLeft int64
	// line is the start of the current line, lineBytes its length so far.
	line      [framedLineBytes]byte
	lineBytes int
	// headBytes and headLines count the current head. If the connection is opaque, they
	// count everything, until they are reset.
	headBytes, headLines int
}

// resetHead starts a new count of the head.
func (f *framing) resetHead() { f.headBytes, f.headLines = 0, 0 }

// atBoundary reports whether all requests so far are complete.
func (f *framing) atBoundary() bool { return !f.opaque && !f.inHead && f.bodyLeft == 0 }

// consume returns how many of the bytes b belong to the current request, or to the next
// one if none is under way.
func (f *framing) consume(b []byte) int {
	if f.opaque {
		f.headBytes += len(b)
		f.headLines += bytes.Count(b, []byte("\n"))
		return len(b)
	}
	if !f.inHead && f.bodyLeft > 0 {
		n := min(f.bodyLeft, int64(len(b)))
		f.bodyLeft -= n
		return int(n)
	}
	if !f.inHead {
		f.inHead, f.firstLine, f.hasLength, f.lineBytes = true, true, false, 0
		f.resetHead()
	}
	n := f.consumeHead(b)
	f.headBytes += n
	if f.opaque {
		return n + f.consume(b[n:])
	}
	if !f.inHead && f.bodyLeft > 0 {
		return n + f.consume(b[n:])
	}
	return n
}

// isPlainHead reports whether a complete head has none of the bytes for which the server
// of net/http refuses a request that http.ReadRequest accepts.
func isPlainHead(b []byte) bool {
	for l := range bytes.Lines(b) {
		l = bytes.TrimRight(l, "\r\n")
		name, value, _ := bytes.Cut(l, []byte(":"))
		if bytes.EqualFold(name, []byte("Host")) && bytes.ContainsFunc(bytes.Trim(value, " \t"), isUnusualInHost) {
			return false
		}
		if bytes.ContainsFunc(l, func(r rune) bool { return r != '\t' && (r < ' ' || r > '~') }) {
			return false
		}
	}
	return true
}

func isUnusualInHost(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune(".-_:[]", r)
}

// consumeHead reads up to the end of the head.
func (f *framing) consumeHead(b []byte) int {
	n := 0
	for n < len(b) {
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			f.keep(b[n:])
			return len(b)
		}
		f.keep(b[n : n+i])
		n += i + 1
		if f.endLine(); f.opaque || !f.inHead {
			return n
		}
	}
	return n
}

func (f *framing) keep(b []byte) {
	if f.lineBytes < len(f.line) {
		copy(f.line[f.lineBytes:], b)
	}
	f.lineBytes += len(b)
}

// endLine evaluates the current line.
func (f *framing) endLine() {
	l := f.line[:min(f.lineBytes, len(f.line))]
	whole := f.lineBytes <= len(f.line)
	if whole {
		l = bytes.TrimSuffix(l, []byte("\r"))
	}
	first := f.firstLine
	f.firstLine, f.lineBytes = false, 0
	f.headLines++
	switch {
	case first:
		f.opaque = whole && !bytes.Contains(l, []byte(" HTTP/1.")) // also the preface of HTTP/2
		f.http2 = whole && string(l) == "PRI * HTTP/2.0"
	case whole && len(l) == 0:
		f.inHead = false
	default:
		f.header(l, whole)
	}
}

// header evaluates a header line, of which whole tells whether l is all of it.
func (f *framing) header(l []byte, whole bool) {
	name, value, ok := bytes.Cut(l, []byte(":"))
	if !ok {
		// Either a malformed line or a name that is longer than those that matter here.
		f.opaque = whole || bytes.ContainsAny(l, " \t")
		return
	}
	if bytes.ContainsAny(name, " \t") {
		f.opaque = true // folded or malformed
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Upgrade")):
		f.opaque = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		v := string(bytes.Trim(value, " \t"))
		n, err := strconv.ParseUint(v, 10, 63)
		if err != nil || !whole || f.hasLength || len(v) > maxLengthDigits {
			f.opaque = true
			return
		}
		f.hasLength, f.bodyLeft = true, int64(n)
	}
}

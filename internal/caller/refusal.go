package caller

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
)

// refusalReason says why a connection was refused or closed.
type refusalReason string

// Refusal reasons.
const (
	reasonHeaderLines refusalReason = "header_lines"
	reasonHeaderBytes refusalReason = "header_bytes"
	reasonHeaderTime  refusalReason = "header_time"
	reasonBodyBytes   refusalReason = "body_bytes"
	reasonBudget      refusalReason = "budget"
	reasonShed        refusalReason = "shed"
	reasonConnections refusalReason = "connections"
	reasonEvicted     refusalReason = "evicted"
)

var refusalReasons = []refusalReason{reasonHeaderLines, reasonHeaderBytes, reasonHeaderTime, reasonBodyBytes, reasonBudget, reasonShed, reasonConnections, reasonEvicted}

// refusalLogInterval bounds the log lines about refused heads.
const refusalLogInterval = 100 * time.Millisecond

// refusals counts by reason what was refused.
type refusals struct {
	counts  map[refusalReason]*atomic.Int64
	nextLog atomic.Int64 // in nanoseconds since 1970
}

func newRefusals() *refusals {
	r := &refusals{counts: map[refusalReason]*atomic.Int64{}}
	for _, k := range refusalReasons {
		r.counts[k] = new(atomic.Int64)
	}
	return r
}

// count counts one refusal and reports whether it may be logged.
func (r *refusals) count(k refusalReason) bool {
	r.counts[k].Add(1)
	now, next := time.Now().UnixNano(), r.nextLog.Load()
	return now >= next && r.nextLog.CompareAndSwap(next, now+int64(refusalLogInterval))
}

// Refusals calls f with each reason for which connections of callers were refused or
// closed, and their number.
func (h *Handler) Refusals(f func(reason string, n int64)) {
	for k, n := range h.refusals.counts {
		f(string(k), n.Load())
	}
}

// errorResponse returns the bytes of an error response that ends the connection.
func errorResponse(d *dialect.Dialect, err error) []byte {
	w := &responseBuffer{header: http.Header{}}
	status := WriteError(w, d, "", err)
	w.header.Set("Connection", "close")
	w.header.Set("Content-Length", strconv.Itoa(w.body.Len()))
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = w.header.Write(&b) // never fails
	b.WriteString("\r\n")
	b.Write(w.body.Bytes())
	return b.Bytes()
}

// responseBuffer is an http.ResponseWriter that keeps the response.
type responseBuffer struct {
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxStatus is the highest status of three digits.
const maxStatus = 999

// buffers is a pool of buffers for copying response bodies.
var buffers = sync.Pool{New: func() any { return new([call.ChunkBytes]byte) }}

// respond forwards the upstream's response to the caller. If the body is cut off, the
// connection is aborted, so that the caller cannot treat a part as complete.
func (x *exchange) respond(a *call.Response) {
	if s := a.Head.Status; s < http.StatusOK || s > maxStatus {
		x.fail(errkind.New(errkind.UpstreamFailed, "the upstream answered with the status %03d", s))
		return
	}
	b := buffers.Get().(*[call.ChunkBytes]byte)
	defer buffers.Put(b)
	n, err := 0, error(nil)
	if a.Head.ContentLength >= 0 {
		// If a small response is cut off, an error response can still be sent instead.
		if n, err = call.Fill(a.Body, b[:]); !complete(err) {
			x.fail(err)
			return
		}
	}
	for k, v := range a.Head.Header {
		x.w.Header()[k] = v
	}
	x.w.Header().Set(x.c.Dialect.RequestID, x.id)
	if a.Head.Status == http.StatusNotModified {
		// Here, Content-Length is that of the response to an unconditional request, and
		// some HTTP/2 clients wait for as many bytes.
		x.w.Header().Del("Content-Length")
	}
	x.setConnection()
	x.w.WriteHeader(a.Head.Status)
	if err := x.copyBody(a, b[:], n, err); err != nil {
		x.log("answer aborted", "status", a.Head.Status, "reason", err.Error())
		x.c.Observe(x.match, a.Head.Status, errkind.Of(err), errkind.Unknown, time.Since(x.firstSent))
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.Trailer() {
		x.w.Header()[http.TrailerPrefix+k] = v
	}
	x.log("request answered", "status", a.Head.Status)
	x.c.Observe(x.match, a.Head.Status, "", "", time.Since(x.firstSent))
}

// log writes the final log line of the request. Whether it is late is measured from the
// caller's first attempt, tookMicros from this one.
func (x *exchange) log(message string, outcome ...any) {
	took, target := time.Since(x.firstSent), x.match.Rank.Target
	x.c.Log.Info(message, append([]any{
		"requestId", x.id, "route", x.match.Name, "rank", x.match.Rank.Name, "caller", remoteHost(x.r),
		"version", x.version, "tookMicros", time.Since(x.start).Microseconds(),
		"waitedMicros", x.start.Sub(x.firstSent).Microseconds(), "late", target > 0 && took > target,
	}, outcome...)...)
}

// complete reports whether err is nil or the end of a body.
func complete(err error) bool { return err == nil || call.IsEOF(err) }

// copyBody writes the first n bytes of b, which were read with the result err, and then
// the rest of the body. If the length is unknown, it flushes after each read, since the
// response may be a stream of events.
func (x *exchange) copyBody(a *call.Response, b []byte, n int, err error) error {
	f, _ := x.w.(http.Flusher)
	if a.Head.ContentLength >= 0 {
		f = nil
	}
	if f != nil {
		f.Flush()
	}
	for {
		if n > 0 {
			if _, e := x.w.Write(b[:n]); e != nil {
				return errkind.Wrap(e, errkind.Canceled, "caller went away")
			}
		}
		if call.IsEOF(err) {
			return nil
		}
		if err != nil {
			return err
		}
		if f != nil && n > 0 {
			f.Flush()
		}
		n, err = a.Body.Read(b)
	}
}

// setConnection tells the caller that the connection is closed after this response if the
// node drains, unless later requests of the connection are in progress, or if the request
// body was not read to its end on HTTP/1.1. The latter also prevents net/http from
// reading parts of the body that belong to the upstream. An upload that was closed just
// before its end was read has stopped all reads on the connection, which would cancel
// the next request on it.
func (x *exchange) setConnection() {
	if x.drain.Load() != nil && (x.conn == nil || x.conn.seal()) {
		x.w.Header().Set("Connection", "close")
	}
	if u := x.upload; u != nil && (!u.ended.Load() || u.closed.Load()) && x.r.ProtoMajor == 1 {
		x.w.Header().Set("Connection", "close")
	}
}

// fail sends an error response.
func (x *exchange) fail(err error) {
	e := errkind.From(err)
	if x.stopCtx.Err() != nil && e.Kind == errkind.Canceled {
		e = errkind.Wrap(err, errkind.Leaving, "%v", context.Cause(x.stopCtx)).WithExecution(e.Execution)
		err = e
	}
	x.refund(e)
	x.setConnection()
	if x.upload == nil && hasBody(x.r) {
		// net/http reads the rest of the body before it sends the response.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(discardTime)) // unsupported only by test writers
	}
	status := WriteError(x.w, x.c.Dialect, x.id, err)
	x.log("request refused", "status", status, "kind", e.Kind, "execution", e.Execution, "reason", e.Error())
	x.c.Observe(x.match, status, e.Kind, e.Execution, time.Since(x.firstSent))
}

// Problem is the body of an error response that the node itself sends.
type Problem struct {
	Kind      errkind.Kind
	Reason    string
	RequestId string //nolint:revive // the name is part of the public API
	Execution errkind.Execution
}

// retryAfterer is an error with a retry delay.
type retryAfterer interface{ RetryAfter() time.Duration }

// WriteError writes the error response for err and returns its status.
func WriteError(w http.ResponseWriter, d *dialect.Dialect, id string, err error) int {
	e := errkind.From(err)
	a := e.Kind.Answer()
	wait := a.RetryAfter
	var r retryAfterer
	if errors.As(err, &r) && r.RetryAfter() > 0 {
		wait = r.RetryAfter()
	}
	if wait > 0 {
		w.Header().Set("Retry-After", d.FormatRetryAfter(wait))
	}
	if d.Execution != "" {
		w.Header().Set(d.Execution, string(e.Execution))
	}
	w.Header().Set("Content-Type", "application/json")
	status := e.HTTPStatus()
	if d.Execution == "" && e.Execution == errkind.NotRun && status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable // only the status states that it may be sent again
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{Kind: e.Kind, Reason: e.Error(), RequestId: id, Execution: e.Execution}) // fails only if the caller has gone
	return status
}

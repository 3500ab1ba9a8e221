package peer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// exchange is one request and its answer on one connection. It is the body of
// the answer.
type exchange struct {
	ctx     context.Context
	request *call.Request
	head    wire.RequestHead
	body    io.ReadCloser
	conn    *drpcconn.Conn
	silence time.Duration // that of the connection
	stream  drpc.Stream
	release func(clean bool)
	once    sync.Once
	// sent is set before the first byte that may let the request run.
	sent bool
	// clean is set when the connection can carry another request.
	clean bool
	// sending is closed when no more of the body will be sent.
	sending chan struct{}
	// bodyFailed is set when the body could not be read to its end.
	bodyFailed atomic.Pointer[error]

	status   int
	length   int64
	received int64
	rest     []byte
	end      *wire.ResponseEnd
	load     *wire.Load
	failed   error
}

func (x *exchange) start() (*call.Response, error) {
	if !x.head.WholeBody {
		if err := wire.SetTCPUserTimeout(x.conn.Transport(), 0); err != nil {
			return nil, x.transportError(err, "prepare connection")
		}
	}
	s, err := x.conn.NewStream(x.ctx, wire.MethodForward, wire.Encoding{})
	if err != nil {
		return nil, x.transportError(err, "open stream")
	}
	x.stream = s
	// A whole body may run as soon as the head arrives.
	x.sent = x.head.WholeBody
	if err := s.MsgSend(&wire.ForwardRequest{Head: &x.head}, wire.Encoding{}); err != nil {
		return nil, x.transportError(err, "send request")
	}
	if !x.head.WholeBody {
		if err := x.awaitAdmission(); err != nil {
			return nil, err
		}
		x.sendBody()
	}
	return x.receiveHead()
}

func (x *exchange) awaitAdmission() error {
	var m wire.ForwardResponse
	if err := x.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
		return x.transportError(err, "await admission")
	}
	if m.Refusal != nil {
		return x.refused(&m)
	}
	if !m.Admitted {
		return errkind.New(errkind.UpstreamFailed, "owner node answered before it admitted the request")
	}
	if x.request.OnAdmitted != nil {
		if err := x.request.OnAdmitted(); err != nil {
			return err
		}
	}
	x.sent = true
	return nil
}

// sendBody streams the body in the background, so that an upstream may answer
// before it read everything.
func (x *exchange) sendBody() {
	x.sending = make(chan struct{})
	go func() {
		defer close(x.sending)
		b := make([]byte, call.ChunkBytes)
		for {
			n, err := x.body.Read(b)
			end := call.IsEOF(err)
			if err != nil && !end {
				x.bodyFailed.Store(&err)
				x.stream.Close() // the upstream must not take a cut-off body for a whole one
				return
			}
			if x.stream.MsgSend(&wire.ForwardRequest{Chunk: b[:n], End: end}, wire.Encoding{}) != nil || end {
				return
			}
		}
	}()
}

func (x *exchange) receiveHead() (*call.Response, error) {
	var m wire.ForwardResponse
	if err := x.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
		return nil, x.transportError(err, "await answer")
	}
	if m.Head == nil {
		if m.Refusal != nil {
			return nil, x.refused(&m)
		}
		return nil, errkind.New(errkind.UpstreamFailed, "owner node sent no answer head")
	}
	if m.Head.RequestID != x.head.RequestID {
		return nil, errkind.New(errkind.UpstreamFailed, "answer belongs to request %q", m.Head.RequestID)
	}
	x.status, x.length = m.Head.Status, m.Head.ContentLength
	x.take(&m)
	return &call.Response{Head: *m.Head, Body: x, Trailer: x.trailer, Load: func() *wire.Load { return x.load }}, nil
}

func (x *exchange) trailer() map[string][]string {
	if x.end == nil {
		return nil
	}
	return x.end.Trailer
}

// take stores the parts of m that belong to the body.
func (x *exchange) take(m *wire.ForwardResponse) {
	x.rest = m.Chunk
	x.received += int64(len(m.Chunk))
	if m.Load != nil {
		x.load = m.Load
	}
	switch {
	case m.Refusal != nil:
		x.failed = errkind.From(m.Refusal.Err()).WithExecution(errkind.Unknown) // the upstream answered
	case m.End != nil && (m.End.RequestID != x.head.RequestID || m.End.Bytes != x.received || !x.complete()):
		x.failed = errkind.New(errkind.AnswerIncomplete, "answer ended after %d of %d bytes", x.received, max(m.End.Bytes, x.length))
	case m.End != nil:
		x.end = m.End
	}
}

// complete reports whether as much arrived as the answer's head announced.
func (x *exchange) complete() bool {
	if x.length < 0 || x.head.Method == http.MethodHead || x.status == http.StatusNotModified {
		return true
	}
	return x.received == x.length
}

// Read implements io.Reader for the answer's body.
func (x *exchange) Read(b []byte) (int, error) {
	for len(x.rest) == 0 {
		if x.failed != nil {
			return 0, x.failed
		}
		if x.end != nil {
			x.clean = !x.end.BodyLeft && x.bodySent()
			return 0, io.EOF
		}
		var m wire.ForwardResponse
		if err := x.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
			x.failed = errkind.Wrap(x.cause(err), call.ContextErrorKind(x.ctx, errkind.AnswerIncomplete), "answer cut off after %d bytes", x.received).
				WithExecution(errkind.Unknown)
			return 0, x.failed
		}
		x.take(&m)
	}
	n := copy(b, x.rest)
	x.rest = x.rest[n:]
	return n, nil
}

// bodySent reports whether nothing of the request body remains to be sent.
func (x *exchange) bodySent() bool {
	if x.sending == nil {
		return true
	}
	select {
	case <-x.sending:
		return x.bodyFailed.Load() == nil
	default:
		return false
	}
}

// Close implements io.Closer.
func (x *exchange) Close() error {
	x.finish()
	return nil
}

// finish gives the connection back, or closes it when it cannot be used again.
func (x *exchange) finish() {
	x.once.Do(func() {
		if x.sending != nil {
			_ = x.body.Close() // ends a Read that waits for the caller
		}
		x.release(x.clean && x.stream.CloseSend() == nil && x.drained() && x.limitSilence() == nil)
		if x.sending != nil {
			<-x.sending
		}
	})
}

// limitSilence sets again the limit that was lifted for the body.
func (x *exchange) limitSilence() error {
	if x.head.WholeBody {
		return nil
	}
	return wire.SetTCPUserTimeout(x.conn.Transport(), x.silence)
}

// drained reads the end of the stream, so that the connection is free.
func (x *exchange) drained() bool {
	var m wire.ForwardResponse
	return errors.Is(x.stream.MsgRecv(&m, wire.Encoding{}), io.EOF)
}

func (x *exchange) refused(m *wire.ForwardResponse) error {
	x.clean = x.sending == nil
	e := errkind.From(m.Refusal.Err())
	if e.Execution != errkind.NotRun {
		e = e.WithExecution(errkind.Unknown)
	}
	return &call.LoadError{Load: m.Load, After: m.RetryAfter, Arrived: m.Arrived, Err: e}
}

// cause returns the error of the request's body where it made err.
func (x *exchange) cause(err error) error {
	if p := x.bodyFailed.Load(); p != nil {
		return errors.Wrap(*p, "request body broke off")
	}
	return err
}

func (x *exchange) transportError(err error, what string) error {
	k := errkind.ConnectFailed
	switch {
	case x.bodyFailed.Load() != nil:
		k = errkind.Canceled
	case x.sent:
		k = errkind.UpstreamFailed
	}
	e := errkind.Wrap(x.cause(err), call.ContextErrorKind(x.ctx, k), "%s to node", what)
	if x.sent {
		return e.WithExecution(errkind.Unknown)
	}
	return e.WithExecution(errkind.NotRun)
}

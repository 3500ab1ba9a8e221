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
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// exchange is one request and its response on one connection. It implements
// io.ReadCloser as the body of the response.
type exchange struct {
	ctx            context.Context
	request        *call.Request
	head           wire.RequestHead
	body           io.ReadCloser
	conn           *drpcconn.Conn
	clock          *sendClock
	tcpUserTimeout time.Duration // that of the connection
	outlet         *Outlet
	class          link.Class
	stream         drpc.Stream
	release        func(reusable bool)
	once           sync.Once
	// mayHaveRun is set before the first byte is sent that may let the request run.
	mayHaveRun bool
	// reusable is set once the connection can be used for another request.
	reusable bool
	// bodyDone is closed once no more of the body will be sent.
	bodyDone chan struct{}
	// bodyErr is the error of a request body that could not be read or sent to its end.
	bodyErr atomic.Pointer[error]

	status        int
	contentLength int64
	received      int64
	unread        []byte
	end           *wire.ResponseEnd
	load          *wire.Load
	readErr       error
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
	// With an inline body, the request may run as soon as the head arrives.
	x.mayHaveRun = x.head.WholeBody
	x.outlet.c.Link.Small(len(x.head.Body))
	x.head.SendClock, x.head.SentAt = x.clock.now()
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
		return x.refusalError(&m)
	}
	if !m.Admitted {
		return errkind.New(errkind.UpstreamFailed, "owner node answered before it admitted the request")
	}
	if x.request.OnAdmitted != nil {
		if err := x.request.OnAdmitted(); err != nil {
			return err
		}
	}
	x.mayHaveRun = true
	return nil
}

// sendBody streams the body in the background, so that an upstream may respond
// before it has read the whole body.
func (x *exchange) sendBody() {
	x.bodyDone = make(chan struct{})
	go func() {
		defer close(x.bodyDone)
		l := x.outlet.c.Link
		f := l.Open(x.class, x.head.ContentLength)
		defer f.Close()
		b := make([]byte, l.PieceBytes(call.ChunkBytes))
		for {
			n, err := x.body.Read(b)
			end := call.IsEOF(err)
			if err != nil && !end {
				x.bodyErr.Store(&err)
				x.stream.Close() // the upstream must not treat a cut-off body as complete
				return
			}
			if n > 0 {
				err := f.Acquire(x.stream.Context(), n)
				if errors.Is(err, link.ErrTooLate) {
					err = errkind.Wrap(err, errkind.DeadlineExceeded, "request body waited for the link")
					x.bodyErr.Store(&err)
					x.stream.Close()
				}
				if err != nil {
					return // the request has ended
				}
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
			return nil, x.refusalError(&m)
		}
		return nil, errkind.New(errkind.UpstreamFailed, "owner node sent no answer head")
	}
	if m.Head.RequestID != x.head.RequestID {
		return nil, errkind.New(errkind.UpstreamFailed, "answer belongs to request %q", m.Head.RequestID)
	}
	x.status, x.contentLength = m.Head.Status, m.Head.ContentLength
	x.handleMessage(&m)
	return &call.Response{Head: *m.Head, Body: x, Trailer: x.trailer, Load: func() *wire.Load { return x.load }}, nil
}

func (x *exchange) trailer() map[string][]string {
	if x.end == nil {
		return nil
	}
	return x.end.Trailer
}

// handleMessage stores the content of m that belongs to the response body.
func (x *exchange) handleMessage(m *wire.ForwardResponse) {
	x.unread = m.Chunk
	x.received += int64(len(m.Chunk))
	if m.Load != nil {
		x.load = m.Load
	}
	switch {
	case m.Refusal != nil:
		x.readErr = errkind.From(m.Refusal.Err()).WithExecution(errkind.Unknown) // the upstream has responded
	case m.End != nil && (m.End.RequestID != x.head.RequestID || m.End.Bytes != x.received || !x.complete()):
		x.readErr = errkind.New(errkind.AnswerIncomplete, "answer ended after %d of %d bytes", x.received, max(m.End.Bytes, x.contentLength))
	case m.End != nil:
		x.end = m.End
	}
}

// complete reports whether the body has the length stated in the response head.
func (x *exchange) complete() bool {
	if x.contentLength < 0 || x.head.Method == http.MethodHead || x.status == http.StatusNotModified {
		return true
	}
	return x.received == x.contentLength
}

// Read implements io.Reader for the response body.
func (x *exchange) Read(b []byte) (int, error) {
	for len(x.unread) == 0 {
		if x.readErr != nil {
			return 0, x.readErr
		}
		if x.end != nil {
			x.reusable = !x.end.BodyLeft && x.bodySent()
			return 0, io.EOF
		}
		var m wire.ForwardResponse
		if err := x.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
			x.readErr = errkind.Wrap(x.cause(err), call.ContextErrorKind(x.ctx, errkind.AnswerIncomplete), "answer cut off after %d bytes", x.received).
				WithExecution(errkind.Unknown)
			return 0, x.readErr
		}
		x.handleMessage(&m)
	}
	n := copy(b, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

// bodySent reports whether the request body was sent completely.
func (x *exchange) bodySent() bool {
	if x.bodyDone == nil {
		return true
	}
	select {
	case <-x.bodyDone:
		return x.bodyErr.Load() == nil
	default:
		return false
	}
}

// Close implements io.Closer.
func (x *exchange) Close() error {
	x.finish()
	return nil
}

// finish returns the connection to the pool, or closes it if it cannot be reused.
func (x *exchange) finish() {
	x.once.Do(func() {
		if x.bodyDone != nil {
			_ = x.body.Close() // unblocks a Read that waits for the caller
		}
		x.release(x.reusable && x.stream.CloseSend() == nil && x.drain() && x.restoreTCPUserTimeout() == nil)
		if x.bodyDone != nil {
			<-x.bodyDone
		}
	})
}

// restoreTCPUserTimeout sets the timeout again that was lifted for a streamed body.
func (x *exchange) restoreTCPUserTimeout() error {
	if x.head.WholeBody {
		return nil
	}
	return wire.SetTCPUserTimeout(x.conn.Transport(), x.tcpUserTimeout)
}

// drain reads the end of the stream, so that the connection can be reused, and
// reports whether it found that end.
func (x *exchange) drain() bool {
	var m wire.ForwardResponse
	return errors.Is(x.stream.MsgRecv(&m, wire.Encoding{}), io.EOF)
}

func (x *exchange) refusalError(m *wire.ForwardResponse) error {
	x.reusable = x.bodyDone == nil
	e := errkind.From(m.Refusal.Err())
	if e.Execution != errkind.NotRun {
		e = e.WithExecution(errkind.Unknown)
	}
	return &call.LoadError{Load: m.Load, After: m.RetryAfter, Arrived: m.Arrived, Err: e}
}

// cause returns the error of the request body if that caused err, and err otherwise.
func (x *exchange) cause(err error) error {
	if p := x.bodyErr.Load(); p != nil {
		if errors.Is(*p, link.ErrTooLate) {
			return *p
		}
		return errors.Wrap(*p, "read request body")
	}
	return err
}

func (x *exchange) transportError(err error, what string) error {
	k := errkind.ConnectFailed
	switch {
	case x.bodyErr.Load() != nil:
		k = errkind.Canceled
		if errors.Is(*x.bodyErr.Load(), link.ErrTooLate) {
			k = errkind.DeadlineExceeded
		}
	case x.mayHaveRun:
		k = errkind.UpstreamFailed
	}
	e := errkind.Wrap(x.cause(err), call.ContextErrorKind(x.ctx, k), "%s to node", what)
	if x.mayHaveRun {
		return e.WithExecution(errkind.Unknown)
	}
	return e.WithExecution(errkind.NotRun)
}

package peer

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Client calls other nodes.
type Client struct {
	pool *wire.Pool
}

// NewClient returns a Client that connects with d.
func NewClient(d wire.Dialer) *Client { return &Client{pool: wire.NewPool(d)} }

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call sends r to the owner node at address.
func (c *Client) Call(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	conn, err := c.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	x := &exchange{request: r, conn: conn, release: func(clean bool) { c.pool.Put(address, conn, clean) }}
	a, err := x.start(ctx)
	if err != nil {
		x.finish(x.clean)
		return nil, err
	}
	return a, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	request *call.Request
	conn    *drpcconn.Conn
	stream  drpc.Stream
	release func(clean bool)
	once    sync.Once
	// sent is set before the first byte that may let the request run.
	sent bool
	// clean is set when the connection can carry another request.
	clean    bool
	ended    bool
	received int64
	rest     []byte
	sending  chan struct{}
	end      *wire.ResponseEnd
	load     *wire.Load
	failed   error
}

func (x *exchange) start(ctx context.Context) (*call.Response, error) {
	s, err := x.conn.NewStream(ctx, wire.MethodForward, wire.Encoding{})
	if err != nil {
		return nil, x.transportError(err, "open stream")
	}
	x.stream = s
	// A whole body may run as soon as the head arrives.
	x.sent = x.request.WholeBody
	if err := s.MsgSend(&wire.ForwardRequest{Head: &x.request.RequestHead}, wire.Encoding{}); err != nil {
		return nil, x.transportError(err, "send request")
	}
	if !x.request.WholeBody {
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
	x.sent = true
	if x.request.Admitted != nil {
		return x.request.Admitted()
	}
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
			n, err := x.request.Stream.Read(b)
			end := err == io.EOF
			if err != nil && !end {
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
	if m.Head.RequestID != x.request.RequestID {
		return nil, errkind.New(errkind.UpstreamFailed, "answer belongs to request %s", m.Head.RequestID)
	}
	x.take(&m)
	return &call.Response{
		Head: *m.Head,
		Body: x,
		Trailer: func() map[string][]string {
			if x.end == nil {
				return nil
			}
			return x.end.Trailer
		},
		Load: func() *wire.Load { return x.load },
	}, nil
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
		x.failed = m.Refusal.Err()
	case m.End != nil && (m.End.RequestID != x.request.RequestID || m.End.Bytes != x.received):
		x.failed = errkind.New(errkind.AnswerIncomplete, "answer ended after %d of %d bytes", x.received, m.End.Bytes)
	case m.End != nil:
		x.end, x.ended = m.End, true
	}
}

// Read implements io.Reader for the answer's body.
func (x *exchange) Read(b []byte) (int, error) {
	for len(x.rest) == 0 {
		if x.failed != nil {
			return 0, x.failed
		}
		if x.ended {
			x.clean = x.bodySent()
			return 0, io.EOF
		}
		var m wire.ForwardResponse
		if err := x.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
			x.failed = errkind.Wrap(err, errkind.AnswerIncomplete, "answer cut off after %d bytes", x.received)
			return 0, x.failed
		}
		x.take(&m)
	}
	n := copy(b, x.rest)
	x.rest = x.rest[n:]
	return n, nil
}

// bodySent reports whether the request body was sent whole.
func (x *exchange) bodySent() bool {
	if x.sending == nil {
		return true
	}
	select {
	case <-x.sending:
		return true
	default:
		return false
	}
}

// Close implements io.Closer.
func (x *exchange) Close() error {
	x.finish(x.clean)
	return nil
}

func (x *exchange) finish(clean bool) {
	x.once.Do(func() {
		if x.stream != nil && clean {
			clean = x.stream.CloseSend() == nil && x.drained()
		}
		x.release(clean)
		if x.sending != nil && !clean {
			// The caller's body must not be read after its handler returned.
			<-x.sending
		}
	})
}

// drained reads the end of the stream, so that the connection is free.
func (x *exchange) drained() bool {
	var m wire.ForwardResponse
	return errors.Is(x.stream.MsgRecv(&m, wire.Encoding{}), io.EOF)
}

func (x *exchange) refused(m *wire.ForwardResponse) error {
	x.clean = x.sending == nil
	return &call.LoadError{Load: m.Load, Err: m.Refusal.Err()}
}

func (x *exchange) transportError(err error, what string) error {
	k := errkind.ConnectFailed
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		k = errkind.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		k = errkind.Canceled
	case x.sent:
		k = errkind.UpstreamFailed
	}
	e := errkind.Wrap(err, k, "%s to node", what)
	if x.sent {
		return e.WithExecution(errkind.Unknown)
	}
	return e.WithExecution(errkind.NotRun)
}

package wire

import (
	"context"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// softCancelGrace is the time that a message being written gets to finish, so that
	// canceling a call does not close its connection.
	softCancelGrace = 5 * time.Millisecond
	// keepAlive is the TCP keepalive interval. It detects a peer that went away without
	// closing the connection.
	keepAlive = 5 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes + 1<<10},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// StreamHandler serves one stream. The stream ends when it returns.
type StreamHandler func(s drpc.Stream) error

// Mux dispatches methods to handlers. Register all handlers before Serve.
type Mux struct{ handlers map[string]StreamHandler }

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: map[string]StreamHandler{}} }

// HandleStream registers h for method.
func (m *Mux) HandleStream(method string, h StreamHandler) { m.handlers[method] = h }

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(s drpc.Stream, method string) error {
	h, ok := m.handlers[method]
	if !ok {
		return errors.Errorf("unknown method %q", method)
	}
	return h(s)
}

// Response wraps the response of a unary method: either Fault or Value is set.
type Response[T any] struct {
	Fault *Fault `cbor:"1,keyasint,omitempty"`
	Value *T     `cbor:"2,keyasint,omitempty"`
}

// HandleUnary registers f as the handler of a unary method.
func HandleUnary[Q, A any](m *Mux, method string, f func(ctx context.Context, q *Q) (*A, error)) {
	m.HandleStream(method, func(s drpc.Stream) error {
		var q Q
		if err := s.MsgRecv(&q, Encoding{}); err != nil {
			return err
		}
		a, err := f(s.Context(), &q)
		return s.MsgSend(&Response[A]{Fault: NewFault(err), Value: a}, Encoding{})
	})
}

// Call invokes a unary method. A transport error has kind Unreachable, and it is unknown
// whether the call ran.
func Call[Q, A any](ctx context.Context, c drpc.Conn, method string, q *Q) (*A, error) {
	var r Response[A]
	if err := c.Invoke(ctx, method, Encoding{}, q, &r); err != nil {
		return nil, errkind.Wrap(err, errkind.Unreachable, "call %s", method)
	}
	if r.Fault != nil {
		return nil, r.Fault.Err()
	}
	if r.Value == nil {
		return nil, errkind.New(errkind.Internal, "response of %s has no value", method)
	}
	return r.Value, nil
}

// ServeOptions are the options of Serve.
type ServeOptions struct {
	Log logr.Logger
	// MaxConnections limits the number of open connections; zero means no limit.
	MaxConnections int
	// Budget bounds the incomplete messages of all connections; nil means no bound.
	Budget *budget.Budget
}

// Serve handles calls on l until ctx is done. It closes l.
func Serve(ctx context.Context, l net.Listener, m *Mux, o ServeOptions) error {
	if o.MaxConnections > 0 {
		l = LimitListener(l, o.MaxConnections)
	}
	if o.Budget != nil {
		l = guardMessages(l, o.Budget)
	}
	s := drpcserver.NewWithOptions(m, drpcserver.Options{
		Manager: managerOptions(),
		Log: func(err error) {
			l := o.Log.V(1)
			if drpc.ProtocolError.Has(err) {
				l = o.Log // a faulty peer, or one that speaks another protocol
			}
			if ctx.Err() == nil {
				l.Info("inner connection ended", "cause", err.Error())
			}
		},
	})
	return s.Serve(ctx, l)
}

// Dialer opens transport connections. Tests replace it with one that connects in memory.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer used outside tests. It connects over TCP with keepalive.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

// NewConn returns a drpc client connection over c.
func NewConn(c net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: managerOptions()})
}

// Dial opens a drpc client connection.
func Dial(ctx context.Context, d Dialer, address string) (*drpcconn.Conn, error) {
	c, err := d(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.ConnectFailed, "connect to %s", address)
	}
	return NewConn(c), nil
}

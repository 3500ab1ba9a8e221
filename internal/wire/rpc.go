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

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// softCancelGrace lets a message that is being written finish, so that a
	// canceled call keeps its connection.
	softCancelGrace = 5 * time.Millisecond
	// keepAlive detects a peer that vanished without closing.
	keepAlive = 5 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes + 1<<10},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// StreamHandler serves one stream until it returns.
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

// Response wraps the answer of a unary method.
type Response[T any] struct {
	Fault *Fault `cbor:"1,keyasint,omitempty"`
	Value *T     `cbor:"2,keyasint,omitempty"`
}

// HandleUnary registers f for method.
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

// Call invokes a unary method. An error of the transport has kind Unreachable
// and leaves the execution unknown.
func Call[Q, A any](ctx context.Context, c drpc.Conn, method string, q *Q) (*A, error) {
	var r Response[A]
	if err := c.Invoke(ctx, method, Encoding{}, q, &r); err != nil {
		return nil, errkind.Wrap(err, errkind.Unreachable, "call %s", method)
	}
	if r.Fault != nil {
		return nil, r.Fault.Err()
	}
	if r.Value == nil {
		return nil, errkind.New(errkind.Internal, "%s answered without a value", method)
	}
	return r.Value, nil
}

// ServeOptions tunes Serve.
type ServeOptions struct {
	Log logr.Logger
	// MaxConnections bounds open connections; zero means no bound.
	MaxConnections int
}

// Serve answers calls on l until ctx ends. It closes l.
func Serve(ctx context.Context, l net.Listener, m *Mux, o ServeOptions) error {
	if o.MaxConnections > 0 {
		l = LimitListener(l, o.MaxConnections)
	}
	s := drpcserver.NewWithOptions(m, drpcserver.Options{
		Manager: managerOptions(),
		Log: func(err error) {
			l := o.Log.V(1)
			if drpc.ProtocolError.Has(err) {
				l = o.Log // a broken peer, or none of ours
			}
			if ctx.Err() == nil {
				l.Info("inner connection ended", "cause", err.Error())
			}
		},
	})
	return s.Serve(ctx, l)
}

// Dialer opens transport connections; tests replace it by one in memory.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer of real processes.
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

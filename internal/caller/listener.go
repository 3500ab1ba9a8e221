package caller

import (
	"net"
	"sync"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// NewListener wraps l for a server of NewServer with the handler h. It closes connections
// beyond limit at once. Requests that are pipelined on a connection are accepted as
// connections of their own.
func NewListener(l net.Listener, limit int, h *Handler) net.Listener {
	k := &listener{
		Listener:  wire.LimitListener(l, limit),
		h:         h,
		accepted:  make(chan accepted),
		pipelined: make(chan *pipelinedConn),
		closed:    make(chan struct{}),
	}
	go func() {
		for {
			c, err := k.Listener.Accept()
			select {
			case k.accepted <- accepted{c, err}:
			case <-k.closed:
				if err == nil {
					c.Close()
				}
				return
			}
		}
	}()
	return k
}

type listener struct {
	net.Listener
	h         *Handler
	accepted  chan accepted
	pipelined chan *pipelinedConn
	closeOnce sync.Once
	closed    chan struct{}
}

// accepted is a result of net.Listener.Accept.
type accepted struct {
	c   net.Conn
	err error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.pipelined:
		return c, nil
	case a := <-l.accepted:
		if a.err != nil {
			return nil, a.err
		}
		return newConn(a.c, l), nil
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// serve passes c to the server and reports whether the server took it.
func (l *listener) serve(c *pipelinedConn) bool {
	select {
	case l.pipelined <- c:
		return true
	case <-l.closed:
		return false
	}
}

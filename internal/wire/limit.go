package wire

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// LimitByDescriptors returns n or, if that is less, the given share of the descriptors
// that the process may open, so that the connections to one port leave descriptors for
// the others.
func LimitByDescriptors(n int, share float64) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || float64(r.Cur)*share >= float64(n) {
		return n
	}
	return max(1, int(float64(r.Cur)*share))
}

// LimitListener returns a listener that keeps at most n connections open. It closes
// further ones immediately, so that a flood of connections cannot exhaust file
// descriptors.
func LimitListener(l net.Listener, n int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n)}
}

type limitListener struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			c.Close()
		}
	}
}

type limitConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *limitConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side. net/http calls it before it drains a connection.
func (c *limitConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

package standin

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Network is an in-memory network, for tests with a fake clock and for tests of
// broken connections.
type Network struct {
	// Wrap, if set, replaces the dialing side of each new connection.
	Wrap func(address string, c net.Conn) net.Conn

	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns a listener at address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Wrap(syscall.EADDRINUSE, address)
	}
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the listener at address. It implements wire.Dialer.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Wrap(syscall.ECONNREFUSED, address)
	}
	toA, fromB := net.Pipe()
	toB, fromA := net.Pipe()
	a := net.Conn(&conn{toA, fromA})
	select {
	case l.conns <- &conn{toB, fromB}:
	case <-l.closed:
		return nil, errors.Wrap(syscall.ECONNREFUSED, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if n.Wrap != nil {
		return n.Wrap(address, a), nil
	}
	return a, nil
}

// conn is one side of a connection whose directions can be closed separately.
type conn struct {
	net.Conn // the reading side
	w        net.Conn
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.w.Write(p) }

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error { return c.w.Close() }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.w.Close()
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.w.SetDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.w.SetWriteDeadline(t) }

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

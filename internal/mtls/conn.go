package mtls

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	// handshakeLimit bounds one handshake, which takes two round trips and about
	// a millisecond of CPU at each end.
	handshakeLimit = 3 * time.Second
	// maxHandshakes bounds the connections whose other end is not known yet.
	maxHandshakes = 1024
)

// conn closes at once. The alert that tls.Conn sends before would wait for
// seconds on a connection that a silent partition cuts; inner messages show by
// themselves whether they are complete.
type conn struct {
	*tls.Conn
	raw net.Conn
}

// Close implements net.Conn.
func (c *conn) Close() error { return c.raw.Close() }

// Dialer returns a Dialer that connects with d and then proves both ends. The
// host of the address must be a name of the other end's certificate.
func (i *Identity) Dialer(d wire.Dialer) wire.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := d(ctx, address)
		if err != nil {
			return nil, err
		}
		host, _ := hostOf(address)
		c := tls.Client(raw, i.state().client(host))
		if err := handshake(ctx, c); err != nil {
			raw.Close()
			return nil, errors.Wrap(err, "TLS")
		}
		return &conn{Conn: c, raw: raw}, nil
	}
}

func handshake(ctx context.Context, c *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeLimit)
	defer cancel()
	return c.HandshakeContext(ctx)
}

// ServerListener returns a listener of TLS connections from clients without a
// certificate. The handshake is that of the HTTP server that reads from them.
func (i *Identity) ServerListener(l net.Listener) net.Listener {
	return &serverListener{Listener: l, identity: i}
}

type serverListener struct {
	net.Listener
	identity *Identity
}

// Accept implements net.Listener.
func (l *serverListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tls.Server(c, l.identity.state().server(tls.NoClientCert)), nil
}

// Listener returns a listener of connections whose other end has proven a
// certificate of the authority. It closes all others.
func (i *Identity) Listener(l net.Listener) net.Listener {
	ctx, cancel := context.WithCancel(context.Background())
	m := &listener{
		Listener: l, identity: i, ctx: ctx, cancel: cancel,
		accepted: make(chan accepted), slots: make(chan struct{}, maxHandshakes),
	}
	go m.run()
	return m
}

type listener struct {
	net.Listener
	identity *Identity
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	accepted chan accepted
	slots    chan struct{}
}

type accepted struct {
	conn net.Conn
	err  error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case a := <-l.accepted:
		return a.conn, a.err
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// run accepts connections, and proves each in a goroutine of its own, so that a
// slow one holds up no other.
func (l *listener) run() {
	for {
		select {
		case l.slots <- struct{}{}:
		case <-l.ctx.Done():
			return
		}
		c, err := l.Listener.Accept()
		if err != nil {
			<-l.slots
			if !l.deliver(accepted{err: err}) {
				return
			}
			continue
		}
		go func() {
			defer func() { <-l.slots }()
			l.prove(c)
		}()
	}
}

func (l *listener) prove(raw net.Conn) {
	c := tls.Server(raw, l.identity.state().server(tls.RequireAndVerifyClientCert))
	if err := handshake(l.ctx, c); err != nil {
		raw.Close()
		l.identity.c.Log.Info("connection refused", "remote", raw.RemoteAddr().String(), "reason", err.Error())
		return
	}
	if !l.deliver(accepted{conn: &conn{Conn: c, raw: raw}}) {
		raw.Close()
	}
}

// deliver reports whether Accept took a.
func (l *listener) deliver(a accepted) bool {
	select {
	case l.accepted <- a:
		return true
	case <-l.ctx.Done():
		return false
	}
}

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
	// handshakeTimeout bounds one handshake, which takes two round trips and about a
	// millisecond of CPU time at each end.
	handshakeTimeout = 3 * time.Second
	// maxHandshakes bounds the connections whose peer is not authenticated yet.
	maxHandshakes = 1024
)

// conn closes without sending an alert. On a connection cut by a silent partition, the
// alert that tls.Conn sends would block Close for seconds. It is not needed, because the
// messages between processes show by themselves whether they are complete.
type conn struct {
	*tls.Conn
	raw net.Conn
}

// Close implements net.Conn.
func (c *conn) Close() error { return c.raw.Close() }

// Dialer returns a Dialer that connects with d and then authenticates both ends. The
// certificate of the called end must name the host of the address.
func (i *Identity) Dialer(d wire.Dialer) wire.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := d(ctx, address)
		if err != nil {
			return nil, err
		}
		host, _ := hostOf(address)
		c := tls.Client(raw, i.state().clientConfig(host))
		if err := handshake(ctx, c); err != nil {
			raw.Close()
			return nil, errors.Wrap(err, "TLS")
		}
		return &conn{Conn: c, raw: raw}, nil
	}
}

func handshake(ctx context.Context, c *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return c.HandshakeContext(ctx)
}

// ServerListener returns a listener for TLS connections from clients without a
// certificate. The handshake is done when the HTTP server first reads from one.
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
	return tls.Server(c, l.identity.state().serverConfig(tls.NoClientCert)), nil
}

// Listener returns a listener that accepts only connections whose client has
// authenticated itself with a certificate of the authority. It closes all others.
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
	ctx      context.Context // canceled by Close
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

// run accepts connections and authenticates each in a goroutine of its own, so that a
// slow handshake does not delay other connections.
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
			l.authenticate(c)
		}()
	}
}

func (l *listener) authenticate(raw net.Conn) {
	c := tls.Server(raw, l.identity.state().serverConfig(tls.RequireAndVerifyClientCert))
	if err := handshake(l.ctx, c); err != nil {
		raw.Close()
		l.identity.c.Log.Info("connection refused", "remote", raw.RemoteAddr().String(), "reason", err.Error())
		return
	}
	if !l.deliver(accepted{conn: &conn{Conn: c, raw: raw}}) {
		raw.Close()
	}
}

// deliver passes a to Accept. It returns false if the listener was closed first.
func (l *listener) deliver(a accepted) bool {
	select {
	case l.accepted <- a:
		return true
	case <-l.ctx.Done():
		return false
	}
}

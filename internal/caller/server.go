package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	// MaxConnections bounds the connections of callers at one node.
	MaxConnections = 4096
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 5 * time.Minute
	// maxStreams bounds the requests under way on one HTTP/2 connection.
	maxStreams = 128
	// streamBuffer and connBuffer bound the unread body bytes that one HTTP/2
	// stream and one connection hold in memory.
	streamBuffer = 256 << 10
	connBuffer   = 1 << 20
	// lingerTime is how long a connection whose request body was not read to
	// its end is drained, so that the caller can read the answer before a reset
	// discards it.
	lingerTime = 2 * time.Second
)

// NewServer returns an HTTP server for h that speaks HTTP/1.1 and clear-text
// HTTP/2. Serve it on a listener from Listen.
func NewServer(h http.Handler) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerStream:     streamBuffer,
			MaxReceiveBufferPerConnection: connBuffer,
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// NewListener wraps l for NewServer and closes connections beyond limit at once.
func NewListener(l net.Listener, limit int) net.Listener {
	return &listener{wire.LimitListener(l, limit)}
}

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// connKey finds the conn of a request in its context.
type connKey struct{}

// conn is a caller's connection whose reading can end, for good, while the
// answer is still being written.
type conn struct {
	net.Conn
	stopped atomic.Bool
}

// stopReading ends a Read that is under way.
func (c *conn) stopReading() {
	c.stopped.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// CloseWrite closes the sending side, which net/http does before it drains a
// connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return http.ErrNotSupported
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.stopped.Load() || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
		_, _ = io.Copy(io.Discard, c.Conn)                // ends with the deadline or the caller's close
		c.Conn.Close()
	}()
	return nil
}

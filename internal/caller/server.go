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
	// maxStreams bounds the concurrent requests on one HTTP/2 connection.
	maxStreams = 128
	// streamBuffer and connBuffer bound the unread body bytes that are buffered for one
	// HTTP/2 stream and one connection.
	streamBuffer = 256 << 10
	connBuffer   = 1 << 20
	// lingerTime is how long a connection is drained whose request body was not read
	// to its end, so that the caller can read the response before a reset discards it.
	lingerTime = 2 * time.Second
)

// NewServer returns a server for h that supports HTTP/1.1 and cleartext HTTP/2. Its
// listener must be made by NewListener.
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

// NewListener wraps l for a server of NewServer. It closes connections beyond limit at
// once.
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

// connKey is the context key for the conn of a request.
type connKey struct{}

// conn is a caller's connection on which reading can be stopped for good while the
// response is still being written.
type conn struct {
	net.Conn
	stopped atomic.Bool
}

// stopReading unblocks a pending Read and makes later ones fail.
func (c *conn) stopReading() {
	c.stopped.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// CloseWrite closes the write side. net/http calls it before it drains a connection.
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
		_, _ = io.Copy(io.Discard, c.Conn)                // ends at the deadline or when the caller closes
		c.Conn.Close()
	}()
	return nil
}

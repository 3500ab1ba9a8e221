package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 5 * time.Minute
	// maxStreams bounds the concurrent requests on one HTTP/2 connection.
	maxStreams = 128
	// streamBuffer and connBuffer bound the unread body bytes that are buffered for one
	// HTTP/2 stream and one connection.
	streamBuffer = 256 << 10
	connBuffer   = 1 << 20
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
		MaxHeaderBytes:    maxConfiguredHeaderBytes, // conn applies the limit in force
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
		ConnState: func(c net.Conn, s http.ConnState) {
			if k, ok := c.(*conn); ok && s == http.StateActive {
				k.headComplete()
			}
			if a, ok := c.(interface{ answered() }); ok && s == http.StateIdle {
				a.answered()
			}
		},
	}
}

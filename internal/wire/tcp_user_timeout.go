package wire

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeoutOption is TCP_USER_TIMEOUT on Linux, which package syscall does not
// define.
const tcpUserTimeoutOption = 18

const (
	// RequestTCPUserTimeout is the TCP user timeout of connections that carry requests.
	// It allows for one retransmission and leaves time to try another process within
	// usual latency targets.
	RequestTCPUserTimeout = 500 * time.Millisecond
	// linkBacklog is the number of bytes that may be queued on a link ahead of a packet.
	// The timeout is extended by the time that a link needs to transmit them.
	linkBacklog = 1 << 20
)

// LinkTCPUserTimeout returns the TCP user timeout for requests that cross a link of the
// given rate. Zero means that the rate is unknown.
func LinkTCPUserTimeout(linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return RequestTCPUserTimeout
	}
	return RequestTCPUserTimeout + time.Duration(8*linkBacklog/(linkMbps*1e6)*float64(time.Second))
}

// WithTCPUserTimeout returns a Dialer whose connections fail when the peer does not
// acknowledge sent data within limit. Without it, a request to a process that went away
// without a reset or is behind a network partition would wait until its deadline. limit
// also applies to establishing the connection.
//
// The timeout also expires while the peer does not read. SetTCPUserTimeout can disable it
// for transfers that may pause.
func WithTCPUserTimeout(d Dialer, limit time.Duration) Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		c, err := d(ctx, address)
		if err != nil {
			return nil, err
		}
		if err := SetTCPUserTimeout(c, limit); err != nil {
			c.Close()
			return nil, err
		}
		return c, nil
	}
}

// SetTCPUserTimeout sets how long the peer of c may leave sent data unacknowledged;
// zero disables the timeout. It does nothing on connections other than TCP.
func SetTCPUserTimeout(c any, limit time.Duration) error {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		return SetTCPUserTimeout(t.NetConn(), limit)
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	s, err := t.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var failed error
	if err := s.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(limit.Milliseconds()))
	}); err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(failed, "set TCP_USER_TIMEOUT")
}

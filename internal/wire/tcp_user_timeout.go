package wire

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not
// name.
const tcpUserTimeout = 18

const (
	// RequestTCPUserTimeout is the limit on the way of a request. It leaves room for one
	// retransmission, and time to try another process within usual targets.
	RequestTCPUserTimeout = 500 * time.Millisecond
	// linkBacklog is what may wait for a link before a packet. On a thin link the
	// limit is longer by the time that it takes.
	linkBacklog = 1 << 20
)

// LinkTCPUserTimeout is the limit for requests that cross a link of the given rate; zero
// stands for an unknown one.
func LinkTCPUserTimeout(linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return RequestTCPUserTimeout
	}
	return RequestTCPUserTimeout + time.Duration(8*linkBacklog/(linkMbps*1e6)*float64(time.Second))
}

// WithTCPUserTimeout returns a Dialer whose connections fail when the peer does not
// acknowledge what was sent within limit. Without it a request to a process that
// has vanished without a reset, or behind a partition, waits for its deadline. A
// peer must also accept the connection within limit.
//
// The limit counts while a peer does not read, too. LimitSilence lifts it for
// transfers that may pause.
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
// zero lifts the limit. It does nothing on connections other than TCP.
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
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	}); err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(failed, "limit the silence of a peer")
}

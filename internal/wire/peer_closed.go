package wire

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ClosePollInterval is how often PeerClosed is asked while a request waits. A request is
// withdrawn within half a second after its sender has left.
const ClosePollInterval = 100 * time.Millisecond

// PeerClosed reports whether the peer of c has closed the connection or its sending side,
// even if bytes that it sent before have not been read: a Read would return these first.
// It always returns false on connections other than TCP.
func PeerClosed(c any) bool {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // a wrapped connection
		return PeerClosed(t.NetConn())
	}
	t, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	s, err := t.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = s.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		closed = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed // an error means that c was closed on this side
}

// WatchPeerClosed calls left once if the peer of c closes the connection before the
// returned function is called.
func WatchPeerClosed(c any, left func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(ClosePollInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				if PeerClosed(c) {
					left()
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

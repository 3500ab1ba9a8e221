package wire

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// listenWithoutReading returns the address of a listener on loopback that accepts
// connections and never reads from them.
func listenWithoutReading(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan []net.Conn)
	go func() {
		var k []net.Conn
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			k = append(k, c)
		}
		done <- k
	}()
	t.Cleanup(func() {
		l.Close()
		for _, c := range <-done {
			c.Close()
		}
	})
	return l.Addr().String()
}

// writeUntilError writes to c until a write fails, and returns its error.
func writeUntilError(c net.Conn) error {
	b := make([]byte, 1<<20)
	for {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
}

// Without a TCP user timeout, a request to a peer that does not read would wait until its
// deadline. The timeout must be disabled for bodies that may pause.
func TestTCPUserTimeout(t *testing.T) {
	const limit = 100 * time.Millisecond
	for name, c := range map[string]struct {
		disable  bool
		deadline time.Duration
		want     bool // whether the write fails by the timeout and not by the deadline
	}{
		"limited":  {false, 20 * time.Second, true},
		"disabled": {true, 10 * limit, false},
	} {
		t.Run(name, func(t *testing.T) {
			k, err := WithTCPUserTimeout(DialTCP, limit)(t.Context(), listenWithoutReading(t))
			if err != nil {
				t.Fatal(err)
			}
			defer k.Close()
			if c.disable {
				if err := SetTCPUserTimeout(k, 0); err != nil {
					t.Fatal(err)
				}
			}
			if err := k.SetWriteDeadline(time.Now().Add(c.deadline)); err != nil {
				t.Fatal(err)
			}
			if err := writeUntilError(k); errors.Is(err, syscall.ETIMEDOUT) != c.want {
				t.Errorf("got %v, want ETIMEDOUT: %v", err, c.want)
			}
		})
	}
}

// A slow link with a long queue must not cause a timeout although the peer is alive.
func TestLinkTCPUserTimeout(t *testing.T) {
	for mbps, want := range map[float64]time.Duration{
		0: RequestTCPUserTimeout, 8.388608: RequestTCPUserTimeout + time.Second, 8388.608: RequestTCPUserTimeout + time.Millisecond,
	} {
		if got := LinkTCPUserTimeout(mbps); got != want {
			t.Errorf("%v Mbit/s: got %v, want %v", mbps, got, want)
		}
	}
}

// A dial that is not accepted must fail within the limit, so that the request has time
// left to try another process.
func TestDialTimeout(t *testing.T) {
	never := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := WithTCPUserTimeout(never, time.Millisecond)(t.Context(), "u:80"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
	}
}

package wire

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// mute listens on loopback and reads nothing from its connections.
func mute(t *testing.T) string {
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

// fill writes to c until it fails.
func fill(c net.Conn) error {
	b := make([]byte, 1<<20)
	for {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
}

// Guards that a connection fails whose peer takes nothing, instead of holding its
// request until the deadline, and that the limit can be lifted for bodies that
// pause.
func TestSilenceLimit(t *testing.T) {
	const limit = 100 * time.Millisecond
	for name, c := range map[string]struct {
		lift     bool
		deadline time.Duration
		want     bool // whether the limit ends the writing, and not the deadline
	}{
		"limited": {false, 20 * time.Second, true},
		"lifted":  {true, 10 * limit, false},
	} {
		t.Run(name, func(t *testing.T) {
			k, err := WithTCPUserTimeout(DialTCP, limit)(t.Context(), mute(t))
			if err != nil {
				t.Fatal(err)
			}
			defer k.Close()
			if c.lift {
				if err := SetTCPUserTimeout(k, 0); err != nil {
					t.Fatal(err)
				}
			}
			if err := k.SetWriteDeadline(time.Now().Add(c.deadline)); err != nil {
				t.Fatal(err)
			}
			if err := fill(k); errors.Is(err, syscall.ETIMEDOUT) != c.want {
				t.Errorf("got %v, want ETIMEDOUT: %v", err, c.want)
			}
		})
	}
}

// Guards that a thin link whose queue is long does not pass for a silent peer.
func TestLinkSilence(t *testing.T) {
	for mbps, want := range map[float64]time.Duration{
		0: RequestTCPUserTimeout, 8.388608: RequestTCPUserTimeout + time.Second, 8388.608: RequestTCPUserTimeout + time.Millisecond,
	} {
		if got := LinkTCPUserTimeout(mbps); got != want {
			t.Errorf("%v Mbit/s: got %v, want %v", mbps, got, want)
		}
	}
}

// Guards that a connection that is not accepted within the limit is given up
// while the request has time for another process.
func TestSilentDial(t *testing.T) {
	never := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := WithTCPUserTimeout(never, time.Millisecond)(t.Context(), "u:80"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
	}
}

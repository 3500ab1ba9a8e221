package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// lateReader starts an upstream on loopback with a small receive buffer. It starts to
// read each request body after a pause.
func lateReader(t *testing.T, pause time.Duration) string {
	c := net.ListenConfig{Control: func(_, _ string, r syscall.RawConn) error {
		var failed error
		if err := r.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		}); err != nil {
			return err
		}
		return failed
	}}
	l, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != r.ContentLength {
			w.WriteHeader(http.StatusBadRequest)
		}
	})}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() { s.Close(); <-done })
	return l.Addr().String()
}

// Guards that an upstream that leaves a large body unread for a while is not treated as
// unreachable by the TCP user timeout.
func TestLargeBodyMayPause(t *testing.T) {
	body := bytes.Repeat([]byte("x"), call.WholeBodyBytes-1)
	for name, r := range map[string]*call.Request{
		"whole":    {RequestHead: wire.RequestHead{Body: body, WholeBody: true}},
		"streamed": {RequestHead: wire.RequestHead{ContentLength: int64(len(body))}, Stream: io.NopCloser(bytes.NewReader(body))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.Method, r.Path, r.Host = "POST", "/", "u"
			c := NewClient(lateReader(t, 3*wire.RequestTCPUserTimeout), wire.WithTCPUserTimeout(wire.DialTCP, wire.RequestTCPUserTimeout), nil)
			defer c.SetKeepAlive(false)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			a, err := c.Do(ctx, r)
			if err != nil {
				t.Fatalf("got %v, want an answer", err)
			}
			defer a.Body.Close()
			if got, want := a.Head.Status, http.StatusOK; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
		})
	}
}

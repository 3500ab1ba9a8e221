package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// waitingRouter keeps each request until it is canceled or its deadline passes, and
// reports which of both ended it.
type waitingRouter struct {
	started chan struct{}
	ended   chan error
}

func newWaitingRouter() *waitingRouter {
	return &waitingRouter{started: make(chan struct{}, 8), ended: make(chan error, 8)}
}

func (r *waitingRouter) Route(ctx context.Context, _ table.Match, _ *call.Request) (*call.Response, error) {
	r.started <- struct{}{}
	<-ctx.Done()
	r.ended <- ctx.Err()
	return nil, errkind.New(call.ContextErrorKind(ctx, errkind.Canceled), "ended while it waited").WithExecution(errkind.NotRun)
}

func (r *waitingRouter) Run(ctx context.Context, m table.Match, _ string, q *call.Request) (*call.Response, error) {
	return r.Route(ctx, m, q)
}

// listenTCP listens on a free port of the loopback interface.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// sendTo sends the bytes b over a new connection.
func sendTo(t *testing.T, l net.Listener, b string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, b); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against requests that are passed on after their caller has left: the close of
// the connection lies behind bytes that are read only once an upstream has a slot.
func TestCallerLeavesWhileRequestWaits(t *testing.T) {
	for _, tt := range []struct{ name, request string }{
		{"no body", "POST / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"small body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789"},
		{"body above the buffer", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 66000\r\n\r\n" + strings.Repeat("x", 66000)},
		{"incomplete body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 66000)},
		{"body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n101D0\r\n" + strings.Repeat("x", 66000) + "\r\n0\r\n\r\n"},
		{"body that waits for 100 Continue", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 66000\r\n\r\n"},
		{"next request behind chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"many bytes behind the request", "POST / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 90000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, r := listenTCP(t), newWaitingRouter()
			serve(t, l, 1, Config{Router: r})
			c := sendTo(t, l, strings.Replace(tt.request, "\r\n", "\r\nGooseberrypick-Deadline: 5s\r\n", 1))
			<-r.started
			c.Close()
			if got := <-r.ended; !errors.Is(got, context.Canceled) {
				t.Errorf("the request ended with %v, want it canceled", got)
			}
		})
	}
}

// Guards against uploads that are passed on after their caller has left, on connections
// that hold so little that the close is sent only once the body has been read.
func TestCallerLeavesBehindUnreadBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := standin.NewNetwork(), newWaitingRouter()
		l, _ := n.Listen("node:1")
		serve(t, l, 1, Config{Router: r})
		c, err := n.Dial(t.Context(), "node:1")
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		go func() {
			io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Deadline: 5s\r\nContent-Length: 360000\r\n\r\n"+strings.Repeat("x", 360000))
			time.Sleep(time.Second)
			c.Close()
		}()
		if got := <-r.ended; !errors.Is(got, context.Canceled) {
			t.Errorf("the request ended with %v, want it canceled", got)
		}
		if got := time.Since(start); got > 1500*time.Millisecond {
			t.Errorf("the request ended after %s, want it within half a second after the close", got)
		}
		time.Sleep(2 * lingerTime)
	})
}

// Guards against small bodies that are refused because uploads that wait are read ahead.
func TestReadAheadLeavesRoomForOtherBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := standin.NewNetwork(), newWaitingRouter()
		l, _ := n.Listen("node:1")
		serve(t, l, 2, Config{Router: r, MaxBodyBytes: 100_000})
		for _, size := range []int{90_000, 20_000} {
			c, err := n.Dial(t.Context(), "node:1")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Deadline: 5s\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			go io.Copy(io.Discard, c)
			synctest.Wait()
		}
		if got := len(r.started); got != 2 {
			t.Errorf("got %d requests started, want the upload and the small one", got)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards that a request whose caller stays is not taken for one whose caller has left.
func TestCallerStaysWhileRequestWaits(t *testing.T) {
	l, r := listenTCP(t), newWaitingRouter()
	serve(t, l, 1, Config{Router: r})
	sendTo(t, l, "POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Deadline: 1s\r\nContent-Length: 66000\r\n\r\n"+strings.Repeat("x", 66000))
	if got := <-r.ended; !errors.Is(got, context.DeadlineExceeded) {
		t.Errorf("the request ended with %v, want its deadline", got)
	}
}

// Guards against requests that start after their caller has left.
func TestNoRequestStartsAfterCallerLeft(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Deadline: 5s\r\n\r\n"
	for _, tt := range []struct {
		name, requests string
		// waits is whether the caller leaves only once the first request has started.
		waits bool
		want  int
	}{
		{"close arrived before the request was read", request, false, 0},
		{"requests were read ahead while the first one waited", strings.Repeat(request, 4), true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, r := listenTCP(t), newWaitingRouter()
			c := sendTo(t, l, tt.requests)
			if !tt.waits {
				c.Close()
			}
			serve(t, l, 1, Config{Router: r})
			started := 0
			if tt.waits {
				<-r.started
				started++
				c.Close()
				<-r.ended
			}
			time.Sleep(5 * wire.ClosePollInterval) // time for a request that must not start
			if got := started + len(r.started); got != tt.want {
				t.Errorf("got %d requests started, want %d", got, tt.want)
			}
		})
	}
}

package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// blockingRouter responds to each request with its ID once the channel is closed.
type blockingRouter chan struct{}

func (r blockingRouter) Route(_ context.Context, _ table.Match, q *call.Request) (*call.Response, error) {
	<-r
	return &call.Response{
		Head:    wire.ResponseHead{RequestID: q.RequestID, Status: 200, ContentLength: 5},
		Body:    io.NopCloser(strings.NewReader("hello")),
		Trailer: func() map[string][]string { return nil },
	}, nil
}

func (r blockingRouter) Run(ctx context.Context, m table.Match, _ string, q *call.Request) (*call.Response, error) {
	return r.Route(ctx, m, q)
}

// newTable returns the table with the routes of the tests.
func newTable(t *testing.T) *table.Table {
	t.Helper()
	k := customer.NewConfig("pichler").
		WithService(customer.Service{Name: "levels", Slots: 1, Connections: 1}).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second})
	for path, x := range map[string]customer.Execution{"/": customer.Once, "/keyed": customer.AtMostOnce} {
		k = k.WithRoute(customer.Route{Host: "h", Method: "POST", Path: path, Service: "levels", Rank: "urgent", Deadline: time.Minute, Execution: x})
	}
	b, err := table.New(1, map[string]*customer.Config{"pichler": k})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// serve runs a handler on l until the test ends.
func serve(t *testing.T, l net.Listener, limit int, c Config) {
	b := newTable(t)
	c.Table, c.Log = func() *table.Table { return b }, logr.Discard()
	h := New(c)
	s := NewServer(h)
	done := make(chan error)
	go func() { done <- s.Serve(NewListener(l, limit, h)) }()
	t.Cleanup(func() { s.Close(); <-done })
}

// Guards the refusal of requests before anything is sent: each refusal states not-run and
// is sent within a second, even if the request body does not arrive.
func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name, request string
		want          errkind.Kind
	}{
		{"no route", "POST / HTTP/1.1\r\nHost: other\r\nContent-Length: 9\r\n\r\n", errkind.NoRoute},
		{"no key", "POST /keyed HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", errkind.KeyRequired},
		{"HTTP/1.0", "POST / HTTP/1.0\r\nHost: h\r\nContent-Length: 9\r\n\r\n", errkind.BadRequest},
		{"dot segments", "POST /x/../keyed HTTP/1.1\r\nHost: h\r\n\r\n", errkind.BadRequest},
		{"encoded dot segments", "POST /x/%2e%2e/keyed HTTP/1.1\r\nHost: h\r\n\r\n", errkind.BadRequest},
		{"invalid deadline", "POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Deadline: soon\r\n\r\n", errkind.BadRequest},
		{"deadline in the past", "POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Deadline: -1s\r\n\r\n", errkind.DeadlineTooShort},
		{"stalled body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nGooseberrypick-Deadline: 1s\r\n\r\nhello", errkind.DeadlineExceeded},
		{"keyed body above 1 MiB", "POST /keyed HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 1048577\r\n\r\n", errkind.TooLarge},
		{"body above the buffer", "POST /keyed HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 20000\r\n\r\n", errkind.QueueFull},
		{"body of unknown length above the buffer", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", errkind.QueueFull},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := standin.NewNetwork()
				l, _ := n.Listen("node:1")
				serve(t, l, 1, Config{MaxBodyBytes: 10000})
				c, err := n.Dial(t.Context(), "node:1")
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				start := time.Now()
				io.WriteString(c, tt.request)
				a, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				var p Problem
				err = json.NewDecoder(a.Body).Decode(&p)
				if err != nil || p.Kind != tt.want || p.Execution != errkind.NotRun || a.Header.Get(HeaderExecution) != string(errkind.NotRun) {
					t.Errorf("got %v, %v, want %s and not-run", p, err, tt.want)
				}
				if took := time.Since(start); took > time.Second {
					t.Errorf("took %s", took)
				}
				time.Sleep(2 * lingerTime)
			})
		})
	}
}

// Guards the limits on connections, on requests in flight and on headers.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := standin.NewNetwork(), make(blockingRouter)
		l, _ := n.Listen("node:1")
		serve(t, l, 3, Config{Router: r, MaxRequests: 2})
		var conns []net.Conn
		for range 4 {
			c, err := n.Dial(t.Context(), "node:1")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\n\r\n")
			synctest.Wait()
			conns = append(conns, c)
		}
		if _, err := conns[3].Read(make([]byte, 1)); err == nil {
			t.Error("fourth connection: got an answer, want it closed")
		}
		a, err := http.ReadResponse(bufio.NewReader(conns[2]), nil)
		if err != nil || a.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("third request: got %v, %v, want 503", a, err)
		}
		close(r)
		for _, c := range conns[:2] {
			if a, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || a.StatusCode != http.StatusOK {
				t.Errorf("earlier request: got %v, %v, want 200", a, err)
			}
		}
		go fmt.Fprintf(conns[2], "POST / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", 2*maxHeaderBytes))
		io.Copy(io.Discard, a.Body)
		if a, err := http.ReadResponse(bufio.NewReader(conns[2]), nil); err != nil || a.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("large header: got %v, %v, want 431", a, err)
		}
		time.Sleep(2 * lingerTime)
	})
}

// Guards that a caller that sends its whole upload before it reads gets a response that
// was sent early. A connection that is closed with unread bytes is reset, which aborts
// the upload and may discard the response.
func TestEarlyResponseToUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := make(blockingRouter)
	close(r)
	serve(t, l, 1, Config{Router: r})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const size = 8 << 20
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)); err != nil {
		t.Errorf("send: %v", err)
	}
	if a, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || a.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v, want 200", a, err)
	}
}

// Guards that the status alone tells callers that a request has not run if there is no
// Execution header: after 502, requests that must not run twice are not sent again.
func TestStatusWithoutExecutionHeader(t *testing.T) {
	platform := dialect.Default()
	platform.Execution = ""
	for _, c := range []struct {
		name string
		d    *dialect.Dialect
		err  error
		want int
	}{
		{"default dialect, not connected", dialect.Default(), errkind.New(errkind.ConnectFailed, "x"), 502},
		{"not connected", platform, errkind.New(errkind.ConnectFailed, "x"), 503},
		{"connection lost", platform, errkind.New(errkind.UpstreamFailed, "x"), 502},
		{"no time left, not sent", platform, errkind.New(errkind.DeadlineExceeded, "x").WithExecution(errkind.NotRun), 503},
		{"no time left, sent", platform, errkind.New(errkind.DeadlineExceeded, "x"), 504},
		{"refused, and an earlier try may have run", platform, errkind.New(errkind.QueueFull, "x").WithExecution(errkind.Unknown), 502},
		{"no route", platform, errkind.New(errkind.NoRoute, "x"), 404},
	} {
		w := httptest.NewRecorder()
		if got := WriteError(w, c.d, "id", c.err); got != c.want || w.Code != c.want {
			t.Errorf("%s: got %d, %d written, want %d", c.name, got, w.Code, c.want)
		}
	}
}

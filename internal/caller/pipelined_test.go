package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// slowUpstream is a Router whose responses take the time in the request's path and have
// the path as their body.
type slowUpstream struct {
	mu                sync.Mutex
	started           []string
	canceled, running int
	mostRunning       int
	// breakOff is the path whose response breaks off halfway.
	breakOff string
	// bodyBytes is the size of the bodies, if above zero.
	bodyBytes int
	// longest bounds the time of a response, if above zero.
	longest time.Duration
}

func (u *slowUpstream) Route(ctx context.Context, _ table.Match, q *call.Request) (*call.Response, error) {
	u.begin(q.Path)
	defer u.end()
	d, err := time.ParseDuration(q.Path[strings.LastIndexByte(q.Path, '/')+1:])
	if err != nil {
		return nil, err
	}
	if u.longest > 0 {
		d = min(d, u.longest)
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		u.mu.Lock()
		defer u.mu.Unlock()
		u.canceled++
		return nil, ctx.Err()
	}
	body := q.Path + strings.Repeat("x", max(u.bodyBytes-len(q.Path), 0))
	h := wire.ResponseHead{RequestID: q.RequestID, Status: 200, ContentLength: int64(len(body))}
	b := io.Reader(strings.NewReader(body))
	if q.Path == u.breakOff {
		h.ContentLength = -1
		b = io.MultiReader(b, brokenBody{})
	}
	return &call.Response{Head: h, Body: io.NopCloser(b), Trailer: func() map[string][]string { return nil }}, nil
}

// brokenBody is the rest of a body whose upstream broke off.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("connection lost") }

func (u *slowUpstream) Run(ctx context.Context, m table.Match, _ string, q *call.Request) (*call.Response, error) {
	return u.Route(ctx, m, q)
}

func (u *slowUpstream) begin(path string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started = append(u.started, path)
	u.running++
	u.mostRunning = max(u.mostRunning, u.running)
}

func (u *slowUpstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// startedPaths returns the paths of the requests that were started so far.
func (u *slowUpstream) startedPaths() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.started, " ")
}

// pipelining is a caller's connection to a node of whose requests GET is idempotent and
// the others may run only once.
type pipelining struct {
	t *testing.T
	u *slowUpstream
	h *Handler
	s *http.Server
	n *standin.Network
	c net.Conn
	r *bufio.Reader
}

// pipeliningConfig returns a Config with the routes of pipelining to u.
func pipeliningConfig(t testing.TB, u *slowUpstream) Config {
	t.Helper()
	k := customer.NewConfig("pichler").
		WithService(customer.Service{Name: "levels", Slots: 1, Connections: 1}).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second}).
		WithRoute(customer.Route{Host: "h", Method: "GET", Path: "/", Service: "levels", Rank: "urgent", Deadline: time.Minute, Execution: customer.Idempotent}).
		WithRoute(customer.Route{Host: "h", Method: "POST", Path: "/", Service: "levels", Rank: "urgent", Deadline: time.Minute, Execution: customer.Once}).
		WithRoute(customer.Route{Host: "h", Method: "DELETE", Path: "/", Service: "levels", Rank: "urgent", Deadline: time.Minute, Execution: customer.Once})
	b, err := table.New(1, map[string]*customer.Config{"pichler": k})
	if err != nil {
		t.Fatal(err)
	}
	return Config{Router: u, AtMostOnce: u, Table: func() *table.Table { return b }, Log: logr.Discard()}
}

// newPipelining starts a node with u, whose responses may use bodyBytes of memory, or the
// default if it is zero.
func newPipelining(t *testing.T, u *slowUpstream, bodyBytes int64) *pipelining {
	t.Helper()
	c := pipeliningConfig(t, u)
	c.MaxBodyBytes = bodyBytes
	return startPipelining(t, u, c)
}

// connectionsOfTests is the limit of connections of a node in tests.
const connectionsOfTests = 8

func startPipelining(t *testing.T, u *slowUpstream, c Config) *pipelining {
	t.Helper()
	p := &pipelining{t: t, u: u, h: New(c), n: standin.NewNetwork()}
	p.s = NewServer(p.h)
	l, _ := p.n.Listen("node:1")
	done := make(chan error)
	go func() { done <- p.s.Serve(NewListener(l, connectionsOfTests, p.h)) }()
	t.Cleanup(func() { p.s.Close(); <-done })
	p.c = p.dial()
	p.r = bufio.NewReader(p.c)
	return p
}

func (p *pipelining) dial() net.Conn {
	p.t.Helper()
	c, err := p.n.Dial(p.t.Context(), "node:1")
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close(); time.Sleep(2 * lingerTime) })
	return c
}

// send writes requests to p.c, each given as method and path, without waiting for an answer.
func (p *pipelining) send(requests ...string) {
	var b strings.Builder
	for _, r := range requests {
		m, path, _ := strings.Cut(r, " ")
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\nGooseberrypick-Request-Id: %s\r\n", m, path, path)
		if m == "POST" {
			b.WriteString("Content-Length: 3\r\n\r\nabc")
			continue
		}
		b.WriteString("\r\n")
	}
	go io.WriteString(p.c, b.String())
	synctest.Wait()
}

// wantAnswer checks that the next response is the complete one to path.
func (p *pipelining) wantAnswer(path string) *http.Response {
	p.t.Helper()
	a, err := http.ReadResponse(p.r, nil)
	if err != nil {
		p.t.Fatalf("response to %s: got %v", path, err)
	}
	b, err := io.ReadAll(a.Body)
	if got := strings.TrimRight(string(b), "x"); err != nil || got != path || a.Header.Get("Gooseberrypick-Request-Id") != path {
		p.t.Errorf("got the response to %q with status %d, body %q, %v, want %q", a.Header.Get("Gooseberrypick-Request-Id"), a.StatusCode, got, err, path)
	}
	return a
}

// wantEnd checks that the connection ends without a further response.
func (p *pipelining) wantEnd() {
	p.t.Helper()
	if b, err := io.ReadAll(p.r); err != nil || len(b) > 0 {
		p.t.Errorf("got %q, %v, want the end of the connection", b, err)
	}
}

func wantTook(t *testing.T, start time.Time, want time.Duration) {
	t.Helper()
	if got := time.Since(start); got != want {
		t.Errorf("took %s, want %s", got, want)
	}
}

// Guards against requests that wait for each other at their own entry node, and against
// responses out of order.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipelining(t, &slowUpstream{}, 0)
		start := time.Now()
		l := []string{"/a/200ms", "/b/10ms", "/c/199ms", "/d/1ms", "/e/100ms", "/f/200ms", "/g/0s", "/h/200ms"}
		for _, path := range l {
			p.send("GET " + path) // in several segments, the response to the first outstanding
		}
		for _, path := range l {
			p.wantAnswer(path)
		}
		wantTook(t, start, 200*time.Millisecond)
		p.send("GET /i/10ms", "GET /j/10ms", "GET /k/10ms") // in one segment
		for _, path := range []string{"/i/10ms", "/j/10ms", "/k/10ms"} {
			p.wantAnswer(path)
		}
		wantTook(t, start, 210*time.Millisecond)
	})
}

// Guards against a request that may run only once and was passed on while an earlier
// response could still close the connection, and against reads that overtake a write.
func TestOnceRequestsWaitForTheirTurn(t *testing.T) {
	for _, once := range []string{"POST", "DELETE"} { // with and without a body
		t.Run(once, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipelining(t, &slowUpstream{}, 0)
				start := time.Now()
				p.send("GET /a/100ms", "GET /b/50ms", once+" /c/100ms", "GET /d/100ms", "GET /e/100ms")
				// The two reads start at the same time, in any order.
				l := strings.Fields(p.u.startedPaths())
				slices.Sort(l)
				if got, want := strings.Join(l, " "), "/a/100ms /b/50ms"; got != want {
					t.Errorf("started %q, want %q", got, want)
				}
				for _, path := range []string{"/a/100ms", "/b/50ms", "/c/100ms", "/d/100ms", "/e/100ms"} {
					p.wantAnswer(path)
				}
				wantTook(t, start, 300*time.Millisecond)
			})
		})
	}
}

// Guards against a request that was started ahead as an idempotent one and runs after its
// route has become one that may run only once.
func TestRouteChangesBehindAnUnansweredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipelining(t, &slowUpstream{}, 0)
		before := p.h.c.Table
		lookups := 0
		p.h.c.Table = func() *table.Table {
			lookups++
			if lookups <= 2 { // of the first request, and of the second one before it starts
				return before()
			}
			return onceTable(t)
		}
		start := time.Now()
		p.send("GET /a/100ms", "GET /b/100ms")
		p.wantAnswer("/a/100ms")
		p.wantAnswer("/b/100ms")
		wantTook(t, start, 200*time.Millisecond)
	})
}

// onceTable returns a table in which GET may run only once.
func onceTable(t *testing.T) *table.Table {
	t.Helper()
	k := customer.NewConfig("pichler").
		WithService(customer.Service{Name: "levels", Slots: 1, Connections: 1}).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second}).
		WithRoute(customer.Route{Host: "h", Method: "GET", Path: "/", Service: "levels", Rank: "urgent", Deadline: time.Minute, Execution: customer.Once})
	b, err := table.New(2, map[string]*customer.Config{"pichler": k})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards the bound of requests that run ahead on one connection.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipelining(t, &slowUpstream{}, 0)
		var l []string
		for i := range 3 * maxPipelined {
			l = append(l, fmt.Sprintf("GET /%d/100ms", i))
		}
		p.send(l...)
		for i := range l {
			p.wantAnswer(fmt.Sprintf("/%d/100ms", i))
		}
		synctest.Wait()
		if got, want := p.u.mostRunning, maxPipelined+1; got != want {
			t.Errorf("got %d requests at once, want %d", got, want)
		}
		if got := p.h.pipelined.Load(); got != 0 {
			t.Errorf("got %d pipelined requests after the last, want none", got)
		}
	})
}

// Guards against a response that ends the connection while requests behind it go on, or
// are answered after it. Those before it are answered.
func TestResponseThatBreaksOffEndsTheConnection(t *testing.T) {
	for _, first := range []string{"/a/50ms", "/b/100ms"} {
		t.Run(first, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipelining(t, &slowUpstream{breakOff: first}, 0)
				p.send("GET /a/50ms", "GET /b/100ms", "GET /c/30s", "POST /d/1ms", "GET /e/1ms")
				if first != "/a/50ms" {
					p.wantAnswer("/a/50ms")
				}
				a, err := http.ReadResponse(p.r, nil)
				if err != nil {
					t.Fatal(err)
				}
				if b, err := io.ReadAll(a.Body); err == nil {
					t.Errorf("got a complete body %q of a response that broke off", b)
				}
				p.wantEnd()
				synctest.Wait()
				if got := p.u.startedPaths(); strings.Contains(got, "/d/") || strings.Contains(got, "/e/") {
					t.Errorf("started %q, want nothing behind the request that may run once", got)
				}
				if p.u.running != 0 {
					t.Errorf("got %d requests that still run, want none", p.u.running)
				}
			})
		})
	}
}

// Guards against a planned stop that closes the connection in front of responses that are
// outstanding, and against new work that starts behind the last response.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipelining(t, &slowUpstream{}, 0)
		p.send("GET /a/100ms", "GET /b/300ms", "GET /c/200ms")
		p.h.StartDraining(time.Now().Add(time.Minute))
		stopped := make(chan error)
		go func() {
			p.h.WaitPipelined(t.Context())
			stopped <- p.s.Shutdown(t.Context())
		}()
		p.send("GET /d/10ms")
		for i, path := range []string{"/a/100ms", "/b/300ms", "/c/200ms"} {
			if a := p.wantAnswer(path); a.Close != (i == 2) {
				t.Errorf("%s: got Connection: close %t, want it with the last response only", path, a.Close)
			}
		}
		p.wantEnd()
		if got := p.u.startedPaths(); strings.Contains(got, "/d/") {
			t.Errorf("started %q, want nothing new while draining", got)
		}
		if err := <-stopped; err != nil {
			t.Errorf("got %v, want a complete stop", err)
		}
	})
}

// Guards against work that goes on after the caller has left, also behind a request that
// waits.
func TestPipeliningCallerLeaves(t *testing.T) {
	for _, last := range []string{"GET /c/30s", "POST /c/30s"} {
		t.Run(last, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipelining(t, &slowUpstream{}, 0)
				p.send("GET /a/30s", "GET /b/30s", last)
				p.c.Close()
				synctest.Wait()
				if p.u.running != 0 || p.u.canceled < 2 {
					t.Errorf("got %d running and %d canceled, want all canceled", p.u.running, p.u.canceled)
				}
			})
		})
	}
}

// Guards against a caller that does not read: its responses fill no more memory than the
// limits, other connections are served, and it gets all responses once it reads.
func TestPipeliningCallerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 200 << 10
		p := newPipelining(t, &slowUpstream{bodyBytes: 60 << 10}, limit)
		var l []string
		for i := range maxPipelined {
			l = append(l, fmt.Sprintf("GET /%d/10ms", i))
		}
		p.send(l...)
		time.Sleep(500 * time.Millisecond)
		if got := p.h.bufferedBytes.Load(); got > limit || got == 0 {
			t.Errorf("got %d buffered bytes, want up to %d", got, limit)
		}
		other := *p
		other.c = p.dial()
		other.r = bufio.NewReader(other.c)
		other.send("GET /z/1ms")
		other.wantAnswer("/z/1ms")
		for i := range l {
			p.wantAnswer(fmt.Sprintf("/%d/10ms", i))
		}
		synctest.Wait()
		if got := p.h.bufferedBytes.Load(); got != 0 {
			t.Errorf("got %d buffered bytes after the last response, want none", got)
		}
	})
}

// Guards against a malformed request that harms the responses before it, or that is
// passed on.
func TestMalformedRequestBehindAGoodOne(t *testing.T) {
	for _, bad := range []string{
		"GET /b/1ms HTTP/1.1\r\nno colon\r\n\r\n",
		"GET /b/1ms HTTP/1.1\r\n\r\n",
		"GET /b/1ms HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"GET /b/1ms HTTP/1.1\r\nHost: h\r\nX: y\r\n Transfer-Encoding: chunked\r\nTransfer-Encoding : chunked\r\n\r\n",
	} {
		t.Run(bad, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipelining(t, &slowUpstream{}, 0)
				go io.WriteString(p.c, "GET /a/100ms HTTP/1.1\r\nHost: h\r\nGooseberrypick-Request-Id: /a/100ms\r\n\r\n"+bad+"GET /c/1ms HTTP/1.1\r\nHost: h\r\n\r\n")
				p.wantAnswer("/a/100ms")
				a, err := http.ReadResponse(p.r, nil)
				if err != nil || a.StatusCode != http.StatusBadRequest || !a.Close {
					t.Fatalf("got %v, %v, want 400 and the end of the connection", a, err)
				}
				if got, want := p.u.startedPaths(), "/a/100ms"; got != want {
					t.Errorf("started %q, want %q", got, want)
				}
			})
		})
	}
}

// Guards against requests that are passed on behind one that ends the connection.
func TestNothingRunsBehindTheLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipelining(t, &slowUpstream{}, 0)
		go io.WriteString(p.c, "GET /a/100ms HTTP/1.1\r\nHost: h\r\nConnection: close\r\nGooseberrypick-Request-Id: /a/100ms\r\n\r\n"+
			"GET /b/1ms HTTP/1.1\r\nHost: h\r\n\r\n")
		p.wantAnswer("/a/100ms")
		p.wantEnd()
		if got, want := p.u.startedPaths(), "/a/100ms"; got != want {
			t.Errorf("started %q, want %q", got, want)
		}
	})
}

// Guards against a deadline that starts only when a request has waited for others.
func TestDeadlineOfARequestThatWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipelining(t, &slowUpstream{}, 0)
		start := time.Now()
		p.send("POST /a/600ms")
		go io.WriteString(p.c, "GET /b/30s HTTP/1.1\r\nHost: h\r\nGooseberrypick-Deadline: 1s\r\n\r\n")
		p.wantAnswer("/a/600ms")
		a, err := http.ReadResponse(p.r, nil)
		if err != nil || a.StatusCode == http.StatusOK {
			t.Fatalf("got %v, %v, want an error response", a, err)
		}
		wantTook(t, start, time.Second)
	})
}

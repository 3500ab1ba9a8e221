package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/caller"
	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// requests covers each execution of a route, with POST and GET for Once and AtMostOnce.
var requests = []struct{ name, method, path, key string }{
	{"idempotent", "GET", "/", ""},
	{"once", "POST", "/once", ""},
	{"once without body", "GET", "/once", ""},
	{"keyed", "POST", "/keyed", "key-1"},
	{"keyed without body", "GET", "/keyed", "key-1"},
}

// respondTo responds to q with its path.
func respondTo(c net.Conn, q *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.URL.Path), q.URL.Path)
}

// faults lists what an upstream does with the request "id-1". It responds to all others.
var faults = []struct {
	name string
	// accept is called for each connection and may close it.
	accept func(c net.Conn)
	// request is called once the request was read.
	request    func(c net.Conn, q *http.Request)
	ran        int
	want       errkind.Kind // "" for a response
	wantNotRun bool         // the response states not-run
}{
	{name: "none", request: respondTo, ran: 1},
	{name: "closed before the request", accept: func(c net.Conn) { c.Close() }, want: errkind.ConnectFailed, wantNotRun: true},
	{name: "closed after the request", request: func(c net.Conn, _ *http.Request) { c.Close() }, ran: 1, want: errkind.UpstreamFailed},
	{name: "stalled", request: func(net.Conn, *http.Request) {}, ran: 1, want: errkind.DeadlineExceeded},
}

// Guards against sending a request twice, also on a reused connection, and against a
// wrong not-run, which is due only if nothing was sent. The transport of net/http
// repeats requests with a safe method or an Idempotency-Key if a reused connection
// breaks.
func TestUpstreamFaults(t *testing.T) {
	for _, node := range []string{"owner", "entry"} {
		for _, q := range requests {
			for _, f := range faults {
				for _, reused := range []bool{false, true} {
					t.Run(fmt.Sprint(node, " ", q.name, " ", f.name, " reused ", reused), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							m := newMesh(t, "owner", "entry")
							var ran counter
							var armed atomic.Bool
							m.serveConns("owner", "levels-1", func(c net.Conn, r *bufio.Reader) {
								if armed.Load() && f.accept != nil {
									f.accept(c)
								}
								for {
									q, err := http.ReadRequest(r)
									if err != nil {
										return
									}
									io.Copy(io.Discard, q.Body)
									id := q.Header.Get(upstream.HeaderRequestID)
									ran.add(id)
									if id == "id-1" && f.request != nil {
										f.request(c, q)
									} else {
										respondTo(c, q)
									}
								}
							})
							if reused {
								m.do("HTTP/1.1", node, "GET", "/", nil)
							}
							armed.Store(true)
							got := m.do("HTTP/1.1", node, q.method, q.path, nil, upstream.HeaderRequestID, "id-1", caller.HeaderIdempotencyKey, q.key)
							if reused && f.accept != nil {
								// The connection of the first request still works.
								equal(t, "answer", got.body, q.path)
								return
							}
							equal(t, "executions", ran.of("id-1"), f.ran)
							equal(t, "kind", got.problem.Kind, f.want)
							equal(t, "not-run", got.problem.Execution == errkind.NotRun, f.wantNotRun)
						})
					})
				}
			}
		}
	}
}

// breakingConn is a connection that breaks at its n-th read or write. A silent one
// stays open, but delivers nothing from then on.
type breakingConn struct {
	net.Conn
	n      *atomic.Int64
	silent bool
	closed chan struct{}
	once   *sync.Once
}

func (b *breakingConn) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Conn.Close()
}

func (b *breakingConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if b.n.Add(-1) > 0 {
		return n, err
	}
	if b.silent {
		<-b.closed
	}
	b.Close()
	return 0, net.ErrClosed
}

func (b *breakingConn) Write(p []byte) (int, error) {
	switch n := b.n.Add(-1); {
	case n > 1:
		return b.Conn.Write(p)
	case n == 1: // the last write that arrives
		b.Conn.Write(p)
		b.n.Store(0)
	}
	if b.silent {
		return len(p), nil
	}
	b.Close()
	return 0, net.ErrClosed
}

// Guards against a second execution, an incomplete response or a false not-run when a
// connection between nodes breaks at any message. Not-run is due only if the upstream
// received nothing.
func TestBrokenPeerConnection(t *testing.T) {
	for _, q := range requests {
		for _, size := range []int{0, 10, 70 << 10, 300 << 10} {
			if size > 0 && q.method == "GET" {
				continue
			}
			t.Run(fmt.Sprint(q.name, " ", size), func(t *testing.T) {
				for _, silent := range []bool{false, true} {
					for n, untouched := int64(1), false; !untouched && n < 100; n++ {
						synctest.Test(t, func(t *testing.T) { untouched = breakAt(t, n, silent, q.method, q.path, q.key, size) })
					}
				}
			})
		}
	}
}

func breakAt(t *testing.T, n int64, silent bool, method, path, key string, size int) (untouched bool) {
	m := newMesh(t, "owner", "entry")
	var ran counter
	m.serve("owner", "levels-1", http.HandlerFunc(ran.echo))
	left := new(atomic.Int64)
	left.Store(n)
	m.net.Wrap = func(address string, c net.Conn) net.Conn {
		if address == "owner:3" {
			return &breakingConn{c, left, silent, make(chan struct{}), new(sync.Once)}
		}
		return c
	}
	body := strings.Repeat("x", size)
	got := m.do("HTTP/1.1", "entry", method, path, strings.NewReader(body),
		upstream.HeaderRequestID, "id-1", caller.HeaderIdempotencyKey, key)
	time.Sleep(deadline) // a request that was sent may still run
	what := fmt.Sprintf("message %d, silent %v: ", n, silent)
	got.check(t, what, &ran, "id-1", strings.Join([]string{"id-1", path, body}, "|"))
	return left.Load() > 0
}

// check checks the response against the number of executions.
func (r result) check(t *testing.T, what string, ran *counter, id, want string) {
	t.Helper()
	n := ran.of(id)
	if n > 1 {
		t.Errorf("%s%d executions, want at most 1", what, n)
	}
	switch {
	case r.complete() && (n != 1 || r.body != want):
		t.Errorf("%sgot answer of %d bytes after %d executions, want the %d bytes of one", what, len(r.body), n, len(want))
	case r.problem.Execution == errkind.NotRun && n != 0:
		t.Errorf("%snot-run with %s after %d executions", what, r.problem.Reason, n)
	}
}

// Guards against sending a request that waited for a slot after its deadline has
// passed, its caller has gone or the upstream is leaving.
func TestWaitingRequestsDoNotRun(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(m *mesh, cancel func())
		want errkind.Kind
	}{
		{"deadline", func(*mesh, func()) {}, errkind.DeadlineExceeded},
		{"caller gone", func(_ *mesh, cancel func()) { cancel() }, ""},
		{"upstream leaves", func(m *mesh, _ func()) { m.announce("owner", "levels-1", wire.Leaving) }, errkind.Leaving},
		{"upstream withdrawn", func(m *mesh, _ func()) { m.nodes["owner"].announcements.Withdraw("levels-1", 0) }, errkind.Leaving},
	} {
		for _, node := range []string{"owner", "entry"} {
			t.Run(tt.name+" at "+node, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newMesh(t, "owner", "entry")
					var ran counter
					m.serve("owner", "levels-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						ran.add(r.Header.Get(upstream.HeaderRequestID))
						<-r.Context().Done()
					}))
					var g sync.WaitGroup
					for range 4 { // all slots
						g.Go(func() { m.do("HTTP/1.1", node, "GET", "/", nil) })
					}
					synctest.Wait()
					ctx, cancel := context.WithCancel(t.Context())
					q, _ := http.NewRequestWithContext(ctx, "POST", "http://"+node+":1/once", nil)
					q.Host = host
					q.Header.Set(upstream.HeaderRequestID, "id-1")
					q.Header.Set(upstream.HeaderDeadline, "1s")
					var got result
					g.Go(func() { got = m.send("HTTP/1.1", q) })
					synctest.Wait()
					tt.end(m, cancel)
					synctest.Wait()
					if tt.want != errkind.DeadlineExceeded {
						for _, l := range m.nodes["owner"].local.Loads(time.Now()) {
							equal(t, "waiting", l.Waiting, 0)
						}
					}
					g.Wait()
					cancel()
					equal(t, "kind", got.problem.Kind, tt.want)
					equal(t, "not-run", got.problem.Execution == errkind.NotRun, tt.want != "")
					equal(t, "executions", ran.of("id-1"), 0)
				})
			})
		}
	}
}

// flakyConn is a connection that breaks at random.
type flakyConn struct {
	net.Conn
	draw func() int
}

func (f *flakyConn) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if f.draw() == 0 {
		f.Close()
	}
	return n, err
}

func (f *flakyConn) Write(p []byte) (int, error) {
	switch f.draw() {
	case 0:
		f.Close()
	case 1: // only a part arrives
		n, _ := f.Conn.Write(p[:len(p)/2])
		f.Close()
		return n, net.ErrClosed
	case 2: // everything arrives, but the sender gets an error
		n, _ := f.Conn.Write(p)
		f.Close()
		return n, net.ErrClosed
	}
	return f.Conn.Write(p)
}

// Guards against second executions and false not-run while connections to nodes,
// controls and upstreams break at random and callers repeat keyed requests.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	m := newMesh(t, "n1", "n2", "n3")
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 7))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	var ran, keys counter
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys.add(r.Header.Get(caller.HeaderIdempotencyKey))
		time.Sleep(time.Duration(draw(100)) * time.Millisecond)
		ran.echo(w, r)
	})
	for i := range 3 {
		m.serve(fmt.Sprint("n", i+1), fmt.Sprint("levels-", i+1), h)
	}
	m.net.Wrap = func(address string, c net.Conn) net.Conn {
		if strings.HasSuffix(address, ":1") {
			return c
		}
		return &flakyConn{c, func() int { return draw(25) }}
	}
	var answers, notRun, unknown atomic.Int64
	worker := func(w int) {
		for i := range 25 {
			q := requests[draw(len(requests))]
			body := ""
			if q.method == "POST" {
				body = strings.Repeat("x", draw(2)*draw(100<<10))
			}
			key := fmt.Sprint("key-", w, "-", i)
			for try := range 3 {
				id := fmt.Sprint(w, "-", i, "-", try)
				got := m.do([]string{"HTTP/1.1", "HTTP/2.0"}[draw(2)], fmt.Sprint("n", 1+draw(3)), q.method, q.path, strings.NewReader(body),
					upstream.HeaderRequestID, id, caller.HeaderIdempotencyKey, key, upstream.HeaderDeadline, fmt.Sprint(1+draw(500), "ms"))
				time.Sleep(time.Second) // a request that was sent may still run
				n := ran.of(id)
				switch {
				case got.header.Get("Gooseberrypick-Replayed") != "":
					equal(t, "executions of a replayed request", n, 0)
				case q.name == "idempotent" && got.complete():
					equal(t, "body", got.body, id+"|/|")
				case q.name != "idempotent":
					got.check(t, id+" "+q.name+": ", &ran, id, strings.Join([]string{id, q.path, body}, "|"))
				case got.problem.Execution == errkind.NotRun:
					equal(t, "executions after not-run", n, 0)
				}
				if q.key != "" && keys.of(key) > 1 {
					t.Errorf("%s: %d executions of a key, want at most 1", key, keys.of(key))
				}
				switch {
				case got.complete():
					answers.Add(1)
				case got.problem.Execution == errkind.NotRun:
					notRun.Add(1)
				default:
					unknown.Add(1)
				}
				if q.key == "" {
					break
				}
			}
		}
	}
	var g sync.WaitGroup
	for w := range 24 {
		g.Go(func() { worker(w) })
	}
	g.Wait()
	t.Logf("%d answers, %d not-run, %d unknown", answers.Load(), notRun.Load(), unknown.Load())
	if answers.Load() == 0 || notRun.Load() == 0 || unknown.Load() == 0 {
		t.Error("the faults did not lead to every kind of answer")
	}
}

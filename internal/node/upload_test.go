package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// forEachProtocolAndNode runs f for each protocol of a caller, with the upstream on
// the entry node and on another node.
func forEachProtocolAndNode(t *testing.T, f func(t *testing.T, m *mesh, proto, node string)) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		for _, node := range []string{"owner", "entry"} {
			t.Run(proto+" at "+node, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { f(t, newMesh(t, "owner", "entry"), proto, node) })
			})
		}
	}
}

// uploadSource is a request body that counts the bytes read from it and, at its end,
// returns an error or stalls.
type uploadSource struct {
	context.Context // ends a stall
	cancel          func()
	size            int64
	end             error // returned at the end; nil stalls instead
	taken           atomic.Int64
}

func newUploadSource(t *testing.T, size int64, end error) *uploadSource {
	s := &uploadSource{size: size, end: end}
	s.Context, s.cancel = context.WithCancel(t.Context())
	return s
}

func (s *uploadSource) Read(p []byte) (int, error) {
	n := min(int64(len(p)), s.size-s.taken.Load())
	switch {
	case n > 0:
		s.taken.Add(n)
		clear(p[:n])
		return int(n), nil
	case s.end == nil:
		<-s.Done()
		return 0, s.Err()
	}
	return 0, s.end
}

func (s *uploadSource) Close() error {
	s.cancel()
	return nil
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Guards against sending bodies above 64 KiB before an upstream has a slot for them.
// Until then they stay at the caller or, on AtMostOnce routes, at the entry node.
func TestLargeBodyWaitsForAdmission(t *testing.T) {
	forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
		ctx, free := context.WithCancel(t.Context())
		var ran counter
		m.serve("owner", "levels-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "GET" {
				<-ctx.Done()
			}
			ran.echo(w, r)
		}))
		var g sync.WaitGroup
		for range 4 { // all slots
			g.Go(func() { m.do(proto, node, "GET", "/", nil) })
		}
		synctest.Wait()
		var sent atomic.Int64
		m.net.Wrap = func(address string, c net.Conn) net.Conn {
			if address == "owner:3" {
				return &countingConn{c, &sent}
			}
			return c
		}
		s := newUploadSource(t, 4<<20, io.EOF)
		keyed := newUploadSource(t, 900<<10, io.EOF)
		for path, b := range map[string]*uploadSource{"/once": s, "/keyed": keyed} {
			g.Go(func() {
				got := m.do(proto, node, "POST", path, b, caller.HeaderIdempotencyKey, "key-1")
				equal(t, "answer", len(got.body), len(got.header.Get(upstream.HeaderRequestID))+len(path)+2+int(b.size))
			})
		}
		synctest.Wait()
		equal(t, "body buffered at the entry node", keyed.taken.Load(), keyed.size)
		if got := s.taken.Load(); got > 1<<20 { // includes a 512 KiB buffer of the HTTP/2 client
			t.Errorf("read from the caller before admission: got %d bytes", got)
		}
		if got := sent.Load(); got > 4<<10 {
			t.Errorf("sent to the owner node before admission: got %d bytes", got)
		}
		free()
		g.Wait()
	})
}

// Guards against nodes that buffer an upload to an upstream that does not read it.
// The caller must be slowed down instead, and the request ends at its deadline.
func TestBackpressure(t *testing.T) {
	forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m.serve("owner", "levels-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ctx.Done() }))
		s := newUploadSource(t, 1<<30, io.EOF)
		time.AfterFunc(deadline/2, func() {
			if got := s.taken.Load(); got > 1<<20 { // includes a 512 KiB buffer of the HTTP/2 client
				t.Errorf("read from the caller: got %d bytes", got)
			}
		})
		start := time.Now()
		got := m.do(proto, node, "POST", "/once", s)
		equal(t, "kind", got.problem.Kind, errkind.DeadlineExceeded)
		equal(t, "time", time.Since(start).Round(100*time.Millisecond), deadline)
	})
}

// Guards against a body that stalls or breaks off and yet looks complete to the
// upstream or outlasts the deadline. If the node buffers the body, nothing runs.
func TestBrokenUpload(t *testing.T) {
	for _, size := range []int64{10, 200 << 10} {
		for _, end := range []error{nil, errors.New("broke off")} {
			for _, length := range []int64{-1, 300 << 10} {
				t.Run(fmt.Sprint(size, " ", end, " ", length), func(t *testing.T) {
					forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
						var complete atomic.Bool
						ended := make(chan time.Time, 1)
						m.serve("owner", "levels-1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
							_, err := io.ReadAll(r.Body)
							complete.Store(err == nil)
							ended <- time.Now()
							if err != nil {
								panic(http.ErrAbortHandler)
							}
						}))
						q, _ := http.NewRequestWithContext(t.Context(), "POST", "http://"+node+":1/once", newUploadSource(t, size, end))
						q.Host, q.ContentLength = host, length
						start := time.Now()
						got := m.send(proto, q)
						equal(t, "complete body at the upstream", complete.Load(), false)
						equal(t, "complete answer", got.complete(), false)
						if got.problem.Kind != "" && end == nil {
							equal(t, "kind", got.problem.Kind, errkind.DeadlineExceeded)
							equal(t, "time", time.Since(start).Round(100*time.Millisecond), deadline)
							equal(t, "not-run", got.problem.Execution == errkind.NotRun, size == 10 && length < 0)
						}
						time.Sleep(deadline)
						equal(t, "requests in flight", m.nodes["owner"].local.Loads(time.Now())["levels-1"].InFlight, 0)
						select {
						case at := <-ended:
							if end != nil {
								equal(t, "time until the upstream saw it", at.Sub(start).Round(100*time.Millisecond), 0)
							}
						default: // nothing was sent
						}
					})
				})
			}
		}
	}
}

// Guards against a malformed body that looks complete to the upstream. Unlike a body
// that breaks off, it leaves the caller's connection open.
func TestMalformedUpload(t *testing.T) {
	for _, node := range []string{"owner", "entry"} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "owner", "entry")
			complete := make(chan bool, 1)
			m.serve("owner", "levels-1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				complete <- err == nil
				if err != nil {
					panic(http.ErrAbortHandler)
				}
			}))
			c, err := m.net.Dial(t.Context(), node+":1")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n%s\r\nno size\r\n", host, strings.Repeat("x", 0x20000))
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				equal(t, "status at "+node, a.StatusCode/100, 4)
				a.Body.Close()
			}
			synctest.Wait()
			select {
			case got := <-complete:
				equal(t, "complete body at "+node, got, false)
			default: // the fault was seen before anything was sent to the upstream
			}
		})
	}
}

// Guards against delaying a response or a failure of the upstream that comes before
// the end of the upload, while the caller sends nothing more, and against connections
// left in a state that blocks later requests.
func TestEarlyAnswer(t *testing.T) {
	forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
		var read int64
		var answered bool
		m.serveConns("owner", "levels-1", func(c net.Conn, r *bufio.Reader) {
			for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
				if q.Method == "GET" {
					respondTo(c, q)
					continue
				}
				io.CopyN(io.Discard, q.Body, read)
				if !answered {
					return
				}
				io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\n/once")
				<-t.Context().Done()
			}
		})
		start := time.Now()
		for _, tt := range []struct {
			size, read, length int64
			end                error
		}{
			{70 << 10, 0, -1, nil},
			{70 << 10, 70 << 10, -1, nil},
			{300 << 10, 0, -1, nil},
			{70 << 10, 0, 70 << 10, io.EOF},
			{1 << 30, 100 << 10, 1 << 30, io.EOF},
		} {
			read = tt.read
			q, _ := http.NewRequestWithContext(t.Context(), "POST", "http://"+node+":1/once", newUploadSource(t, tt.size, tt.end))
			q.Host, q.ContentLength = host, tt.length
			got := m.send(proto, q)
			if answered {
				equal(t, "status", got.status, http.StatusRequestEntityTooLarge)
				equal(t, "body", got.body, "/once")
			} else {
				equal(t, "kind", got.problem.Kind, errkind.UpstreamFailed)
			}
			equal(t, fmt.Sprint("next answer", tt), m.do(proto, node, "GET", "/next", nil).body, "/next")
		}
		if took := time.Since(start); took > deadline/2 {
			t.Errorf("took %s", took)
		}
	})
}

// Guards against losing bytes of an upload while its response is already being sent.
// net/http discards parts of the body then, unless full duplex is enabled.
func TestFullDuplex(t *testing.T) {
	forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
		m.serve("owner", "levels-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.NewResponseController(w).EnableFullDuplex()
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			n, err := io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, n, err)
		}))
		r, w := io.Pipe()
		go func() {
			for range 40 {
				io.WriteString(w, strings.Repeat("x", 10<<10))
				time.Sleep(time.Millisecond)
			}
			w.Close()
		}()
		equal(t, "read by the upstream", m.do(proto, node, "POST", "/once", r).body, fmt.Sprint(400<<10, error(nil)))
	})
}

// Guards against an upstream that keeps working after its caller disconnected, and
// against a caller that does not read its response and so holds a slot or memory beyond
// the deadline.
func TestCallerDisconnect(t *testing.T) {
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprint("reads ", reads), func(t *testing.T) {
			forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
				ended := make(chan time.Time, 1)
				m.serve("owner", "levels-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					for !reads && r.Context().Err() == nil {
						w.Write(make([]byte, 32<<10))
					}
					<-r.Context().Done()
					ended <- time.Now()
				}))
				ctx, cancel := context.WithTimeout(t.Context(), deadline/2)
				if !reads {
					ctx, cancel = context.WithCancel(t.Context())
				}
				defer cancel()
				q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+node+":1/", nil)
				q.Host = host
				start := time.Now()
				if a, err := m.client[proto].Do(q); err == nil {
					defer a.Body.Close()
				}
				want := deadline / 2
				if !reads {
					want = deadline
				}
				equal(t, "time until the upstream saw it", (<-ended).Sub(start).Round(100*time.Millisecond), want)
				time.Sleep(2 * deadline)
				equal(t, "requests in flight", m.nodes[node].handler.InFlight(), 0)
			})
		})
	}
}

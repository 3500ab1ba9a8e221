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

// everyWay runs f for each protocol of a caller and for an upstream beside the
// entry node and beside another one.
func everyWay(t *testing.T, f func(t *testing.T, m *mesh, proto, node string)) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		for _, node := range []string{"owner", "entry"} {
			t.Run(proto+" at "+node, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { f(t, newMesh(t, "owner", "entry"), proto, node) })
			})
		}
	}
}

// source is an upload that counts what was taken of it and then ends, stalls or
// breaks off.
type source struct {
	context.Context // ends a stall
	cancel          func()
	size            int64
	end             error // nil for a stall
	taken           atomic.Int64
}

func newSource(t *testing.T, size int64, end error) *source {
	s := &source{size: size, end: end}
	s.Context, s.cancel = context.WithCancel(t.Context())
	return s
}

func (s *source) Read(p []byte) (int, error) {
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

func (s *source) Close() error {
	s.cancel()
	return nil
}

// counting counts the bytes written to a connection.
type counting struct {
	net.Conn
	n *atomic.Int64
}

func (c *counting) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Guards that bodies above 64 KiB wait at the caller, or at the entry node on
// AtMostOnce routes, until an upstream has a slot for them.
func TestLargeBodyWaitsForAdmission(t *testing.T) {
	everyWay(t, func(t *testing.T, m *mesh, proto, node string) {
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
				return &counting{c, &sent}
			}
			return c
		}
		s := newSource(t, 4<<20, io.EOF)
		keyed := newSource(t, 900<<10, io.EOF)
		for path, b := range map[string]*source{"/once": s, "/keyed": keyed} {
			g.Go(func() {
				got := m.do(proto, node, "POST", path, b, caller.HeaderIdempotencyKey, "key-1")
				equal(t, "answer", len(got.body), len(got.header.Get(upstream.HeaderRequestID))+len(path)+2+int(b.size))
			})
		}
		synctest.Wait()
		equal(t, "body kept whole", keyed.taken.Load(), keyed.size)
		if got := s.taken.Load(); got > 1<<20 { // of it 512 KiB are a buffer of the HTTP/2 client
			t.Errorf("taken from the caller before admission: got %d bytes", got)
		}
		if got := sent.Load(); got > 4<<10 {
			t.Errorf("sent to the owner node before admission: got %d bytes", got)
		}
		free()
		g.Wait()
	})
}

// Guards that an upload to an upstream that does not read is held back at the
// caller instead of in the memory of the nodes, and ends with the deadline.
func TestBackpressure(t *testing.T) {
	everyWay(t, func(t *testing.T, m *mesh, proto, node string) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m.serve("owner", "levels-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ctx.Done() }))
		s := newSource(t, 1<<30, io.EOF)
		time.AfterFunc(deadline/2, func() {
			if got := s.taken.Load(); got > 1<<20 { // of it 512 KiB are a buffer of the HTTP/2 client
				t.Errorf("taken from the caller: got %d bytes", got)
			}
		})
		start := time.Now()
		got := m.do(proto, node, "POST", "/once", s)
		equal(t, "kind", got.problem.Kind, errkind.DeadlineExceeded)
		equal(t, "time", time.Since(start).Round(100*time.Millisecond), deadline)
	})
}

// Guards that a body which stalls or breaks off ends the request in time and is
// never whole to the upstream, and that one that is kept whole runs nothing.
func TestBrokenUpload(t *testing.T) {
	for _, size := range []int64{10, 200 << 10} {
		for _, end := range []error{nil, errors.New("broke off")} {
			for _, length := range []int64{-1, 300 << 10} {
				t.Run(fmt.Sprint(size, " ", end, " ", length), func(t *testing.T) {
					everyWay(t, func(t *testing.T, m *mesh, proto, node string) {
						var whole atomic.Bool
						ended := make(chan time.Time, 1)
						m.serve("owner", "levels-1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
							_, err := io.ReadAll(r.Body)
							whole.Store(err == nil)
							ended <- time.Now()
							if err != nil {
								panic(http.ErrAbortHandler)
							}
						}))
						q, _ := http.NewRequestWithContext(t.Context(), "POST", "http://"+node+":1/once", newSource(t, size, end))
						q.Host, q.ContentLength = host, length
						start := time.Now()
						got := m.send(proto, q)
						equal(t, "whole to the upstream", whole.Load(), false)
						equal(t, "whole answer", got.whole(), false)
						if got.problem.Kind != "" && end == nil {
							equal(t, "kind", got.problem.Kind, errkind.DeadlineExceeded)
							equal(t, "time", time.Since(start).Round(100*time.Millisecond), deadline)
							equal(t, "not-run", got.problem.Execution == errkind.NotRun, size == 10 && length < 0)
						}
						time.Sleep(deadline)
						equal(t, "requests under way", m.nodes["owner"].local.Loads(time.Now())["levels-1"].InFlight, 0)
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

// Guards that a body which turns out to be malformed is never whole to the
// upstream. Unlike one that breaks off, it leaves the caller's connection open.
func TestMalformedUpload(t *testing.T) {
	for _, node := range []string{"owner", "entry"} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "owner", "entry")
			whole := make(chan bool, 1)
			m.serve("owner", "levels-1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				whole <- err == nil
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
			equal(t, "whole at "+node, <-whole, false)
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				equal(t, "status at "+node, a.StatusCode/100, 4)
				a.Body.Close()
			}
		})
	}
}

// Guards that an answer which comes before the end of the upload, or a failure
// of the upstream, reaches the caller at once, although it sends no more, and
// that the connections used for it do not hold up later requests.
func TestEarlyAnswer(t *testing.T) {
	everyWay(t, func(t *testing.T, m *mesh, proto, node string) {
		var read int64
		var answered bool
		m.script("owner", "levels-1", func(c net.Conn, r *bufio.Reader) {
			for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
				if q.Method == "GET" {
					answerTo(c, q)
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
			q, _ := http.NewRequestWithContext(t.Context(), "POST", "http://"+node+":1/once", newSource(t, tt.size, tt.end))
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

// Guards that an upload keeps every byte while the answer to it is already
// being sent. net/http drops parts of the body there unless told otherwise.
func TestFullDuplex(t *testing.T) {
	everyWay(t, func(t *testing.T, m *mesh, proto, node string) {
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

// Guards that an upstream learns at once of a caller that goes away, and that a
// caller which does not read its answer holds neither a slot nor memory for
// longer than the deadline.
func TestCallerGone(t *testing.T) {
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprint("reads ", reads), func(t *testing.T) {
			everyWay(t, func(t *testing.T, m *mesh, proto, node string) {
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
				equal(t, "requests under way", m.nodes[node].handler.InFlight(), 0)
			})
		})
	}
}

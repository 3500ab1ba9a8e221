package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

const (
	testHeaderBytes   = 8192
	testHeaderTimeout = 3 * time.Second
	testIdleTimeout   = 15 * time.Second
)

// newGuarded starts a node whose configuration has limits.
func newGuarded(t *testing.T, c func(*Config)) (*pipelining, *slowUpstream) {
	t.Helper()
	u := &slowUpstream{}
	k := pipeliningConfig(t, u)
	b, err := table.New(1, map[string]*customer.Config{"pichler": k.Table().Configs()["pichler"].WithLimits(customer.Limits{
		HeaderBytes: testHeaderBytes, BodyBytes: 10, HeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout,
	})})
	if err != nil {
		t.Fatal(err)
	}
	k.Table = func() *table.Table { return b }
	c(&k)
	return startPipelining(t, u, k), u
}

// wantStatus sends b and checks the status of the response, and with it that the
// connection ends where want is a refusal.
func (p *pipelining) wantStatus(b string, want int) {
	p.t.Helper()
	go io.WriteString(p.c, b)
	a, err := http.ReadResponse(p.r, nil)
	if err != nil {
		p.t.Fatalf("got %v, want status %d", err, want)
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != want {
		p.t.Errorf("got status %d, %v, want %d", a.StatusCode, err, want)
	}
	if want == http.StatusOK {
		return
	}
	if got := a.Header.Get(HeaderExecution); got != "not-run" || !a.Close {
		p.t.Errorf("got execution %q, close %v, want not-run and true", got, a.Close)
	}
	if want == http.StatusServiceUnavailable && a.Header.Get("Retry-After") == "" {
		p.t.Error("got no Retry-After")
	}
	p.wantEnd()
}

const getHead = "GET /a/0s HTTP/1.1\r\nHost: h\r\n"

// headOf returns a complete head of n bytes.
func headOf(n int) string {
	return getHead + "X: " + strings.Repeat("x", n-len(getHead)-len("X: \r\n\r\n")) + "\r\n\r\n"
}

// Guards against heads that take memory without bound, against refusals of heads within
// the limits, and against refusals that do not say that nothing ran.
func TestHeadLimits(t *testing.T) {
	many := func(n int) string { return strings.Repeat("a:b\r\n", n) }
	for _, tt := range []struct {
		name, sent string
		want       int
	}{
		{"ordinary", getHead + "\r\n", 200},
		{"exactly the limit of bytes", headOf(testHeaderBytes), 200},
		{"above the limit of bytes", headOf(testHeaderBytes + wire.HeadAllowance + 1), 431},
		{"one line without end", "GET /" + strings.Repeat("x", testHeaderBytes+wire.HeadAllowance), 431},
		{"as many lines as allowed", getHead + many(wire.MaxHeaderLines-4) + "\r\n", 200},
		{"too many lines", getHead + many(wire.MaxHeaderLines), 431},
		{"too many lines behind another request", getHead + "\r\n" + getHead + many(wire.MaxHeaderLines) + "\r\n", 200431},
		{"too many folded lines", getHead + "x: y\r\n" + strings.Repeat(" z\r\n", wire.MaxHeaderLines+2) + strings.Repeat("b: c\r\n", 4096), 431},
		{"a head that does not arrive", getHead, 408},
		{"a line that does not arrive", "G", 408},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newGuarded(t, func(*Config) {})
				if tt.want > 999 { // two responses
					p.wantStatus(tt.sent, tt.want/1000)
					p.wantStatus("", tt.want%1000)
					return
				}
				p.wantStatus(tt.sent, tt.want)
				if tt.want == http.StatusOK {
					p.wantStatus(getHead+"\r\n", tt.want) // the same again on the same connection
				}
			})
		})
	}
}

// Guards against many lines behind a chunked body, where the end of a request is not known
// to the connection.
func TestHeadBehindChunkedBody(t *testing.T) {
	for lines, want := range map[int]int{wire.MaxHeaderLines / 2: 200, 2000: 431} {
		synctest.Test(t, func(t *testing.T) {
			p, _ := newGuarded(t, func(*Config) {})
			p.wantStatus("POST /a/0s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200)
			p.wantStatus(getHead+strings.Repeat("a:b\r\n", lines)+"\r\n", want)
		})
	}
}

// Guards against idle connections that are closed early, which loses the next request,
// and against those that stay forever.
func TestIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newGuarded(t, func(*Config) {})
		for range 3 {
			time.Sleep(testIdleTimeout - time.Second)
			p.wantStatus(getHead+"\r\n", 200)
		}
		start := time.Now()
		p.wantEnd()
		wantTook(t, start, testIdleTimeout)
	})
}

// Guards against bodies above the limit, of known and of unknown length.
func TestBodyLimit(t *testing.T) {
	const post = "POST /a/0s HTTP/1.1\r\nHost: h\r\n"
	for _, tt := range []struct {
		name, sent string
		want       int
	}{
		{"within", post + "Content-Length: 10\r\n\r\n0123456789", 200},
		{"above", post + "Content-Length: 11\r\n\r\n01234567890", 413},
		{"unknown length, within", post + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n", 200},
		{"unknown length, above", post + "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, u := newGuarded(t, func(*Config) {})
				p.wantStatus(tt.sent, tt.want)
				if got := u.startedPaths(); tt.want != 200 && got != "" {
					t.Errorf("started %q, want nothing", got)
				}
			})
		})
	}
}

// Guards against large heads that take the memory of ordinary requests: the former are
// refused while the latter are served, and nothing stays counted.
func TestBudgetIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(8 << 10)
		p, _ := newGuarded(t, func(c *Config) { c.Budget = b })
		p.wantStatus(headOf(testHeaderBytes), 503)
		for range 100 {
			p.c = p.dial()
			p.r = bufio.NewReader(p.c)
			p.wantStatus(getHead+strings.Repeat("a:b\r\n", 20)+"\r\n", 200)
			p.c.Close()
		}
		synctest.Wait()
		if got, _ := b.Held(); got != 0 {
			t.Errorf("got %d bytes held, want 0", got)
		}
	})
}

// Guards against thousands of ordinary connections, busy or idle, that use up the budget.
func TestOrdinaryConnectionsHoldNothing(t *testing.T) {
	if n := wire.CountedBytes(wire.HeadCost(1024, 20)); n != 0 {
		t.Errorf("got %d counted bytes for a head of 1 KB, want 0", n)
	}
}

// Guards against a metric that misses refusals.
func TestRefusalsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newGuarded(t, func(*Config) {})
		p.wantStatus(getHead, 408)
		got := ""
		p.h.Refusals(func(reason string, n int64) {
			if n > 0 {
				got += fmt.Sprint(reason, n)
			}
		})
		if want := "header_time1"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// Guards against connections that send or read nothing and keep ordinary callers out: they
// are closed to make room, while one that is idle after a response or whose request is
// under way stays.
func TestRoomForConnections(t *testing.T) {
	for _, tt := range []struct {
		name, sent string
		closed     bool
	}{
		{"sends nothing", "", true},
		{"head that stops", getHead, true},
		{"body that stops", "POST /a/0s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", true},
		{"idle after a response", getHead + "\r\n", false},
		{"request under way", "GET /a/10s HTTP/1.1\r\nHost: h\r\n\r\n", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newGuarded(t, func(*Config) {})
				for i := range connectionsOfTests {
					c := p.c
					if i > 0 {
						c = p.dial()
					}
					go io.WriteString(c, tt.sent)
					go io.Copy(io.Discard, c)
				}
				time.Sleep(evictAfter)
				synctest.Wait()
				p.c = p.dial()
				p.r = bufio.NewReader(p.c)
				go io.WriteString(p.c, getHead+"\r\n")
				a, err := http.ReadResponse(p.r, nil)
				if err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
				}
				if got := err == nil; got != tt.closed {
					t.Errorf("got a response %v (%v), want %v", got, err, tt.closed)
				}
			})
		})
	}
}

// Guards against a request that is under way, also one that was started ahead, and is
// canceled because another connection needs the memory.
func TestRequestUnderWayKeepsItsMemory(t *testing.T) {
	large := headOf(testHeaderBytes - 1000)
	for name, tt := range map[string]struct {
		sent      string
		responses int
	}{
		"alone":         {strings.Replace(large, "/a/0s", "/a/10s", 1), 1},
		"started ahead": {"GET /b/1s HTTP/1.1\r\nHost: h\r\n\r\n" + strings.Replace(large, "/a/0s", "/a/10s", 1), 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := budget.New(128 << 10)
				p, _ := newGuarded(t, func(c *Config) { c.Budget = b })
				first := *p
				go io.WriteString(first.c, tt.sent)
				time.Sleep(2 * time.Second)
				others := b.Open(func() { t.Error("gave way") })
				others.Protect(true)
				held, limit := b.Held()
				if held == 0 || !others.Set(limit-held) {
					t.Fatalf("got %d bytes held of %d", held, limit)
				}
				p.c = p.dial()
				p.r = bufio.NewReader(p.c)
				p.wantStatus(headOf(5000), 503)
				for range tt.responses {
					a, err := http.ReadResponse(first.r, nil)
					if err != nil || a.StatusCode != 200 {
						t.Fatalf("got %v, %v, want status 200", a, err)
					}
					_, _ = io.Copy(io.Discard, a.Body)
				}
			})
		})
	}
}

// Guards against limits that break HTTP/2 connections, which have no end of a head, and
// against HTTP/2 requests that are exempt from them.
func TestHeadLimitsHTTP2(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newGuarded(t, func(*Config) {})
		r := &http.Transport{Protocols: new(http.Protocols), DialContext: func(context.Context, string, string) (net.Conn, error) { return p.dial(), nil }}
		r.Protocols.SetUnencryptedHTTP2(true)
		defer r.CloseIdleConnections()
		for _, tt := range []struct{ lines, bytes, want int }{
			{10, 10, 200}, {wire.MaxHeaderLines + 1, 1, 431}, {1, testHeaderBytes + wire.HeadAllowance, 431}, {10, 10, 200},
		} {
			q, _ := http.NewRequest(http.MethodGet, "http://h/a/0s", nil)
			for i := range tt.lines {
				q.Header.Set(fmt.Sprint("X-", i), strings.Repeat("x", tt.bytes))
			}
			a, err := r.RoundTrip(q)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			a.Body.Close()
			if a.StatusCode != tt.want {
				t.Errorf("%d lines of %d bytes: got status %d, want %d", tt.lines, tt.bytes, a.StatusCode, tt.want)
			}
			time.Sleep(2 * testHeaderTimeout)
		}
	})
}

// Guards against connections with requests ahead without end that keep ordinary callers
// out: they end after the requests that have been started.
func TestRequestsAheadLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newGuarded(t, func(*Config) {})
		sent := strings.Repeat("GET /a/10s HTTP/1.1\r\nHost: h\r\n\r\n", 1000)
		for i := range connectionsOfTests {
			c := p.c
			if i > 0 {
				c = p.dial()
			}
			go io.WriteString(c, sent)
			go io.Copy(io.Discard, c)
		}
		time.Sleep(evictAfter)
		p.dial() // finds no room
		time.Sleep(30 * time.Second)
		p.c = p.dial()
		p.r = bufio.NewReader(p.c)
		p.wantStatus(getHead+"\r\n", 200)
	})
}

// Guards against the idle time ending a connection on which requests that were started
// ahead are still under way.
func TestIdleTimeBeginsAfterTheLastResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newGuarded(t, func(*Config) {})
		p.send("GET /a/1s", "GET /b/20s", "GET /c/30s")
		p.wantAnswer("/a/1s")
		p.wantAnswer("/b/20s")
		p.wantAnswer("/c/30s")
		start := time.Now()
		p.wantEnd()
		wantTook(t, start, testIdleTimeout)
	})
}

package peer

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// thinMbps is the rate of the links in these tests. A piece takes about 8 ms.
const thinMbps = 8.1

// startOwner starts an owner node on a thin link whose upstream answers with n bytes.
func startOwner(t *testing.T, n int) (*Client, *Server, *bodyTransport) {
	u := &bodyTransport{length: int64(n), body: func(ctx context.Context) *upstreamBody { return newUpstreamBody(ctx, n) }}
	c, p := startServerWith(t, standin.NewNetwork(), u.call, thinMbps)
	return c, p, u
}

// get sends a request on a route of rank "r" and returns its response.
func get(ctx context.Context, c *Client, remaining time.Duration) (*call.Response, error) {
	return c.Call(ctx, "owner:3", &call.Request{RequestHead: wire.RequestHead{
		RequestID: "r", Method: "GET", Rank: "r", Route: "GET downloads", Remaining: remaining, WholeBody: true,
	}})
}

// download reads a response and returns its size.
func download(ctx context.Context, c *Client) (int64, error) {
	a, err := get(ctx, c, time.Minute)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	return io.Copy(io.Discard, a.Body)
}

// assertNothingHeld checks that p and c hold no memory and no place on their links.
func assertNothingHeld(t *testing.T, p *Server, c *Client) {
	t.Helper()
	synctest.Wait()
	for name, o := range map[string]*Outlet{"owner node": p.c.Outlet, "entry node": c.c.Outlet} {
		if got := o.AheadBytes(); got != 0 {
			t.Errorf("%s: got %d bytes held, want 0", name, got)
		}
		if got := o.budget.responses.Load(); got != 0 {
			t.Errorf("%s: got %d responses, want 0", name, got)
		}
		if got := o.LinkStats(); got.Bodies != 0 || got.Waiting != 0 {
			t.Errorf("%s: got %d bodies and %d pieces waiting, want none", name, got.Bodies, got.Waiting)
		}
		time.Sleep(time.Second)
		if got := o.c.Link.Delay(); got != 0 {
			t.Errorf("%s: got a delay of %s, want 0", name, got)
		}
	}
}

// Guards against small responses that wait behind a large one, and against a large one that
// is sent faster than the link carries it.
func TestLargeResponseIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, u := startOwner(t, 500<<10)
		start, done := time.Now(), make(chan error, 1)
		go func() {
			n, err := download(t.Context(), c)
			if n != 500<<10 {
				err = errors.Errorf("got %d bytes, %v, want 500 KiB", n, err)
			}
			done <- err
		}()
		synctest.Wait()
		small := &bodyTransport{length: 1000, body: func(ctx context.Context) *upstreamBody { return newUpstreamBody(ctx, 1000) }}
		u.mu.Lock()
		u.length, u.body = small.length, small.body
		u.mu.Unlock()
		for range 10 {
			time.Sleep(17 * time.Millisecond)
			asked := time.Now()
			if n, err := download(t.Context(), c); n != 1000 || err != nil || time.Since(asked) > 0 {
				t.Errorf("small response: got %d bytes, %v after %s, want 1000 bytes at once", n, err, time.Since(asked))
			}
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		if got := time.Since(start); got < 500*time.Millisecond || got > 700*time.Millisecond {
			t.Errorf("500 KiB at 8.1 Mbit/s: got %s, want about 550 ms", got)
		}
		assertNothingHeld(t, p, c)
	})
}

// Guards against an upstream that is kept busy by a slow link or a reader that does not
// read, and against more memory for one response than its bound.
func TestReadAhead(t *testing.T) {
	for _, tt := range []struct {
		name      string
		size      int
		wantEnded bool
	}{
		{"within the bound", 500 << 10, true},
		{"above the bound", 3 << 20, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, p, u := startOwner(t, tt.size)
				a, err := get(t.Context(), c, time.Minute)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				read, ended := u.first().state()
				if ended != tt.wantEnded || read > maxAheadPerResponse+10*aheadBlock {
					t.Errorf("read ahead: got %d bytes, ended %v, want ended %v", read, ended, tt.wantEnded)
				}
				if got := p.c.Outlet.AheadBytes(); got > maxAheadPerResponse {
					t.Errorf("memory: got %d bytes, want at most %d", got, maxAheadPerResponse)
				}
				if n, err := io.Copy(io.Discard, a.Body); int(n) != tt.size || err != nil {
					t.Errorf("got %d bytes, %v, want %d", n, err, tt.size)
				}
				a.Body.Close()
				assertNothingHeld(t, p, c)
			})
		})
	}
}

// Guards against more memory for all responses than the bound of the node, and against
// responses that stop when it is used up.
func TestReadAheadOfManyResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, _ := startOwner(t, 900<<10)
		p.c.Outlet.budget.limit = 2 << 20
		var g sync.WaitGroup
		for range 20 {
			g.Go(func() {
				a, err := get(t.Context(), c, time.Hour)
				if err != nil {
					t.Error(err)
					return
				}
				defer a.Body.Close()
				time.Sleep(time.Second)
				if got := p.c.Outlet.AheadBytes(); got > 2<<20 || got < 1<<20 {
					t.Errorf("memory: got %d bytes, want at most 2 MiB, and most of it", got)
				}
				if n, err := io.Copy(io.Discard, a.Body); n != 900<<10 || err != nil {
					t.Errorf("got %d bytes, %v, want 900 KiB", n, err)
				}
			})
		}
		g.Wait()
		assertNothingHeld(t, p, c)
	})
}

// Guards that a response that the upstream cuts off is never complete for the caller, and
// that the part that was read ahead is released.
func TestCutOffLargeResponse(t *testing.T) {
	for _, length := range []int64{-1, 300 << 10, 200 << 10} {
		synctest.Test(t, func(t *testing.T) {
			c, p, u := startOwner(t, 200<<10)
			u.length = length
			u.body = func(ctx context.Context) *upstreamBody {
				b := newUpstreamBody(ctx, 200<<10)
				b.err = errors.New("connection reset")
				return b
			}
			if n, err := download(t.Context(), c); err == nil {
				t.Errorf("length %d: got %d bytes and no error, want one", length, n)
			}
			assertNothingHeld(t, p, c)
		})
	}
}

// Guards that a request that its caller gives up halfway releases its memory and its place
// on the link, and that the upstream is not blamed: the request ends before its body is
// closed.
func TestCancelHalfway(t *testing.T) {
	for _, size := range []int{200 << 10, 5 << 20} {
		synctest.Test(t, func(t *testing.T) {
			c, p, u := startOwner(t, size)
			u.body = func(ctx context.Context) *upstreamBody {
				b := newUpstreamBody(ctx, size)
				b.end = make(chan struct{}) // the upstream does not end its response
				return b
			}
			ctx, cancel := context.WithCancel(t.Context())
			a, err := get(ctx, c, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.ReadFull(a.Body, make([]byte, 50<<10)); err != nil {
				t.Errorf("got %d bytes, %v, want 50 KiB", n, err)
			}
			cancel()
			if n, err := io.Copy(io.Discard, a.Body); err == nil {
				t.Errorf("got the end after %d bytes, want an error", n)
			}
			a.Body.Close()
			time.Sleep(time.Second)
			b := u.first()
			b.mu.Lock()
			if !b.canceled {
				t.Error("body closed: got a request that has not ended, want an ended one")
			}
			b.mu.Unlock()
			assertNothingHeld(t, p, c)
		})
	}
}

// Guards that a stopping node sends the responses that it has read ahead, although their
// upstream is free already.
func TestDrainOfPacedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, u := startOwner(t, 500<<10)
		got := make(chan error, 1)
		go func() {
			n, err := download(t.Context(), c)
			if n != 500<<10 {
				err = errors.Errorf("got %d bytes, %v, want 500 KiB", n, err)
			}
			got <- err
		}()
		time.Sleep(50 * time.Millisecond)
		if _, ended := u.first().state(); !ended {
			t.Fatal("the upstream is not free, so the test shows nothing")
		}
		idle := make(chan struct{})
		go func() {
			p.c.Outlet.WaitSent(t.Context())
			close(idle)
		}()
		p.Refuse()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if p.Drain(ctx) == nil {
			t.Error("Drain returned before the end of the response")
		}
		select {
		case <-idle:
			t.Error("WaitSent returned before the end of the response")
		default:
		}
		if err := p.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		if err := <-got; err != nil {
			t.Error(err)
		}
		<-idle
		assertNothingHeld(t, p, c)
	})
}

// Guards that a request whose large response could not arrive in time is refused before it
// runs, with the time to come back and the delay of the link, and that requests of routes
// with small responses are not.
func TestRefusalForTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, u := startOwner(t, 100<<10)
		if _, err := download(t.Context(), c); err != nil { // the size is learned
			t.Fatal(err)
		}
		var open []io.Closer
		for range 10 {
			a, err := get(t.Context(), c, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, a.Body)
		}
		calls := u.calls()
		start := time.Now()
		_, err := get(t.Context(), c, 500*time.Millisecond)
		var l *call.LoadError
		if err == nil {
			t.Fatal("got a response, want a refusal")
		}
		if e := errkind.From(err); e.Kind != errkind.QueueFull || e.Execution != errkind.NotRun || !errors.As(err, &l) || l.After < 100*time.Millisecond || l.Arrived {
			t.Errorf("got %v, want QueueFull, not-run, with a retry delay", err)
		}
		if got := u.calls() - calls; got != 0 || time.Since(start) > 0 {
			t.Errorf("got %d calls of the upstream after %s, want none at once", got, time.Since(start))
		}
		if got := p.c.Outlet.LinkStats().Refusals; got != 1 {
			t.Errorf("refusals: got %d, want 1", got)
		}
		u.mu.Lock()
		u.length, u.body = 100, func(ctx context.Context) *upstreamBody { return newUpstreamBody(ctx, 100) }
		u.mu.Unlock()
		a, err := c.Call(t.Context(), "owner:3", &call.Request{RequestHead: wire.RequestHead{
			RequestID: "s", Method: "GET", Rank: "r", Route: "GET levels", Remaining: 500 * time.Millisecond, WholeBody: true,
		}})
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, a.Body); n != 100 || err != nil {
			t.Errorf("small response: got %d bytes, %v, want 100", n, err)
		}
		if got := a.Load().LinkDelayMillis; got < 500 || got > 1500 {
			t.Errorf("reported delay of the link: got %d ms, want about 1 s", got)
		}
		for _, b := range append(open, a.Body) {
			b.Close()
		}
		assertNothingHeld(t, p, c)
		if _, err := get(t.Context(), c, 500*time.Millisecond); err != nil {
			t.Errorf("once the link is free: got %v, want no refusal", err)
		}
	})
}

// Guards that responses to HEAD, whose stated length is not sent, neither count as large
// nor hide the size of a route's responses.
func TestHeadIsSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, u := startOwner(t, 0)
		u.length = 1 << 20
		end := make(chan struct{})
		u.body = func(ctx context.Context) *upstreamBody {
			b := newUpstreamBody(ctx, 0)
			b.end = end
			return b
		}
		done := make(chan error, 1)
		go func() {
			a, err := c.Call(t.Context(), "owner:3", &call.Request{RequestHead: wire.RequestHead{RequestID: "h", Method: "HEAD", Route: "GET downloads", Remaining: time.Second, WholeBody: true}})
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			done <- err
		}()
		synctest.Wait()
		if got := p.c.Outlet.LinkStats().Bodies; got != 0 {
			t.Errorf("large bodies: got %d, want none", got)
		}
		close(end)
		if err := <-done; err != nil {
			t.Error(err)
		}
		if got := p.c.Outlet.meanSize("GET downloads"); got != 0 {
			t.Errorf("mean size: got %v, want 0", got)
		}
		if got := p.c.Outlet.LinkStats().LargeBytes; got != 0 {
			t.Errorf("large bytes: got %d, want 0", got)
		}
		assertNothingHeld(t, p, c)
	})
}

// Guards that large request bodies are sent at the rate of the entry node's link, and that
// one that is given up halfway releases its place.
func TestLargeRequestIsPaced(t *testing.T) {
	for _, tt := range []struct {
		name    string
		limit   time.Duration
		wantErr bool
	}{
		{"complete", time.Minute, false},
		{"given up", 300 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, p := startServerWith(t, standin.NewNetwork(), func(_ context.Context, r *call.Request) (*call.Response, error) {
					if err := r.OnAdmitted(); err != nil {
						return nil, err
					}
					if _, err := io.Copy(io.Discard, r.Stream); err != nil {
						return nil, err
					}
					return newResponse(r.RequestID, 2, bytes.NewReader([]byte("ok"))), nil
				}, thinMbps)
				start := time.Now()
				err := upload(c, zeros(500<<10), tt.limit)
				if (err != nil) != tt.wantErr {
					t.Errorf("got %v, want an error: %v", err, tt.wantErr)
				}
				if got := time.Since(start); !tt.wantErr && (got < 500*time.Millisecond || got > 700*time.Millisecond) {
					t.Errorf("500 KiB at 8.1 Mbit/s: got %s, want about 550 ms", got)
				}
				assertNothingHeld(t, p, c)
			})
		})
	}
}

// Guards that the responses of the node's own upstream to callers are paced and read ahead
// too, that they count in the size of the route, and that one that is cut off is reported.
func TestToCallers(t *testing.T) {
	for _, end := range []error{io.EOF, errors.New("connection reset")} {
		synctest.Test(t, func(t *testing.T) {
			c, p, u := startOwner(t, 500<<10)
			u.body = func(ctx context.Context) *upstreamBody {
				b := newUpstreamBody(ctx, 500<<10)
				b.err = end
				return b
			}
			start := time.Now()
			a, err := p.c.Outlet.ToCallers(p.c.Transport).Call(t.Context(), &call.Request{RequestHead: wire.RequestHead{
				RequestID: "r", Method: "GET", Route: "GET downloads", Remaining: time.Minute, WholeBody: true,
			}})
			if err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if _, ended := u.first().state(); !ended {
				t.Error("upstream: got it busy with a response that nobody reads, want it free")
			}
			n, err := io.Copy(io.Discard, a.Body)
			if n != 500<<10 || (err == nil) != call.IsEOF(end) {
				t.Errorf("got %d bytes, %v, want 500 KiB, %v", n, err, end)
			}
			a.Body.Close()
			if got := time.Since(start); got < 500*time.Millisecond || got > 700*time.Millisecond {
				t.Errorf("500 KiB at 8.1 Mbit/s: got %s, want about 550 ms", got)
			}
			if got, want := p.c.Outlet.meanSize("GET downloads") > 0, call.IsEOF(end); got != want {
				t.Errorf("size learned: got %v, want %v", got, want)
			}
			assertNothingHeld(t, p, c)
		})
	}
}

// Guards that an upstream is not blamed for a response that its caller does not read to the
// end: the request ends before the body is closed, and everything is released.
func TestCallerLeavesHalfway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, u := startOwner(t, 500<<10)
		u.body = func(ctx context.Context) *upstreamBody {
			b := newUpstreamBody(ctx, 500<<10)
			b.end = make(chan struct{}) // the upstream does not end its response
			return b
		}
		a, err := p.c.Outlet.ToCallers(p.c.Transport).Call(t.Context(), &call.Request{RequestHead: wire.RequestHead{RequestID: "r", Remaining: time.Minute, WholeBody: true}})
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.ReadFull(a.Body, make([]byte, 50<<10)); err != nil {
			t.Errorf("got %d bytes, %v, want 50 KiB", n, err)
		}
		a.Body.Close()
		assertNothingHeld(t, p, c)
		b := u.first()
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.canceled || !b.ended {
			t.Errorf("got a request that was canceled: %v, read to its end: %v, want both", b.canceled, b.ended)
		}
	})
}

package peer

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// sharedMbps is the rate of a sharedLink.
	sharedMbps = 18
	// sendBuffer is what a connection takes before it blocks its writer.
	sendBuffer = 256 << 10
	// packetOverhead is the part of the link that headers take.
	packetOverhead = 1.05
)

// sharedLink is the link of a VM, which carries the writes of all its connections in the
// order in which they were made.
type sharedLink struct {
	net.Listener
	mu   sync.Mutex
	free time.Time
}

// Accept implements net.Listener.
func (l *sharedLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &sharedConn{Conn: c, link: l, parts: make(chan linkPart, 1024), done: make(chan struct{})}
	k.room = sync.NewCond(&k.mu)
	go func() {
		defer close(k.done)
		for p := range k.parts {
			time.Sleep(time.Until(p.at))
			k.Conn.Write(p.data)
			k.mu.Lock()
			k.queued -= len(p.data)
			k.mu.Unlock()
			k.room.Broadcast()
		}
		k.Conn.Close()
	}()
	return k, nil
}

type sharedConn struct {
	net.Conn
	link   *sharedLink
	parts  chan linkPart
	done   chan struct{}
	mu     sync.Mutex
	room   *sync.Cond
	queued int
	closed bool
}

// Write takes b at once, up to sendBuffer, as a kernel does.
func (c *sharedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.queued > sendBuffer && !c.closed {
		c.room.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queued += len(b)
	l := c.link
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(len(b)) * packetOverhead / (sharedMbps * 1e6 / 8) * float64(time.Second)))
	at := l.free
	l.mu.Unlock()
	c.parts <- linkPart{at, slices.Clone(b)}
	return len(b), nil
}

// Close closes the connection behind the bytes that are on their way.
func (c *sharedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.parts)
		c.room.Broadcast()
	}
	return nil
}

// startOnSharedLink starts an owner node on a sharedLink whose upstream takes 20 ms, and
// answers with as many bytes as the route says.
func startOnSharedLink(t *testing.T, mbps float64) *Client {
	n := standin.NewNetwork()
	l, err := n.Listen("owner:3")
	if err != nil {
		t.Fatal(err)
	}
	m := wire.NewMux()
	o := NewOutlet(OutletConfig{Link: link.New(mbps), Rank: func(_, rank string) (int, time.Duration) {
		return map[string]int{"small": 1, "large": 2}[rank], time.Second
	}})
	NewServer(ServerConfig{LinkMbps: mbps, Outlet: o, Transport: transportFunc(func(ctx context.Context, r *call.Request) (*call.Response, error) {
		time.Sleep(20 * time.Millisecond)
		size := map[string]int{"small": 1 << 10, "large": 90_000}[r.Rank]
		return newResponse(r.RequestID, int64(size), newUpstreamBody(ctx, size)), nil
	})}).Register(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- wire.Serve(ctx, &sharedLink{Listener: l}, m, wire.ServeOptions{}) }()
	c := NewClient(ClientConfig{Dial: n.Dial, TCPUserTimeout: time.Second})
	t.Cleanup(func() { c.Close(); cancel(); <-done })
	return c
}

// demand is what callers got.
type demand struct {
	mu       sync.Mutex
	complete int
	refused  int
	failed   int
	slowest  time.Duration
}

// offer sends requests of a rank at intervals for d, and returns what callers got.
func offer(c *Client, rank string, interval, d time.Duration) *demand {
	m := &demand{}
	var g sync.WaitGroup
	for range int(d / interval) {
		time.Sleep(interval)
		g.Go(func() {
			start := time.Now()
			err := fetch(c, rank)
			m.mu.Lock()
			defer m.mu.Unlock()
			var l *call.LoadError
			switch {
			case err == nil:
				m.complete++
				m.slowest = max(m.slowest, time.Since(start))
			case errors.As(err, &l) && !l.Arrived:
				m.refused++
			default:
				m.failed++
			}
		})
	}
	g.Wait()
	return m
}

func fetch(c *Client, rank string) error {
	const remaining = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	a, err := c.Call(ctx, "owner:3", &call.Request{RequestHead: wire.RequestHead{
		RequestID: "r", Method: "GET", Rank: rank, Route: "GET " + rank, Remaining: remaining, WholeBody: true,
	}})
	if err != nil {
		return err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// Guards the real path on a link that all connections share: small responses are late by at
// most two pieces beside downloads that demand 130% of the link, and the downloads that it
// can carry arrive.
func TestSmallResponsesBesideDownloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startOnSharedLink(t, sharedMbps)
		const d = 20 * time.Second
		var large *demand
		var g sync.WaitGroup
		g.Go(func() { large = offer(c, "large", 31*time.Millisecond, d) })
		small := offer(c, "small", 7*time.Millisecond, d)
		g.Wait()
		t.Logf("small %d complete, slowest %s; large %d complete, %d refused, %d failed", small.complete, small.slowest, large.complete, large.refused, large.failed)
		if small.refused+small.failed > 0 || small.slowest > 20*time.Millisecond+2*8*time.Millisecond+2*time.Millisecond {
			t.Errorf("small: got %d refused, %d failed, slowest %s, want none, and at most 38 ms", small.refused, small.failed, small.slowest)
		}
		link := sharedMbps*1e6/8/packetOverhead*d.Seconds() - float64(small.complete)*1500
		if got, want := float64(large.complete)*90_000, 0.9*link; got < want {
			t.Errorf("large: got %.0f bytes in complete responses, want at least %.0f", got, want)
		}
		if large.refused == 0 || large.failed > large.refused/5 {
			t.Errorf("large: got %d failed and %d refused, want the others refused at once", large.failed, large.refused)
		}
	})
}

// Guards against a response that another node has sent already and that then waits behind
// bodies that have not begun, since it is past its target.
func TestRelayedResponseIsNotStarved(t *testing.T) {
	for _, length := range []int64{-1, 200_000} {
		synctest.Test(t, func(t *testing.T) {
			o, now := NewOutlet(OutletConfig{Link: link.New(sharedMbps)}), time.Now()
			var g sync.WaitGroup
			for range 20 {
				f := o.c.Link.Open(link.Class{Order: 1, Target: now.Add(5 * time.Second), Deadline: now.Add(8 * time.Second)}, 100_000)
				g.Go(func() {
					defer f.Close()
					for left := 100_000; left > 0; left -= min(left, o.c.Link.PieceBytes(0)) {
						f.Acquire(t.Context(), min(left, o.c.Link.PieceBytes(0)))
					}
				})
			}
			synctest.Wait() // all have a piece that waits
			c := link.Class{Order: 1, Target: now.Add(-time.Second), Deadline: now.Add(3 * time.Second)}
			a := o.paceToCaller(t.Context(), c, &call.Request{}, newResponse("r", length, newUpstreamBody(t.Context(), 200_000)))
			n, err := io.Copy(io.Discard, a.Body)
			a.Body.Close()
			if took := time.Since(now); n != 200_000 || err != nil || took > 200*time.Millisecond {
				t.Errorf("length %d: got %d bytes and %v after %s, want 200,000 within 200 ms", length, n, err, took)
			}
			g.Wait()
		})
	}
}

// Guards against an upload that stops in the middle without an end, for the owner node
// and for the entry node, when it can no longer be sent by its deadline.
func TestUploadThatIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := startServerWith(t, standin.NewNetwork(), func(_ context.Context, r *call.Request) (*call.Response, error) {
			if err := r.OnAdmitted(); err != nil {
				return nil, err
			}
			_, err := io.Copy(io.Discard, r.Stream)
			return nil, err
		}, sharedMbps)
		other := c.c.Outlet.c.Link.Open(link.Class{Order: 0}, 5_000_000)
		defer other.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go func() {
			for other.Acquire(ctx, c.c.Outlet.c.Link.PieceBytes(0)) == nil && ctx.Err() == nil {
			}
		}()
		start := time.Now()
		_, err := c.Call(ctx, "owner:3", &call.Request{Stream: io.NopCloser(zeros(3_000_000)), RequestHead: wire.RequestHead{
			RequestID: "r", Method: "PUT", Rank: "rr", Remaining: 2 * time.Second, ContentLength: 3_000_000,
		}})
		if got := errkind.From(err); got.Kind != errkind.DeadlineExceeded || got.Execution != errkind.Unknown || !errors.Is(err, link.ErrTooLate) {
			t.Errorf("got %v (%s, %s), want it too late, with an unknown outcome", err, got.Kind, got.Execution)
		}
		if took := time.Since(start); took > 1500*time.Millisecond {
			t.Errorf("got the error after %s, want it before the deadline", took)
		}
	})
}

package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
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

// slowBody arrives in chunks of 16 KiB with a pause before each. It counts the bodies
// that arrive at the same time.
type slowBody struct {
	io.Reader
	pause       time.Duration
	arriving    *atomic.Int32
	maxArriving *atomic.Int32
	started     bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		if n := b.arriving.Add(1); n > b.maxArriving.Load() {
			b.maxArriving.Store(n)
		}
	}
	time.Sleep(b.pause)
	n, err := b.Reader.Read(p[:min(len(p), 16<<10)])
	if err != nil {
		b.arriving.Add(-1)
	}
	return n, err
}

// startNarrowLink starts an owner node on a link that carries one large body at a
// time, and returns a client of it.
func startNarrowLink(t *testing.T) *Client {
	n := standin.NewNetwork()
	l, err := n.Listen("owner:3")
	if err != nil {
		t.Fatal(err)
	}
	m := wire.NewMux()
	NewServer(ServerConfig{LinkMbps: transferMbps, Transport: transportFunc(func(_ context.Context, r *call.Request) (*call.Response, error) {
		if r.Stream != nil {
			if err := r.OnAdmitted(); err != nil {
				return nil, err
			}
			if _, err := io.Copy(io.Discard, r.Stream); err != nil {
				return nil, err
			}
		}
		return newResponse(r.RequestID, 2, bytes.NewReader([]byte("ok"))), nil
	})}).Register(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- wire.Serve(ctx, l, m, wire.ServeOptions{}) }()
	c := NewClient(ClientConfig{Dial: n.Dial, TCPUserTimeout: time.Second})
	t.Cleanup(func() { c.Close(); cancel(); <-done })
	return c
}

// upload sends a streamed body within limit.
func upload(c *Client, body io.Reader, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a, err := c.Call(ctx, "owner:3", &call.Request{
		RequestHead: wire.RequestHead{RequestID: "u", Method: "POST", Remaining: limit},
		Stream:      io.NopCloser(body),
	})
	if err != nil {
		return err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

func zeros(n int) io.Reader { return bytes.NewReader(make([]byte, n)) }

// Guards that large bodies do not share a narrow link, so that a small request or
// response never waits behind more than one of them.
func TestLargeBodiesArriveInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startNarrowLink(t)
		var arriving, maxArriving atomic.Int32
		done := make(chan error)
		for range 4 {
			go func() {
				done <- upload(c, &slowBody{Reader: zeros(64 << 10), pause: 20 * time.Millisecond, arriving: &arriving, maxArriving: &maxArriving}, 10*time.Second)
			}()
		}
		time.Sleep(time.Millisecond)
		start := time.Now()
		if _, err := do(c, "small", nil); err != nil || time.Since(start) > 0 {
			t.Errorf("small request: got %v after %s, want no wait", err, time.Since(start))
		}
		for range 4 {
			if err := <-done; err != nil {
				t.Errorf("upload: %v", err)
			}
		}
		if got := maxArriving.Load(); got != 1 {
			t.Errorf("bodies at the same time: got %d, want 1", got)
		}
	})
}

// Guards against a link that stands idle between two bodies, and against one that carries
// more than a chunk beside a body: small requests would wait behind it.
func TestNextBodyIsAdmittedBeforeTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTransferLimiter(1)
		acquire := func(size int64) chan *transfer {
			c := make(chan *transfer, 1)
			go func() {
				k, err := g.acquire(t.Context(), link.Class{}, time.Hour, size)
				if err != nil {
					t.Errorf("acquire: %v", err)
				}
				c <- k
			}()
			synctest.Wait()
			return c
		}
		granted := func(name string, c chan *transfer, want bool) {
			t.Helper()
			synctest.Wait()
			if got := len(c) == 1; got != want {
				t.Errorf("%s: admitted: got %v, want %v", name, got, want)
			}
		}
		first := <-acquire(60 << 10)
		second, third := acquire(20<<10), acquire(20<<10)
		granted("60 KiB of the first are due", second, false)
		first.received(20 << 10)
		granted("40 KiB of the first are due", second, false)
		first.received(20 << 10)
		granted("20 KiB of the first are due", second, true)
		granted("40 KiB of two are due", third, false)
		first.release()
		granted("20 KiB of the second are due", third, true)
		(<-second).release()
		(<-third).release()
		unknown := <-acquire(-1)
		last := acquire(10 << 10)
		unknown.received(1 << 20)
		granted("an unknown number is due", last, false)
		unknown.release()
		granted("nothing is due", last, true)
		if got := g.due; got != 10<<10 {
			t.Errorf("bytes due: got %d, want 10 KiB", got)
		}
	})
}

// Guards that the most urgent bodies are received first, and within a rank the one with the
// earliest target, and that less urgent ones are not left waiting for ever.
func TestOrderOfTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		class := func(order int, target time.Duration) link.Class {
			return link.Class{Order: order, Target: now.Add(target)}
		}
		g := newTransferLimiter(1)
		running, err := g.acquire(t.Context(), class(1, 0), time.Hour, 60<<10)
		if err != nil {
			t.Fatal(err)
		}
		granted := make(chan string)
		enter := func(name string, c link.Class) {
			go func() {
				k, err := g.acquire(t.Context(), c, time.Hour, 60<<10)
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				granted <- name
				k.release()
			}()
			synctest.Wait()
		}
		enter("less urgent", class(2, time.Second))
		enter("late", class(1, 2*time.Second))
		enter("without a time", link.Class{Order: 1})
		enter("early", class(1, time.Second))
		for range behindShare {
			enter("more", class(1, time.Minute))
		}
		running.release()
		got := make([]string, 0, 4+behindShare)
		for range cap(got) {
			got = append(got, <-granted)
		}
		want := append([]string{"early", "late"}, slices.Repeat([]string{"more"}, behindShare-3)...)
		want = append(want, "less urgent", "more", "more", "more", "without a time")
		if !slices.Equal(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// Guards that a body that cannot arrive in time is refused at once as not-run, with a
// retry delay, and that it does not count towards the limit afterwards.
func TestLargeBodyWithoutTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startNarrowLink(t)
		var arriving, maxArriving atomic.Int32
		slow := func() io.Reader {
			return &slowBody{Reader: zeros(64 << 10), pause: 20 * time.Millisecond, arriving: &arriving, maxArriving: &maxArriving}
		}
		done := make(chan error)
		go func() { done <- upload(c, slow(), time.Minute) }()
		synctest.Wait()
		start := time.Now()
		err := upload(c, slow(), 150*time.Millisecond)
		var l *call.LoadError
		if e := errkind.From(err); e.Kind != errkind.QueueFull || e.Execution != errkind.NotRun || !errors.As(err, &l) || l.After <= 0 {
			t.Errorf("got %#v, want QueueFull, not-run, with a retry delay", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("refused after %s, want at once", took)
		}
		if err := <-done; err != nil {
			t.Errorf("first upload: %v", err)
		}
		if err := upload(c, slow(), time.Minute); err != nil {
			t.Errorf("upload after the refusal: %v", err)
		}
	})
}

// Guards that callers that send slowly, or give up while they wait, do not block the
// link for others.
func TestSlowSendersDoNotBlockLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startNarrowLink(t)
		var arriving, maxArriving atomic.Int32
		done := make(chan error, 2)
		go func() {
			done <- upload(c, &slowBody{Reader: zeros(64 << 10), pause: 10 * time.Second, arriving: &arriving, maxArriving: &maxArriving}, time.Minute)
		}()
		synctest.Wait()
		go func() { done <- upload(c, zeros(64<<10), 500*time.Millisecond) }() // gives up while it waits
		synctest.Wait()
		start := time.Now()
		if err := upload(c, zeros(64<<10), time.Minute); err != nil {
			t.Errorf("upload during a slow one: %v", err)
		}
		if took := time.Since(start); took > 2*maxTransferTime {
			t.Errorf("upload during a slow one took %s, want at most %s", took, 2*maxTransferTime)
		}
		if err := <-done; errkind.From(err).Execution != errkind.NotRun {
			t.Errorf("given up: got %v, want not-run", err)
		}
		if err := <-done; err != nil {
			t.Errorf("slow upload: %v", err)
		}
	})
}

// Guards that fast links are not limited to one body.
func TestMaxTransfersOnLink(t *testing.T) {
	for mbps, want := range map[float64]int{0: maxTransfers, 4.13: 1, 5.53: 1, 170: 34, 1000: 200, 100000: maxTransfers} {
		if got := maxTransfersOn(mbps); got != want {
			t.Errorf("%v Mbit/s: got %d, want %d", mbps, got, want)
		}
	}
}

// Guards against bodies that take the link of one owner node after the other although
// these refuse them: nothing of a body is sent before the request has been admitted.
func TestRefusedBodiesAreNotSent(t *testing.T) {
	for _, size := range []int{call.InlineBodyBytes + 1, 25 << 10, 60 << 10} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &delayLink{}
				c := startServerOverLink(t, l, func(context.Context, *call.Request) (*call.Response, error) {
					return nil, errkind.New(errkind.QueueFull, "no slot")
				})
				_, err := c.Call(t.Context(), "owner:3", &call.Request{RequestHead: wire.RequestHead{
					RequestID: "r", Method: "POST", Remaining: time.Second, WholeBody: true, Body: make([]byte, size), ContentLength: int64(size),
				}})
				if errkind.Of(err) != errkind.QueueFull {
					t.Errorf("got %v, want the refusal", err)
				}
				if got := l.sent.Load(); got > 1<<10 {
					t.Errorf("sent to the owner node: got %d bytes, want at most 1 KiB", got)
				}
			})
		})
	}
}

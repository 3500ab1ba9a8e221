package idempotency

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// tryLimit bounds one call of one control, so that a silent control costs
	// only a part of the request's time.
	tryLimit = 300 * time.Millisecond
	// minTry is above the time of a claim on a majority in another zone.
	minTry = 20 * time.Millisecond
	// tryShare is the part of the remaining time that one try may use.
	tryShare = 3
	// firstPause and maxPause space the rounds over all controls. A request of
	// 2 s makes at most ten rounds while the controls elect a leader.
	firstPause = 10 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// settleLimit bounds how long an answer waits for its outcome to be
	// recorded, or a refusal for its claim to be released.
	settleLimit = time.Second
)

// Control calls one control. Its errors have a kind; execution not-run says
// that the call had no effect and will have none.
type Control interface {
	Claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Complete(ctx context.Context, q *wire.CompleteRequest) (*wire.Empty, error)
	Release(ctx context.Context, q *wire.ReleaseRequest) (*wire.Empty, error)
}

// Config holds the parts of a Client.
type Config struct {
	// Node is the name of the node.
	Node string
	// Controls returns the controls to try, the preferred one first.
	Controls func() []Control
	Log      logr.Logger
	// Jitter returns the pause to make instead of d. The default is a random
	// time between half and one and a half of d, so that nodes do not return
	// to a control all at once.
	Jitter func(d time.Duration) time.Duration
}

// Client claims keys at controls. It is safe for concurrent use.
type Client struct {
	config     Config
	background chan task
	pending    atomic.Int64
	stop       context.CancelFunc
	running    sync.WaitGroup
}

// New starts a Client. Close stops it.
func New(c Config) *Client {
	if c.Jitter == nil {
		c.Jitter = func(d time.Duration) time.Duration { return d/2 + mathrand.N(d) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Client{config: c, background: make(chan task, maxBackground), stop: cancel}
	for range backgroundWorkers {
		k.running.Go(func() { k.work(ctx) })
	}
	return k
}

// Close waits for the background work until ctx ends, then stops it and waits
// for the goroutines.
func (c *Client) Close(ctx context.Context) error {
	for c.pending.Load() > 0 && sleep(ctx, closePoll) {
	}
	c.stop()
	c.running.Wait()
	return nil
}

// newClaimID returns 130 random bits as text.
func newClaimID() string { return rand.Text() }

// Claim asks the controls in turn, with the same claim ID, until one answers
// or ctx ends. Unsure says that a try without an answer may still take effect;
// the caller must then release the claim ID unless the claim was granted.
func (c *Client) Claim(ctx context.Context, q *wire.ClaimRequest) (a *wire.ClaimResponse, unsure bool, err error) {
	err = c.each(ctx, func(try context.Context, k Control) error {
		t := *q
		t.Remaining = remaining(ctx, q.Remaining)
		var err error
		a, err = k.Claim(try, &t)
		if err == nil && a == nil {
			err = errkind.New(errkind.Internal, "control answered a claim without a state")
		}
		if err != nil && errkind.From(err).Execution != errkind.NotRun {
			unsure = true
		}
		return err
	})
	return a, unsure, err
}

// Complete records the outcome of a granted claim.
func (c *Client) Complete(ctx context.Context, q *wire.CompleteRequest) error {
	return c.each(ctx, func(ctx context.Context, k Control) error {
		_, err := k.Complete(ctx, q)
		return err
	})
}

// Release withdraws a claim. The request must not be sent afterwards.
func (c *Client) Release(ctx context.Context, q *wire.ReleaseRequest) error {
	return c.each(ctx, func(ctx context.Context, k Control) error {
		_, err := k.Release(ctx, q)
		return err
	})
}

// each calls f with one control after the other until it succeeds, fails for
// good, or ctx ends.
func (c *Client) each(ctx context.Context, f func(ctx context.Context, k Control) error) error {
	last := error(errkind.New(errkind.NoQuorum, "no control is reachable"))
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		done, err := c.round(ctx, f)
		if done {
			return err
		}
		if err != nil {
			last = err
		}
		if !sleep(ctx, c.config.Jitter(pause)) {
			return last
		}
	}
}

// round calls f once with each control. It reports whether the work is done.
func (c *Client) round(ctx context.Context, f func(ctx context.Context, k Control) error) (bool, error) {
	var last error
	for _, k := range c.config.Controls() {
		if ctx.Err() != nil {
			break
		}
		t, cancel := context.WithTimeout(ctx, tryTime(ctx))
		err := f(t, k)
		cancel()
		if err == nil || final(errkind.Of(err)) {
			return true, err
		}
		last = err
	}
	return false, last
}

// final reports whether another control would answer the same.
func final(k errkind.Kind) bool {
	switch k {
	case errkind.BadRequest, errkind.TooLarge, errkind.QueueFull, errkind.Conflict, errkind.Unauthorized:
		return true
	}
	return false
}

func tryTime(ctx context.Context) time.Duration {
	return max(minTry, min(tryLimit, remaining(ctx, tryShare*tryLimit)/tryShare))
}

// remaining returns the time until ctx ends, or otherwise if it has no end.
func remaining(ctx context.Context, otherwise time.Duration) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return otherwise
	}
	return max(0, time.Until(d))
}

// sleep reports whether ctx outlasted d.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

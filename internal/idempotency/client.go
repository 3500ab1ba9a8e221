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
	// maxTryTimeout bounds one call to one control, so that an unresponsive control
	// uses only part of the request's time.
	maxTryTimeout = 300 * time.Millisecond
	// minTryTimeout exceeds the time of a claim with a majority in another zone.
	minTryTimeout = 20 * time.Millisecond
	// tryShare bounds one try to 1/tryShare of the remaining time.
	tryShare = 3
	// initialBackoff and maxBackoff are the delays between rounds over all controls. A
	// request of 2 s makes at most ten rounds while the controls elect a leader.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// finishTimeout bounds how long a response waits until its outcome is recorded, or
	// a refusal until its claim is released.
	finishTimeout = time.Second
)

// Control is a client of one control. Its errors have an errkind; execution not-run
// states that the call had no effect and will have none.
type Control interface {
	Claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Complete(ctx context.Context, q *wire.CompleteRequest) (*wire.Empty, error)
	Release(ctx context.Context, q *wire.ReleaseRequest) (*wire.Empty, error)
}

// Config configures a Client.
type Config struct {
	// Node is the name of the node.
	Node string
	// Controls returns the controls to try, the preferred one first.
	Controls func() []Control
	Log      logr.Logger
	// Jitter returns the delay to use instead of d. The default is a random time
	// between 0.5 and 1.5 times d, so that nodes do not return to a control all at once.
	Jitter func(d time.Duration) time.Duration
}

// Client claims keys at controls. It is safe for concurrent use.
type Client struct {
	config     Config
	background chan task
	pending    atomic.Int64
	stop       context.CancelFunc
	workers    sync.WaitGroup
}

// New starts a Client. Close stops it.
func New(c Config) *Client {
	if c.Jitter == nil {
		c.Jitter = func(d time.Duration) time.Duration { return d/2 + mathrand.N(d) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Client{config: c, background: make(chan task, maxBackground), stop: cancel}
	for range backgroundWorkers {
		k.workers.Go(func() { k.runWorker(ctx) })
	}
	return k
}

// Close waits until the background calls are done or ctx ends, then stops the workers
// and waits for them.
func (c *Client) Close(ctx context.Context) error {
	for c.pending.Load() > 0 && sleep(ctx, closePollInterval) {
	}
	c.stop()
	c.workers.Wait()
	return nil
}

// newClaimID returns 130 random bits as text.
func newClaimID() string { return rand.Text() }

// Claim calls the controls in turn, with the same claim ID, until one responds or ctx
// ends. mayTakeEffect states that a try without a response may still take effect; the
// caller must then release the claim ID unless the claim was granted.
func (c *Client) Claim(ctx context.Context, q *wire.ClaimRequest) (a *wire.ClaimResponse, mayTakeEffect bool, err error) {
	err = c.callUntilDone(ctx, func(try context.Context, k Control) error {
		t := *q
		t.Remaining = remaining(ctx, q.Remaining)
		var err error
		a, err = k.Claim(try, &t)
		if err == nil && a == nil {
			err = errkind.New(errkind.Internal, "control answered a claim without a state")
		}
		if err != nil && errkind.From(err).Execution != errkind.NotRun {
			mayTakeEffect = true
		}
		return err
	})
	return a, mayTakeEffect, err
}

// Complete records the outcome of a granted claim.
func (c *Client) Complete(ctx context.Context, q *wire.CompleteRequest) error {
	return c.callUntilDone(ctx, func(ctx context.Context, k Control) error {
		_, err := k.Complete(ctx, q)
		return err
	})
}

// Release releases a claim. The request must not be sent afterwards.
func (c *Client) Release(ctx context.Context, q *wire.ReleaseRequest) error {
	return c.callUntilDone(ctx, func(ctx context.Context, k Control) error {
		_, err := k.Release(ctx, q)
		return err
	})
}

// callUntilDone calls f with one control after the other, in rounds with backoff, until
// it succeeds, fails with a final error, or ctx ends.
func (c *Client) callUntilDone(ctx context.Context, f func(ctx context.Context, k Control) error) error {
	last := error(errkind.New(errkind.NoQuorum, "no control is reachable"))
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		done, err := c.tryControls(ctx, f)
		if done {
			return err
		}
		if err != nil {
			last = err
		}
		if !sleep(ctx, c.config.Jitter(backoff)) {
			return last
		}
	}
}

// tryControls calls f once with each control until it succeeds or fails with a final
// error, and reports whether it did.
func (c *Client) tryControls(ctx context.Context, f func(ctx context.Context, k Control) error) (bool, error) {
	var last error
	for _, k := range c.config.Controls() {
		if ctx.Err() != nil {
			break
		}
		t, cancel := context.WithTimeout(ctx, tryTimeout(ctx))
		err := f(t, k)
		cancel()
		if err == nil || isFinal(errkind.Of(err)) {
			return true, err
		}
		last = err
	}
	return false, last
}

// isFinal reports whether another control would return the same error.
func isFinal(k errkind.Kind) bool {
	switch k {
	case errkind.BadRequest, errkind.TooLarge, errkind.QueueFull, errkind.Conflict, errkind.Unauthorized:
		return true
	}
	return false
}

func tryTimeout(ctx context.Context) time.Duration {
	return max(minTryTimeout, min(maxTryTimeout, remaining(ctx, tryShare*maxTryTimeout)/tryShare))
}

// remaining returns the time until the deadline of ctx, or fallback if it has none.
func remaining(ctx context.Context, fallback time.Duration) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return fallback
	}
	return max(0, time.Until(d))
}

// sleep waits for d, and reports false if ctx ends first.
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

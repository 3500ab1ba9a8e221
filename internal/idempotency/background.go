package idempotency

import (
	"context"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxBackground bounds the releases and outcomes that wait for a control;
	// with outcomes of 24 KiB they take at most 6 MiB of a node's 64 MB.
	maxBackground     = 256
	backgroundWorkers = 4
	// backgroundLimit exceeds the time in which a lost control is replaced by
	// an election or a restart.
	backgroundLimit = 5 * time.Minute
	roundLimit      = time.Second
	backgroundPause = time.Second
	closePoll       = 10 * time.Millisecond
)

// task is a call that is repeated until a control confirms it.
type task struct {
	name  string
	claim string
	until time.Time
	call  func(ctx context.Context, k Control) error
}

// later queues a call, or drops it when too many wait. A lost release or
// outcome never leads to a second execution: resends are answered unknown.
func (c *Client) later(name, claim string, call func(ctx context.Context, k Control) error) {
	c.pending.Add(1)
	c.queue(task{name, claim, time.Now().Add(backgroundLimit), call})
}

func (c *Client) queue(t task) {
	select {
	case c.background <- t:
	default:
		c.drop(t, errkind.New(errkind.QueueFull, "%d calls wait for a control", maxBackground))
	}
}

func (c *Client) drop(t task, cause error) {
	c.pending.Add(-1)
	c.config.Log.Info("claim left without an outcome", "call", t.name, "claim", t.claim, "cause", cause.Error())
}

// work takes tasks in turn. One that fails goes to the end, so that a claim
// group without quorum does not hold up the others.
func (c *Client) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-c.background:
			c.attempt(ctx, t)
		}
	}
}

func (c *Client) attempt(ctx context.Context, t task) {
	r, cancel := context.WithTimeout(ctx, roundLimit)
	done, err := c.round(r, t.call)
	cancel()
	switch {
	case done && err == nil:
		c.pending.Add(-1)
	case done && errkind.Of(err) != errkind.QueueFull, !time.Now().Before(t.until):
		c.drop(t, err)
	case sleep(ctx, c.config.Jitter(backgroundPause)):
		c.queue(t)
	}
}

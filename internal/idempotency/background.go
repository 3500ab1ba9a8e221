package idempotency

import (
	"context"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxBackground bounds the queued releases and outcomes. With outcomes of 24 KiB
	// they take at most 6 MiB of a node's 64 MB.
	maxBackground     = 256
	backgroundWorkers = 4
	// backgroundTimeout exceeds the time in which a lost control is replaced by an
	// election or a restart.
	backgroundTimeout    = 5 * time.Minute
	roundTimeout         = time.Second
	backgroundRetryDelay = time.Second
	closePollInterval    = 10 * time.Millisecond
)

// task is a call to the controls that is repeated until one confirms it or the deadline
// passes.
type task struct {
	name     string
	claim    string
	deadline time.Time
	call     func(ctx context.Context, k Control) error
}

// callInBackground queues a call, or drops it if the queue is full. A lost release or
// outcome never leads to a second execution: the response to a resend states that the
// outcome is unknown.
func (c *Client) callInBackground(name, claim string, call func(ctx context.Context, k Control) error) {
	c.pending.Add(1)
	c.enqueue(task{name, claim, time.Now().Add(backgroundTimeout), call})
}

func (c *Client) enqueue(t task) {
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

// runWorker runs queued tasks. One that fails is queued again at the end, so that a
// claim group without quorum does not block the others.
func (c *Client) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-c.background:
			c.runTask(ctx, t)
		}
	}
}

func (c *Client) runTask(ctx context.Context, t task) {
	r, cancel := context.WithTimeout(ctx, roundTimeout)
	done, err := c.tryControls(r, t.call)
	cancel()
	switch {
	case done && err == nil:
		c.pending.Add(-1)
	case done && errkind.Of(err) != errkind.QueueFull, !time.Now().Before(t.deadline):
		c.drop(t, err)
	case sleep(ctx, c.config.Jitter(backgroundRetryDelay)):
		c.enqueue(t)
	}
}

package control

import (
	"context"
	"sync"
	"time"
)

const (
	// barrierInterval is the shortest time between the starts of two barriers. Each costs
	// eight messages of about 190 bytes between five controls, 38 KB/s at 25 per second.
	// Calls for tokens wait for half of the interval on average.
	barrierInterval = 40 * time.Millisecond
	// sharedBarrierTimeout is longer than a node waits for a reply, except on renewals.
	sharedBarrierTimeout = 500 * time.Millisecond
)

// sharedBarrier lets many requests share read barriers. A request joins only a barrier
// that starts after it has arrived.
type sharedBarrier struct {
	read func(ctx context.Context) error

	mu      sync.Mutex
	next    *barrierRound // not started
	started time.Time
}

// barrierRound is one barrier; err is set when done is closed.
type barrierRound struct {
	done chan struct{}
	err  error
}

// wait returns when a barrier is confirmed that started after the call.
func (b *sharedBarrier) wait(ctx context.Context) error {
	b.mu.Lock()
	r := b.next
	if r == nil {
		r = &barrierRound{done: make(chan struct{})}
		b.next = r
		at := b.started.Add(barrierInterval)
		time.AfterFunc(max(0, time.Until(at)), func() { b.run(r) })
	}
	b.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// run runs the barrier r.
func (b *sharedBarrier) run(r *barrierRound) {
	b.mu.Lock()
	b.next, b.started = nil, time.Now()
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), sharedBarrierTimeout)
	defer cancel()
	r.err = b.read(ctx)
	close(r.done)
}

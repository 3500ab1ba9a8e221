package claims

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxBatch and maxBatchBytes keep one log entry well below the largest
	// inner message.
	maxBatch      = 1024
	maxBatchBytes = 1 << 20
	// maxWaiting and maxWaitingBytes bound the commands of a group that wait
	// for a proposal.
	maxWaiting      = 16 * maxBatch
	maxWaitingBytes = 16 * maxBatchBytes
)

// batcher collects the commands of one group while a proposal is outstanding
// and proposes them as one log entry, so that one sync serves many commands.
// It does not wait for company when idle: a timer would cost more than the
// sync it saves.
type batcher struct {
	group  Group
	limits Limits
	limit  time.Duration
	start  time.Time
	wake   chan struct{}

	mu      sync.Mutex
	waiting []*item
	bytes   int // of the waiting commands
	closed  bool
}

// item is one command on its way through a batcher.
type item struct {
	command []byte
	done    chan answer // holds one answer, so that the sender never waits
	state   itemState   // guarded by the batcher
}

// itemState is the place of an item on its way.
type itemState int

const (
	waiting itemState = iota
	proposed
	withdrawn
)

type answer struct {
	result Result
	err    error
}

func newBatcher(g Group, l Limits, limit time.Duration) *batcher {
	return &batcher{group: g, limits: l, limit: limit, start: time.Now(), wake: make(chan struct{}, 1)}
}

// do returns the machine's result for command. An error with execution not-run
// says that the command was not proposed.
func (b *batcher) do(ctx context.Context, command []byte) (Result, error) {
	it := &item{command: command, done: make(chan answer, 1)}
	if err := b.enqueue(it); err != nil {
		return Result{}, err
	}
	select {
	case a := <-it.done:
		return a.result, a.err
	case <-ctx.Done():
	}
	if b.withdraw(it) {
		return Result{}, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "claim group did not take the command in time")
	}
	return Result{}, errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "claim group did not answer in time")
}

func (b *batcher) enqueue(it *item) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errkind.New(errkind.Leaving, "control is stopping")
	}
	if len(b.waiting) >= maxWaiting || b.bytes >= maxWaitingBytes {
		return errkind.New(errkind.QueueFull, "%d commands wait for the claim group", len(b.waiting))
	}
	b.waiting = append(b.waiting, it)
	b.bytes += len(it.command)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// withdraw keeps it from being proposed and reports whether it was in time.
func (b *batcher) withdraw(it *item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if it.state == proposed {
		return false
	}
	it.state = withdrawn
	return true
}

// take removes the next batch from the waiting items.
func (b *batcher) take() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*item
	size := 0
	for len(b.waiting) > 0 && len(batch) < maxBatch {
		it := b.waiting[0]
		if size > 0 && size+len(it.command) > maxBatchBytes {
			break
		}
		b.waiting[0], b.waiting = nil, b.waiting[1:]
		b.bytes -= len(it.command)
		if it.state == withdrawn {
			continue
		}
		it.state = proposed
		batch = append(batch, it)
		size += len(it.command)
	}
	return batch
}

// run proposes until ctx ends, and then refuses what still waits.
func (b *batcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-b.wake:
		case <-ctx.Done():
		}
		for ctx.Err() == nil {
			batch := b.take()
			if len(batch) == 0 {
				break
			}
			b.propose(ctx, batch)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, it := range b.waiting {
		it.done <- answer{err: errkind.New(errkind.Leaving, "control is stopping")}
	}
	b.waiting = nil
}

func (b *batcher) propose(ctx context.Context, batch []*item) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	r, err := b.send(ctx, batch)
	for i, it := range batch {
		if err != nil {
			it.done <- answer{err: err}
			continue
		}
		it.done <- answer{result: r[i], err: r[i].Fault.Err()}
	}
}

func (b *batcher) send(ctx context.Context, batch []*item) ([]Result, error) {
	c := Command{Stamp: b.stamp(), Limits: b.limits, Batch: make([]cbor.RawMessage, len(batch))}
	for i, it := range batch {
		c.Batch[i] = it.command
	}
	e, err := c.Encode()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "encode batch")
	}
	a, err := b.group.Propose(ctx, e)
	if err != nil {
		return nil, err
	}
	r, ok := a.([]Result)
	if !ok || len(r) != len(batch) {
		return nil, errkind.New(errkind.Internal, "claim group answered a batch of %d with %T", len(batch), a)
	}
	return r, nil
}

// stamp returns the time since the start of the process added to the time of
// its start, so that a step of the clock of a running process does not reach
// the records.
func (b *batcher) stamp() int64 { return b.start.Add(time.Since(b.start)).UnixMilli() }

package claims

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxBatch and maxBatchBytes keep one log entry well below the maximum size
	// of a message between processes.
	maxBatch      = 1024
	maxBatchBytes = 1 << 20
	// maxWaiting and maxWaitingBytes limit the commands of a group that wait to
	// be proposed.
	maxWaiting      = 16 * maxBatch
	maxWaitingBytes = 16 * maxBatchBytes
)

// batcher collects the commands of one group while a proposal is outstanding
// and proposes them as one log entry, so that one fsync covers many commands.
// When idle, it proposes a command immediately: waiting for more commands would
// take longer than the fsync that it could save.
type batcher struct {
	group     Group
	limits    Limits
	timeLimit time.Duration
	start     time.Time
	wake      chan struct{}

	mu      sync.Mutex
	waiting []*pendingCommand
	bytes   int // total size of the waiting commands
	closed  bool
}

// pendingCommand is a command that was passed to a batcher and has no result yet.
type pendingCommand struct {
	command []byte
	done    chan answer  // buffers one answer, so that the sender never blocks
	state   pendingState // guarded by the batcher
}

// pendingState says whether a command is waiting, proposed or withdrawn.
type pendingState int

const (
	waiting pendingState = iota
	proposed
	withdrawn
)

type answer struct {
	result Result
	err    error
}

func newBatcher(g Group, l Limits, limit time.Duration) *batcher {
	return &batcher{group: g, limits: l, timeLimit: limit, start: time.Now(), wake: make(chan struct{}, 1)}
}

// do proposes command in a batch and returns its result. An error with execution
// not-run means that the command was not proposed and never will be.
func (b *batcher) do(ctx context.Context, command []byte) (Result, error) {
	it := &pendingCommand{command: command, done: make(chan answer, 1)}
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

func (b *batcher) enqueue(it *pendingCommand) error {
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

// withdraw prevents a command from being proposed. It returns false if the command
// was already proposed.
func (b *batcher) withdraw(it *pendingCommand) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if it.state == proposed {
		return false
	}
	it.state = withdrawn
	return true
}

// take removes the next batch from the waiting commands.
func (b *batcher) take() []*pendingCommand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*pendingCommand
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

// run proposes batches until ctx is canceled, and then refuses the commands that
// still wait.
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

// propose commits batch as one log entry and answers each of its commands.
func (b *batcher) propose(ctx context.Context, batch []*pendingCommand) {
	ctx, cancel := context.WithTimeout(ctx, b.timeLimit)
	defer cancel()
	r, err := b.proposeEntry(ctx, batch)
	for i, it := range batch {
		if err != nil {
			it.done <- answer{err: err}
			continue
		}
		it.done <- answer{result: r[i], err: r[i].Fault.Err()}
	}
}

// proposeEntry proposes batch as one log entry and returns a result per command.
func (b *batcher) proposeEntry(ctx context.Context, batch []*pendingCommand) ([]Result, error) {
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

// stamp returns the batcher's start time plus the monotonic time elapsed since
// then, so that a step of the wall clock does not affect the records.
func (b *batcher) stamp() int64 { return b.start.Add(time.Since(b.start)).UnixMilli() }

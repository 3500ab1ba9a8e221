package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// transferMbps is the rate at which a large body from another node is expected to
	// arrive. A link of n times this rate receives n of them concurrently.
	transferMbps = 5
	// maxTransfers bounds the concurrent transfers on any link.
	maxTransfers = 512
	// initialTransferTime is the assumed duration of a transfer until one has been
	// measured.
	initialTransferTime = 100 * time.Millisecond
	// maxTransferTime is how long a body counts towards the limit. One that takes
	// longer does not fill the link.
	maxTransferTime = time.Second
	// transferSmoothing is the weight of a new measurement in the moving averages.
	transferSmoothing = 0.1
	// overlapBytes is how much of a body may still be due, for each that may arrive, when
	// the next one is admitted. It covers the round trip until that one arrives.
	overlapBytes = call.ChunkBytes
	// behindShare is the fraction of the transfers that goes to less urgent ranks while more
	// urgent ones could take the whole link.
	behindShare = 10
	// minTransferRetry is the shortest retry delay for a refused body.
	minTransferRetry = 50 * time.Millisecond
)

// maxTransfersOn returns how many large bodies may be received concurrently over a
// link of the given rate; zero means that the rate is unknown.
func maxTransfersOn(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxTransfers
	}
	return min(max(1, int(linkMbps/transferMbps)), maxTransfers)
}

// transferLimiter bounds the large bodies that are received concurrently, so that
// small requests and responses do not wait behind them on the VM's link.
type transferLimiter struct {
	mu           sync.Mutex
	limit        int
	running      int
	due          int64       // bytes of the running transfers that have not arrived
	waiting      []*transfer // by rank, and then by target or deadline
	passedOver   int         // transfers granted since behindShare was last used
	meanTransfer float64     // moving average, seconds from the admission to the last chunk
	meanService  float64     // moving average, seconds from the grant to the response
}

// transfer is the transfer of one large body.
type transfer struct {
	limiter   *transferLimiter
	class     link.Class
	granted   chan struct{}
	grantedAt time.Time
	started   time.Time
	timer     *time.Timer
	once      sync.Once
	released  bool
	due       int64 // bytes that have not arrived; of an unknown number, all until the end
}

func newTransferLimiter(limit int) *transferLimiter {
	return &transferLimiter{limit: limit, meanTransfer: initialTransferTime.Seconds()}
}

// acquire returns once a body of the given class and size, or of an unknown size, may be
// sent. It refuses a request at once if its body cannot be received and the request answered within
// the remaining time.
func (g *transferLimiter) acquire(ctx context.Context, c link.Class, remaining time.Duration, size int64) (*transfer, error) {
	t, wait := g.enqueue(c, remaining, size)
	if t == nil {
		return nil, &call.LoadError{
			Err:   errkind.New(errkind.QueueFull, "the link is busy for %s with the bodies of other requests", wait.Round(time.Millisecond)),
			After: max(wait, minTransferRetry),
		}
	}
	select {
	case <-t.granted:
		return t, nil
	case <-ctx.Done():
		t.release()
		return nil, errkind.New(call.ContextErrorKind(ctx, errkind.Canceled), "request ended while its body waited for the link").WithExecution(errkind.NotRun)
	}
}

// enqueue returns nil and the predicted wait if that is too long.
func (g *transferLimiter) enqueue(c link.Class, remaining time.Duration, size int64) (*transfer, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	place := 0
	for place < len(g.waiting) && !before(c, g.waiting[place].class) {
		place++
	}
	wait := g.predictWait(place)
	if wait+time.Duration(max(g.meanTransfer, g.meanService)*float64(time.Second)) > remaining {
		return nil, wait
	}
	t := &transfer{limiter: g, class: c, granted: make(chan struct{}), due: size}
	if size <= 0 {
		t.due = unknownSize
	}
	g.waiting = slices.Insert(g.waiting, place, t)
	g.grantWaiting()
	return t, 0
}

// before reports whether a body of class c is received before one of class d that came
// earlier.
func before(c, d link.Class) bool {
	if c.Order != d.Order {
		return c.Order < d.Order
	}
	due := func(c link.Class) time.Time {
		if c.Target.IsZero() {
			return c.Deadline
		}
		return c.Target
	}
	a, b := due(c), due(d)
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// predictWait estimates how long a body has to wait behind the given number of waiting
// ones. The caller holds the lock.
func (g *transferLimiter) predictWait(ahead int) time.Duration {
	if g.running < g.limit {
		return 0
	}
	return time.Duration(float64(ahead+1) / float64(g.limit) * float64(g.transferTime()))
}

func (g *transferLimiter) transferTime() time.Duration {
	return time.Duration(g.meanTransfer * float64(time.Second))
}

// unknownSize stands for the size of a body without a length. Many of them can be added.
const unknownSize = 1 << 40

func (g *transferLimiter) grantWaiting() {
	for len(g.waiting) > 0 && (g.running < g.limit || g.due < int64(g.limit)*overlapBytes) {
		i := g.next()
		t := g.waiting[i]
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.running++
		g.due += t.due
		t.grantedAt = time.Now()
		close(t.granted)
	}
}

// next returns the index of the next transfer: the first, or one in behindShare times the
// first of a less urgent rank. The caller holds the lock.
func (g *transferLimiter) next() int {
	i := slices.IndexFunc(g.waiting, func(t *transfer) bool { return t.class.Order > g.waiting[0].class.Order })
	if i < 0 {
		return 0
	}
	if g.passedOver++; g.passedOver < behindShare {
		return 0
	}
	g.passedOver = 0
	return i
}

// start records that the body is about to be sent.
func (t *transfer) start() {
	t.limiter.mu.Lock()
	defer t.limiter.mu.Unlock()
	t.started = time.Now()
	t.timer = time.AfterFunc(maxTransferTime, t.release)
}

// received records that n bytes of the body have arrived.
func (t *transfer) received(n int) {
	g := t.limiter
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.released || t.due >= unknownSize {
		return
	}
	k := min(int64(n), t.due)
	t.due -= k
	g.due -= k
	g.grantWaiting()
}

// recordResponse updates meanService once the upstream has responded.
func (t *transfer) recordResponse() {
	t.limiter.mu.Lock()
	defer t.limiter.mu.Unlock()
	t.limiter.meanService += (time.Since(t.grantedAt).Seconds() - t.limiter.meanService) * transferSmoothing
}

// release ends the transfer and grants the next one. A transfer that still waits is only
// removed from the queue.
func (t *transfer) release() {
	t.once.Do(func() {
		g := t.limiter
		g.mu.Lock()
		defer g.mu.Unlock()
		if i := slices.Index(g.waiting, t); i >= 0 {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			return
		}
		t.released = true
		g.running--
		g.due -= t.due
		if t.timer != nil {
			t.timer.Stop()
			g.meanTransfer += (time.Since(t.started).Seconds() - g.meanTransfer) * transferSmoothing
		}
		g.grantWaiting()
	})
}

// LargeBodies returns how many large bodies are being received, and how many wait for
// the link.
func (p *Server) LargeBodies() (arriving, waiting int) {
	p.transfers.mu.Lock()
	defer p.transfers.mu.Unlock()
	return p.transfers.running, len(p.transfers.waiting)
}

// addWait returns l for requests with large bodies of a rank of the given order: the wait
// for the link is added as waiting requests, each of which takes serviceTime.
func (g *transferLimiter) addWait(l *wire.Load, order int, serviceTime time.Duration) *wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := 0
	for _, t := range g.waiting {
		if t.class.Order <= order {
			ahead++
		}
	}
	w := g.predictWait(ahead)
	if l == nil || w <= 0 || serviceTime <= 0 {
		return l
	}
	n := *l
	n.Waiting += int(w.Seconds() / serviceTime.Seconds() * float64(l.Limit))
	return &n
}

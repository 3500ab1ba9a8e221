package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// transferMbps is the rate at which one body of another node is expected to
	// arrive. A link carries one more at the same time for each of it.
	transferMbps = 5
	// maxTransfers bounds the bodies that arrive at the same time on any link.
	maxTransfers = 512
	// firstTransfer is the assumed time of a transfer until one was seen.
	firstTransfer = 100 * time.Millisecond
	// maxTransfer is how long a body counts as arriving. One that takes longer
	// does not fill the link.
	maxTransfer = time.Second
	// transferWeight is the weight of one transfer in the mean time.
	transferWeight = 0.1
	// minTransferRetry is the shortest time after which a refused body may come
	// again.
	minTransferRetry = 50 * time.Millisecond
)

// transfersOf returns how many large bodies may arrive at the same time on a link
// of the given rate; zero stands for an unknown one.
func transfersOf(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxTransfers
	}
	return min(max(1, int(linkMbps/transferMbps)), maxTransfers)
}

// gate bounds the large bodies that arrive at the same time, so that small
// requests and answers do not wait behind them on the VM's link.
type gate struct {
	mu      sync.Mutex
	limit   int
	running int
	waiting []*transfer // first come, first served
	mean    float64     // seconds of a transfer
	served  float64     // seconds from the grant to the answer
}

// transfer is one body.
type transfer struct {
	gate    *gate
	granted chan struct{}
	at      time.Time // of the grant
	started time.Time
	timer   *time.Timer
	once    sync.Once
}

func newGate(limit int) *gate { return &gate{limit: limit, mean: firstTransfer.Seconds()} }

// acquire returns once the body may be sent. It refuses at once what cannot be
// transferred and answered within the remaining time.
func (g *gate) acquire(ctx context.Context, remaining time.Duration) (*transfer, error) {
	t, wait := g.enter(remaining)
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

// enter returns nil and the predicted wait when that is too long.
func (g *gate) enter(remaining time.Duration) (*transfer, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := g.wait()
	if wait+time.Duration(max(g.mean, g.served)*float64(time.Second)) > remaining {
		return nil, wait
	}
	t := &transfer{gate: g, granted: make(chan struct{})}
	g.waiting = append(g.waiting, t)
	g.grant()
	return t, 0
}

// wait predicts how long the next body has to wait. The caller holds the lock.
func (g *gate) wait() time.Duration {
	if g.running < g.limit {
		return 0
	}
	return time.Duration(float64(len(g.waiting)+1) / float64(g.limit) * float64(g.transferTime()))
}

func (g *gate) transferTime() time.Duration { return time.Duration(g.mean * float64(time.Second)) }

func (g *gate) grant() {
	for g.running < g.limit && len(g.waiting) > 0 {
		t := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		g.running++
		t.at = time.Now()
		close(t.granted)
	}
}

// begin notes that the body is about to arrive.
func (t *transfer) begin() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.started = time.Now()
	t.timer = time.AfterFunc(maxTransfer, t.release)
}

// answered notes that the request of the body was answered.
func (t *transfer) answered() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.served += (time.Since(t.at).Seconds() - t.gate.served) * transferWeight
}

// release lets the next body come.
func (t *transfer) release() {
	t.once.Do(func() {
		g := t.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		if i := slices.Index(g.waiting, t); i >= 0 {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			return
		}
		g.running--
		if t.timer != nil {
			t.timer.Stop()
			g.mean += (time.Since(t.started).Seconds() - g.mean) * transferWeight
		}
		g.grant()
	})
}

// LargeBodies returns how many large bodies arrive now and how many wait for the link.
func (p *Server) LargeBodies() (arriving, waiting int) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.gate.running, len(p.gate.waiting)
}

// load returns l as requests with large bodies see it: the wait for the link
// counts as requests ahead, each of the usual time.
func (g *gate) load(l *wire.Load, usual time.Duration) *wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.wait()
	if l == nil || w <= 0 || usual <= 0 {
		return l
	}
	n := *l
	n.Waiting += int(w.Seconds() / usual.Seconds() * float64(l.Limit))
	return &n
}

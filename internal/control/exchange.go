package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	// compareInterval is how often two controls compare their registries. It
	// also shows that the other control is alive.
	compareInterval = 2 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// homeLimit is how long the nodes of a control that stopped answering have
	// to appear at another one. It is longer than the largest backoff of a
	// node plus its lease.
	homeLimit = 30 * time.Second
)

// exchange spreads node records between controls: changes at once, and a
// comparison of digests from time to time, which repairs what was lost.
type exchange struct {
	control  string
	registry *registry.Registry
	streams  *Streams
	log      logr.Logger
	pool     *wire.Pool
	others   []settings.Member

	mu       sync.Mutex
	pending  map[string][]wire.NodeRecord
	answered map[string]time.Time
	started  time.Time
}

func newExchange(control string, members []settings.Member, p *wire.Pool, s *Streams, l logr.Logger) *exchange {
	e := &exchange{
		control:  control,
		registry: s.registry,
		streams:  s,
		log:      l,
		pool:     p,
		pending:  map[string][]wire.NodeRecord{},
		answered: map[string]time.Time{},
		started:  time.Now(),
	}
	for _, m := range members {
		if m.Name != control {
			e.others = append(e.others, m)
			e.answered[m.Name] = e.started
		}
	}
	return e
}

// receive answers another control.
func (e *exchange) receive(_ context.Context, q *wire.RegistrySyncRequest) (*wire.RegistrySyncResponse, error) {
	e.heard(q.Control)
	e.take(q.Records)
	a := &wire.RegistrySyncResponse{}
	if len(q.Buckets) > 0 {
		for _, b := range e.registry.Differing(q.Buckets) {
			if len(a.Records)+len(b.Records) > endpointChunk {
				break // the next comparison continues
			}
			a.Records = append(a.Records, b.Records...)
		}
	}
	return a, nil
}

func (e *exchange) heard(control string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.answered[control]; ok {
		e.answered[control] = time.Now()
	}
}

// take stores records from another control and passes them to this control's
// nodes.
func (e *exchange) take(l []wire.NodeRecord) { e.streams.put(l) }

// push queues changed records for the other controls. Records that came from
// another control are not passed on, since that control sends them to all.
func (e *exchange) push(l []wire.NodeRecord) {
	var own []wire.NodeRecord
	for _, r := range l {
		if r.Home == e.control {
			own = append(own, r)
		}
	}
	if len(own) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.others {
		e.pending[m.Name] = append(e.pending[m.Name], own...)
	}
}

// run exchanges with one control until ctx ends.
func (e *exchange) run(ctx context.Context, m settings.Member) {
	t := time.NewTicker(batchInterval)
	defer t.Stop()
	var compared time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l := e.takePending(m.Name)
			compare := now.Sub(compared) >= compareInterval
			if len(l) == 0 && !compare {
				continue
			}
			if compare {
				compared = now
			}
			if err := e.call(ctx, m, l, compare); err != nil {
				e.log.V(1).Info("registry exchange failed", "control", m.Name, "cause", err.Error())
			}
		}
	}
}

// takePending returns the queued records. What is lost with a failed call is
// repaired by the next comparison.
func (e *exchange) takePending(name string) []wire.NodeRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.pending[name]
	n := min(len(l), endpointChunk)
	e.pending[name] = l[n:]
	return l[:n]
}

func (e *exchange) call(ctx context.Context, m settings.Member, l []wire.NodeRecord, compare bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	q := &wire.RegistrySyncRequest{Control: e.control, Records: l}
	if compare {
		q.Buckets = e.registry.Buckets()
	}
	a, err := wire.PoolCall[wire.RegistrySyncRequest, wire.RegistrySyncResponse](ctx, e.pool, m.Address, wire.MethodRegistrySync, q)
	if err != nil {
		return err
	}
	e.heard(m.Name)
	e.take(a.Records)
	return nil
}

// expire removes nodes whose control has not answered for homeLimit and which
// did not appear at another control. Call it only while this control is in
// contact with a majority.
func (e *exchange) expire(now time.Time) {
	e.mu.Lock()
	silent := map[string]bool{}
	for k, t := range e.answered {
		if now.Sub(t) > homeLimit {
			silent[k] = true
		}
	}
	e.mu.Unlock()
	if len(silent) == 0 {
		return
	}
	var gone []wire.NodeRecord
	for _, r := range e.registry.Records() {
		if silent[r.Home] {
			r.Gone = true
			gone = append(gone, r)
		}
	}
	for _, r := range e.streams.put(gone) {
		e.log.Info("node removed", "node", r.Node, "reason", "its control "+r.Home+" is silent and no other control holds its lease")
	}
}

// settled reports whether this control has had time to learn of every node: all
// other controls answered since it started, or had homeLimit to do so.
func (e *exchange) settled(now time.Time) bool { return now.Sub(e.started) > homeLimit }

package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	// compareInterval is how often two controls compare their registries. It
	// also shows that the other control is alive. A change that was lost on its
	// way arrives with the next comparison, within the 3 s in which a leaving
	// upstream must be known.
	compareInterval = 2 * time.Second
	// exchangeTimeout bounds one exchange.
	syncTimeout = 2 * time.Second
	// homeLimit is how long the nodes of a control that stopped answering have
	// to appear at another one. It is longer than the largest backoff of a
	// node plus its lease.
	homeTimeout = 30 * time.Second
	// maxPending bounds the records that wait for one control.
	maxPendingRecords = 16_000
)

// exchange spreads node records between controls: changes at once, and a
// comparison of digests from time to time, which repairs what was lost.
type registrySync struct {
	control  string
	source   configSource
	registry *registry.Registry
	streams  *Streams
	log      logr.Logger
	pool     *wire.Pool
	// directory names the other controls.
	directory *directory

	mu      sync.Mutex
	peers   map[string]*peerControl
	started time.Time
	// since is when this control came into contact with a majority, zero while
	// it is not.
	majoritySince time.Time
}

// peer is another control.
type peerControl struct {
	member settings.Member
	// ctx ends when the control is no longer listed.
	ctx     context.Context
	stop    context.CancelFunc
	pending []wire.NodeRecord
	// heard is when this control last exchanged records with the peer, told
	// when any other control said that it did.
	lastContact, reportedContact time.Time
	// compared is when the last complete comparison began.
	lastCompared time.Time
}

func newRegistrySync(control string, d *directory, c configSource, p *wire.Pool, s *Streams, l logr.Logger) *registrySync {
	return &registrySync{
		control:   control,
		directory: d,
		source:    c,
		registry:  s.registry,
		streams:   s,
		log:       l,
		pool:      p,
		peers:     map[string]*peerControl{},
		started:   time.Now(),
	}
}

// follow takes the list of controls and returns those that are new. A control
// that has moved to another address is new as well.
func (e *registrySync) updatePeers(ctx context.Context) []*peerControl {
	l := e.directory.list()
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := map[string]bool{}
	var added []*peerControl
	for _, m := range l {
		listed[m.Name] = true
		o := e.peers[m.Name]
		if m.Name == e.control || o != nil && o.member == m {
			continue
		}
		if o != nil {
			o.stop()
		}
		p := &peerControl{member: m}
		p.ctx, p.stop = context.WithCancel(ctx)
		e.peers[m.Name] = p
		added = append(added, p)
	}
	for k, p := range e.peers {
		if !listed[k] {
			p.stop()
			delete(e.peers, k)
		}
	}
	return added
}

// receive answers another control.
func (e *registrySync) handleSync(_ context.Context, q *wire.RegistrySyncRequest) (*wire.RegistrySyncResponse, error) {
	if l := e.source.Lineage(); l == "" || q.Lineage != l {
		return nil, errkind.New(errkind.NotCurrent, "control %s is of lineage %q, the call of lineage %q", e.control, l, q.Lineage)
	}
	e.mu.Lock()
	p := e.peers[q.Control]
	e.mu.Unlock()
	if p == nil && e.directory.fixed {
		return nil, errkind.New(errkind.BadRequest, "control %q is not a member", q.Control)
	}
	if err := wire.CheckRecords(q.Records); err != nil {
		e.log.Info("records of a control refused", "control", q.Control, "cause", err.Error())
		return nil, err
	}
	if p != nil { // a control that has just joined may call before it is listed here
		e.recordContact(p, q.Heard)
	}
	e.storeRecords(q.Records)
	a := &wire.RegistrySyncResponse{Heard: e.contactAges()}
	if len(q.Buckets) > 0 {
		a.Records, a.Next = e.differingRecords(q.Buckets, q.First)
	}
	return a, nil
}

// differing returns the records of differing buckets from first on, and the
// bucket to continue with, or zero.
func (e *registrySync) differingRecords(digests []uint64, first int) ([]wire.NodeRecord, int) {
	var l []wire.NodeRecord
	size := 0
	for _, k := range e.registry.DifferingBuckets(digests) {
		if k < first {
			continue
		}
		r, _ := e.registry.Bucket(k)
		n := encodedBytes(r)
		if len(l) > 0 && size+n > maxEndpointBytes {
			return l, k
		}
		l = append(l, r...)
		size += n
	}
	return l, 0
}

// exchanged notes that p is alive, and which controls p has heard.
func (e *registrySync) recordContact(p *peerControl, heard map[string]time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	p.lastContact = now
	for k, age := range heard {
		if o := e.peers[k]; o != nil && o != p && now.Add(-age).After(o.reportedContact) {
			o.reportedContact = now.Add(-age)
		}
	}
}

// heard returns how long ago this control exchanged with each other control
// itself. What others told is left out, so that controls do not keep a dead one
// alive by telling each other.
func (e *registrySync) contactAges() map[string]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]time.Duration{}
	for k, p := range e.peers {
		if !p.lastContact.IsZero() {
			m[k] = time.Since(p.lastContact)
		}
	}
	return m
}

// take stores records from another control and passes them to this control's
// nodes.
func (e *registrySync) storeRecords(l []wire.NodeRecord) { e.streams.put(l) }

// push queues changed records for the other controls. Records that came from
// another control are not passed on, since that control sends them to all.
func (e *registrySync) queueRecords(l []wire.NodeRecord) {
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
	for _, p := range e.peers {
		if p.pending = append(p.pending, own...); len(p.pending) > maxPendingRecords {
			p.pending = nil // the next comparison finds them
		}
	}
}

// run exchanges with one control until ctx ends.
func (e *registrySync) run(ctx context.Context, p *peerControl) {
	t := time.NewTicker(batchInterval)
	defer t.Stop()
	var compared time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l := e.takePending(p)
			compare := now.Sub(compared) >= compareInterval
			if e.source.Lineage() == "" || len(l) == 0 && !compare {
				continue
			}
			if compare {
				compared = now
			}
			if err := e.syncWith(ctx, p, l, compare); err != nil {
				compared = time.Time{} // the records of this call are lost
				e.log.V(1).Info("registry exchange failed", "control", p.member.Name, "cause", err.Error())
			}
		}
	}
}

// takePending returns the queued records. What is lost with a failed call is
// repaired by the next comparison.
func (e *registrySync) takePending(p *peerControl) []wire.NodeRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := recordsPerMessage(p.pending)
	l := p.pending[:n]
	p.pending = p.pending[n:]
	return l
}

// exchange sends records and takes what differs, in several calls where one
// cannot hold it.
func (e *registrySync) syncWith(ctx context.Context, p *peerControl, l []wire.NodeRecord, compare bool) error {
	start := time.Now()
	q := &wire.RegistrySyncRequest{Control: e.control, Lineage: e.source.Lineage(), Records: l}
	for {
		q.Heard = e.contactAges()
		if compare {
			q.Buckets = e.registry.BucketDigests()
		}
		a, err := e.call(ctx, p, q)
		if err != nil {
			return err
		}
		if err := wire.CheckRecords(a.Records); err != nil {
			e.log.Info("records of a control refused", "control", p.member.Name, "cause", err.Error())
			return err
		}
		e.recordContact(p, a.Heard)
		e.storeRecords(a.Records)
		if a.Next <= q.First {
			break
		}
		q.Records, q.First = nil, a.Next
	}
	if compare {
		e.mu.Lock()
		p.lastCompared = start
		e.mu.Unlock()
	}
	return nil
}

func (e *registrySync) call(ctx context.Context, p *peerControl, q *wire.RegistrySyncRequest) (*wire.RegistrySyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return wire.PoolCall[wire.RegistrySyncRequest, wire.RegistrySyncResponse](ctx, e.pool, p.member.Address, wire.MethodRegistrySync, q)
}

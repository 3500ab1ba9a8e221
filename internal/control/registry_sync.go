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
	// compareInterval is how often two controls compare their registries, which also
	// shows that the other control is alive. The next comparison repairs a lost change,
	// within the 3 s in which all nodes must know of a leaving upstream.
	compareInterval = 2 * time.Second
	// syncTimeout limits one call.
	syncTimeout = 2 * time.Second
	// homeTimeout is how long the nodes of a control that no longer responds have to
	// connect to another one. It is longer than a node's maximum backoff plus its lease.
	homeTimeout = 30 * time.Second
	// maxPendingRecords limits the records that are queued for one control.
	maxPendingRecords = 16_000
)

// registrySync synchronizes node records between controls. It sends changes immediately
// and compares digests periodically, which repairs lost changes.
type registrySync struct {
	control  string
	source   configSource
	registry *registry.Registry
	streams  *Streams
	log      logr.Logger
	pool     *wire.Pool
	// directory lists the controls.
	directory *directory

	mu      sync.Mutex
	peers   map[string]*peerControl
	started time.Time
	// majoritySince is when this control came into contact with a majority of the
	// members. It is zero while it is not in contact with one.
	majoritySince time.Time
}

// peerControl is the synchronization state of another control.
type peerControl struct {
	member settings.Member
	// ctx is done when the directory no longer lists the control.
	ctx     context.Context
	stop    context.CancelFunc
	pending []wire.NodeRecord
	// lastContact is when this control last exchanged records with the peer.
	// reportedContact is the latest time at which another control did, as it reported.
	lastContact, reportedContact time.Time
	// lastCompared is when the last complete comparison started.
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

// updatePeers updates the peers from the directory and returns the new ones. A control
// whose address changed counts as new.
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

// handleSync stores the records that another control sends. If the request contains
// digests, it returns the records of the buckets that differ.
func (e *registrySync) handleSync(_ context.Context, q *wire.RegistrySyncRequest) (*wire.RegistrySyncResponse, error) {
	if l := e.source.Lineage(); l == "" || q.Lineage != l {
		return nil, errkind.New(errkind.NotCurrent, "control %s is of lineage %q, the request of lineage %q", e.control, l, q.Lineage)
	}
	e.mu.Lock()
	p := e.peers[q.Control]
	e.mu.Unlock()
	if p == nil && e.directory.fixed {
		return nil, errkind.New(errkind.BadRequest, "control %q is not a member", q.Control)
	}
	if err := wire.CheckRecords(q.Records); err != nil {
		e.log.Info("invalid records from a control rejected", "control", q.Control, "cause", err.Error())
		return nil, err
	}
	if p != nil { // nil for a control that joined but is not listed here yet
		e.recordContact(p, q.Heard)
	}
	e.storeRecords(q.Records)
	a := &wire.RegistrySyncResponse{Heard: e.contactAges()}
	if len(q.Buckets) > 0 {
		a.Records, a.Next = e.differingRecords(q.Buckets, q.First)
	}
	return a, nil
}

// differingRecords returns the records of differing buckets, starting at bucket first. If
// they do not fit into one message, it also returns the bucket to continue from.
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

// recordContact records that p is alive, and when p was in contact with other controls.
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

// contactAges returns the time since this control itself last exchanged records with each
// other control. It excludes contacts that others reported; otherwise controls could keep
// a dead one alive by reporting it to each other.
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

// storeRecords stores records from another control and sends the changed ones to this
// control's nodes.
func (e *registrySync) storeRecords(l []wire.NodeRecord) { e.streams.put(l) }

// queueRecords queues changed records for the other controls. Records whose home is
// another control are not forwarded, since that control sends them to all.
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
			p.pending = nil // the next comparison transfers them
		}
	}
}

// run synchronizes with one control until ctx is done.
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
				compared = time.Time{} // compare next time, since the records of this call are lost
				e.log.V(1).Info("registry sync failed", "control", p.member.Name, "cause", err.Error())
			}
		}
	}
}

// takePending removes and returns queued records that fit into one message. If sending
// them fails, the next comparison transfers them.
func (e *registrySync) takePending(p *peerControl) []wire.NodeRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := recordsPerMessage(p.pending)
	l := p.pending[:n]
	p.pending = p.pending[n:]
	return l
}

// syncWith sends records to p and, if compare is set, stores the records that differ. The
// comparison may take several calls.
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
			e.log.Info("invalid records from a control rejected", "control", p.member.Name, "cause", err.Error())
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

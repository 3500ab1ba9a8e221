// Package registry keeps the records of all nodes and their upstreams. Every
// control and every node holds one registry; records spread between them by
// batches of changes and by comparing digests of buckets.
//
// A record is written only by its own node, which raises the pair of
// incarnation and sequence with each change. Of two records the higher pair
// wins, so that records may arrive twice, late or crossed.
//
// # Usage
//
//	r := registry.New()
//	changed := r.Put(now, records)
//	numbers := r.Differing(peerDigests)
//	for _, c := range r.Candidates("level-display") {
//		fmt.Println(c.Node, c.Upstream.State)
//	}
package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	// BucketCount is the number of digest buckets; 256 digests are 2 KiB in a
	// Hello, and one differing bucket holds about 150 of 37,000 nodes.
	BucketCount = 256
	// TombstoneAge is how long the removal of a node is remembered. It must
	// exceed the time that a delayed record can live.
	TombstoneAge = time.Hour
	// MaxNodes is about three times the target fleet, so that a node that
	// invents names cannot fill the memory of the others.
	MaxNodes = 120_000
	// maxInterned bounds the names that are stored once for all records.
	maxInterned = 10_000
)

// Candidate is an upstream with the node that owns it.
type Candidate struct {
	Node             string
	AvailabilityZone string
	PeerAddress      string
	Upstream         wire.Upstream
}

// Registry is safe for concurrent use. Records that it returns must not be
// changed.
type Registry struct {
	mu      sync.RWMutex
	buckets [BucketCount]records
	count   int
	gone    map[string]time.Time
	// services lists the upstreams of each service.
	services map[string]*service
	// interned holds names that many records share.
	interned map[string]string
}

// records are the records of one bucket.
type records struct {
	byNode   map[string]*wire.NodeRecord
	digest   uint64
	revision uint64
}

// service is the index of one service. Its list is made when it is asked for,
// since a node calls few of all services.
type service struct {
	nodes map[string]*wire.NodeRecord
	list  []Candidate
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{gone: map[string]time.Time{}, services: map[string]*service{}, interned: map[string]string{}}
}

// Put stores the records that are newer than those held and returns them.
func (r *Registry) Put(now time.Time, l []wire.NodeRecord) []wire.NodeRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []wire.NodeRecord
	for _, n := range l {
		b := &r.buckets[bucket(n.Node)]
		o := b.byNode[n.Node]
		if o != nil && !n.Newer(*o) {
			continue
		}
		if o == nil && (n.Gone || r.count >= MaxNodes) {
			continue // the removal of an unknown node changes nothing
		}
		r.drop(b, o)
		changed = append(changed, r.add(now, b, n))
	}
	return changed
}

// add stores n, which replaces a record that was dropped.
func (r *Registry) add(now time.Time, b *records, n wire.NodeRecord) wire.NodeRecord {
	p := r.compact(n)
	if b.byNode == nil {
		b.byNode = map[string]*wire.NodeRecord{}
	}
	b.byNode[p.Node] = p
	b.revision++
	r.count++
	if p.Gone {
		r.gone[p.Node] = now
		return *p
	}
	b.digest ^= digest(p)
	for _, u := range p.Upstreams {
		s := r.services[u.Service]
		if s == nil {
			s = &service{nodes: map[string]*wire.NodeRecord{}}
			r.services[u.Service] = s
		}
		s.nodes[p.Node], s.list = p, nil
	}
	return *p
}

// drop forgets o, which may be nil.
func (r *Registry) drop(b *records, o *wire.NodeRecord) {
	if o == nil {
		return
	}
	delete(b.byNode, o.Node)
	b.revision++
	r.count--
	if o.Gone {
		delete(r.gone, o.Node)
		return
	}
	b.digest ^= digest(o)
	for _, u := range o.Upstreams {
		s := r.services[u.Service]
		if s == nil {
			continue // dropped with an earlier upstream of the same service
		}
		delete(s.nodes, o.Node)
		if s.list = nil; len(s.nodes) == 0 {
			delete(r.services, u.Service)
		}
	}
}

// compact returns a copy of n that shares its names with other records.
func (r *Registry) compact(n wire.NodeRecord) *wire.NodeRecord {
	n.AvailabilityZone, n.Home = r.intern(n.AvailabilityZone), r.intern(n.Home)
	if n.Gone {
		n.Upstreams = nil
	}
	l := make([]wire.Upstream, len(n.Upstreams))
	for i, u := range n.Upstreams {
		if u.Name == n.Node {
			u.Name = n.Node
		}
		u.Service, u.State = r.intern(u.Service), wire.UpstreamState(r.intern(string(u.State)))
		l[i] = u
	}
	n.Upstreams = l
	return &n
}

func (r *Registry) intern(s string) string {
	if t, ok := r.interned[s]; ok {
		return t
	}
	if len(r.interned) >= maxInterned {
		clear(r.interned)
	}
	r.interned[s] = s
	return s
}

// Candidates returns the upstreams of a service. The caller must not change the
// list, which is replaced when it changes.
func (r *Registry) Candidates(name string) []Candidate {
	r.mu.RLock()
	s := r.services[name]
	if s == nil || s.list != nil {
		defer r.mu.RUnlock()
		if s == nil {
			return nil
		}
		return s.list
	}
	r.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.services[name]; s == nil {
		return nil
	}
	if s.list == nil {
		s.list = s.candidates(name)
	}
	return s.list
}

func (s *service) candidates(name string) []Candidate {
	l := make([]Candidate, 0, len(s.nodes))
	for _, n := range s.nodes {
		for _, u := range n.Upstreams {
			if u.Service == name {
				l = append(l, Candidate{Node: n.Node, AvailabilityZone: n.AvailabilityZone, PeerAddress: n.PeerAddress, Upstream: u})
			}
		}
	}
	return l
}

// ServiceNodeCount returns the number of nodes with an upstream of a service.
func (r *Registry) ServiceNodeCount(name string) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if s := r.services[name]; s != nil {
		return len(s.nodes)
	}
	return 0
}

// Record returns the record of a node, which may be marked Gone.
func (r *Registry) Record(node string) (wire.NodeRecord, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if n := r.buckets[bucket(node)].byNode[node]; n != nil {
		return *n, true
	}
	return wire.NodeRecord{}, false
}

// Records returns all records that are not marked Gone, by name.
func (r *Registry) Records() []wire.NodeRecord {
	l := r.Select(func(wire.NodeRecord) bool { return true })
	slices.SortFunc(l, func(a, b wire.NodeRecord) int { return cmp.Compare(a.Node, b.Node) })
	return l
}

// Select returns the records that are not marked Gone and for which f holds. f
// must not call r.
func (r *Registry) Select(f func(wire.NodeRecord) bool) []wire.NodeRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var l []wire.NodeRecord
	for i := range r.buckets {
		for _, n := range r.buckets[i].byNode {
			if !n.Gone && f(*n) {
				l = append(l, *n)
			}
		}
	}
	return l
}

// Len returns the number of nodes that are not marked Gone.
func (r *Registry) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.count - len(r.gone)
}

// Retain forgets the records of the listed buckets that are not in l. Use it
// only with a list from a control that knows all nodes. It leaves no trace of a
// record, so that one which the control had not received yet is taken later.
func (r *Registry) Retain(buckets []int, l []wire.NodeRecord) {
	keep := map[string]bool{}
	for _, n := range l {
		keep[n.Node] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range buckets {
		if i < 0 || i >= BucketCount {
			continue
		}
		b := &r.buckets[i]
		for k, n := range b.byNode {
			if !keep[k] {
				r.drop(b, n)
			}
		}
	}
}

// ExpireTombstones forgets removals older than TombstoneAge.
func (r *Registry) ExpireTombstones(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, t := range r.gone {
		if now.Sub(t) > TombstoneAge {
			b := &r.buckets[bucket(k)]
			r.drop(b, b.byNode[k])
		}
	}
}

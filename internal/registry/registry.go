// Package registry holds the records of all nodes and their upstreams. Every control
// and every node has one registry. Records are propagated between them by batches of
// changes, and by comparing the digests of buckets (anti-entropy).
//
// Only the node itself writes its record. It increases the pair of incarnation and
// sequence with each change, and the record with the higher pair wins, so that
// records may arrive twice, late or out of order.
//
// # Usage
//
//	r := registry.New()
//	changed := r.Put(now, records)
//	numbers := r.DifferingBuckets(peerDigests)
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
	// BucketCount is the number of buckets. 256 digests take 2 KiB in a Hello, and
	// one differing bucket holds about 150 of 37,000 nodes.
	BucketCount = 256
	// TombstoneAge is how long the tombstone of a removed node is kept. It must be
	// longer than any record can be delayed.
	TombstoneAge = time.Hour
	// MaxNodes limits the nodes to about three times the target number, so that a
	// node that reports made-up names cannot exhaust the memory of the others.
	MaxNodes = 120_000
	// maxInterned limits the interned strings.
	maxInterned = 10_000
)

// Candidate is an upstream together with its owner node.
type Candidate struct {
	Node             string
	AvailabilityZone string
	PeerAddress      string
	Upstream         wire.Upstream
}

// Registry is safe for concurrent use. Records that it returns must not be
// changed.
type Registry struct {
	mu         sync.RWMutex
	buckets    [BucketCount]bucket
	count      int
	tombstones map[string]time.Time
	// services indexes the nodes of each service.
	services map[string]*serviceIndex
	// interned holds one copy of each string that many records share.
	interned map[string]string
}

// bucket holds the records whose node names hash to the same bucket number. The
// digest covers the records without the tombstones.
type bucket struct {
	byNode   map[string]*wire.NodeRecord
	digest   uint64
	revision uint64
}

// serviceIndex holds the nodes of one service. The list of candidates is built on
// demand, because a node calls only few of the services.
type serviceIndex struct {
	nodes map[string]*wire.NodeRecord
	list  []Candidate
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{tombstones: map[string]time.Time{}, services: map[string]*serviceIndex{}, interned: map[string]string{}}
}

// Put stores those of the given records that are newer than the stored ones, and
// returns them.
func (r *Registry) Put(now time.Time, l []wire.NodeRecord) []wire.NodeRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []wire.NodeRecord
	for _, n := range l {
		b := &r.buckets[bucketNumber(n.Node)]
		o := b.byNode[n.Node]
		if o != nil && !n.Newer(*o) {
			continue
		}
		if o == nil && (n.Gone || r.count >= MaxNodes) {
			continue // ignore tombstones of unknown nodes, and new nodes beyond MaxNodes
		}
		r.drop(b, o)
		changed = append(changed, r.add(now, b, n))
	}
	return changed
}

// add stores n. The node's previous record must have been dropped.
func (r *Registry) add(now time.Time, b *bucket, n wire.NodeRecord) wire.NodeRecord {
	p := r.internNames(n)
	if b.byNode == nil {
		b.byNode = map[string]*wire.NodeRecord{}
	}
	b.byNode[p.Node] = p
	b.revision++
	r.count++
	if p.Gone {
		r.tombstones[p.Node] = now
		return *p
	}
	b.digest ^= digest(p)
	for _, u := range p.Upstreams {
		s := r.services[u.Service]
		if s == nil {
			s = &serviceIndex{nodes: map[string]*wire.NodeRecord{}}
			r.services[u.Service] = s
		}
		s.nodes[p.Node], s.list = p, nil
	}
	return *p
}

// drop removes o, which may be nil.
func (r *Registry) drop(b *bucket, o *wire.NodeRecord) {
	if o == nil {
		return
	}
	delete(b.byNode, o.Node)
	b.revision++
	r.count--
	if o.Gone {
		delete(r.tombstones, o.Node)
		return
	}
	b.digest ^= digest(o)
	for _, u := range o.Upstreams {
		s := r.services[u.Service]
		if s == nil {
			continue // already deleted for another upstream of the same service
		}
		delete(s.nodes, o.Node)
		if s.list = nil; len(s.nodes) == 0 {
			delete(r.services, u.Service)
		}
	}
}

// internNames returns a copy of n in which the strings that many records have in common
// (zone, home, service, version and state) are interned. An upstream that is named like its node
// shares the string of the node's name.
func (r *Registry) internNames(n wire.NodeRecord) *wire.NodeRecord {
	n.AvailabilityZone, n.Home = r.intern(n.AvailabilityZone), r.intern(n.Home)
	if n.Gone {
		n.Upstreams = nil
	}
	l := make([]wire.Upstream, len(n.Upstreams))
	for i, u := range n.Upstreams {
		if u.Name == n.Node {
			u.Name = n.Node
		}
		u.Service, u.Version, u.State = r.intern(u.Service), r.intern(u.Version), wire.UpstreamState(r.intern(string(u.State)))
		l[i] = u
	}
	n.Upstreams = l
	return &n
}

// intern returns the interned copy of s. It starts over when the limit is reached.
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

// Candidates returns the upstreams of a service. The caller must not modify the
// returned slice, which is cached until the service's records change.
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

func (s *serviceIndex) candidates(name string) []Candidate {
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
	if n := r.buckets[bucketNumber(node)].byNode[node]; n != nil {
		return *n, true
	}
	return wire.NodeRecord{}, false
}

// Records returns all records that are not marked Gone, sorted by node name.
func (r *Registry) Records() []wire.NodeRecord {
	l := r.Select(func(wire.NodeRecord) bool { return true })
	slices.SortFunc(l, func(a, b wire.NodeRecord) int { return cmp.Compare(a.Node, b.Node) })
	return l
}

// Select returns the records that are not marked Gone and for which f returns true.
// f must not call methods of r.
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
	return r.count - len(r.tombstones)
}

// Retain removes the records in the given buckets that are not in l. It must be used
// only with a list from a control that knows all nodes. It leaves no tombstones, so
// that a record which the control had not received yet can be stored again later.
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

// ExpireTombstones removes the tombstones that are older than TombstoneAge.
func (r *Registry) ExpireTombstones(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, t := range r.tombstones {
		if now.Sub(t) > TombstoneAge {
			b := &r.buckets[bucketNumber(k)]
			r.drop(b, b.byNode[k])
		}
	}
}

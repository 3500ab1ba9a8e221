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
//	buckets := r.Differing(peerBuckets)
//	for _, c := range r.Candidates("level-display") {
//		fmt.Println(c.Node, c.Upstream.State)
//	}
package registry

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
)

// Candidate is an upstream with the node that owns it.
type Candidate struct {
	Node             string
	AvailabilityZone string
	PeerAddress      string
	Upstream         wire.Upstream
}

// Registry is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	records  map[string]wire.NodeRecord
	gone     map[string]time.Time
	buckets  [BucketCount]uint64
	services map[string][]Candidate
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		records:  map[string]wire.NodeRecord{},
		gone:     map[string]time.Time{},
		services: map[string][]Candidate{},
	}
}

// Put stores the records that are newer than those held and returns them.
func (r *Registry) Put(now time.Time, l []wire.NodeRecord) []wire.NodeRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []wire.NodeRecord
	for _, n := range l {
		if o, ok := r.records[n.Node]; ok && !n.Newer(o) {
			continue
		}
		if _, ok := r.records[n.Node]; !ok && (n.Gone || len(r.records) >= MaxNodes) {
			continue // the removal of an unknown node changes nothing
		}
		r.replace(now, n)
		changed = append(changed, n)
	}
	r.reindex(changed)
	return changed
}

func (r *Registry) replace(now time.Time, n wire.NodeRecord) {
	o := r.records[n.Node]
	r.toggle(o)
	if n.Gone {
		n.Upstreams = nil
		r.gone[n.Node] = now
	} else {
		delete(r.gone, n.Node)
	}
	r.records[n.Node] = n
	r.toggle(n)
	r.drop(o)
}

// toggle adds n to the digest of its bucket, or removes it.
func (r *Registry) toggle(n wire.NodeRecord) {
	if n.Node != "" && !n.Gone {
		r.buckets[bucket(n.Node)] ^= digest(n)
	}
}

// drop removes the candidates of n's node from the index. It copies each list,
// since readers may hold the old one.
func (r *Registry) drop(n wire.NodeRecord) {
	for _, s := range servicesOf(n) {
		l := slices.DeleteFunc(slices.Clone(r.services[s]), func(c Candidate) bool { return c.Node == n.Node })
		if len(l) == 0 {
			delete(r.services, s)
			continue
		}
		r.services[s] = l
	}
}

// reindex adds the candidates of the changed nodes. A node may be listed more
// than once; its last record counts.
func (r *Registry) reindex(changed []wire.NodeRecord) {
	seen := map[string]bool{}
	fresh := map[string]bool{}
	for _, c := range changed {
		if seen[c.Node] {
			continue
		}
		seen[c.Node] = true
		n := r.records[c.Node]
		for _, u := range n.Upstreams {
			if !fresh[u.Service] {
				r.services[u.Service] = slices.Clone(r.services[u.Service])
				fresh[u.Service] = true
			}
			r.services[u.Service] = append(r.services[u.Service], Candidate{
				Node: n.Node, AvailabilityZone: n.AvailabilityZone, PeerAddress: n.PeerAddress, Upstream: u,
			})
		}
	}
}

func servicesOf(n wire.NodeRecord) []string {
	m := map[string]bool{}
	for _, u := range n.Upstreams {
		m[u.Service] = true
	}
	return slices.Sorted(maps.Keys(m))
}

// Candidates returns the upstreams of a service. The caller must not change the
// list.
func (r *Registry) Candidates(service string) []Candidate {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[service]
}

// Record returns the record of a node, which may be marked Gone.
func (r *Registry) Record(node string) (wire.NodeRecord, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n, ok := r.records[node]
	return n, ok
}

// Records returns all records that are not marked Gone, by name.
func (r *Registry) Records() []wire.NodeRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var l []wire.NodeRecord
	for _, k := range slices.Sorted(maps.Keys(r.records)) {
		if n := r.records[k]; !n.Gone {
			l = append(l, n)
		}
	}
	return l
}

// Select returns the records that are not marked Gone and for which f holds. f
// must not call r.
func (r *Registry) Select(f func(wire.NodeRecord) bool) []wire.NodeRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var l []wire.NodeRecord
	for _, n := range r.records {
		if !n.Gone && f(n) {
			l = append(l, n)
		}
	}
	return l
}

// Len returns the number of nodes that are not marked Gone.
func (r *Registry) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.records) - len(r.gone)
}

// Buckets returns the digest of each bucket.
func (r *Registry) Buckets() []uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Clone(r.buckets[:])
}

// Digest returns the digest over all records.
func (r *Registry) Digest() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var d uint64
	for _, b := range r.buckets {
		d ^= b
	}
	return d
}

// Bucket is one bucket with all its records, removals included.
type Bucket struct {
	Number  int
	Records []wire.NodeRecord
}

// CountDiffering returns the number of buckets whose digests differ from b.
func (r *Registry) CountDiffering(b []uint64) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n := 0
	for i := range r.buckets {
		if i >= len(b) || b[i] != r.buckets[i] {
			n++
		}
	}
	return n
}

// Differing returns the buckets whose digests differ from b.
func (r *Registry) Differing(b []uint64) []Bucket {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var l []Bucket
	place := map[int]int{}
	for i := range r.buckets {
		if i >= len(b) || b[i] != r.buckets[i] {
			place[i] = len(l)
			l = append(l, Bucket{Number: i})
		}
	}
	if len(l) == 0 {
		return nil
	}
	for k, n := range r.records {
		if i, ok := place[bucket(k)]; ok {
			l[i].Records = append(l[i].Records, n)
		}
	}
	return l
}

// Retain forgets the records of the listed buckets that are not in l. Use it
// only with a list from a control that knows all nodes. It leaves no trace of a
// record, so that one which the control had not received yet is taken later.
func (r *Registry) Retain(buckets []int, l []wire.NodeRecord) {
	keep := map[string]bool{}
	for _, n := range l {
		keep[n.Node] = true
	}
	covered := map[int]bool{}
	for _, b := range buckets {
		covered[b] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, n := range r.records {
		if covered[bucket(k)] && !keep[k] {
			r.toggle(n)
			r.drop(n)
			delete(r.records, k)
			delete(r.gone, k)
		}
	}
}

// Compact forgets removals older than TombstoneAge.
func (r *Registry) Compact(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, t := range r.gone {
		if now.Sub(t) > TombstoneAge {
			delete(r.gone, k)
			delete(r.records, k)
		}
	}
}

func bucket(node string) int { return int(xxhash.Sum64String(node) % BucketCount) }

func digest(n wire.NodeRecord) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d", n.Node, n.Incarnation, n.Sequence))
}

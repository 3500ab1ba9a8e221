package registry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// BucketDigests returns the digest of each bucket.
func (r *Registry) BucketDigests() []uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := make([]uint64, BucketCount)
	for i := range l {
		l[i] = r.buckets[i].digest
	}
	return l
}

// Digest returns the digest over all records.
func (r *Registry) Digest() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var d uint64
	for i := range r.buckets {
		d ^= r.buckets[i].digest
	}
	return d
}

// DifferingBuckets returns the numbers of the buckets whose digests differ from b.
func (r *Registry) DifferingBuckets(b []uint64) []int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var l []int
	for i := range r.buckets {
		if i >= len(b) || b[i] != r.buckets[i].digest {
			l = append(l, i)
		}
	}
	return l
}

// BucketRevision returns a number that grows with each change of a bucket.
func (r *Registry) BucketRevision(number int) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.buckets[number].revision
}

// Bucket returns all records of a bucket, removals included, and its revision.
func (r *Registry) Bucket(number int) ([]wire.NodeRecord, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	b := &r.buckets[number]
	l := make([]wire.NodeRecord, 0, len(b.byNode))
	for _, n := range b.byNode {
		l = append(l, *n)
	}
	return l, b.revision
}

func bucket(node string) int { return int(xxhash.Sum64String(node) % BucketCount) }

// digest identifies one state of a node.
func digest(n *wire.NodeRecord) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, n.Node...)
	b = binary.BigEndian.AppendUint64(b, n.Incarnation)
	b = binary.BigEndian.AppendUint64(b, n.Sequence)
	return xxhash.Sum64(b)
}

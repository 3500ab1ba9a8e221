package registry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// BucketDigests returns the digests of all buckets, by bucket number.
func (r *Registry) BucketDigests() []uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := make([]uint64, BucketCount)
	for i := range l {
		l[i] = r.buckets[i].digest
	}
	return l
}

// Digest returns the digest over all records except tombstones.
func (r *Registry) Digest() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var d uint64
	for i := range r.buckets {
		d ^= r.buckets[i].digest
	}
	return d
}

// DifferingBuckets returns the numbers of the buckets whose digests differ from those
// in b.
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

// BucketRevision returns a number that increases with each change of the bucket.
func (r *Registry) BucketRevision(number int) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.buckets[number].revision
}

// Bucket returns all records of a bucket, including tombstones, and its revision.
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

func bucketNumber(node string) int { return int(xxhash.Sum64String(node) % BucketCount) }

// digest returns a hash of the node's name, incarnation and sequence, which together
// identify one state of the node.
func digest(n *wire.NodeRecord) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, n.Node...)
	b = binary.BigEndian.AppendUint64(b, n.Incarnation)
	b = binary.BigEndian.AppendUint64(b, n.Sequence)
	return xxhash.Sum64(b)
}

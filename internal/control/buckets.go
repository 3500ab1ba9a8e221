package control

import (
	"sync"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// packedMessageBytes is the size at which a message with packed records is complete and
// is sent. A node unpacks the records to about ten times the size.
const packedMessageBytes = 64 << 10

// bucketCache keeps the encoded records of each bucket, since nodes that connect at the
// same time need the same ones. A changed record invalidates one of 256 buckets.
type bucketCache struct {
	registry *registry.Registry
	buckets  [registry.BucketCount]packedBucket
}

// packedBucket holds the records of one bucket at a revision: either plain or packed.
type packedBucket struct {
	mu       sync.Mutex
	filled   bool
	revision uint64
	// records is set if the bucket is too small for compression to be worthwhile.
	records []wire.NodeRecord
	packed  []byte
}

// add adds a bucket to e and returns its encoded size.
func (c *bucketCache) add(number int, e *wire.Endpoints) (int, error) {
	b := &c.buckets[number]
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled || b.revision != c.registry.BucketRevision(number) {
		if err := b.fill(c.registry.Bucket(number)); err != nil {
			return 0, err
		}
	}
	e.Buckets = append(e.Buckets, number)
	if b.packed == nil {
		e.Records = append(e.Records, b.records...)
		return encodedBytes(b.records), nil
	}
	e.Packed = append(e.Packed, b.packed)
	return len(b.packed), nil
}

func (b *packedBucket) fill(l []wire.NodeRecord, revision uint64) error {
	l = withoutDepartures(l)
	b.records, b.packed = l, nil
	if encodedBytes(l) >= minCompressBytes {
		d, err := wire.Marshal(l)
		if err != nil {
			return err
		}
		if d, err = compress(d); err != nil {
			return err
		}
		b.records, b.packed = nil, d
	}
	b.filled, b.revision = true, revision
	return nil
}

package control

import (
	"bytes"
	"compress/flate"
	"sync"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	// configChunkBytes is the maximum size of a chunk of an update.
	configChunkBytes = 1 << 20
	// minCompressBytes is the size from which compression is worthwhile.
	minCompressBytes = 1 << 10
	maxCachedUpdates = 64
)

// encodedUpdate is an encoded update, shared by all nodes at the same version.
type encodedUpdate struct {
	full     bool
	messages []wire.Raw
}

type updateKey struct{ from, to uint64 }

// updateCache keeps recent encoded updates, since most nodes need the same ones.
type updateCache struct {
	mu      sync.Mutex
	updates map[updateKey]*encodedUpdate
	order   []updateKey
	encode  func(v *versions.View, lineage string, from uint64) (*encodedUpdate, error)
}

func newUpdateCache() *updateCache {
	return &updateCache{updates: map[updateKey]*encodedUpdate{}, encode: encodeUpdate}
}

func (c *updateCache) get(v *versions.View, lineage string, from uint64) (*encodedUpdate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := updateKey{from, v.Version()}
	if u, ok := c.updates[k]; ok {
		return u, nil
	}
	u, err := c.encode(v, lineage, from)
	if err != nil {
		return nil, err
	}
	c.updates[k] = u
	c.order = append(c.order, k)
	if len(c.order) > maxCachedUpdates {
		delete(c.updates, c.order[0])
		c.order = c.order[1:]
	}
	return u, nil
}

func encodeUpdate(v *versions.View, lineage string, from uint64) (*encodedUpdate, error) {
	return packUpdate(newUpdate(v, lineage, from))
}

// newUpdate returns the update from version from to v, or a snapshot of v if the changes
// since that version are no longer available.
func newUpdate(v *versions.View, lineage string, from uint64) *wire.ConfigUpdate {
	u := &wire.ConfigUpdate{From: from, To: v.Version(), Digest: v.Digest(), Lineage: lineage}
	changes, ok := v.ChangeFrom(from)
	if !ok {
		changes, u.From = v.FullChanges(), 0
	}
	u.Changes = changes
	return u
}

// packUpdate encodes u in chunks. It compresses large updates.
func packUpdate(u *wire.ConfigUpdate) (*encodedUpdate, error) {
	d, err := wire.Marshal(u)
	if err != nil {
		return nil, err
	}
	packed := len(d) >= minCompressBytes
	if packed {
		if d, err = compress(d); err != nil {
			return nil, err
		}
	}
	r := &encodedUpdate{full: u.From == 0}
	for at := 0; at < len(d); at += configChunkBytes {
		end := min(at+configChunkBytes, len(d))
		m, err := wire.Marshal(&wire.ControlMessage{Config: &wire.ConfigChunk{
			To: u.To, Compressed: packed, Offset: at, Data: d[at:end], Last: end == len(d),
		}})
		if err != nil {
			return nil, err
		}
		r.messages = append(r.messages, m)
	}
	return r, nil
}

// flateWriters reuses the compressor's tables, which take 1.2 MB per writer.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	return w
}}

func compress(d []byte) ([]byte, error) {
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(d); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return bytes.Clone(b.Bytes()), nil
}

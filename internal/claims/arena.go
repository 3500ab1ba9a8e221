package claims

import "encoding/binary"

// chunkBytes is the size of one chunk of outcomes. Outcomes are recorded and
// dropped in nearly the same order, so whole chunks become free.
const chunkBytes = 256 << 10

// location is the position of an outcome in an arena; the zero value means that
// there is no outcome.
type location struct{ chunk, offset uint32 }

// arena stores outcomes in large chunks, which saves the overhead of a heap
// object for each outcome.
type arena struct {
	chunks  []chunk // chunk numbers start at 1: chunk n is at index n-1
	unused  []uint32
	current uint32
	bytes   int
}

type chunk struct {
	data []byte
	live int
}

func (a *arena) add(b []byte) location {
	need := len(b) + binary.MaxVarintLen32
	if a.current == 0 || len(a.chunks[a.current-1].data)+need > chunkBytes {
		a.startChunk(max(need, chunkBytes))
	}
	c := &a.chunks[a.current-1]
	p := location{a.current, uint32(len(c.data))}
	c.data = append(binary.AppendUvarint(c.data, uint64(len(b))), b...)
	c.live++
	a.bytes += len(b)
	return p
}

// startChunk makes an empty chunk of the given capacity the current one.
func (a *arena) startChunk(size int) {
	old := a.current
	if n := len(a.unused); n > 0 {
		a.current, a.unused = a.unused[n-1], a.unused[:n-1]
	} else {
		a.chunks = append(a.chunks, chunk{})
		a.current = uint32(len(a.chunks))
	}
	a.chunks[a.current-1].data = make([]byte, 0, size)
	if old != 0 {
		a.reclaim(old)
	}
}

// get returns the outcome at p. The slice is valid until the outcome is
// dropped.
func (a *arena) get(p location) []byte {
	if p.chunk == 0 {
		return nil
	}
	d := a.chunks[p.chunk-1].data[p.offset:]
	n, k := binary.Uvarint(d)
	return d[k : k+int(n)]
}

func (a *arena) drop(p location) {
	if p.chunk == 0 {
		return
	}
	a.bytes -= len(a.get(p))
	a.chunks[p.chunk-1].live--
	a.reclaim(p.chunk)
}

// reclaim frees the data of chunk n if it is not current and holds no outcomes.
func (a *arena) reclaim(n uint32) {
	c := &a.chunks[n-1]
	if c.live > 0 || n == a.current {
		return
	}
	c.data = nil
	a.unused = append(a.unused, n)
}

package peer

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
)

const (
	// maxAheadBytes bounds what a node reads ahead of all responses together, and
	// maxAheadPerResponse of one response.
	maxAheadBytes       = 16 << 20
	maxAheadPerResponse = 1 << 20
	// aheadBlock is the unit in which the memory is allocated and counted.
	aheadBlock = 16 << 10
)

// aheadBudget bounds the memory of all readAheads of a node.
type aheadBudget struct {
	limit     int64
	used      atomic.Int64
	responses atomic.Int64
}

func newAheadBudget(limit int64) *aheadBudget { return &aheadBudget{limit: limit} }

func (b *aheadBudget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *aheadBudget) give(n int64) { b.used.Add(-n) }

// readAhead reads a response body into memory, so that the upstream has finished with a
// response before a slow reader has taken it. Once it may use no more memory, it reads at
// the pace of the reader. It implements io.ReadCloser.
type readAhead struct {
	body   io.ReadCloser
	budget *aheadBudget
	cancel func()
	// flow is told the size of what Read has not returned once all has been read ahead.
	flow *link.Flow

	mu     sync.Mutex
	change *sync.Cond
	blocks [][]byte // of capacity aheadBlock; the budget contains all but unpaid of them
	unpaid int
	err    error // the result of body, after the last block
	closed bool
}

// newReadAhead starts to read body. cancel ends the request whose response it is; it is
// called before body is closed, so that the upstream is not blamed for the end. f is the
// place of the response on the link, or nil.
func newReadAhead(body io.ReadCloser, b *aheadBudget, cancel func(), f *link.Flow) *readAhead {
	r := &readAhead{body: body, budget: b, cancel: cancel, flow: f}
	r.change = sync.NewCond(&r.mu)
	b.responses.Add(1)
	go func() {
		p := make([]byte, aheadBlock)
		for {
			n, err := body.Read(p)
			if !r.store(p[:n], err) {
				return
			}
		}
	}()
	return r
}

// store appends p and the result of reading it, and reports whether to read on.
func (r *readAhead) store(p []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(p) > 0 {
		if !r.makeRoom() {
			return false
		}
		last := len(r.blocks) - 1
		n := min(len(p), cap(r.blocks[last])-len(r.blocks[last]))
		r.blocks[last] = append(r.blocks[last], p[:n]...)
		p = p[n:]
		r.change.Broadcast()
	}
	if err != nil {
		r.err = err
		r.flow.SetLeft(r.unread())
		r.change.Broadcast()
	}
	return err == nil && !r.closed
}

// makeRoom returns once the last block has room, or with false if r is closed. The first
// block needs no budget, so that the response always proceeds. The caller holds the lock.
func (r *readAhead) makeRoom() bool {
	for !r.closed {
		k := len(r.blocks)
		switch {
		case k > 0 && len(r.blocks[k-1]) < cap(r.blocks[k-1]):
			return true
		case k == 0:
			r.unpaid = 1
		case k >= maxAheadPerResponse/aheadBlock || !r.budget.take(aheadBlock):
			r.change.Wait()
			continue
		}
		r.blocks = append(r.blocks, make([]byte, 0, aheadBlock))
	}
	return false
}

// Read implements io.Reader. It returns what has been read ahead, up to the end of a
// block.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.blocks) == 0 && r.err == nil && !r.closed {
		r.change.Wait()
	}
	switch {
	case r.closed:
		return 0, io.ErrClosedPipe
	case len(r.blocks) == 0:
		return 0, r.err
	}
	n := copy(p, r.blocks[0])
	if r.blocks[0] = r.blocks[0][n:]; len(r.blocks[0]) == 0 {
		r.drop()
	}
	if len(r.blocks) == 0 && call.IsEOF(r.err) {
		return n, r.err // saves a message for the end
	}
	return n, nil
}

// rest returns the number of bytes that Read has not returned, if all have been read ahead.
func (r *readAhead) rest() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unread(), r.err != nil
}

// unread returns the number of bytes in memory. The caller holds the lock.
func (r *readAhead) unread() int64 {
	n := int64(0)
	for _, b := range r.blocks {
		n += int64(len(b))
	}
	return n
}

// drop removes the first block. The caller holds the lock.
func (r *readAhead) drop() {
	if r.blocks[0] = nil; r.unpaid > 0 {
		r.unpaid--
	} else {
		r.budget.give(aheadBlock)
	}
	r.blocks = r.blocks[1:]
	r.change.Broadcast()
}

// Close implements io.Closer. It ends the request if its response has not been read.
func (r *readAhead) Close() error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil
	}
	r.closed = true
	for len(r.blocks) > 0 {
		r.drop()
	}
	ended := r.err != nil
	r.change.Broadcast()
	r.mu.Unlock()
	if !ended {
		r.cancel()
	}
	r.budget.responses.Add(-1)
	return r.body.Close()
}

// Package budget bounds the memory that the connections of a process hold together.
//
// It is meant for connections of untrusted peers: up to some thousands, of
// which ordinary ones hold a few kilobytes each and others as much as they can. A holder
// states what its connection holds. When the budget runs short, unprotected holders are
// closed: first those that hold most, in steps of a factor of two, and among these the
// newest. A holder is protected while a request of its connection may have been passed on
// to another process.
//
// The package starts no goroutines and reads no clock. It takes a lock, so a process has
// one Budget for all its listeners.
//
// # Usage
//
//	b := budget.New(40 << 20)
//	h := b.Open(func() { c.Close() })
//	defer h.Close()
//	if !h.Set(n) {
//		// refuse
//	}
package budget

import (
	"math/bits"
	"sync"
)

// Budget is a number of bytes that holders share.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	held    int64
	opened  uint64
	holders map[*Holder]struct{}
	counts  Counts
}

// Counts are the numbers of holders that gave way to others, and of those that were
// refused what they asked for.
type Counts struct{ Closed, Refused int64 }

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, holders: map[*Holder]struct{}{}} }

// Holder is what one connection holds of a Budget.
type Holder struct {
	b         *Budget
	number    uint64
	bytes     int64
	protected bool
	shed      func()
}

// Open returns a holder of nothing. shed is called at most once, in a goroutine of its
// own, if memory has to be freed for others.
func (b *Budget) Open(shed func()) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	return &Holder{b: b, number: b.opened, shed: shed}
}

// Set states that h holds n bytes. If the budget does not allow that, others are closed; if
// h is the first that has to, it holds nothing more than before and Set returns false.
func (h *Holder) Set(n int64) bool {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	for n > h.bytes && b.held-h.bytes+n > b.limit {
		v := b.victim(h, n)
		if v == nil || v == h {
			b.counts.Refused++
			return false
		}
		b.counts.Closed++
		b.set(v, 0)
		go v.shed()
	}
	b.set(h, n)
	return true
}

// TrySet is like Set for what h can do without: no other holder is closed, and half of the budget
// is left for Set.
func (h *Holder) TrySet(n int64) bool {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > h.bytes && b.held-h.bytes+n > b.limit/2 {
		return false
	}
	b.set(h, n)
	return true
}

// Protect sets whether h is never closed for others.
func (h *Holder) Protect(protected bool) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.protected = protected
}

// Close states that h holds nothing.
func (h *Holder) Close() { h.Set(0) }

func (b *Budget) set(h *Holder, n int64) {
	b.held += n - h.bytes
	h.bytes = n
	if n > 0 {
		b.holders[h] = struct{}{}
	} else {
		delete(b.holders, h)
	}
}

// victim returns the holder that is closed first if h holds n bytes, or nil.
func (b *Budget) victim(h *Holder, n int64) *Holder {
	var v *Holder
	most := 0
	for k := range b.holders {
		if k == h || k.protected {
			continue
		}
		if c := bits.Len64(uint64(k.bytes)); v == nil || c > most || c == most && k.number > v.number {
			v, most = k, c
		}
	}
	if c := bits.Len64(uint64(n)); !h.protected && (v == nil || c > most || c == most && h.number > v.number) {
		return h
	}
	return v
}

// Held returns the bytes held and the limit.
func (b *Budget) Held() (held, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.limit
}

// Counts returns the counts so far.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

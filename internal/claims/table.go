package claims

const (
	pageSlots = 4096
	// maxSlots ensures that slot numbers fit in 32 bits.
	maxSlots = 1 << 31
)

// record holds one claim in 64 bytes. It contains no pointers, so that the
// garbage collector does not scan the table.
type record struct {
	key    keyHash
	digest uint64
	claim  uint64
	// expiry is in Unix milliseconds, in the time of the state machine.
	expiry int64
	// unknownFor is the time in milliseconds before expiry during which the
	// outcome of a claim without a recorded outcome is reported as unknown.
	unknownFor uint32
	outcome    location
	previous   uint32
	next       uint32
}

// inProgress reports whether the holder may still be executing the request.
func (r *record) inProgress(now int64) bool { return now < r.expiry-int64(r.unknownFor) }

// table holds the records in the order of their claims. Slot 0 is the sentinel
// of a circular doubly linked list of the used slots; free slots form a singly
// linked list through next.
//
// A released record is unlinked at once, so that the list is the same after
// restoring a snapshot as after replaying the log.
type table struct {
	index map[keyHash]uint32
	pages [][]record
	free  uint32
	used  uint32 // number of slots ever used, including slot 0
}

func newTable() table {
	return table{index: map[keyHash]uint32{}, pages: [][]record{make([]record, pageSlots)}, used: 1}
}

func (t *table) at(slot uint32) *record { return &t.pages[slot/pageSlots][slot%pageSlots] }

func (t *table) size() int { return len(t.index) }

func (t *table) find(k keyHash) *record {
	if s, ok := t.index[k]; ok {
		return t.at(s)
	}
	return nil
}

// oldest returns the record that was claimed first, or nil.
func (t *table) oldest() *record {
	if s := t.at(0).next; s != 0 {
		return t.at(s)
	}
	return nil
}

// newer returns the record that was claimed after r, or nil.
func (t *table) newer(r *record) *record {
	if r.next == 0 {
		return nil
	}
	return t.at(r.next)
}

// add appends r, whose key must not be in the table.
func (t *table) add(r record) {
	s := t.free
	if s != 0 {
		t.free = t.at(s).next
	} else {
		s = t.used
		t.used++
		if int(s/pageSlots) == len(t.pages) {
			t.pages = append(t.pages, make([]record, pageSlots))
		}
	}
	head := t.at(0)
	r.previous, r.next = head.previous, 0
	*t.at(s) = r
	t.at(head.previous).next = s
	head.previous = s
	t.index[r.key] = s
}

func (t *table) remove(r *record) {
	s := t.index[r.key]
	delete(t.index, r.key)
	t.at(r.previous).next = r.next
	t.at(r.next).previous = r.previous
	*r = record{next: t.free}
	t.free = s
}

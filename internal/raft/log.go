package raft

import (
	"slices"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// entryLog holds the entries behind base. Entries up to stable are on disk.
type entryLog struct {
	base, baseTerm uint64
	entries        []wire.RaftEntry
	stable         uint64
	bytes          int // size of entries
}

func size(e wire.RaftEntry) int { return len(e.Data) + entryOverhead }

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i, or false when the entry is not held.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns entries from index from on, up to to inclusive and to maxBytes,
// but at least one. The result must not be changed.
func (l *entryLog) slice(from, to uint64, maxBytes int) []wire.RaftEntry {
	to = min(to, l.last())
	if from > to || from <= l.base {
		return nil
	}
	es := l.entries[from-l.base-1 : to-l.base]
	n := 0
	for i, e := range es {
		if n += size(e); n > maxBytes && i > 0 {
			es = es[:i]
			break
		}
	}
	return es[:len(es):len(es)]
}

// add appends entries whose indexes follow the last one.
func (l *entryLog) add(es ...wire.RaftEntry) {
	l.entries = append(l.entries, es...)
	for _, e := range es {
		l.bytes += size(e)
	}
}

// truncate drops entry i and all behind it. Slices handed out before stay valid,
// because the next add allocates.
func (l *entryLog) truncate(i uint64) {
	k := i - l.base - 1
	for _, e := range l.entries[k:] {
		l.bytes -= size(e)
	}
	l.entries = l.entries[:k:k]
	l.stable = min(l.stable, i-1)
}

// keepBehind returns the index behind which the log still holds at most count
// entries and maxBytes of those up to i.
func (l *entryLog) keepBehind(i uint64, count, maxBytes int) uint64 {
	for n := 0; i > l.base && count > 0; count-- {
		if n += size(l.entries[i-l.base-1]); n > maxBytes {
			break
		}
		i--
	}
	return i
}

// bytesBehind returns the size of the entries behind i.
func (l *entryLog) bytesBehind(i uint64) int {
	n := l.bytes
	for _, e := range l.entries[:i-l.base] {
		n -= size(e)
	}
	return n
}

// compact drops the entries up to i. It copies the others, so that the memory of
// those dropped becomes free.
func (l *entryLog) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.bytes = l.bytesBehind(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, t
}

// upToDate reports whether a log that ends with (index, term) holds everything
// that l may hold of committed entries.
func (l *entryLog) upToDate(index, term uint64) bool {
	t := l.lastTerm()
	return term > t || term == t && index >= l.last()
}

package raft

import (
	"slices"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// entryLog holds the entries after index base. Entries up to stable are durable.
type entryLog struct {
	base, baseTerm uint64
	entries        []wire.RaftEntry
	stable         uint64
	bytes          int // size of entries
}

func entrySize(e wire.RaftEntry) int { return len(e.Data) + entryOverhead }

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i, or false if the log does not hold it.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns the entries from index from up to and including to, but no more than
// fit into maxBytes, except that a first entry which exceeds it is returned alone. The
// caller must not change the result.
func (l *entryLog) slice(from, to uint64, maxBytes int) []wire.RaftEntry {
	to = min(to, l.last())
	if from > to || from <= l.base {
		return nil
	}
	es := l.entries[from-l.base-1 : to-l.base]
	n := 0
	for i, e := range es {
		if n += entrySize(e); n > maxBytes && i > 0 {
			es = es[:i]
			break
		}
	}
	return es[:len(es):len(es)]
}

// add appends entries. Their indexes must follow the last one.
func (l *entryLog) add(es ...wire.RaftEntry) {
	l.entries = append(l.entries, es...)
	for _, e := range es {
		l.bytes += entrySize(e)
	}
}

// truncate drops entry i and all after it. Slices that were returned before stay
// valid, because the next add allocates.
func (l *entryLog) truncate(i uint64) {
	k := i - l.base - 1
	for _, e := range l.entries[k:] {
		l.bytes -= entrySize(e)
	}
	l.entries = l.entries[:k:k]
	l.stable = min(l.stable, i-1)
}

// trailingStart returns the index up to which the log can be compacted, so that at
// most count entries with at most maxBytes in total remain of the entries up to i.
func (l *entryLog) trailingStart(i uint64, count, maxBytes int) uint64 {
	for n := 0; i > l.base && count > 0; count-- {
		if n += entrySize(l.entries[i-l.base-1]); n > maxBytes {
			break
		}
		i--
	}
	return i
}

// bytesAfter returns the size of the entries after i.
func (l *entryLog) bytesAfter(i uint64) int {
	n := l.bytes
	for _, e := range l.entries[:i-l.base] {
		n -= entrySize(e)
	}
	return n
}

// compact drops the entries up to i. It copies the rest, so that the memory of the
// dropped entries can be freed.
func (l *entryLog) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.bytes = l.bytesAfter(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, t
}

// upToDate reports whether a log that ends with (index, term) is at least as up to
// date as l, so that it holds all committed entries that l may hold.
func (l *entryLog) upToDate(index, term uint64) bool {
	t := l.lastTerm()
	return term > t || term == t && index >= l.last()
}

package wal

import (
	"bytes"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// loadSegments reads all segments, truncates a torn tail, and opens the last
// segment for writing.
func (l *Log) loadSegments(names []string) error {
	for _, n := range names {
		stem, ok := strings.CutSuffix(n, segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(stem, 16, 64)
		if err != nil {
			return l.corruptError(n, 0, "invalid segment file name")
		}
		if k := len(l.segments); k > 0 && l.segments[k-1].number+1 != number {
			return l.corruptError(n, 0, "the segment before it is missing")
		}
		l.segments = append(l.segments, segment{number: number})
	}
	if err := l.dropEmptySegment(); err != nil {
		return err
	}
	if len(l.segments) == 0 {
		return l.rotate()
	}
	var es []wire.RaftEntry
	for i := range l.segments {
		var err error
		if es, err = l.loadSegment(i, es); err != nil {
			return err
		}
	}
	return l.setEntries(es)
}

// loadSegment appends the entries of segment i to es.
func (l *Log) loadSegment(i int, es []wire.RaftEntry) ([]wire.RaftEntry, error) {
	s, last := &l.segments[i], i == len(l.segments)-1
	p := filepath.Join(l.folder, s.name())
	f, err := l.fs.Open(p)
	if err != nil {
		return nil, wrapDiskError(err, "open %s", p)
	}
	if last {
		l.active = f
	} else {
		defer f.Close()
	}
	b, err := readAll(f, p)
	if err != nil {
		return nil, err
	}
	var at int64
	for at < int64(len(b)) {
		e, _, next, ok := readRecord(b, s.number, at)
		if !ok {
			break
		}
		if es, ok = insertEntry(es, e); !ok {
			return nil, l.corruptError(s.name(), at, "entries are missing before this one")
		}
		s.maxIndex = max(s.maxIndex, e.Index)
		at = next
	}
	if last {
		l.reserved = int64(len(b))
	}
	if at < int64(len(b)) && (!last || !allZero(b[at:])) {
		if !last || damagedAfterSync(b, s.number, at) {
			return nil, l.corruptError(s.name(), at, "damaged record")
		}
		if err := f.Truncate(at); err != nil {
			return nil, wrapDiskError(err, "truncate %s", p)
		}
		l.reserved = at
	}
	if last {
		// Also makes records durable that an earlier process wrote but did not
		// sync.
		if err := f.Sync(); err != nil {
			return nil, wrapDiskError(err, "sync %s", p)
		}
		l.end, l.synced = at, at
	}
	return es, nil
}

// dropEmptySegment removes the last of several segments if it is empty. A rotation
// that failed for lack of disk space can leave such a segment, after which the
// previous segment was used again.
func (l *Log) dropEmptySegment() error {
	k := len(l.segments) - 1
	if k < 1 {
		return nil
	}
	p := filepath.Join(l.folder, l.segments[k].name())
	f, err := l.fs.Open(p)
	if err != nil {
		return wrapDiskError(err, "open %s", p)
	}
	n, err := f.Size()
	f.Close()
	if err != nil || n > 0 {
		return errors.Wrapf(err, "size of %s", p)
	}
	l.segments = l.segments[:k]
	if err := l.fs.Remove(p); err != nil {
		return wrapDiskError(err, "remove %s", p)
	}
	return nil
}

func allZero(b []byte) bool { return len(bytes.TrimLeft(b, "\x00")) == 0 }

// insertEntry appends e to es. If es holds an entry with that index, e replaces it
// and all after it. It returns false if entries are missing before e.
func insertEntry(es []wire.RaftEntry, e wire.RaftEntry) ([]wire.RaftEntry, bool) {
	if len(es) == 0 || e.Index <= es[0].Index {
		return append(es[:0], e), true
	}
	k := e.Index - es[0].Index
	if k > uint64(len(es)) {
		return es, false
	}
	return append(es[:k], e), true
}

// setEntries sets the entries of the state to those after the snapshot.
func (l *Log) setEntries(es []wire.RaftEntry) error {
	m := l.state.Snapshot
	if len(es) == 0 {
		return nil
	}
	first, last := es[0].Index, es[len(es)-1].Index
	if first > m.Index+1 {
		return l.corruptError(l.segments[0].name(), 0, "entries before this segment are missing")
	}
	if last < m.Index || m.Index >= first && es[m.Index-first].Term != m.Term {
		// A crash occurred after a received snapshot was saved and before the log
		// that it replaces was dropped.
		return l.Reset()
	}
	l.state.Entries = slices.Clone(es[m.Index+1-first:]) // frees the memory of the others
	return nil
}

// Reset drops all entries. It is called after a snapshot that replaces them was
// saved.
func (l *Log) Reset() error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.rotate(); err != nil {
		return err
	}
	return l.dropSegments(len(l.segments) - 1)
}

// dropSegments removes the n oldest segments, starting with the oldest, so that a
// crash leaves no gap.
func (l *Log) dropSegments(n int) error {
	for ; n > 0; n-- {
		p := filepath.Join(l.folder, l.segments[0].name())
		if err := l.fs.Remove(p); err != nil {
			return wrapDiskError(err, "remove %s", p)
		}
		l.segments = l.segments[1:]
		if err := l.fs.SyncFolder(l.folder); err != nil {
			if isDiskFull(err) {
				return wrapDiskError(err, "sync folder %s", l.folder)
			}
			return l.fail(err, "sync folder "+l.folder)
		}
	}
	return nil
}

// Package wal keeps the durable state of one Raft member under one folder: the
// log in checksummed segments, the hard state, the newest snapshot, and the
// member's identity.
//
// # Usage
//
// Open reads everything back; the entries are handed out once:
//
//	l, err := wal.Open(wal.Options{Folder: folder, Identity: wal.Identity{Identity: random, Name: name}})
//	state := l.State()
//
// Entries are written first and synced later, so that several share one sync.
// An entry is durable only once Sync returned:
//
//	err := l.Append(entries)
//	err = l.Sync()
//
// A snapshot is written beside the log and then takes the place of the entries
// that it covers:
//
//	meta, err := l.WriteSnapshot(meta, data) // may run in another goroutine
//	l.UseSnapshot(meta)
//	err = l.Compact()
//
// An error of kind DiskFull from Append or Sync drops the entries that were not
// synced; the log can be used on. After any other error the log refuses further
// writes, because the content of the disk is not known; open it again.
//
// Torn records at the end are truncated at Open. A damaged record that had been
// synced before is an error of kind Corrupt. Damage of the records written with
// the last sync cannot be told from a torn write.
package wal

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	segmentSuffix = ".log"
	lockName      = "Lock"
	// defaultSegmentBytes bounds what Open reads at once and how much space
	// stays in use after a compaction.
	defaultSegmentBytes = 8 << 20
	// reserveBytes is the space that a segment takes from the disk at once.
	reserveBytes = 1 << 20
)

// Options tell Open where and how to keep the log.
type Options struct {
	Folder string
	// FS defaults to OS.
	FS FS
	// Identity is saved when the folder is empty. Its name must be that of the
	// folder otherwise.
	Identity Identity
	// SegmentBytes is the size at which a new segment starts.
	SegmentBytes int64
}

// State is what Open found.
type State struct {
	Identity  Identity
	HardState HardState
	// Snapshot has index 0 when there is none.
	Snapshot SnapshotMeta
	// Entries follow the snapshot without a hole.
	Entries []wire.RaftEntry
}

// segment is one file of the log.
type segment struct {
	number uint64
	// highest is the highest index that the segment holds.
	highest uint64
}

func (s segment) name() string { return fmt.Sprintf("%016x%s", s.number, segmentSuffix) }

// Log is the durable state of one member. It is not safe for concurrent use.
type Log struct {
	folder       string
	fs           FS
	segmentBytes int64
	lock         io.Closer
	state        State
	loaded       []byte // data of the snapshot, from Open until ReadSnapshot
	hard         hardFile
	segments     []segment // in order; the last one is open for writing
	active       File
	end, synced  int64 // offsets in the active segment
	reserved     int64 // size of the active segment; zeros follow end
	failed       error
}

// Open opens or creates the log in o.Folder.
func Open(o Options) (*Log, error) {
	l := &Log{folder: o.Folder, fs: o.FS, segmentBytes: o.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.segmentBytes <= 0 {
		l.segmentBytes = defaultSegmentBytes
	}
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return nil, diskError(err, "create folder %s", l.folder)
	}
	k, err := l.fs.Lock(filepath.Join(l.folder, lockName))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "open %s", l.folder)
	}
	l.lock = k
	if err := l.load(o.Identity); err != nil {
		_ = l.Close() // the first error matters
		return nil, err
	}
	return l, nil
}

func (l *Log) load(i Identity) error {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return diskError(err, "list %s", l.folder)
	}
	names = slices.DeleteFunc(names, func(n string) bool {
		temp := strings.HasSuffix(n, tempSuffix)
		if temp {
			_ = l.fs.Remove(filepath.Join(l.folder, n)) // unfinished write of an earlier process
		}
		return temp
	})
	if err := l.loadIdentity(names, i); err != nil {
		return err
	}
	if err := l.loadSnapshot(names); err != nil {
		return err
	}
	if err := l.loadSegments(names); err != nil {
		return err
	}
	return l.loadHardState(names)
}

// State returns what Open found. The log keeps no reference to the entries.
func (l *Log) State() State {
	s := l.state
	l.state.Entries = nil
	return s
}

// Append writes entries behind the log. An entry whose index exists replaces
// that entry and all behind it.
func (l *Log) Append(es []wire.RaftEntry) error {
	if l.failed != nil {
		return l.failed
	}
	if len(es) == 0 {
		return nil
	}
	if l.end >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	var b []byte
	a := &l.segments[len(l.segments)-1]
	for _, e := range es {
		b = appendRecord(b, a.number, l.end+int64(len(b)), l.synced, e)
	}
	if err := l.reserve(int64(len(b))); err != nil {
		return err
	}
	if _, err := l.active.WriteAt(b, l.end); err != nil {
		return l.undo(err, "write")
	}
	l.end += int64(len(b))
	a.highest = max(a.highest, es[len(es)-1].Index)
	return nil
}

// reserve takes space for n bytes and more from the disk, so that it usually is
// here that a full disk shows, before anybody was told of the entries. Some file
// systems allocate space only at a sync.
func (l *Log) reserve(n int64) error {
	if l.end+n <= l.reserved {
		return nil
	}
	if err := l.Sync(); err != nil {
		return err
	}
	size := max(l.end+n, min(l.reserved+reserveBytes, l.segmentBytes))
	if _, err := l.active.WriteAt(make([]byte, size-l.reserved), l.reserved); err != nil {
		return l.undo(err, "write")
	}
	if err := l.active.Sync(); err != nil {
		return l.undo(err, "sync")
	}
	l.reserved = size
	return nil
}

// undo drops durably what was not synced after a failed write or sync, so that
// no entry that was refused comes back after a crash. The kernel may drop dirty
// pages after a failed sync, so that a second sync would succeed without the data
// being durable. Truncating drops those pages; any other failure than a lack of
// space ends the use of the log.
func (l *Log) undo(cause error, what string) error {
	p := l.activePath()
	if err := l.active.Truncate(l.synced); err != nil {
		return l.fail(err, "truncate "+p)
	}
	if err := l.active.Sync(); err != nil {
		return l.fail(err, "sync "+p)
	}
	l.end, l.reserved = l.synced, l.synced
	if !full(cause) {
		return l.fail(cause, what+" "+p)
	}
	return diskError(cause, "%s %s", what, p)
}

// Sync makes all appended entries durable.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if l.synced == l.end {
		return nil
	}
	if err := l.active.Sync(); err != nil {
		return l.undo(err, "sync")
	}
	l.synced = l.end
	return nil
}

func (l *Log) activePath() string {
	return filepath.Join(l.folder, l.segments[len(l.segments)-1].name())
}

func (l *Log) fail(cause error, what string) error {
	l.failed = errkind.Wrap(cause, errkind.Internal, "%s", what)
	return l.failed
}

// rotate starts a new segment once the active one is durable.
func (l *Log) rotate() error {
	if err := l.finishSegment(); err != nil {
		return err
	}
	next := segment{number: 1}
	if len(l.segments) > 0 {
		next.number = l.segments[len(l.segments)-1].number + 1
	}
	p := filepath.Join(l.folder, next.name())
	f, err := l.fs.Open(p)
	if err != nil {
		return diskError(err, "create %s", p)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		f.Close()
		if full(err) {
			_ = l.fs.Remove(p) // an empty last segment is also removed at Open
			return diskError(err, "create %s", p)
		}
		return l.fail(err, "sync folder "+l.folder)
	}
	if l.active != nil {
		l.active.Close()
	}
	l.active, l.end, l.synced, l.reserved = f, 0, 0, 0
	l.segments = append(l.segments, next)
	return nil
}

// finishSegment cuts what was reserved off the active segment: only the last one
// may end with anything else than a whole record.
func (l *Log) finishSegment() error {
	if err := l.Sync(); err != nil || l.reserved == l.end {
		return err
	}
	if err := l.active.Truncate(l.end); err != nil {
		return l.fail(err, "truncate "+l.activePath())
	}
	if err := l.active.Sync(); err != nil {
		return l.undo(err, "sync")
	}
	l.reserved = l.end
	return nil
}

// Close closes the files. It does not sync.
func (l *Log) Close() error {
	if l.active != nil {
		l.active.Close()
	}
	if l.hard.file != nil {
		l.hard.file.Close()
	}
	if l.lock != nil {
		return l.lock.Close()
	}
	return nil
}

func full(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func diskError(err error, format string, args ...any) error {
	if full(err) {
		return errkind.Wrap(err, errkind.DiskFull, format, args...)
	}
	return errkind.Wrap(err, errkind.Internal, format, args...)
}

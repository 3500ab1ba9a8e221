// Package wal stores the durable state of one Raft member in one folder: the log in
// checksummed segments, the hard state, the newest snapshot, and the member's
// identity.
//
// # Usage
//
// Open reads everything back. State returns the entries only once:
//
//	l, err := wal.Open(wal.Options{Folder: folder, Identity: wal.Identity{Identity: random, Name: name}})
//	state := l.State()
//
// Append writes entries and Sync makes them durable, so that several appends can
// share one sync. An entry is durable only after Sync has returned:
//
//	err := l.Append(entries)
//	err = l.Sync()
//
// A snapshot is written beside the log and then replaces the entries that it
// covers:
//
//	meta, err := l.WriteSnapshot(meta, data) // may run in another goroutine
//	l.ActivateSnapshot(meta)
//	err = l.Compact()
//
// If Append or Sync returns an error of kind DiskFull, the entries that were not
// synced are dropped and the log remains usable. After any other error the log
// refuses further writes, because the content of the disk is unknown. It must be
// opened again.
//
// Open truncates torn records at the end of the log. A damaged record that had been
// synced is an error of kind Corrupt. Damage to the records of the last sync cannot
// be told from a torn write.
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
	// defaultSegmentBytes bounds how much Open reads at once and how much disk
	// space stays in use after a compaction.
	defaultSegmentBytes = 8 << 20
	// reserveBytes is the disk space that is allocated for the active segment at a
	// time.
	reserveBytes = 1 << 20
)

// Options configures a Log.
type Options struct {
	Folder string
	// FS defaults to OS.
	FS FS
	// Identity is saved if the folder is empty. Otherwise its name must match the
	// saved identity.
	Identity Identity
	// SegmentBytes is the size from which on a new segment is started.
	SegmentBytes int64
}

// State is the durable state that Open found.
type State struct {
	Identity  Identity
	HardState HardState
	// Snapshot has index 0 if there is no snapshot.
	Snapshot SnapshotMeta
	// Entries are those after the snapshot, without gaps.
	Entries []wire.RaftEntry
}

// segment describes one file of the log.
type segment struct {
	number uint64
	// maxIndex is the highest entry index in the segment.
	maxIndex uint64
}

func (s segment) name() string { return fmt.Sprintf("%016x%s", s.number, segmentSuffix) }

// Log is the durable state of one member. It is not safe for concurrent use.
type Log struct {
	folder       string
	fs           FS
	segmentBytes int64
	lock         io.Closer
	state        State
	snapshotData []byte // data of the newest snapshot, from Open until ReadSnapshot
	hardState    hardStateFile
	segments     []segment // in order; the last one is the active segment
	active       File
	end, synced  int64 // offsets in the active segment
	reserved     int64 // size of the active segment; filled with zeros after end
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
		return nil, wrapDiskError(err, "create folder %s", l.folder)
	}
	k, err := l.fs.Lock(filepath.Join(l.folder, lockName))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "open %s", l.folder)
	}
	l.lock = k
	if err := l.load(o.Identity); err != nil {
		_ = l.Close() // the first error is returned
		return nil, err
	}
	return l, nil
}

func (l *Log) load(i Identity) error {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return wrapDiskError(err, "list %s", l.folder)
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

// State returns what Open found. The log keeps no reference to the entries, so only
// the first call returns them.
func (l *Log) State() State {
	s := l.state
	l.state.Entries = nil
	return s
}

// Append writes entries to the end of the log. An entry whose index exists already
// replaces that entry and all after it.
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
		return l.rollBack(err, "write")
	}
	l.end += int64(len(b))
	a.maxIndex = max(a.maxIndex, es[len(es)-1].Index)
	return nil
}

// reserve allocates disk space for at least n more bytes. This way a full disk
// usually shows here, before any other member has seen the entries. The sync is
// needed because some file systems allocate space only then.
func (l *Log) reserve(n int64) error {
	if l.end+n <= l.reserved {
		return nil
	}
	if err := l.Sync(); err != nil {
		return err
	}
	size := max(l.end+n, min(l.reserved+reserveBytes, l.segmentBytes))
	if _, err := l.active.WriteAt(make([]byte, size-l.reserved), l.reserved); err != nil {
		return l.rollBack(err, "write")
	}
	if err := l.active.Sync(); err != nil {
		return l.rollBack(err, "sync")
	}
	l.reserved = size
	return nil
}

// rollBack durably drops the unsynced records after a failed write or sync, so that
// no refused entry reappears after a crash. After a failed sync the kernel may drop
// dirty pages, and a second sync would succeed without the data being durable.
// Truncating the file drops those pages. After any failure other than a full disk
// the log is no longer usable.
func (l *Log) rollBack(cause error, what string) error {
	p := l.activePath()
	if err := l.active.Truncate(l.synced); err != nil {
		return l.fail(err, "truncate "+p)
	}
	if err := l.active.Sync(); err != nil {
		return l.fail(err, "sync "+p)
	}
	l.end, l.reserved = l.synced, l.synced
	if !isDiskFull(cause) {
		return l.fail(cause, what+" "+p)
	}
	return wrapDiskError(cause, "%s %s", what, p)
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
		return l.rollBack(err, "sync")
	}
	l.synced = l.end
	return nil
}

func (l *Log) activePath() string {
	return filepath.Join(l.folder, l.segments[len(l.segments)-1].name())
}

// fail makes the log unusable and returns the error for all further writes.
func (l *Log) fail(cause error, what string) error {
	l.failed = errkind.Wrap(cause, errkind.Internal, "%s", what)
	return l.failed
}

// rotate makes the active segment durable and starts a new one.
func (l *Log) rotate() error {
	if err := l.trimActiveSegment(); err != nil {
		return err
	}
	next := segment{number: 1}
	if len(l.segments) > 0 {
		next.number = l.segments[len(l.segments)-1].number + 1
	}
	p := filepath.Join(l.folder, next.name())
	f, err := l.fs.Open(p)
	if err != nil {
		return wrapDiskError(err, "create %s", p)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		f.Close()
		if isDiskFull(err) {
			_ = l.fs.Remove(p) // otherwise Open removes the empty segment
			return wrapDiskError(err, "create %s", p)
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

// trimActiveSegment truncates the reserved space at the end of the active segment:
// only the last segment may end with anything but a whole record.
func (l *Log) trimActiveSegment() error {
	if err := l.Sync(); err != nil || l.reserved == l.end {
		return err
	}
	if err := l.active.Truncate(l.end); err != nil {
		return l.fail(err, "truncate "+l.activePath())
	}
	if err := l.active.Sync(); err != nil {
		return l.rollBack(err, "sync")
	}
	l.reserved = l.end
	return nil
}

// Close closes the files. It does not sync.
func (l *Log) Close() error {
	if l.active != nil {
		l.active.Close()
	}
	if l.hardState.file != nil {
		l.hardState.file.Close()
	}
	if l.lock != nil {
		return l.lock.Close()
	}
	return nil
}

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func wrapDiskError(err error, format string, args ...any) error {
	if isDiskFull(err) {
		return errkind.Wrap(err, errkind.DiskFull, format, args...)
	}
	return errkind.Wrap(err, errkind.Internal, format, args...)
}

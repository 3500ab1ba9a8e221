package replica

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/raft"
	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// snapshotRetry is how long a snapshot waits after one that could not be
	// written.
	snapshotRetry = 5 * time.Second
	// encodeShare bounds the time spent on encoding snapshots, which stalls the
	// group: at most one part in encodeShare.
	encodeShare = 10
	// maxMessageData bounds the data of one message, unless a single entry is
	// larger. It is far below wire.MaxMessageBytes, as heartbeats wait behind it.
	maxMessageData = 1 << 20
	// maxLogFactor bounds the log in memory, in multiples of SnapshotBytes, while
	// snapshots are slower than the commands.
	maxLogFactor = 4
)

// snapshots is the part of the engine that takes and sends snapshots. One is
// encoded between two events and written in the background.
type snapshots struct {
	written      chan writtenSnapshot
	writing      bool
	wanted       bool // take one although little was applied
	notBefore    time.Duration
	newest       uint64                // index of the newest one
	appliedBytes int                   // since the last one was encoded
	readers      []*wal.SnapshotReader // the newest one last
}

type writtenSnapshot struct {
	meta wal.SnapshotMeta
	err  error
}

// takeSnapshot starts a snapshot when it is due.
func (e *engine) takeSnapshot(now time.Duration) {
	if e.node == nil || e.failure != nil || e.writing || e.applied <= e.newest || now < e.notBefore {
		return
	}
	due := e.applied-e.newest >= uint64(e.c.SnapshotEntries) || e.appliedBytes >= e.c.SnapshotBytes
	if !due && !e.wanted {
		return
	}
	start := e.clock()
	data, err := e.machine.Snapshot()
	if err != nil {
		e.snapshotFailed(now, err)
		return
	}
	e.notBefore = now + encodeShare*(e.clock()-start)
	meta := wal.SnapshotMeta{
		Index: e.applied, Term: e.node.TermAt(e.applied), Membership: e.node.MembershipAt(e.applied),
	}
	e.writing, e.wanted, e.appliedBytes = true, false, 0
	e.background(func() {
		m, err := e.log.WriteSnapshot(meta, data)
		e.written <- writtenSnapshot{m, err}
	})
}

// finishSnapshot drops what a written snapshot covers.
func (e *engine) finishSnapshot(now time.Duration, w writtenSnapshot) {
	e.writing = false
	if w.err != nil {
		e.snapshotFailed(now, w.err)
		return
	}
	if e.failure != nil || !e.log.ActivateSnapshot(w.meta) {
		return
	}
	if err := e.openSnapshot(); err != nil {
		e.fail(err)
		return
	}
	e.newest = w.meta.Index
	e.node.Compact(raft.SnapshotMeta(w.meta))
	e.dropReaders()
	if err := e.log.Compact(); err != nil && errkind.Of(err) != errkind.DiskFull {
		e.fail(err)
	}
}

func (e *engine) snapshotFailed(now time.Duration, err error) {
	e.c.Log.Error(err, "snapshot not taken", "group", e.c.Group, "index", e.applied)
	e.wanted, e.notBefore = true, now+snapshotRetry
}

// logFull reports whether the log in memory reached its bound. It holds until a
// snapshot is written.
func (e *engine) logFull() bool {
	return e.node.LogBytes() >= maxLogFactor*e.c.SnapshotBytes
}

// installSnapshot makes a received snapshot the state of the member.
func (e *engine) installSnapshot(s *raft.Snapshot) error {
	if err := e.log.InstallSnapshot(wal.SnapshotMeta(s.SnapshotMeta), s.Data); err != nil {
		return err
	}
	if err := e.machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restore a received snapshot in %s", e.c.Folder)
	}
	if err := e.openSnapshot(); err != nil {
		return err
	}
	e.dropReaders()
	e.applied, e.newest, e.appliedBytes, e.committed = s.Index, s.Index, 0, nil
	for i, p := range e.pending {
		if i <= s.Index {
			p.finish(nil, errkind.New(errkind.OutcomeUnknown, "a snapshot of another leader replaced the log"))
			delete(e.pending, i)
		}
	}
	e.c.Log.Info("snapshot installed", "group", e.c.Group, "index", s.Index, "bytes", len(s.Data))
	return nil
}

// openSnapshot opens the newest snapshot for members that need it.
func (e *engine) openSnapshot() error {
	r, err := e.log.OpenSnapshot()
	if err != nil {
		return err
	}
	e.readers = append(e.readers, r)
	return nil
}

// sendChunks reads and sends chunks of snapshots.
func (e *engine) sendChunks(ms []wire.RaftMessage) {
	for _, m := range ms {
		b := make([]byte, min(uint64(e.c.chunkBytes), m.Size-m.Offset))
		if err := e.readSnapshot(m.Index, b, int64(m.Offset)); err != nil {
			e.c.Log.Error(err, "snapshot not sent", "group", e.c.Group, "index", m.Index, "offset", m.Offset)
			continue
		}
		m.Data = b
		e.sendAll([]wire.RaftMessage{m})
	}
}

func (e *engine) readSnapshot(index uint64, b []byte, offset int64) error {
	for _, r := range e.readers {
		if r.Index == index {
			n, err := r.ReadAt(b, offset)
			if n == len(b) {
				err = nil
			}
			return err
		}
	}
	return errkind.New(errkind.Internal, "the snapshot is not open")
}

// dropReaders closes those of snapshots that are neither new nor being sent.
func (e *engine) dropReaders() {
	pinned, newest := e.node.PinnedSnapshot(), e.readers[len(e.readers)-1]
	e.readers = slices.DeleteFunc(e.readers, func(r *wal.SnapshotReader) bool {
		if r == newest || r.Index == pinned {
			return false
		}
		_ = r.Close()
		return true
	})
}

func (e *engine) closeReaders() {
	for _, r := range e.readers {
		_ = r.Close()
	}
	e.readers = nil
}

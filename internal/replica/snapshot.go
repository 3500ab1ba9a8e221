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
	// snapshotRetry is the time until the next attempt after a snapshot could not
	// be taken.
	snapshotRetry = 5 * time.Second
	// encodeDivisor bounds the time spent on encoding snapshots, which blocks the
	// group, to 1/encodeDivisor of the total time.
	encodeDivisor = 10
	// maxMessageData bounds the data of one message. A single entry may be larger.
	// It is far below wire.MaxMessageBytes, as heartbeats wait behind the message.
	maxMessageData = 1 << 20
	// maxLogFactor bounds the log in memory, as a multiple of SnapshotBytes, while
	// commands arrive faster than snapshots can be taken.
	maxLogFactor = 4
)

// snapshots is the part of the engine that takes and sends snapshots. A snapshot is
// encoded between two events and written in the background.
type snapshots struct {
	written           chan writtenSnapshot
	writingSnapshot   bool
	snapshotRequested bool // take a snapshot even if it is not due
	nextSnapshotAt    time.Duration
	newestSnapshot    uint64                // index of the newest snapshot
	appliedBytes      int                   // since the last snapshot was encoded
	readers           []*wal.SnapshotReader // of the newest snapshot last
}

type writtenSnapshot struct {
	meta wal.SnapshotMeta
	err  error
}

// takeSnapshot starts a snapshot if one is due or requested.
func (e *engine) takeSnapshot(now time.Duration) {
	if e.node == nil || e.failure != nil || e.writingSnapshot || e.applied <= e.newestSnapshot || now < e.nextSnapshotAt {
		return
	}
	due := e.applied-e.newestSnapshot >= uint64(e.c.SnapshotEntries) || e.appliedBytes >= e.c.SnapshotBytes
	if !due && !e.snapshotRequested {
		return
	}
	start := e.clock()
	data, err := e.machine.Snapshot()
	if err != nil {
		e.snapshotFailed(now, err)
		return
	}
	e.nextSnapshotAt = now + encodeDivisor*(e.clock()-start)
	meta := wal.SnapshotMeta{
		Index: e.applied, Term: e.node.TermAt(e.applied), Membership: e.node.MembershipAt(e.applied),
	}
	e.writingSnapshot, e.snapshotRequested, e.appliedBytes = true, false, 0
	e.background(func() {
		m, err := e.log.WriteSnapshot(meta, data)
		e.written <- writtenSnapshot{m, err}
	})
}

// finishSnapshot activates a written snapshot and drops the entries that it covers.
func (e *engine) finishSnapshot(now time.Duration, w writtenSnapshot) {
	e.writingSnapshot = false
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
	e.newestSnapshot = w.meta.Index
	e.node.Compact(raft.SnapshotMeta(w.meta))
	e.dropReaders()
	if err := e.log.Compact(); err != nil && errkind.Of(err) != errkind.DiskFull {
		e.fail(err)
	}
}

func (e *engine) snapshotFailed(now time.Duration, err error) {
	e.c.Log.Error(err, "snapshot not taken", "group", e.c.Group, "index", e.applied)
	e.snapshotRequested, e.nextSnapshotAt = true, now+snapshotRetry
}

// logFull reports whether the log in memory has reached its bound. It remains full
// until a snapshot is written.
func (e *engine) logFull() bool {
	return e.node.LogBytes() >= maxLogFactor*e.c.SnapshotBytes
}

// installSnapshot saves a received snapshot and restores the state machine from it.
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
	e.applied, e.newestSnapshot, e.appliedBytes, e.committed = s.Index, s.Index, 0, nil
	for i, p := range e.pending {
		if i <= s.Index {
			p.finish(nil, errkind.New(errkind.OutcomeUnknown, "a snapshot of another leader replaced the log"))
			delete(e.pending, i)
		}
	}
	e.c.Log.Info("snapshot installed", "group", e.c.Group, "index", s.Index, "bytes", len(s.Data))
	return nil
}

// openSnapshot opens the newest snapshot, so that it can be sent to other members.
func (e *engine) openSnapshot() error {
	r, err := e.log.OpenSnapshot()
	if err != nil {
		return err
	}
	e.readers = append(e.readers, r)
	return nil
}

// sendChunks adds the snapshot data to chunk messages and sends them.
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

// dropReaders closes the readers of snapshots that are neither the newest nor being
// sent.
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

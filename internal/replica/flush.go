package replica

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/raft"
	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// flush does the work that the events so far led to.
func (e *engine) flush(now time.Duration) {
	full := 0
	for e.node != nil && e.failure == nil && full < 2 && e.node.HasReady() {
		r := e.node.Ready(now)
		err := e.save(now, r)
		if err == nil {
			e.sendAll(r.Messages)
		} else if errkind.Of(err) != errkind.DiskFull {
			e.fail(err)
			return
		}
		e.committed = append(e.committed, r.Committed...)
		for _, c := range r.Reads {
			if q := e.reads[c.ID]; q != nil {
				q.confirmed, q.index = true, c.Index
			}
		}
		if err != nil {
			full++ // once more for what needs no space
		}
	}
	e.applyCommitted()
	e.finishReads()
	e.noteRole(now)
	e.takeSnapshot(now)
}

const (
	// applyShare bounds the time of applying between two looks at timers and
	// messages to a part of the heartbeat interval. A leader that applied a whole
	// log at once after a restart would be silent for so long that it is replaced,
	// by one that then does the same.
	applyShare = 4
	// applyPause leaves the processor to the connections of a VM with one core,
	// which the runtime does not look at while a goroutine can run.
	applyPause = time.Millisecond
)

// applyCommitted applies committed entries for a while, and at least one.
func (e *engine) applyCommitted() {
	start := e.clock()
	if e.applyAt != never && start < e.applyAt {
		return
	}
	e.applyAt = never
	for len(e.committed) > 0 && e.failure == nil {
		x := e.committed[0]
		e.committed = e.committed[1:]
		if err := e.apply(x); err != nil {
			e.fail(err)
			return
		}
		if now := e.clock(); now-start >= e.c.HeartbeatInterval/applyShare && len(e.committed) > 0 {
			e.applyAt = now + applyPause
			return
		}
	}
}

// save makes the state in r durable. Messages that depend on it are sent only
// after that; those of a leader may go out between write and sync, as the leader
// counts its own entries only once they are durable.
func (e *engine) save(now time.Duration, r raft.Ready) error {
	var err error
	if r.HardState != nil {
		if err = e.log.SaveHardState(wal.HardState(*r.HardState)); err != nil {
			r.HardState = nil
		}
	}
	if err == nil && r.Snapshot != nil {
		err = e.installSnapshot(r.Snapshot)
	}
	if err == nil {
		err = e.log.Append(r.Entries)
	}
	sent := false
	if err == nil {
		e.sendAll(r.PreSyncMessages)
		e.sendChunks(r.Chunks)
		sent = len(r.PreSyncMessages) > 0
		err = e.log.Sync()
	}
	if err == nil {
		e.node.Saved(r)
		e.diskFull = e.diskFull && len(r.Entries) == 0
		return nil
	}
	if errkind.Of(err) != errkind.DiskFull {
		return err
	}
	if !sent && e.node.Leader() == e.self.Identity {
		// A follower's entries come from others, even those that it sent itself
		// as an earlier leader.
		e.refuse(r.Entries, err)
	}
	e.node.Discard(now, r, sent)
	if !e.diskFull {
		e.c.Log.Error(err, "disk full, refusing commands", "group", e.c.Group)
	}
	e.diskFull = true
	return err
}

// refuse answers the proposals of entries that nobody has seen.
func (e *engine) refuse(es []wire.RaftEntry, cause error) {
	for _, x := range es {
		if p := e.pending[x.Index]; p != nil && p.term == x.Term {
			p.finish(nil, errkind.Wrap(cause, errkind.DiskFull, "the command was not appended"))
			delete(e.pending, x.Index)
		}
	}
}

func (e *engine) sendAll(ms []wire.RaftMessage) {
	for _, m := range ms {
		to := e.nameOf(m.To)
		if to == "" || to == e.c.Name {
			continue
		}
		m.Group, m.Lineage, m.FromName = e.c.Group, e.self.Lineage, e.c.Name
		if e.c.dynamic() {
			m.FromAddress = e.c.self().Address
		}
		e.send.Send(to, m)
	}
}

// apply applies x, unless the machine cannot.
func (e *engine) apply(x wire.RaftEntry) error {
	var v any
	switch x.Kind {
	case wire.EntryCommand:
		v = e.machine.Apply(x.Index, x.Data)
		if err, ok := v.(error); ok {
			return err
		}
	case wire.EntryEmpty, wire.EntryMembership:
	default:
		return errkind.New(errkind.Outdated, "entry %d of the log has kind %d of a newer release; upgrade this member", x.Index, x.Kind)
	}
	e.applied = x.Index
	e.appliedBytes += len(x.Data)
	p := e.pending[x.Index]
	if p == nil {
		return nil
	}
	delete(e.pending, x.Index)
	if p.term != x.Term {
		p.finish(nil, errkind.New(errkind.NotLeader, "the command was overwritten by another leader").WithExecution(errkind.NotRun))
		return nil
	}
	p.finish(v, nil)
	return nil
}

func (e *engine) finishReads() {
	for id, r := range e.reads {
		if r.confirmed && r.index <= e.applied {
			r.done <- nil
			delete(e.reads, id)
		}
	}
}

// noteRole logs who leads and starts the grace period of pending proposals when
// leadership was lost: the next leader's first entries usually show what became
// of them.
func (e *engine) noteRole(now time.Duration) {
	if e.node == nil {
		return
	}
	leading := e.node.Leader() == e.self.Identity
	if e.leading && !leading && len(e.pending) > 0 {
		e.lostAt = now
	}
	e.leading = leading
	e.logRole(e.node.Status(now))
}

// belief is what a member believes of the leadership of its group.
type belief struct {
	role   raft.Role
	term   uint64
	leader string
}

// logRole writes a line when the role, the term or the leader has changed.
func (e *engine) logRole(s raft.Status) {
	b := belief{s.Role, s.Term, s.Leader}
	if b == e.believed {
		return
	}
	e.believed = b
	e.c.Log.Info("leadership", "group", e.c.Group, "role", s.Role.String(), "term", s.Term,
		"leader", e.nameOf(s.Leader), "commit", s.Commit, "lastLog", s.LastIndex)
}

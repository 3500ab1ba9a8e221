package replica

import (
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/raft"
	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// flush performs the work that results from the events so far.
func (e *engine) flush(now time.Duration) {
	diskFullErrors := 0
	for e.node != nil && e.failure == nil && diskFullErrors < 2 && e.node.HasReady() {
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
			diskFullErrors++ // try once more for the work that needs no disk space
		}
	}
	e.applyCommitted()
	e.finishReads()
	e.updateLeadership(now)
	e.takeSnapshot(now)
}

const (
	// applyDivisor bounds the time of applying entries, before timers and messages
	// are handled again, to 1/applyDivisor of the heartbeat interval. A leader that
	// applied a whole log at once after a restart would send no heartbeats for so
	// long that it is replaced, by a leader that then does the same.
	applyDivisor = 4
	// applyPause yields the processor to the network connections on a VM with one
	// core, as the Go runtime does not poll the network while a goroutine can run.
	applyPause = time.Millisecond
)

// applyCommitted applies at least one committed entry, and further ones until its
// time is up.
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
		if now := e.clock(); now-start >= e.c.HeartbeatInterval/applyDivisor && len(e.committed) > 0 {
			e.applyAt = now + applyPause
			return
		}
	}
}

// save makes the state in r durable. Messages that depend on it are sent only after
// that. Messages of a leader may be sent between write and sync, because the leader
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
		// Only a leader fails its proposals here. The entries of a follower come
		// from other members, even those that it sent itself as an earlier leader.
		e.failUnsent(r.Entries, err)
	}
	e.node.Discard(now, r, sent)
	if !e.diskFull {
		e.c.Log.Error(err, "disk full, refusing commands", "group", e.c.Group)
	}
	e.diskFull = true
	return err
}

// failUnsent fails the proposals of entries that were not sent to any member.
func (e *engine) failUnsent(es []wire.RaftEntry, cause error) {
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

// apply applies x to the state machine. It returns an error if the member must stop
// before this entry.
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

// updateLeadership records and logs leadership changes. When the member loses
// leadership, it starts the grace period of the pending proposals: the first
// entries of the next leader usually show their outcome.
func (e *engine) updateLeadership(now time.Duration) {
	if e.node == nil {
		return
	}
	leading := e.node.Leader() == e.self.Identity
	if e.leading && !leading && len(e.pending) > 0 {
		e.leadershipLostAt = now
	}
	e.leading = leading
	s := e.node.Status(now)
	e.logLeadership(s)
	e.logMembers(s)
}

// leadership is a member's view of who leads its group.
type leadership struct {
	role   raft.Role
	term   uint64
	leader string
}

// logLeadership logs the leadership if the role, the term or the leader has
// changed.
func (e *engine) logLeadership(s raft.Status) {
	b := leadership{s.Role, s.Term, s.Leader}
	if b == e.loggedLeadership {
		return
	}
	e.loggedLeadership = b
	e.c.Log.Info("leadership", "group", e.c.Group, "role", s.Role.String(), "term", s.Term,
		"leader", e.nameOf(s.Leader), "commit", s.Commit, "lastLog", s.LastIndex)
}

// logMembers logs the members on the leader if they have changed.
func (e *engine) logMembers(s raft.Status) {
	if s.Role != raft.Leader || slices.Equal(s.Members, e.loggedMembers) {
		return
	}
	e.loggedMembers = s.Members
	var voters, learners []string
	for _, m := range s.Members {
		if m.Voter {
			voters = append(voters, m.Name)
		} else {
			learners = append(learners, m.Name)
		}
	}
	e.c.Log.Info("members", "group", e.c.Group, "term", s.Term, "index", s.LastIndex, "voters", voters, "learners", learners)
}

package replica

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/raft"
	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxPending bounds the pending proposals and, separately, the pending reads.
	maxPending = 4096
	// readRetry is the time after which the confirmation of a read is requested
	// again, as its message may have been lost or the leader may have failed.
	readRetry = 200 * time.Millisecond
	// never is the deadline of a timer that is not set.
	never = time.Duration(math.MaxInt64)
)

// engine is the single-threaded core of a member: it handles one event at a time,
// and flush then performs the resulting work.
type engine struct {
	c              Config
	log            *wal.Log
	machine        StateMachine
	node           *raft.Node // nil until the member belongs to a group
	self           wal.Identity
	nameByIdentity map[string]string // from received messages
	driver         string            // last prober; only it may bootstrap this member
	applied        uint64
	// committed holds the committed entries that are not applied yet. The next one
	// is applied at applyAt at the earliest.
	committed []wire.RaftEntry
	applyAt   time.Duration
	pending   map[uint64]*proposal
	joins     []waitingJoin
	reads     map[uint64]*readRequest
	nextID    uint64
	// readRetryAt is when the confirmation of reads is requested again, readLeader
	// the leader that was asked last.
	readRetryAt time.Duration
	readLeader  string
	// leadershipLostAt is when the member lost leadership with proposals pending,
	// or 0.
	leadershipLostAt time.Duration
	leading          bool
	// loggedLeadership and loggedMembers are the leadership and the members that were
	// logged last.
	loggedLeadership leadership
	loggedMembers    []wire.RaftMember
	// diskFull is set from a write that failed for lack of disk space until entries
	// are written again.
	diskFull bool
	failure  error
	runtime
	snapshots
}

// States of a proposal. A proposal is either canceled or appended, never both. It
// counts as appended once the engine has taken it from the queue, even if the engine
// then refuses it.
const (
	queued int32 = iota
	appended
	canceled
)

type result struct {
	value any
	err   error
}

type proposal struct {
	state atomic.Int32
	term  uint64
	// onlyIn is the term in which the command may be appended; 0 means any.
	onlyIn uint64
	done   chan result
}

func newProposal() *proposal { return &proposal{done: make(chan result, 1)} }

// cancel cancels a queued proposal. It returns false if the proposal was already
// taken from the queue.
func (p *proposal) cancel() bool { return p.state.CompareAndSwap(queued, canceled) }

func (p *proposal) finish(v any, err error) { p.done <- result{v, err} }

type readRequest struct {
	canceled    atomic.Bool
	done        chan error
	requestedAt time.Duration
	index       uint64
	confirmed   bool
}

// runtime holds what an engine needs from its environment: a clock, a function that
// runs another in the background, and the transport.
type runtime struct {
	clock      func() time.Duration
	background func(func())
	send       Transport
}

func newEngine(c Config, l *wal.Log, m StateMachine, r runtime) (*engine, error) {
	s := l.State()
	e := &engine{
		c: c, log: l, machine: m, runtime: r, self: s.Identity,
		nameByIdentity: map[string]string{}, pending: map[uint64]*proposal{}, reads: map[uint64]*readRequest{},
		nextID:      c.Rand.Uint64(), // differs from the IDs of earlier processes
		readRetryAt: never,
		applyAt:     never,
		snapshots:   snapshots{written: make(chan writtenSnapshot, 1)},
	}
	if s.Identity.Lineage == "" {
		return e, nil
	}
	if s.Snapshot.Index > 0 {
		b, err := l.ReadSnapshot()
		if err != nil {
			return nil, err
		}
		if err := m.Restore(b); err != nil {
			return nil, errors.Wrapf(err, "restore the snapshot in %s", c.Folder)
		}
		if err := e.openSnapshot(); err != nil {
			return nil, err
		}
	}
	if err := e.initialEntry(&s); err != nil {
		return nil, err
	}
	e.start(s, e.clock(), true, false)
	return e, nil
}

// initialEntry appends the initial membership to the log of a member that took part
// in the bootstrap. The entry is the same on all of them, so it counts as
// committed.
func (e *engine) initialEntry(s *wal.State) error {
	if len(s.Identity.Initial) == 0 || s.Snapshot.Index > 0 || len(s.Entries) > 0 && s.HardState.Term > 0 {
		return nil
	}
	if s.HardState.Term > 1 {
		return errkind.New(errkind.Corrupt,
			"%s: the log is empty in term %d; move the folder away and restart, so that this member rejoins as a learner",
			e.c.Folder, s.HardState.Term)
	}
	b, err := raft.EncodeMembership(wire.RaftMembership{Lineage: s.Identity.Lineage, Members: s.Identity.Initial})
	if err != nil {
		return err
	}
	s.Entries = []wire.RaftEntry{{Index: 1, Term: 1, Kind: wire.EntryMembership, Data: b}}
	if err := e.log.Append(s.Entries); err != nil {
		return err
	}
	if err := e.log.Sync(); err != nil {
		return err
	}
	if s.HardState.Term == 0 {
		s.HardState.Term = 1
		return e.log.SaveHardState(s.HardState)
	}
	return nil
}

func (e *engine) start(s wal.State, now time.Duration, restarted, campaign bool) {
	st := raft.InitialState{
		HardState: raft.HardState(s.HardState),
		Snapshot:  raft.SnapshotMeta(s.Snapshot),
		Entries:   s.Entries, Restarted: restarted, Campaign: campaign,
	}
	if len(s.Identity.Initial) > 0 {
		st.Committed = 1
	}
	e.applied, e.newestSnapshot = s.Snapshot.Index, s.Snapshot.Index
	e.self = s.Identity
	e.node = raft.New(raft.Config{
		Identity: e.self.Identity, ElectionTimeout: e.c.ElectionTimeout,
		HeartbeatInterval: e.c.HeartbeatInterval, Rand: e.c.Rand, Voters: e.c.Voters,
		BatchBytes:  e.c.batchBytes,
		KeepEntries: e.c.SnapshotEntries / 4, KeepBytes: e.c.SnapshotBytes / 4,
		MaxPinnedBytes: 2 * e.c.SnapshotBytes,
	}, st, now)
}

func (e *engine) step(now time.Duration, m wire.RaftMessage) {
	if e.node == nil || e.failure != nil || m.Lineage != e.self.Lineage || m.Group != e.c.Group {
		return
	}
	if _, ok := e.c.member(m.FromName); !ok && !e.c.dynamic() {
		return
	}
	if len(e.nameByIdentity) >= 1024 { // identities of replaced members accumulate slowly
		clear(e.nameByIdentity)
	}
	e.nameByIdentity[m.From] = m.FromName
	if len(m.Entries) > 0 && e.logFull() {
		return // the leader resends them
	}
	if m.Type == wire.RaftSnapshotResponse && m.Reject {
		e.c.Log.Info("receiver rejected a snapshot with a wrong checksum, taking a new one", "group", e.c.Group, "receiver", m.FromName)
		e.snapshotRequested = true
	}
	e.node.Step(now, m)
}

func (e *engine) propose(now time.Duration, p *proposal, command []byte) {
	if !p.state.CompareAndSwap(queued, appended) {
		return
	}
	if err := e.checkAvailable(); err != nil {
		p.finish(nil, err)
		return
	}
	if e.logFull() {
		p.finish(nil, errkind.New(errkind.QueueFull, "the log holds %d bytes and waits for a snapshot", e.node.LogBytes()))
		return
	}
	if t := e.node.Status(now).Term; p.onlyIn != 0 && p.onlyIn != t {
		p.finish(nil, errkind.New(errkind.NotLeader, "the command was decided in term %d, and term %d has begun", p.onlyIn, t))
		return
	}
	index, term, err := e.node.Propose(now, command)
	if err != nil {
		p.finish(nil, e.withLeaderName(err))
		return
	}
	e.track(p, index, term)
}

// track keeps a proposal until its entry is applied.
func (e *engine) track(p *proposal, index, term uint64) {
	if old := e.pending[index]; old != nil {
		// The earlier entry was removed from this log, but another member may still
		// hold it.
		old.finish(nil, errkind.New(errkind.OutcomeUnknown, "another entry replaced the command in the log"))
	}
	p.term = term
	e.pending[index] = p
}

// checkAvailable returns an error if the member cannot take requests. The errors
// mean that nothing was run.
func (e *engine) checkAvailable() error {
	switch {
	case e.failure != nil:
		return errkind.Wrap(e.failure, errkind.NotReady, "the member stopped after a failure")
	case e.node == nil:
		return errkind.New(errkind.NotReady, "the member does not belong to the group yet")
	case len(e.pending) >= maxPending || len(e.reads) >= maxPending:
		return errkind.New(errkind.QueueFull, "%d proposals and %d reads are pending", len(e.pending), len(e.reads))
	}
	return nil
}

// withLeaderName adds the name of the leader to a NotLeader error.
func (e *engine) withLeaderName(err error) error {
	if errkind.Of(err) != errkind.NotLeader {
		return err
	}
	if l, ok := e.leader(); ok {
		return errkind.New(errkind.NotLeader, "the leader is %s at %s", l.Name, l.Address)
	}
	return errkind.New(errkind.NotLeader, "this member is not the leader; no leader is known")
}

// leader returns the configured member that leads the group, or with Seeds the
// leader as the membership describes it.
func (e *engine) leader() (Member, bool) {
	if e.node == nil {
		return Member{}, false
	}
	id := e.node.Leader()
	if id == e.self.Identity {
		return e.c.member(e.c.Name)
	}
	if m, ok := e.node.Member(id); ok && e.c.dynamic() {
		return Member{Name: m.Name, Address: m.Address}, true
	}
	return e.c.member(e.nameOf(id))
}

// nameOf returns the name of the member with the given identity, or an empty string
// if it is not known.
func (e *engine) nameOf(identity string) string {
	if m, ok := e.node.Member(identity); ok {
		return m.Name
	}
	return e.nameByIdentity[identity]
}

func (e *engine) read(now time.Duration, r *readRequest) {
	if err := e.checkAvailable(); err != nil {
		r.done <- err
		return
	}
	e.nextID++
	e.reads[e.nextID] = r
	e.confirmRead(now, e.nextID, r)
}

// confirmRead requests the confirmation of a read. It may be requested several times:
// the first response counts, because every response is newer than the call.
func (e *engine) confirmRead(now time.Duration, id uint64, r *readRequest) {
	r.requestedAt = now
	e.readRetryAt = min(e.readRetryAt, now+readRetry)
	e.node.ReadIndex(id)
}

func (e *engine) tick(now time.Duration) {
	if e.node == nil || e.failure != nil {
		return
	}
	e.node.Tick(now)
	e.retryJoins(now)
	if l := e.node.Leader(); l != e.readLeader {
		e.readLeader = l
		for _, r := range e.reads { // were sent to another leader or to none
			r.requestedAt = now - readRetry
		}
		e.readRetryAt = now
	}
	if now >= e.readRetryAt {
		e.retryReads(now)
	}
	if e.leadershipLostAt != 0 && now >= e.leadershipLostAt+2*e.c.ElectionTimeout {
		before := uint64(math.MaxUint64)
		if e.leading {
			before = e.node.Status(now).Term // keeps the proposals of its new term as leader
		}
		e.failPending(before, errkind.New(errkind.OutcomeUnknown, "leadership was lost; the command may still be committed"))
	}
}

// retryReads requests the confirmation of unconfirmed reads again, in the order of
// their IDs.
func (e *engine) retryReads(now time.Duration) {
	e.readRetryAt = never
	for _, id := range slices.Sorted(maps.Keys(e.reads)) {
		r := e.reads[id]
		switch {
		case r.canceled.Load():
			delete(e.reads, id)
		case !r.confirmed && now >= r.requestedAt+readRetry:
			e.confirmRead(now, id, r)
		default:
			e.readRetryAt = min(e.readRetryAt, max(now, r.requestedAt)+readRetry)
		}
	}
}

// failPending fails the pending proposals of all terms before the given one.
func (e *engine) failPending(before uint64, err error) {
	for i, p := range e.pending {
		if p.term < before {
			p.finish(nil, err)
			delete(e.pending, i)
		}
	}
	e.leadershipLostAt = 0
}

// deadline returns the time at which tick must be called next.
func (e *engine) deadline() time.Duration {
	if e.node == nil || e.failure != nil {
		return never
	}
	d := min(e.node.Deadline(), e.readRetryAt, e.applyAt)
	if e.leadershipLostAt != 0 {
		d = min(d, e.leadershipLostAt+2*e.c.ElectionTimeout)
	}
	return d
}

// fail stops the member permanently, because the content of its disk is no longer
// known.
func (e *engine) fail(err error) {
	e.failure = err
	e.c.Log.Error(err, "group member stopped", "group", e.c.Group)
	e.failPending(math.MaxUint64, errkind.Wrap(err, errkind.OutcomeUnknown, "the command may still be committed"))
	e.failReads(err)
}

func (e *engine) failReads(err error) {
	for id, r := range e.reads {
		r.done <- errkind.Wrap(err, errkind.NotReady, "the member stopped")
		delete(e.reads, id)
	}
}

func (e *engine) close() {
	err := errClosed()
	e.closeReaders()
	e.failPending(math.MaxUint64, errkind.Wrap(err, errkind.OutcomeUnknown, "the command may still be committed"))
	e.failReads(err)
	if err := e.log.Close(); err != nil {
		e.c.Log.Error(err, "closing the log failed", "group", e.c.Group)
	}
}

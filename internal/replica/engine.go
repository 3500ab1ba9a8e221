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
	// maxPending bounds the proposals and the reads under way.
	maxPending = 4096
	// readRetry is how long a read waits before it asks again, because its
	// message or the leader may be lost.
	readRetry = 200 * time.Millisecond
	// never is a time that does not come.
	never = time.Duration(math.MaxInt64)
)

// engine is the member without its goroutine: it handles one event at a time and
// then flushes what the event led to.
type engine struct {
	c       Config
	log     *wal.Log
	machine StateMachine
	node    *raft.Node // nil until the member belongs to a group
	self    wal.Identity
	names   map[string]string // identity to name, from messages
	driver  string            // identity of the member that probed last
	applied uint64
	// committed holds the entries that wait to be applied, the next of them not
	// before applyAt.
	committed []wire.RaftEntry
	applyAt   time.Duration
	pending   map[uint64]*proposal
	reads     map[uint64]*read
	nextID    uint64
	// retryAt is when reads that are not confirmed are asked again; asked is the
	// leader that was asked.
	retryAt time.Duration
	asked   string
	// lostAt is when leadership was lost with proposals pending.
	lostAt  time.Duration
	leading bool
	// believed is the leadership in the newest log line.
	believed belief
	// diskFull is set while the last write failed for lack of space.
	diskFull bool
	failure  error
	runtime
	snapshots
}

// Proposal states: a proposal is canceled or appended, never both.
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
	done  chan result
}

func newProposal() *proposal { return &proposal{done: make(chan result, 1)} }

// cancel reports whether the proposal will never be appended.
func (p *proposal) cancel() bool { return p.state.CompareAndSwap(queued, canceled) }

func (p *proposal) finish(v any, err error) { p.done <- result{v, err} }

type read struct {
	canceled  atomic.Bool
	done      chan error
	askedAt   time.Duration
	index     uint64
	confirmed bool
}

// runtime is what an engine needs of its surroundings. Background runs a function
// beside the engine.
type runtime struct {
	clock      func() time.Duration
	background func(func())
	send       Transport
}

func newEngine(c Config, l *wal.Log, m StateMachine, r runtime) (*engine, error) {
	s := l.State()
	e := &engine{
		c: c, log: l, machine: m, runtime: r, self: s.Identity,
		names: map[string]string{}, pending: map[uint64]*proposal{}, reads: map[uint64]*read{},
		nextID:    c.Rand.Uint64(), // differs from the IDs of earlier processes
		retryAt:   never,
		applyAt:   never,
		snapshots: snapshots{written: make(chan writtenSnapshot, 1)},
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

// initialEntry appends the first membership to the log of a member that
// bootstrapped. It is the same on all of them, so it counts as committed.
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
	e.applied, e.newest = s.Snapshot.Index, s.Snapshot.Index
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
	if len(e.names) >= 1024 { // identities of replaced members add up slowly
		clear(e.names)
	}
	e.names[m.From] = m.FromName
	if len(m.Entries) > 0 && e.logFull() {
		return // sent again later
	}
	if m.Type == wire.RaftSnapshotResponse && m.Reject {
		e.c.Log.Info("snapshot has a wrong checksum at its receiver, taking another", "group", e.c.Group, "receiver", m.FromName)
		e.wanted = true
	}
	e.node.Step(now, m)
}

func (e *engine) propose(now time.Duration, p *proposal, command []byte) {
	if !p.state.CompareAndSwap(queued, appended) {
		return
	}
	if err := e.usable(); err != nil {
		p.finish(nil, err)
		return
	}
	if e.logFull() {
		p.finish(nil, errkind.New(errkind.QueueFull, "%d bytes of the log wait for a snapshot", e.node.LogBytes()))
		return
	}
	index, term, err := e.node.Propose(now, command)
	if err != nil {
		p.finish(nil, e.explain(err))
		return
	}
	e.track(p, index, term)
}

// track keeps a proposal until its entry is applied.
func (e *engine) track(p *proposal, index, term uint64) {
	if old := e.pending[index]; old != nil {
		// Its entry left this log, but another member may still hold it.
		old.finish(nil, errkind.New(errkind.OutcomeUnknown, "another entry took the place of the command in the log"))
	}
	p.term = term
	e.pending[index] = p
}

// usable returns why the member cannot take requests; nothing was run.
func (e *engine) usable() error {
	switch {
	case e.failure != nil:
		return errkind.Wrap(e.failure, errkind.NotReady, "the member stopped after a failure")
	case e.node == nil:
		return errkind.New(errkind.NotReady, "the member does not belong to the group yet")
	case len(e.pending) >= maxPending || len(e.reads) >= maxPending:
		return errkind.New(errkind.QueueFull, "%d proposals and %d reads are under way", len(e.pending), len(e.reads))
	}
	return nil
}

// explain adds the name of the leader to a NotLeader error.
func (e *engine) explain(err error) error {
	if errkind.Of(err) != errkind.NotLeader {
		return err
	}
	if l, ok := e.leader(); ok {
		return errkind.New(errkind.NotLeader, "the leader is %s at %s", l.Name, l.Address)
	}
	return errkind.New(errkind.NotLeader, "this member is not the leader; no leader is known")
}

// leader returns the leader as the settings name it.
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

// nameOf returns the name of an identity, or an empty name.
func (e *engine) nameOf(identity string) string {
	if m, ok := e.node.Member(identity); ok {
		return m.Name
	}
	return e.names[identity]
}

func (e *engine) read(now time.Duration, r *read) {
	if err := e.usable(); err != nil {
		r.done <- err
		return
	}
	e.ask(now, r)
}

// ask starts the read under a new ID. An answer to an earlier ID no longer
// counts, which is safe, because each answer is newer than the call.
func (e *engine) ask(now time.Duration, r *read) {
	e.nextID++
	r.askedAt = now
	e.reads[e.nextID] = r
	e.retryAt = min(e.retryAt, now+readRetry)
	e.node.ReadIndex(e.nextID)
}

func (e *engine) tick(now time.Duration) {
	if e.node == nil || e.failure != nil {
		return
	}
	e.node.Tick(now)
	if l := e.node.Leader(); l != e.asked {
		e.asked = l
		for _, r := range e.reads { // those under way were asked of another or of nobody
			r.askedAt = now - readRetry
		}
		e.retryAt = now
	}
	if now >= e.retryAt {
		e.retryReads(now)
	}
	if e.lostAt != 0 && now >= e.lostAt+2*e.c.ElectionTimeout {
		before := uint64(math.MaxUint64)
		if e.leading {
			before = e.node.Status(now).Term // keeps those since it leads again
		}
		e.failPending(before, errkind.New(errkind.OutcomeUnknown, "leadership was lost; the command may still be committed"))
	}
}

// retryReads asks again, in the order of the first questions.
func (e *engine) retryReads(now time.Duration) {
	e.retryAt = never
	for _, id := range slices.Sorted(maps.Keys(e.reads)) {
		r := e.reads[id]
		switch {
		case r.canceled.Load():
			delete(e.reads, id)
		case !r.confirmed && now >= r.askedAt+readRetry:
			delete(e.reads, id)
			e.ask(now, r)
		default:
			e.retryAt = min(e.retryAt, max(now, r.askedAt)+readRetry)
		}
	}
}

// failPending answers the proposals of terms before the given one.
func (e *engine) failPending(before uint64, err error) {
	for i, p := range e.pending {
		if p.term < before {
			p.finish(nil, err)
			delete(e.pending, i)
		}
	}
	e.lostAt = 0
}

// deadline returns when tick has work.
func (e *engine) deadline() time.Duration {
	if e.node == nil || e.failure != nil {
		return never
	}
	d := min(e.node.Deadline(), e.retryAt, e.applyAt)
	if e.lostAt != 0 {
		d = min(d, e.lostAt+2*e.c.ElectionTimeout)
	}
	return d
}

// fail stops the member for good: what is on the disk is no longer known.
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
		e.c.Log.Error(err, "log not closed", "group", e.c.Group)
	}
}

// Package raft is the consensus state machine of one group: elections with
// pre-vote, replication, the leader's lease, read index, and membership changes
// of one member at a time with learners. It starts no goroutines, opens no files
// and takes the time and random numbers as arguments. It is named for its
// concern, as it has no peer package.
//
// # Usage
//
// The driver feeds events and then handles everything in Ready, in this order:
//
//	n := raft.New(config, stored, now)
//	n.Tick(now) // or n.Step(now, message), n.Propose(data), n.ReadIndex(id)
//	for n.HasReady() {
//		r := n.Ready(now)
//		// 1. save r.HardState durably, 2. save r.Snapshot and restore from it,
//		// 3. write r.Entries, 4. send r.Early, and r.Chunks with their Data,
//		// 5. sync, 6. n.Saved(r), 7. send r.Messages, 8. apply r.Committed,
//		// 9. answer r.Reads
//	}
//
// When a snapshot of what was applied is durable, Compact drops what it covers.
//
// Messages may be lost, delayed, duplicated and reordered, so the driver may drop
// any of them. When entries cannot be written, the driver drops the Ready and
// calls Discard instead of Saved, without HardState if that was not saved either.
//
// Times are durations on the member's own monotonic clock. Only rates of clocks
// are compared between members, and reads do not depend on clocks at all.
package raft

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Role is what a member does in its group.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of r.
func (r Role) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[r]
}

const (
	// entryOverhead is what an entry adds to its data in a message.
	entryOverhead = 32
	// maxWindow bounds the entries sent to one member without an answer.
	maxWindow = 1024
	// maxCommittedBytes bounds the entries applied between two looks at the
	// messages that arrived.
	maxCommittedBytes = 4 << 20
	// maxReads bounds the reads that wait for a confirmation.
	maxReads = 8192
)

// Config tunes a Node.
type Config struct {
	// Identity is the member's own identity.
	Identity string
	// ElectionTimeout is the least time without a leader after which a member
	// asks for votes; the actual time is random up to twice as much.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two messages of an idle leader.
	HeartbeatInterval time.Duration
	// Rand spreads the election timeouts.
	Rand *rand.Rand
	// BatchBytes bounds the entries of one append message, unless a single entry
	// is larger.
	BatchBytes int
	// KeepEntries and KeepBytes bound the entries kept behind the newest
	// snapshot.
	KeepEntries, KeepBytes int
	// Voters is the number of voters that the leader aims for by making caught-up
	// learners voters. With zero, a learner only takes the place of an earlier
	// identity of its own name.
	Voters int
	// MaxPinnedBytes bounds the entries kept behind an older snapshot while it is
	// being sent.
	MaxPinnedBytes int
}

// lease is shorter than the time for which followers refuse votes, so that the
// lease ends before another leader can exist while the rates of two clocks
// differ by less than a tenth.
func (c Config) lease() time.Duration { return c.ElectionTimeout * 9 / 10 }

// HardState must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote string
}

// InitialState is what a member finds on its disk.
type InitialState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	// Entries follow the snapshot.
	Entries []wire.RaftEntry
	// Committed entries are known to be committed without a leader; used at
	// bootstrap for the first entry.
	Committed uint64
	// Restarted is false for a member that can never have promised anything to
	// a leader.
	Restarted bool
	// Campaign asks for an election at once.
	Campaign bool
}

// ConfirmedRead is a confirmed read: state applied up to Index is not stale.
type ConfirmedRead struct{ ID, Index uint64 }

// Ready is the work of the driver, see the package comment.
type Ready struct {
	HardState       *HardState
	Snapshot        *Snapshot
	Entries         []wire.RaftEntry
	PreSyncMessages []wire.RaftMessage
	// Chunks are messages of type RaftSnapshot. Their Data is that of the
	// snapshot of their Index from their Offset on, as much as fits a message.
	Chunks    []wire.RaftMessage
	Messages  []wire.RaftMessage
	Committed []wire.RaftEntry
	Reads     []ConfirmedRead
}

// Node is one member of a group. It is not safe for concurrent use.
type Node struct {
	c       Config
	hard    HardState
	saved   HardState
	role    Role
	leader  string
	log     entryLog
	commit  uint64
	applied uint64 // handed out for applying
	members []membershipAt
	newest  SnapshotMeta // the newest durable snapshot
	// heard is when the leader last spoke; before heard plus ElectionTimeout
	// the member helps no other candidate.
	heard      time.Duration
	electionAt time.Duration
	votes      map[string]bool
	granted    map[string]time.Duration // own clock when the vote was asked for
	echoes     map[string]int64         // newest clock seen of other members
	current    time.Duration            // follower: until when it counts as current
	incoming   *incoming

	// Leader only.
	leaderSince time.Duration
	peers       map[string]*progress
	round       uint64
	heartbeatAt time.Duration
	termStart   uint64        // index of the first entry of the term
	waiting     []pendingRead // not part of a round yet
	reads       []pendingRead // by rising round
	sendEntries bool
	pinned      *SnapshotMeta // what transfers send

	early, messages []wire.RaftMessage
	chunks          []wire.RaftMessage
	confirmed       []ConfirmedRead
	snapshot        *Snapshot
}

// New returns the member that s describes.
func New(c Config, s InitialState, now time.Duration) *Node {
	n := &Node{
		c: c, hard: s.HardState, saved: s.HardState,
		echoes: map[string]int64{}, granted: map[string]time.Duration{}, heard: -c.ElectionTimeout,
		commit: max(s.Snapshot.Index, s.Committed), applied: s.Snapshot.Index,
	}
	n.newest = s.Snapshot
	n.log = entryLog{base: s.Snapshot.Index, baseTerm: s.Snapshot.Term}
	n.log.add(s.Entries...)
	n.log.stable = n.log.last()
	n.members = []membershipAt{{index: s.Snapshot.Index, membership: s.Snapshot.Membership}}
	n.noteMemberships(s.Entries)
	if s.Restarted {
		n.heard = now
	}
	n.resetElection(now)
	if s.Campaign || n.alone() {
		n.electionAt = now
	}
	n.commitAlone()
	return n
}

// Tick handles the passing of time. Call it at Deadline at the latest.
func (n *Node) Tick(now time.Duration) {
	if n.snapshot != nil {
		return // the log is about to be replaced
	}
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now >= n.electionAt {
		n.resetElection(now)
		if n.isVoter(n.c.Identity) {
			n.campaign(now, PreCandidate)
		}
	}
}

// Deadline returns when Tick has work.
func (n *Node) Deadline() time.Duration {
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

func (n *Node) resetElection(now time.Duration) {
	t := n.c.ElectionTimeout
	n.electionAt = now + t + time.Duration(n.c.Rand.Int64N(int64(t)))
}

// follow makes n a follower in term, of leader where it is known.
func (n *Node) follow(now time.Duration, term uint64, leader string) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
		n.incoming = nil
	}
	if n.role != Follower {
		n.resetElection(now)
	}
	n.role, n.leader = Follower, leader
	n.peers, n.waiting, n.reads, n.pinned = nil, nil, nil, nil
	n.sendEntries = false
}

// Step handles a message of another member.
func (n *Node) Step(now time.Duration, m wire.RaftMessage) {
	if m.To != n.c.Identity || m.From == n.c.Identity || n.snapshot != nil {
		return
	}
	if m.Type == wire.RaftPreVote || m.Type == wire.RaftVote {
		n.handleVote(now, m)
		return
	}
	switch {
	case m.Term > n.hard.Term && m.Type == wire.RaftPreVoteResponse && !m.Reject:
		// The term is the one that n asked about; no member is in it yet.
	case m.Term > n.hard.Term:
		leader := ""
		if m.Type == wire.RaftAppend || m.Type == wire.RaftSnapshot {
			leader = m.From
		}
		n.follow(now, m.Term, leader)
	case m.Term < n.hard.Term:
		if m.Type == wire.RaftAppend || m.Type == wire.RaftSnapshot {
			// Tells a leader of an earlier term that it was replaced.
			n.reply(now, m, wire.RaftMessage{Type: wire.RaftAppendResponse, Reject: true, Index: m.Index})
		}
		return
	}
	n.dispatch(now, m)
}

func (n *Node) dispatch(now time.Duration, m wire.RaftMessage) {
	switch m.Type {
	case wire.RaftPreVoteResponse, wire.RaftVoteResponse:
		n.handleVoteResponse(now, m)
	case wire.RaftAppend:
		n.handleAppend(now, m)
	case wire.RaftAppendResponse:
		n.handleAppendResponse(now, m)
	case wire.RaftSnapshot:
		n.handleSnapshot(now, m)
	case wire.RaftSnapshotResponse:
		n.handleSnapshotResponse(now, m)
	case wire.RaftReadIndex:
		n.handleReadIndex(m)
	case wire.RaftReadIndexResponse:
		n.confirmed = append(n.confirmed, ConfirmedRead{ID: m.Read, Index: m.Index})
	}
}

// reply answers m once everything before is durable.
func (n *Node) reply(now time.Duration, m, r wire.RaftMessage) {
	r.To, r.Round, r.Echo, r.Sent = m.From, m.Round, m.Sent, int64(now)
	n.send(r)
}

func (n *Node) send(m wire.RaftMessage) {
	m.From = n.c.Identity
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

// HasReady reports whether Ready has work.
func (n *Node) HasReady() bool {
	return n.hard != n.saved || n.log.last() > n.log.stable || n.applied < min(n.commit, n.log.stable) ||
		n.sendEntries || len(n.waiting) > 0 && n.committedInTerm() ||
		len(n.early)+len(n.chunks)+len(n.messages)+len(n.confirmed) > 0 || n.snapshot != nil
}

// Ready returns the work that the events so far led to.
func (n *Node) Ready(now time.Duration) Ready {
	if n.role == Leader {
		n.flush(now)
	}
	r := Ready{
		Snapshot:        n.snapshot,
		PreSyncMessages: n.early, Chunks: n.chunks, Messages: n.messages, Reads: n.confirmed,
	}
	if r.Snapshot == nil { // it replaces the entries
		r.Entries = n.log.slice(n.log.stable+1, n.log.last(), math.MaxInt)
		r.Committed = n.log.slice(n.applied+1, min(n.commit, n.log.stable), maxCommittedBytes)
	}
	if n.hard != n.saved {
		h := n.hard
		r.HardState = &h
	}
	n.early, n.chunks, n.messages, n.confirmed, n.snapshot = nil, nil, nil, nil, nil
	n.applied += uint64(len(r.Committed))
	return r
}

// Saved tells that the hard state, snapshot and entries of r are durable.
func (n *Node) Saved(r Ready) {
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if r.Snapshot != nil {
		n.install(r.Snapshot.SnapshotMeta)
	}
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
		n.commitAlone()
		n.advanceCommit()
	}
}

// Discard tells that the snapshot or the entries of r could not be written. The
// snapshot is tried again later; the entries are dropped as if they had never
// arrived. With sent, other members may hold them, and a leader steps down,
// because it must not use their indexes again in its term. So does one without
// its first entry, unless it is the only voter.
func (n *Node) Discard(now time.Duration, r Ready, sent bool) {
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if r.Snapshot != nil {
		n.incoming = &incoming{Snapshot: *r.Snapshot, term: n.hard.Term, retryAt: now + n.c.ElectionTimeout}
	}
	n.discardEntries(now, r, sent)
	if n.hard != n.saved {
		return
	}
	// A leader needs answers for its lease and its reads even from members that
	// cannot write.
	for _, m := range r.Messages {
		if m.Type == wire.RaftAppendResponse && !m.Reject && m.Index > n.log.last() {
			m.Reject, m.Full, m.Hint = true, true, n.log.last()
		}
		n.messages = append(n.messages, m)
	}
}

func (n *Node) discardEntries(now time.Duration, r Ready, sent bool) {
	if len(r.Entries) == 0 {
		return
	}
	first := r.Entries[0].Index
	n.log.truncate(first)
	n.dropMemberships(first)
	n.commit = min(n.commit, first-1)
	if n.role != Leader {
		return
	}
	if sent || first <= n.termStart && !n.alone() {
		n.follow(now, n.hard.Term, "")
		return
	}
	for _, p := range n.peers {
		p.next = min(p.next, first)
	}
}

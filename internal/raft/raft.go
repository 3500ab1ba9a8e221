// Package raft implements the Raft consensus state machine of one group member:
// leader elections with pre-vote, log replication, leader leases, read index, and
// membership changes of one member at a time, with learners. A voter is exchanged for
// another one by joint consensus. It starts no goroutines, opens no files and takes the
// time and random numbers as arguments.
//
// # Usage
//
// The driver feeds events and then handles everything in Ready, in this order:
//
//	n := raft.New(config, initial, now)
//	n.Tick(now) // or n.Step(now, message), n.Propose(now, data), n.ReadIndex(id)
//	for n.HasReady() {
//		r := n.Ready(now)
//		// 1. save r.HardState durably, 2. save r.Snapshot and restore from it,
//		// 3. write r.Entries, 4. send r.PreSyncMessages, and r.Chunks with
//		// their Data, 5. sync, 6. n.Saved(r), 7. send r.Messages,
//		// 8. apply r.Committed, 9. answer r.Reads
//	}
//
// When a snapshot of the applied entries is durable, the driver calls Compact to
// drop the entries that it covers.
//
// Messages may be lost, delayed, duplicated and reordered, so the driver may drop
// any of them. If entries cannot be written, the driver drops the Ready and calls
// Discard instead of Saved, without HardState if that was not saved either.
//
// Times are durations on the member's own monotonic clock. Leases assume only that
// the clocks of the members run at similar rates. Reads do not depend on clocks.
package raft

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Role is the role of a member in the Raft protocol.
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
	// entryOverhead is the estimated encoded size of an entry without its data.
	entryOverhead = 32
	// maxWindow bounds the entries in flight to one member, which are sent but not
	// acknowledged.
	maxWindow = 1024
	// maxCommittedBytes bounds the committed entries in one Ready, so that the driver
	// handles incoming messages in between.
	maxCommittedBytes = 4 << 20
	// fullDiskElections is how long a member that could not write entries starts no
	// election, in election timeouts. It is limited because nothing tells a member
	// without new entries that its disk has space again.
	fullDiskElections = 4
	// maxPendingReads bounds the reads that wait for the confirmation by a
	// majority.
	maxPendingReads = 8192
)

// Config holds the settings of a Node.
type Config struct {
	// Identity is the member's own identity.
	Identity string
	// ElectionTimeout is the minimum time without contact with a leader after which
	// a member starts an election. The actual timeout is random between this and
	// twice this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of the leader.
	HeartbeatInterval time.Duration
	// Rand randomizes the election timeouts.
	Rand *rand.Rand
	// BatchBytes bounds the size of the entries in one append message. A single
	// entry may be larger.
	BatchBytes int
	// KeepEntries and KeepBytes bound the entries that the log keeps although the
	// newest snapshot covers them.
	KeepEntries, KeepBytes int
	// Voters is the number of voters that the leader tries to reach by promoting
	// learners that have caught up. If it is zero, a learner only replaces a voter
	// of the same name with an earlier identity.
	Voters int
	// MaxPinnedBytes bounds the size of the entries kept after an older snapshot
	// while that snapshot is being sent.
	MaxPinnedBytes int
}

// leaseDuration returns the duration of the leader's lease. It is shorter than the
// time for which followers refuse votes, so that the lease ends before another
// leader can be elected, as long as the rates of two clocks differ by less than a
// tenth.
func (c Config) leaseDuration() time.Duration { return c.ElectionTimeout * 9 / 10 }

// HardState is the state that must be durable before a message that depends on it
// is sent.
type HardState struct {
	Term uint64
	Vote string
}

// InitialState is the state from which New starts a member: what it found on its
// disk and how it starts.
type InitialState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	// Entries are those after the snapshot.
	Entries []wire.RaftEntry
	// Committed is an index up to which the entries are known to be committed even
	// without a leader. It is set for the first entry after a bootstrap.
	Committed uint64
	// Restarted is false only for a member that cannot have promised a leader
	// anything, such as to refuse votes during its lease.
	Restarted bool
	// Campaign makes the member start an election at once.
	Campaign bool
}

// ConfirmedRead is a read that a majority confirmed: state that has been applied up
// to Index is not stale.
type ConfirmedRead struct{ ID, Index uint64 }

// Ready holds the work for the driver; see the package comment for its order.
type Ready struct {
	HardState       *HardState
	Snapshot        *Snapshot
	Entries         []wire.RaftEntry
	PreSyncMessages []wire.RaftMessage
	// Chunks are messages of type RaftSnapshot. The driver sets their Data to the
	// part of the snapshot at Index that starts at Offset, as much as fits into a
	// message.
	Chunks    []wire.RaftMessage
	Messages  []wire.RaftMessage
	Committed []wire.RaftEntry
	Reads     []ConfirmedRead
}

// Node is one member of a group. It is not safe for concurrent use.
type Node struct {
	c              Config
	hardState      HardState
	savedHardState HardState
	role           Role
	leader         string
	log            entryLog
	commit         uint64
	applied        uint64 // index up to which entries were returned in Ready.Committed
	memberships    []membershipAt
	newestSnapshot SnapshotMeta // the newest durable snapshot
	// lastLeaderContact is when the member last heard from the leader. Until
	// ElectionTimeout after that, it votes for no other candidate.
	lastLeaderContact time.Duration
	// inContactUntil is when the member last heard from a leader, led or was started.
	inContactUntil time.Duration
	// previousLeader is the leader that the member last heard from.
	previousLeader string
	// removed is set when another member says that the group has removed this one, until
	// a leader sends a message.
	removed          bool
	electionDeadline time.Duration
	// noCampaignUntil is set when entries could not be written. A leader without disk
	// space cannot commit anything, so the other members are elected first.
	noCampaignUntil time.Duration
	votes           map[string]bool
	voteRequestedAt map[string]time.Duration // own clock when the vote was requested
	peerClocks      map[string]int64         // newest clock seen of each member
	currentUntil    time.Duration            // follower: until when it is current
	incoming        *incoming

	// Leader only.
	leaderSince    time.Duration
	peers          map[string]*progress
	readRound      uint64 // newest round of reads
	nextHeartbeat  time.Duration
	termStart      uint64        // index of the first entry of the term
	queuedReads    []pendingRead // reads without a round
	pendingReads   []pendingRead // reads by rising round
	needsBroadcast bool          // new entries or a new commit index
	pinnedSnapshot *SnapshotMeta // the snapshot being sent

	preSync, messages []wire.RaftMessage
	chunks            []wire.RaftMessage
	confirmedReads    []ConfirmedRead
	snapshot          *Snapshot
}

// New returns a member that starts from s.
func New(c Config, s InitialState, now time.Duration) *Node {
	n := &Node{
		c: c, hardState: s.HardState, savedHardState: s.HardState,
		peerClocks: map[string]int64{}, voteRequestedAt: map[string]time.Duration{}, lastLeaderContact: -c.ElectionTimeout,
		commit: max(s.Snapshot.Index, s.Committed), applied: s.Snapshot.Index,
	}
	n.newestSnapshot = s.Snapshot
	n.log = entryLog{base: s.Snapshot.Index, baseTerm: s.Snapshot.Term}
	n.log.add(s.Entries...)
	n.log.stable = n.log.last()
	n.memberships = []membershipAt{newMembershipAt(s.Snapshot.Index, s.Snapshot.Membership)}
	n.inContactUntil = now
	n.addMemberships(s.Entries)
	if s.Restarted {
		n.lastLeaderContact = now
	}
	n.resetElectionDeadline(now)
	if s.Campaign || n.isOnlyVoter() {
		n.electionDeadline = now
	}
	n.commitAsOnlyVoter()
	return n
}

// Tick handles elapsed timeouts. It must be called no later than at Deadline.
func (n *Node) Tick(now time.Duration) {
	if n.snapshot != nil {
		return // the snapshot is about to replace the log
	}
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now >= n.electionDeadline {
		n.resetElectionDeadline(now)
		if n.isVoter(n.c.Identity) && now >= n.noCampaignUntil {
			n.campaign(now, PreCandidate)
		}
	}
}

// Deadline returns the time at which Tick must be called next.
func (n *Node) Deadline() time.Duration {
	if n.role == Leader {
		return n.nextHeartbeat
	}
	return n.electionDeadline
}

func (n *Node) resetElectionDeadline(now time.Duration) {
	t := n.c.ElectionTimeout
	n.electionDeadline = now + t + time.Duration(n.c.Rand.Int64N(int64(t)))
}

// becomeFollower makes n a follower in the given term. The leader may be empty if
// it is not known.
func (n *Node) becomeFollower(now time.Duration, term uint64, leader string) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
		n.incoming = nil
	}
	if n.role != Follower {
		n.resetElectionDeadline(now)
	}
	if n.role == Leader {
		n.inContactUntil = now
	}
	n.role, n.leader = Follower, leader
	n.peers, n.queuedReads, n.pendingReads, n.pinnedSnapshot = nil, nil, nil, nil
	n.needsBroadcast = false
}

// Step handles a message from another member.
func (n *Node) Step(now time.Duration, m wire.RaftMessage) {
	if m.To != n.c.Identity || m.From == n.c.Identity || n.snapshot != nil {
		return
	}
	if m.Type == wire.RaftPreVote || m.Type == wire.RaftVote {
		n.handleVote(now, m)
		return
	}
	n.removed = n.removed || m.Removed
	switch {
	case m.Term > n.hardState.Term && m.Type == wire.RaftPreVoteResponse && !m.Reject:
		// The response carries the term of the planned election. No member has
		// entered that term yet.
	case m.Term > n.hardState.Term:
		leader := ""
		if m.Type == wire.RaftAppend || m.Type == wire.RaftSnapshot {
			leader = m.From
		}
		n.becomeFollower(now, m.Term, leader)
	case m.Term < n.hardState.Term:
		if m.Type == wire.RaftAppend || m.Type == wire.RaftSnapshot {
			// Tells the leader of an earlier term about the current term.
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
		n.confirmedReads = append(n.confirmedReads, ConfirmedRead{ID: m.Read, Index: m.Index})
	}
}

// reply queues a response to m. It is sent after the current state is durable.
func (n *Node) reply(now time.Duration, m, r wire.RaftMessage) {
	r.To, r.Round, r.Echo, r.Sent = m.From, m.Round, m.Sent, int64(now)
	n.send(r)
}

func (n *Node) send(m wire.RaftMessage) {
	m.From = n.c.Identity
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.messages = append(n.messages, m)
}

// HasReady reports whether Ready returns work for the driver.
func (n *Node) HasReady() bool {
	return n.hardState != n.savedHardState || n.log.last() > n.log.stable || n.applied < min(n.commit, n.log.stable) ||
		n.needsBroadcast || len(n.queuedReads) > 0 && n.committedInTerm() ||
		len(n.preSync)+len(n.chunks)+len(n.messages)+len(n.confirmedReads) > 0 || n.snapshot != nil
}

// Ready returns the work that results from the events so far.
func (n *Node) Ready(now time.Duration) Ready {
	if n.role == Leader {
		n.broadcast(now)
	}
	r := Ready{
		Snapshot:        n.snapshot,
		PreSyncMessages: n.preSync, Chunks: n.chunks, Messages: n.messages, Reads: n.confirmedReads,
	}
	if r.Snapshot == nil { // otherwise the snapshot replaces the entries
		r.Entries = n.log.slice(n.log.stable+1, n.log.last(), math.MaxInt)
		r.Committed = n.log.slice(n.applied+1, min(n.commit, n.log.stable), maxCommittedBytes)
	}
	if n.hardState != n.savedHardState {
		h := n.hardState
		r.HardState = &h
	}
	n.preSync, n.chunks, n.messages, n.confirmedReads, n.snapshot = nil, nil, nil, nil, nil
	n.applied += uint64(len(r.Committed))
	return r
}

// Saved is called when the hard state, the snapshot and the entries of r are
// durable.
func (n *Node) Saved(r Ready) {
	if r.HardState != nil {
		n.savedHardState = *r.HardState
	}
	if r.Snapshot != nil {
		n.installSnapshot(r.Snapshot.SnapshotMeta)
	}
	if k := len(r.Entries); k > 0 {
		n.noCampaignUntil = 0
		n.log.stable = r.Entries[k-1].Index
		n.commitAsOnlyVoter()
		n.advanceCommit()
	}
}

// Discard is called when the snapshot or the entries of r could not be written. The
// snapshot is retried later. The entries are dropped as if they had never arrived.
// If sent is true, other members may already hold them, and a leader steps down
// because it must not reuse their indexes in its term. A leader also steps down if
// the first entry of its term is dropped, unless it is the only voter, and if other
// members can commit entries without it.
func (n *Node) Discard(now time.Duration, r Ready, sent bool) {
	if r.HardState != nil {
		n.savedHardState = *r.HardState
	}
	if r.Snapshot != nil {
		n.incoming = &incoming{Snapshot: *r.Snapshot, term: n.hardState.Term, retryAt: now + n.c.ElectionTimeout}
	}
	n.discardEntries(now, r, sent)
	if n.hardState != n.savedHardState {
		return
	}
	// Still answer the leader: it needs responses for its lease and its reads even
	// from members that cannot write.
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
	n.noCampaignUntil = now + fullDiskElections*n.c.ElectionTimeout
	first := r.Entries[0].Index
	n.log.truncate(first)
	n.truncateMemberships(first)
	n.commit = min(n.commit, first-1)
	if n.role != Leader {
		return
	}
	if sent || first <= n.termStart && !n.isOnlyVoter() || n.othersHaveSpace(now) {
		n.becomeFollower(now, n.hardState.Term, "")
		return
	}
	for _, p := range n.peers {
		p.next = min(p.next, first)
	}
}

package raft

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// progress is the replication state of another member, as the leader knows it.
type progress struct {
	// match is the last index known to be durable on the member, next the index of
	// the next entry to send.
	match, next uint64
	// probing is set until a response shows where the logs agree. Meanwhile only
	// one append is in flight, and probeSent tells whether it was sent.
	probing, probeSent bool
	diskFull           bool // rejected entries for lack of disk space and accepted none since
	// lastContact is the leader's own clock when it sent the newest message that
	// the member answered.
	lastContact time.Duration
	// refusedAt is when the VM of the member last refused a connection.
	refusedAt  time.Duration
	ackedRound uint64
	sentCommit uint64 // the last commit index sent
	// transfer is set while the member receives a snapshot, because the log no
	// longer holds the entries that it lacks.
	transfer *transfer
}

// noContact is the lastContact of a member that has not answered yet.
const noContact = time.Duration(math.MinInt64 / 2)

// becomeLeader makes n the leader. Committing its first entry also commits the
// entries of earlier terms.
func (n *Node) becomeLeader(now time.Duration) {
	n.role, n.leader, n.leaderSince = Leader, n.c.Identity, now
	n.peers = map[string]*progress{}
	n.termStart = n.log.last() + 1
	n.updatePeers()
	for id, p := range n.peers {
		if at, ok := n.voteRequestedAt[id]; ok && n.votes[id] {
			p.lastContact = at
		}
	}
	n.nextHeartbeat = now + n.c.HeartbeatInterval
	n.appendEntry(wire.EntryEmpty, nil)
}

// updatePeers adds and removes peers to match the newest membership.
func (n *Node) updatePeers() {
	keep := map[string]bool{}
	for _, m := range n.membership().Members {
		keep[m.Identity] = true
		if n.peers[m.Identity] == nil && m.Identity != n.c.Identity {
			n.peers[m.Identity] = &progress{next: n.log.last() + 1, probing: true, lastContact: noContact, refusedAt: noContact}
		}
	}
	for id := range n.peers {
		if !keep[id] {
			n.endTransfer(n.peers[id])
			delete(n.peers, id)
		}
	}
}

// eachPeer calls f for each peer in the order of the membership, so that a run with
// the same events produces the same messages.
func (n *Node) eachPeer(f func(id string, p *progress)) {
	for _, m := range n.membership().Members {
		if p := n.peers[m.Identity]; p != nil {
			f(m.Identity, p)
		}
	}
}

// appendEntry appends an entry in the leader's term.
func (n *Node) appendEntry(k wire.RaftEntryKind, data []byte) (index, term uint64) {
	e := wire.RaftEntry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: k, Data: data}
	n.log.add(e)
	if k == wire.EntryMembership {
		n.addMemberships([]wire.RaftEntry{e})
		n.updatePeers()
	}
	n.needsBroadcast = true
	return e.Index, e.Term
}

// Propose appends a command to the log. It returns an error and appends nothing
// unless n is the leader and a majority confirmed it within the lease.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if err := n.checkLeader(now); err != nil {
		return 0, 0, err
	}
	if !n.hasQuorum(n.hasSpace) {
		return 0, 0, errkind.New(errkind.DiskFull, "no majority of the voters has free disk space")
	}
	index, term = n.appendEntry(wire.EntryCommand, data)
	return index, term, nil
}

// hasSpace reports whether the member is not known to have a full disk.
func (n *Node) hasSpace(identity string) bool {
	p := n.peers[identity]
	return p == nil || !p.diskFull
}

// othersHaveSpace reports whether the other members can commit entries without n.
func (n *Node) othersHaveSpace(now time.Duration) bool {
	return n.hasQuorum(func(id string) bool {
		return id != n.c.Identity && n.alive(now, id) && n.hasSpace(id)
	})
}

func (n *Node) checkLeader(now time.Duration) error {
	switch {
	case n.role != Leader:
		return errkind.New(errkind.NotLeader, "this member is not the leader")
	case !n.holdsLease(now):
		return errkind.New(errkind.NoQuorum, "no majority of the members answered within %s", n.c.leaseDuration())
	}
	return nil
}

func (n *Node) tickLeader(now time.Duration) {
	if now < n.nextHeartbeat {
		return
	}
	n.nextHeartbeat = now + n.c.HeartbeatInterval
	if now >= n.leaseStart(now)+n.c.ElectionTimeout {
		n.becomeFollower(now, n.hardState.Term, "")
		return
	}
	n.updateVoters(now)
	n.eachPeer(func(id string, p *progress) {
		p.probeSent = false
		if !n.alive(now, id) {
			n.endTransfer(p)
		}
		n.sendAppend(now, id, p, true)
	})
}

// leaseStart returns the start of the newest lease: a majority has answered
// messages that the leader sent then or later.
func (n *Node) leaseStart(now time.Duration) time.Duration {
	return quorumValue(n, now, func(p *progress) time.Duration { return p.lastContact })
}

func (n *Node) holdsLease(now time.Duration) bool { return now < n.leaseStart(now)+n.c.leaseDuration() }

// quorumValue returns the highest value that a majority of each set of voters has
// reached.
func quorumValue[T int64 | uint64 | time.Duration](n *Node, own T, of func(*progress) T) T {
	var reached []T
	for _, s := range n.voterSets() {
		vs := make([]T, 0, len(s))
		for _, id := range s {
			if id == n.c.Identity {
				vs = append(vs, own)
			} else {
				vs = append(vs, of(n.peers[id]))
			}
		}
		slices.Sort(vs)
		reached = append(reached, vs[(len(vs)-1)/2])
	}
	return slices.Min(reached)
}

func (n *Node) committedInTerm() bool {
	return n.role == Leader && (n.commit >= n.termStart || n.isOnlyVoter())
}

// broadcast sends the entries, commit index and read rounds that are new since the
// last Ready.
func (n *Node) broadcast(now time.Duration) {
	newRound := n.startReadRound()
	if !newRound && !n.needsBroadcast {
		return
	}
	n.needsBroadcast = false
	n.eachPeer(func(id string, p *progress) {
		n.sendAppend(now, id, p, newRound || p.sentCommit < n.commit && !p.probing)
	})
	n.confirmReads()
}

// maxAppendsPerPeer bounds the append messages that sendAppend sends to one member
// before the driver handles responses.
const maxAppendsPerPeer = 4

// sendAppend sends entries that p lacks. With force, it sends at least one message,
// even without entries.
func (n *Node) sendAppend(now time.Duration, id string, p *progress, force bool) {
	for range maxAppendsPerPeer {
		prev := p.next - 1
		term, ok := n.log.term(prev)
		if !ok {
			n.sendSnapshot(now, id, p, force)
			return
		}
		var es []wire.RaftEntry
		if !p.probing && p.next <= p.match+maxWindow || p.probing && !p.probeSent {
			es = n.log.slice(p.next, n.log.last(), n.c.BatchBytes)
		}
		if len(es) == 0 && !force {
			return
		}
		force = false
		m := n.newPeerMessage(now, id, wire.RaftAppend)
		m.Index, m.LogTerm, m.Commit, m.Entries = prev, term, n.commit, es
		n.preSync = append(n.preSync, m)
		p.sentCommit = n.commit
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(es))
	}
}

// newPeerMessage returns a message that a leader may send before its log is synced.
func (n *Node) newPeerMessage(now time.Duration, id string, t wire.RaftMessageType) wire.RaftMessage {
	return wire.RaftMessage{
		Type: t, From: n.c.Identity, To: id, Term: n.hardState.Term, Round: n.readRound,
		Sent: int64(now), Echo: n.peerClocks[id], Lease: n.holdsLease(now) && n.committedInTerm(),
	}
}

func (n *Node) handleAppendResponse(now time.Duration, m wire.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordResponse(p, m)
	switch {
	case m.Reject && m.Index <= p.match:
		return // a delayed response
	case m.Reject:
		next := max(p.match+1, min(m.Index, m.Hint+1))
		// The member would reject the same entries again. The next heartbeat
		// retries.
		p.probeSent = p.probing && next == p.next
		p.next, p.probing, p.diskFull = next, true, p.diskFull || m.Full
	case m.Index > n.log.last():
		return // not sent by a correct member
	default:
		p.diskFull = p.diskFull && m.Index <= p.match
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		p.probing = false
		if p.match >= n.log.base {
			n.endTransfer(p)
		}
	}
	n.advanceCommit()
	n.updateVoters(now)
	n.sendAppend(now, m.From, p, false)
	n.confirmReads()
}

// recordResponse records the clocks and the read round of a response.
func (n *Node) recordResponse(p *progress, m wire.RaftMessage) {
	p.lastContact = max(p.lastContact, time.Duration(m.Echo))
	p.ackedRound = max(p.ackedRound, m.Round)
	n.peerClocks[m.From] = m.Sent
}

// advanceCommit commits the entries that a majority holds. Entries of earlier terms
// are only committed together with an entry of the leader's own term.
func (n *Node) advanceCommit() {
	if n.role != Leader || !n.isVoter(n.c.Identity) {
		return
	}
	i := quorumValue(n, n.log.stable, func(p *progress) uint64 { return p.match })
	if t, ok := n.log.term(i); i > n.commit && ok && t == n.hardState.Term {
		n.commit = i
		n.needsBroadcast = true // sends the commit index to the followers
	}
}

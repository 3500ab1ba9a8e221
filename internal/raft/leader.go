package raft

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index known to be durable there; next is the index to
	// send next.
	match, next uint64
	// probing is set until an answer shows where the logs agree; only one
	// append is under way meanwhile.
	probing, probed bool
	full            bool // rejected entries for lack of space and took none since
	// contact is the leader's own clock at the newest message that was answered.
	contact time.Duration
	round   uint64
	commit  uint64 // the commit index sent last
	// transfer is set while the member gets a snapshot, because the log no
	// longer holds the entries that it lacks.
	transfer *transfer
}

// never is a time before any contact.
const never = time.Duration(math.MinInt64 / 2)

// lead makes n the leader. Its first entry commits those of earlier terms.
func (n *Node) lead(now time.Duration) {
	n.role, n.leader, n.leaderSince = Leader, n.c.Identity, now
	n.peers = map[string]*progress{}
	n.termStart = n.log.last() + 1
	n.syncPeers()
	for id, p := range n.peers {
		if at, ok := n.granted[id]; ok && n.votes[id] {
			p.contact = at
		}
	}
	n.heartbeatAt = now + n.c.HeartbeatInterval
	n.add(wire.EntryEmpty, nil)
}

// syncPeers makes the peers those of the newest membership.
func (n *Node) syncPeers() {
	keep := map[string]bool{}
	for _, m := range n.membership().Members {
		keep[m.Identity] = true
		if n.peers[m.Identity] == nil && m.Identity != n.c.Identity {
			n.peers[m.Identity] = &progress{next: n.log.last() + 1, probing: true, contact: never}
		}
	}
	for id := range n.peers {
		if !keep[id] {
			n.endTransfer(n.peers[id])
			delete(n.peers, id)
		}
	}
}

// eachPeer calls f in the order of the membership, so that the same events lead
// to the same messages.
func (n *Node) eachPeer(f func(id string, p *progress)) {
	for _, m := range n.membership().Members {
		if p := n.peers[m.Identity]; p != nil {
			f(m.Identity, p)
		}
	}
}

// add appends an entry of the leader's term.
func (n *Node) add(k wire.RaftEntryKind, data []byte) (index, term uint64) {
	e := wire.RaftEntry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: k, Data: data}
	n.log.add(e)
	if k == wire.EntryMembership {
		n.noteMemberships([]wire.RaftEntry{e})
		n.syncPeers()
	}
	n.sendEntries = true
	return e.Index, e.Term
}

// Propose appends a command. It fails, with nothing appended, unless n is a
// leader that a majority confirmed within the lease.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if err := n.checkLeader(now); err != nil {
		return 0, 0, err
	}
	if n.votersWithSpace() < n.quorum() {
		return 0, 0, errkind.New(errkind.DiskFull, "no space on the disks of most members")
	}
	index, term = n.add(wire.EntryCommand, data)
	return index, term, nil
}

func (n *Node) votersWithSpace() int {
	k := 0
	for _, m := range n.membership().Members {
		if p := n.peers[m.Identity]; m.Voter && (p == nil || !p.full) {
			k++
		}
	}
	return k
}

func (n *Node) checkLeader(now time.Duration) error {
	switch {
	case n.role != Leader:
		return errkind.New(errkind.NotLeader, "this member is not the leader")
	case !n.leaseHeld(now):
		return errkind.New(errkind.NoQuorum, "no majority of the members answered within %s", n.c.lease())
	}
	return nil
}

func (n *Node) tickLeader(now time.Duration) {
	if now < n.heartbeatAt {
		return
	}
	n.heartbeatAt = now + n.c.HeartbeatInterval
	if now >= n.leaseStart(now)+n.c.ElectionTimeout {
		n.follow(now, n.hard.Term, "")
		return
	}
	n.planMembership(now)
	n.eachPeer(func(id string, p *progress) {
		p.probed = false
		if !n.alive(now, id) {
			n.endTransfer(p)
		}
		n.sendAppend(now, id, p, true)
	})
}

// leaseStart is the newest time at which a majority heard from the leader.
func (n *Node) leaseStart(now time.Duration) time.Duration {
	return quorumValue(n, now, func(p *progress) time.Duration { return p.contact })
}

func (n *Node) leaseHeld(now time.Duration) bool { return now < n.leaseStart(now)+n.c.lease() }

// quorumValue returns the highest value that a majority of voters reached.
func quorumValue[T int64 | uint64 | time.Duration](n *Node, own T, of func(*progress) T) T {
	var vs []T
	for _, m := range n.membership().Members {
		switch {
		case !m.Voter:
		case m.Identity == n.c.Identity:
			vs = append(vs, own)
		default:
			vs = append(vs, of(n.peers[m.Identity]))
		}
	}
	slices.Sort(vs)
	return vs[len(vs)-n.quorum()]
}

func (n *Node) committedInTerm() bool {
	return n.role == Leader && (n.commit >= n.termStart || n.alone())
}

// flush sends what was proposed, committed or asked since the last Ready.
func (n *Node) flush(now time.Duration) {
	asked := n.startRound()
	if !asked && !n.sendEntries {
		return
	}
	n.sendEntries = false
	n.eachPeer(func(id string, p *progress) {
		n.sendAppend(now, id, p, asked || p.commit < n.commit && !p.probing)
	})
	n.confirmReads()
}

// maxBatches bounds the messages to one member between two looks at answers.
const maxBatches = 4

// sendAppend sends entries that p lacks; with force also an empty message.
func (n *Node) sendAppend(now time.Duration, id string, p *progress, force bool) {
	for range maxBatches {
		prev := p.next - 1
		term, ok := n.log.term(prev)
		if !ok {
			n.sendSnapshot(now, id, p, force)
			return
		}
		var es []wire.RaftEntry
		if !p.probing && p.next <= p.match+maxWindow || p.probing && !p.probed {
			es = n.log.slice(p.next, n.log.last(), n.c.BatchBytes)
		}
		if len(es) == 0 && !force {
			return
		}
		force = false
		m := n.toPeer(now, id, wire.RaftAppend)
		m.Index, m.LogTerm, m.Commit, m.Entries = prev, term, n.commit, es
		n.early = append(n.early, m)
		p.commit = n.commit
		if p.probing {
			p.probed = true
			return
		}
		p.next += uint64(len(es))
	}
}

// toPeer returns a message that a leader may send before a sync.
func (n *Node) toPeer(now time.Duration, id string, t wire.RaftMessageType) wire.RaftMessage {
	return wire.RaftMessage{
		Type: t, From: n.c.Identity, To: id, Term: n.hard.Term, Round: n.round,
		Sent: int64(now), Echo: n.echoes[id], Lease: n.leaseHeld(now) && n.committedInTerm(),
	}
}

func (n *Node) handleAppendResponse(now time.Duration, m wire.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.heardFrom(p, m)
	switch {
	case m.Reject && m.Index <= p.match:
		return // an old answer
	case m.Reject:
		next := max(p.match+1, min(m.Index, m.Hint+1))
		// The same entries would be rejected again at once; the next heartbeat
		// tries again.
		p.probed = p.probing && next == p.next
		p.next, p.probing, p.full = next, true, p.full || m.Full
	case m.Index > n.log.last():
		return // not possible for a correct member
	default:
		p.full = p.full && m.Index <= p.match
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		p.probing = false
		if p.match >= n.log.base {
			n.endTransfer(p)
		}
	}
	n.advanceCommit()
	n.planMembership(now)
	n.sendAppend(now, m.From, p, false)
	n.confirmReads()
}

// heardFrom notes the clocks and the round of a response.
func (n *Node) heardFrom(p *progress, m wire.RaftMessage) {
	p.contact = max(p.contact, time.Duration(m.Echo))
	p.round = max(p.round, m.Round)
	n.echoes[m.From] = m.Sent
}

// advanceCommit commits what a majority holds. Entries of earlier terms are
// committed only by one of the leader's own term.
func (n *Node) advanceCommit() {
	if n.role != Leader || !n.isVoter(n.c.Identity) {
		return
	}
	i := quorumValue(n, n.log.stable, func(p *progress) uint64 { return p.match })
	if t, ok := n.log.term(i); i > n.commit && ok && t == n.hard.Term {
		n.commit = i
		n.sendEntries = true // tells the others
	}
}

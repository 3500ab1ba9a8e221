package raft

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// SnapshotMeta says what a snapshot covers.
type SnapshotMeta struct {
	Index, Term uint64
	Membership  wire.RaftMembership
	// Size and Sum, an xxhash, are those of the data.
	Size, Sum uint64
}

// Snapshot is a complete received snapshot.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// incoming is a snapshot that a follower receives.
type incoming struct {
	Snapshot
	term uint64 // of the leader that sends it
	// retryAt is set when the snapshot was complete but could not be saved.
	retryAt time.Duration
}

// transfer is a snapshot that a leader sends. One chunk is under way at a time.
type transfer struct {
	meta     SnapshotMeta
	offset   uint64 // bytes that the member has
	underWay bool
	sentAt   time.Duration
	answered time.Duration // own clock at the newest message that was answered
}

// Compact tells that a snapshot of applied entries is durable. The entries that
// it covers are dropped but for a tail, which spares a member that is a little
// behind a whole snapshot.
func (n *Node) Compact(m SnapshotMeta) {
	if m.Index <= n.newest.Index {
		return
	}
	n.newest = m
	n.trim()
}

func (n *Node) trim() {
	to := n.log.keepBehind(n.newest.Index, n.c.KeepEntries, n.c.KeepBytes)
	if p := n.pinned; p != nil && p.Index < to {
		if n.log.bytesBehind(p.Index) <= n.c.MaxPinnedBytes {
			to = p.Index
		} else { // too slow: starts again with the newest snapshot
			for _, q := range n.peers {
				q.transfer = nil
			}
			n.pinned = nil
		}
	}
	n.log.compact(to)
	k := 0
	for k+1 < len(n.members) && n.members[k+1].index <= n.log.base {
		k++
	}
	n.members = append([]membershipAt(nil), n.members[k:]...)
}

// PinnedSnapshot returns the index of the snapshot that is being sent, or 0. The driver
// keeps its data.
func (n *Node) PinnedSnapshot() uint64 {
	if n.pinned == nil {
		return 0
	}
	return n.pinned.Index
}

// endTransfer lets go of the snapshot once no member needs it.
func (n *Node) endTransfer(p *progress) {
	if p.transfer == nil {
		return
	}
	p.transfer = nil
	for _, q := range n.peers {
		if q.transfer != nil {
			return
		}
	}
	n.pinned = nil
	n.trim()
}

// sendSnapshot sends the chunk that p lacks, or with force a message without
// data, which keeps the lease and p's election timer going meanwhile. A member
// that does not answer gets no data.
func (n *Node) sendSnapshot(now time.Duration, id string, p *progress, force bool) {
	p.probing, p.probed = true, true
	if p.transfer == nil && n.alive(now, id) {
		if n.pinned == nil {
			m := n.newest
			n.pinned = &m
		}
		p.transfer = &transfer{meta: *n.pinned, answered: never}
	}
	t := p.transfer
	if t == nil {
		t = &transfer{meta: n.newest, underWay: true, sentAt: now}
	}
	m := n.toPeer(now, id, wire.RaftSnapshot)
	m.Index, m.LogTerm, m.Membership = t.meta.Index, t.meta.Term, &t.meta.Membership
	m.Offset, m.Size, m.Sum = t.offset, t.meta.Size, t.meta.Sum
	switch {
	case !t.underWay || now >= t.sentAt+n.c.ElectionTimeout:
		t.underWay, t.sentAt = true, now
		n.chunks = append(n.chunks, m)
	case force:
		n.early = append(n.early, m)
	}
}

func (n *Node) handleSnapshotResponse(now time.Duration, m wire.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.heardFrom(p, m)
	t := p.transfer
	// An answer that arrives late must not set the offset back.
	if t != nil && m.Index == t.meta.Index && time.Duration(m.Echo) >= t.answered {
		t.answered = time.Duration(m.Echo)
		switch {
		case m.Reject:
			n.endTransfer(p)
		case m.Offset != t.offset && m.Offset <= t.meta.Size:
			t.offset, t.underWay = m.Offset, false
		}
	}
	n.sendAppend(now, m.From, p, false)
	n.confirmReads()
}

// handleSnapshot collects the chunks of a snapshot. A message without data asks
// how much arrived.
func (n *Node) handleSnapshot(now time.Duration, m wire.RaftMessage) {
	if n.role == Leader || m.Membership == nil || m.Offset > m.Size || uint64(len(m.Data)) > m.Size-m.Offset {
		return // no correct member sends such a message
	}
	n.hear(now, m)
	t, ok := n.log.term(m.Index)
	if m.Index <= n.commit || ok && t == m.LogTerm {
		// The log agrees with the leader's up to here without the snapshot.
		n.commit = max(n.commit, m.Index)
		n.incoming = nil
		n.reply(now, m, wire.RaftMessage{Type: wire.RaftAppendResponse, Index: n.commit})
		return
	}
	c := n.incoming
	if c == nil || c.term != m.Term || c.Index < m.Index {
		c = &incoming{term: m.Term, Snapshot: Snapshot{SnapshotMeta: SnapshotMeta{
			Index: m.Index, Term: m.LogTerm, Membership: *m.Membership, Size: m.Size, Sum: m.Sum,
		}}}
		n.incoming = c
	}
	if c.Index > m.Index {
		return // delayed
	}
	if m.Offset == uint64(len(c.Data)) {
		c.Data = append(c.Data, m.Data...)
	}
	n.takeSnapshot(now, m, c)
}

// takeSnapshot hands a complete snapshot to the driver. The answer that confirms
// it leaves only once it is durable.
func (n *Node) takeSnapshot(now time.Duration, m wire.RaftMessage, c *incoming) {
	r := wire.RaftMessage{Type: wire.RaftSnapshotResponse, Index: m.Index, Offset: uint64(len(c.Data))}
	switch {
	case r.Offset < c.Size || now < c.retryAt:
	case xxhash.Sum64(c.Data) != c.Sum:
		n.incoming = nil
		r.Reject, r.Offset = true, 0
	default:
		// Answers of earlier appends count on entries that are not written any
		// more.
		n.messages = nil
		n.incoming, n.snapshot = nil, &c.Snapshot
		r = wire.RaftMessage{Type: wire.RaftAppendResponse, Index: c.Index}
	}
	n.reply(now, m, r)
}

// install replaces the log by a snapshot that is durable.
func (n *Node) install(m SnapshotMeta) {
	n.log = entryLog{base: m.Index, baseTerm: m.Term, stable: m.Index}
	n.commit, n.applied = m.Index, m.Index
	n.members = []membershipAt{{index: m.Index, membership: m.Membership}}
	n.newest = m
}

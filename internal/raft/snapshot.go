package raft

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// SnapshotMeta describes a snapshot: the index and term of the last entry that it
// covers, and the membership at that index.
type SnapshotMeta struct {
	Index, Term uint64
	Membership  wire.RaftMembership
	// Size is the size of the data, Sum its xxhash.
	Size, Sum uint64
}

// Snapshot is a snapshot that was received completely.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// incoming is a snapshot that a follower is receiving.
type incoming struct {
	Snapshot
	term uint64 // of the leader that sends it
	// retryAt is set if the snapshot was complete but could not be saved.
	retryAt time.Duration
}

// transfer is the state of a snapshot transfer from the leader to a member. One
// chunk is in flight at a time.
type transfer struct {
	meta     SnapshotMeta
	offset   uint64 // bytes that the member has received
	inFlight bool
	sentAt   time.Duration
	ackedAt  time.Duration // own clock when the newest answered message was sent
}

// Compact is called when a snapshot of applied entries is durable. It drops the
// entries that the snapshot covers, except for some trailing entries. Those save a
// member that is slightly behind from receiving a whole snapshot.
func (n *Node) Compact(m SnapshotMeta) {
	if m.Index <= n.newestSnapshot.Index {
		return
	}
	n.newestSnapshot = m
	n.compactLog()
}

// compactLog drops the entries that the newest snapshot covers, except for the
// trailing entries. The entries after a pinned snapshot are kept as well, up to
// MaxPinnedBytes, so that its receivers can continue from it.
func (n *Node) compactLog() {
	to := n.log.trailingStart(n.newestSnapshot.Index, n.c.KeepEntries, n.c.KeepBytes)
	if p := n.pinnedSnapshot; p != nil && p.Index < to {
		if n.log.bytesAfter(p.Index) <= n.c.MaxPinnedBytes {
			to = p.Index
		} else { // too slow: restart with the newest snapshot
			for _, q := range n.peers {
				q.transfer = nil
			}
			n.pinnedSnapshot = nil
		}
	}
	n.log.compact(to)
	k := 0
	for k+1 < len(n.memberships) && n.memberships[k+1].index <= n.log.base {
		k++
	}
	n.memberships = append([]membershipAt(nil), n.memberships[k:]...)
}

// PinnedSnapshot returns the index of the snapshot that is being sent, or 0. The
// driver must keep the data of that snapshot.
func (n *Node) PinnedSnapshot() uint64 {
	if n.pinnedSnapshot == nil {
		return 0
	}
	return n.pinnedSnapshot.Index
}

// endTransfer ends the transfer to p and unpins the snapshot if no other member is
// receiving it.
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
	n.pinnedSnapshot = nil
	n.compactLog()
}

// sendSnapshot sends the next chunk to p. With force, it sends at least a message
// without data, which renews the lease and resets p's election timer while a chunk
// is in flight. A member that does not answer is sent no data.
func (n *Node) sendSnapshot(now time.Duration, id string, p *progress, force bool) {
	p.probing, p.probeSent = true, true
	if p.transfer == nil && n.alive(now, id) {
		if n.pinnedSnapshot == nil {
			m := n.newestSnapshot
			n.pinnedSnapshot = &m
		}
		p.transfer = &transfer{meta: *n.pinnedSnapshot, ackedAt: noContact}
	}
	t := p.transfer
	if t == nil {
		t = &transfer{meta: n.newestSnapshot, inFlight: true, sentAt: now}
	}
	m := n.newPeerMessage(now, id, wire.RaftSnapshot)
	m.Index, m.LogTerm, m.Membership = t.meta.Index, t.meta.Term, &t.meta.Membership
	m.Offset, m.Size, m.Sum = t.offset, t.meta.Size, t.meta.Sum
	switch {
	case !t.inFlight || now >= t.sentAt+n.c.ElectionTimeout:
		t.inFlight, t.sentAt = true, now
		n.chunks = append(n.chunks, m)
	case force:
		n.preSync = append(n.preSync, m)
	}
}

func (n *Node) handleSnapshotResponse(now time.Duration, m wire.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordResponse(p, m)
	t := p.transfer
	// A delayed response must not reset the offset.
	if t != nil && m.Index == t.meta.Index && time.Duration(m.Echo) >= t.ackedAt {
		t.ackedAt = time.Duration(m.Echo)
		switch {
		case m.Reject:
			n.endTransfer(p)
		case m.Offset != t.offset && m.Offset <= t.meta.Size:
			t.offset, t.inFlight = m.Offset, false
		}
	}
	n.sendAppend(now, m.From, p, false)
	n.confirmReads()
}

// handleSnapshot collects the chunks of a snapshot. A message without data asks how
// many bytes have arrived.
func (n *Node) handleSnapshot(now time.Duration, m wire.RaftMessage) {
	if n.role == Leader || m.Membership == nil || m.Offset > m.Size || uint64(len(m.Data)) > m.Size-m.Offset {
		return // not sent by a correct member
	}
	n.recordLeaderContact(now, m)
	t, ok := n.log.term(m.Index)
	if m.Index <= n.commit || ok && t == m.LogTerm {
		// The log already matches the leader's up to this index.
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
		return // a delayed chunk of an older snapshot
	}
	if m.Offset == uint64(len(c.Data)) {
		c.Data = append(c.Data, m.Data...)
	}
	n.completeSnapshot(now, m, c)
}

// completeSnapshot passes a complete snapshot to the driver. The response that
// confirms it is sent only after it is durable.
func (n *Node) completeSnapshot(now time.Duration, m wire.RaftMessage, c *incoming) {
	r := wire.RaftMessage{Type: wire.RaftSnapshotResponse, Index: m.Index, Offset: uint64(len(c.Data))}
	switch {
	case r.Offset < c.Size || now < c.retryAt:
	case xxhash.Sum64(c.Data) != c.Sum:
		n.incoming = nil
		r.Reject, r.Offset = true, 0
	default:
		// Pending append responses acknowledge entries that will no longer be
		// written.
		n.messages = nil
		n.incoming, n.snapshot = nil, &c.Snapshot
		r = wire.RaftMessage{Type: wire.RaftAppendResponse, Index: c.Index}
	}
	n.reply(now, m, r)
}

// installSnapshot replaces the log with a durable snapshot.
func (n *Node) installSnapshot(m SnapshotMeta) {
	n.log = entryLog{base: m.Index, baseTerm: m.Term, stable: m.Index}
	n.commit, n.applied = m.Index, m.Index
	n.memberships = []membershipAt{newMembershipAt(m.Index, m.Membership)}
	n.newestSnapshot = m
}

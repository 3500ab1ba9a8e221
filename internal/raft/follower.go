package raft

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// recordLeaderContact records a message from the leader of the current term.
func (n *Node) recordLeaderContact(now time.Duration, m wire.RaftMessage) {
	if n.role != Follower {
		n.becomeFollower(now, m.Term, m.From)
	}
	n.leader, n.previousLeader, n.lastLeaderContact, n.inContactUntil = m.From, m.From, now, now
	n.removed = false
	n.resetElectionDeadline(now)
	// Echo is a time on n's own clock that the leader had seen when it sent the
	// message. Counting from it, a message delayed in the network does not make n
	// current.
	if e := time.Duration(m.Echo); m.Lease && m.Echo != 0 && e <= now {
		n.currentUntil = max(n.currentUntil, e+n.c.leaseDuration())
	}
}

func (n *Node) handleAppend(now time.Duration, m wire.RaftMessage) {
	if n.role == Leader || !validAppend(m) {
		return // not sent by a correct member
	}
	n.recordLeaderContact(now, m)
	r := wire.RaftMessage{Type: wire.RaftAppendResponse, Index: n.commit}
	if m.Index < n.commit {
		// A delayed message. Committed entries always match the leader's log.
		n.reply(now, m, r)
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		r.Reject, r.Index, r.Hint = true, m.Index, n.conflictHint(m.Index)
		n.reply(now, m, r)
		return
	}
	n.incoming = nil
	n.mergeEntries(m.Entries)
	r.Index = m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, r.Index))
	n.reply(now, m, r)
}

// conflictHint returns the last index before i at which the leader's log may agree:
// the end of the log, or the entry before the conflicting term.
func (n *Node) conflictHint(i uint64) uint64 {
	if i > n.log.last() {
		return n.log.last()
	}
	t, ok := n.log.term(i)
	for ok && i > n.commit {
		i--
		if u, held := n.log.term(i); !held || u != t {
			break
		}
	}
	return i
}

// mergeEntries adds the entries that the log lacks. An entry that differs from the
// one at the same index replaces that entry and all after it.
func (n *Node) mergeEntries(es []wire.RaftEntry) {
	for len(es) > 0 {
		t, ok := n.log.term(es[0].Index)
		if !ok || t != es[0].Term {
			break
		}
		es = es[1:]
	}
	if len(es) == 0 {
		return
	}
	if first := es[0].Index; first <= n.log.last() {
		if first <= n.commit {
			panic("raft: the leader replaces a committed entry")
		}
		n.log.truncate(first)
		n.truncateMemberships(first)
	}
	n.log.add(es...)
	n.addMemberships(es)
}

// validAppend reports whether the entries of m have consecutive indexes and
// plausible terms, and whether its memberships can be decoded.
func validAppend(m wire.RaftMessage) bool {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return false
		}
		if e.Kind == wire.EntryMembership {
			if _, err := decodeMembership(e.Data); err != nil {
				return false
			}
		}
		term = e.Term
	}
	return true
}

package raft

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// hear notes a message of the leader of the current term.
func (n *Node) hear(now time.Duration, m wire.RaftMessage) {
	if n.role != Follower {
		n.follow(now, m.Term, m.From)
	}
	n.leader, n.heard = m.From, now
	n.resetElection(now)
	// The echo proves that the message was sent after Echo on n's own clock, so
	// that a message delayed in the network does not make n current.
	if e := time.Duration(m.Echo); m.Lease && m.Echo != 0 && e <= now {
		n.current = max(n.current, e+n.c.lease())
	}
}

func (n *Node) handleAppend(now time.Duration, m wire.RaftMessage) {
	if n.role == Leader || !valid(m) {
		return // no correct member sends such a message
	}
	n.hear(now, m)
	r := wire.RaftMessage{Type: wire.RaftAppendResponse, Index: n.commit}
	if m.Index < n.commit {
		// An old message. Everything committed matches the leader's log.
		n.reply(now, m, r)
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		r.Reject, r.Index, r.Hint = true, m.Index, n.hint(m.Index)
		n.reply(now, m, r)
		return
	}
	n.incoming = nil
	n.merge(m.Entries)
	r.Index = m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, r.Index))
	n.reply(now, m, r)
}

// hint returns the last index before i at which the leader's log may agree:
// the end of the log, or the entry before the term that conflicts.
func (n *Node) hint(i uint64) uint64 {
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

// merge adds the entries that the log lacks. An entry that differs replaces the
// one of the same index and all behind it.
func (n *Node) merge(es []wire.RaftEntry) {
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
		n.dropMemberships(first)
	}
	n.log.add(es...)
	n.noteMemberships(es)
}

// valid reports whether the entries of m follow each other and can be decoded.
func valid(m wire.RaftMessage) bool {
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

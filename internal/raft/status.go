package raft

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Status describes the state of the group as a member knows it.
type Status struct {
	Role          Role
	Term          uint64
	Leader        string // identity; empty when unknown
	Commit        uint64
	LastIndex     uint64
	FirstIndex    uint64
	LogBytes      int
	SnapshotIndex uint64 // index of the newest snapshot
	Members       []wire.RaftMember
	// CurrentUntil is the end of the time for which a majority has confirmed the
	// member, so that its state counts as current.
	CurrentUntil time.Duration
	// Detached tells whether the member should ask to be admitted to the group.
	Detached bool
}

// Status returns the status of n.
func (n *Node) Status(now time.Duration) Status {
	s := Status{
		Role: n.role, Term: n.hardState.Term, Leader: n.leader, Commit: n.commit,
		LastIndex: n.log.last(), FirstIndex: n.log.base + 1, LogBytes: n.log.bytes, SnapshotIndex: n.newestSnapshot.Index,
		Members: n.membership().Members, CurrentUntil: n.currentUntil, Detached: n.detached(now),
	}
	if n.role == Leader {
		s.CurrentUntil = 0
		if n.committedInTerm() {
			s.CurrentUntil = n.leaseStart(now) + n.c.leaseDuration()
		}
	}
	return s
}

// Leader returns the identity of the leader, or an empty string.
func (n *Node) Leader() string { return n.leader }

// TermAt returns the term of the entry at index, or 0 if the log does not hold it.
func (n *Node) TermAt(index uint64) uint64 {
	t, _ := n.log.term(index)
	return t
}

// LogBytes returns the size of the log entries in memory.
func (n *Node) LogBytes() int { return n.log.bytes }

// Member returns the member with the given identity in the newest membership.
func (n *Node) Member(identity string) (wire.RaftMember, bool) { return n.member(identity) }

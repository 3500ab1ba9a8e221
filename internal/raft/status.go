package raft

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Status is what a member knows of its group.
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
	// CurrentUntil is the time until which the member counts as confirmed with
	// a majority.
	CurrentUntil time.Duration
}

// Status returns the status of n.
func (n *Node) Status(now time.Duration) Status {
	s := Status{
		Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.commit,
		LastIndex: n.log.last(), FirstIndex: n.log.base + 1, LogBytes: n.log.bytes, SnapshotIndex: n.newest.Index,
		Members: n.membership().Members, CurrentUntil: n.current,
	}
	if n.role == Leader {
		s.CurrentUntil = 0
		if n.committedInTerm() {
			s.CurrentUntil = n.leaseStart(now) + n.c.lease()
		}
	}
	return s
}

// Leader returns the identity of the leader, or an empty string.
func (n *Node) Leader() string { return n.leader }

// TermAt returns the term of the entry at index, or 0 when it was dropped.
func (n *Node) TermAt(index uint64) uint64 {
	t, _ := n.log.term(index)
	return t
}

// LogBytes returns the size of the entries in memory.
func (n *Node) LogBytes() int { return n.log.bytes }

// Member returns the member with the given identity.
func (n *Node) Member(identity string) (wire.RaftMember, bool) { return n.member(identity) }

package raft

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// campaign asks the other voters: as a PreCandidate whether they would vote, as
// a Candidate for their votes. Asking first keeps a member that was cut off from
// raising the term and unseating the leader when it returns.
func (n *Node) campaign(now time.Duration, as Role) {
	t := wire.RaftPreVote
	term := n.hard.Term + 1
	n.role, n.leader = as, ""
	if as == Candidate {
		t = wire.RaftVote
		n.hard = HardState{Term: term, Vote: n.c.Identity}
	}
	n.votes = map[string]bool{n.c.Identity: true}
	if n.won(now) {
		return
	}
	for _, m := range n.membership().Members {
		if !m.Voter || m.Identity == n.c.Identity {
			continue
		}
		n.send(wire.RaftMessage{
			Type: t, To: m.Identity, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(), Sent: int64(now),
		})
	}
}

// won moves on when a majority agreed.
func (n *Node) won(now time.Duration) bool {
	k := 0
	for _, m := range n.membership().Members {
		if m.Voter && n.votes[m.Identity] {
			k++
		}
	}
	if k < n.quorum() {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(now, Candidate)
	} else {
		n.lead(now)
	}
	return true
}

// leaderAlive reports whether a leader may hold a lease that n granted.
func (n *Node) leaderAlive(now time.Duration) bool {
	if n.role == Leader {
		return now < n.leaseStart(now)+n.c.ElectionTimeout
	}
	return now < n.heard+n.c.ElectionTimeout
}

func (n *Node) handleVote(now time.Duration, m wire.RaftMessage) {
	pre := m.Type == wire.RaftPreVote
	r := wire.RaftMessage{Type: wire.RaftVoteResponse, Reject: true}
	if pre {
		r.Type = wire.RaftPreVoteResponse
	}
	if n.leaderAlive(now) || m.Term < n.hard.Term {
		n.reply(now, m, r)
		return
	}
	if !pre && m.Term > n.hard.Term {
		n.follow(now, m.Term, "")
	}
	grant := n.log.upToDate(m.Index, m.LogTerm)
	if pre {
		grant = grant && m.Term > n.hard.Term
	} else {
		grant = grant && n.role == Follower && (n.hard.Vote == "" || n.hard.Vote == m.From)
	}
	if grant {
		r.Reject, r.Term = false, m.Term
		if !pre {
			n.hard.Vote = m.From
			n.resetElection(now)
		}
	}
	n.reply(now, m, r)
}

func (n *Node) handleVoteResponse(now time.Duration, m wire.RaftMessage) {
	pre := m.Type == wire.RaftPreVoteResponse
	expected := n.role == Candidate && !pre && m.Term == n.hard.Term ||
		n.role == PreCandidate && pre && m.Term == n.hard.Term+1
	if !expected || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.echoes[m.From] = m.Sent
	n.granted[m.From] = time.Duration(m.Echo)
	n.won(now)
}

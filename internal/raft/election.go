package raft

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// campaign starts an election: as a PreCandidate it asks the other voters whether
// they would vote for n, as a Candidate it requests their votes. The pre-vote keeps
// a member that was partitioned from raising the term and deposing the leader when
// it reconnects.
func (n *Node) campaign(now time.Duration, as Role) {
	t := wire.RaftPreVote
	term := n.hardState.Term + 1
	n.role, n.leader = as, ""
	if as == Candidate {
		t = wire.RaftVote
		n.hardState = HardState{Term: term, Vote: n.c.Identity}
	}
	n.votes = map[string]bool{n.c.Identity: true}
	if n.checkVotes(now) {
		return
	}
	for _, m := range n.membership().Members {
		if !n.isVoter(m.Identity) || m.Identity == n.c.Identity {
			continue
		}
		n.send(wire.RaftMessage{
			Type: t, To: m.Identity, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(), Sent: int64(now),
		})
	}
}

// checkVotes starts the next step of the election if a majority granted its votes,
// and reports whether it did.
func (n *Node) checkVotes(now time.Duration) bool {
	if !n.hasQuorum(func(id string) bool { return n.votes[id] }) {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(now, Candidate)
	} else {
		n.becomeLeader(now)
	}
	return true
}

// leaderAlive reports whether a leader may still hold a lease that n granted.
func (n *Node) leaderAlive(now time.Duration) bool {
	if n.role == Leader {
		return now < n.leaseStart(now)+n.c.ElectionTimeout
	}
	return now < n.lastLeaderContact+n.c.ElectionTimeout
}

func (n *Node) handleVote(now time.Duration, m wire.RaftMessage) {
	pre := m.Type == wire.RaftPreVote
	r := wire.RaftMessage{Type: wire.RaftVoteResponse, Reject: true}
	if pre {
		r.Type = wire.RaftPreVoteResponse
	}
	if n.leaderAlive(now) || m.Term < n.hardState.Term {
		r.Removed = n.knowsRemoved(m.From)
		n.reply(now, m, r)
		return
	}
	if !pre && m.Term > n.hardState.Term {
		n.becomeFollower(now, m.Term, "")
	}
	grant := n.log.upToDate(m.Index, m.LogTerm)
	if pre {
		grant = grant && m.Term > n.hardState.Term
	} else {
		grant = grant && n.role == Follower && (n.hardState.Vote == "" || n.hardState.Vote == m.From)
	}
	if grant {
		r.Reject, r.Term = false, m.Term
		if !pre {
			n.hardState.Vote = m.From
			n.resetElectionDeadline(now)
		}
	}
	n.reply(now, m, r)
}

// knowsRemoved reports whether the group has a leader and the given member does not
// belong to it. A member that lags may report this of a new one, whose request for
// admission then changes nothing.
func (n *Node) knowsRemoved(identity string) bool {
	if _, ok := n.member(identity); ok || n.leader == "" {
		return false
	}
	return n.memberships[len(n.memberships)-1].index <= n.commit
}

// handleVoteResponse counts a granted vote.
func (n *Node) handleVoteResponse(now time.Duration, m wire.RaftMessage) {
	pre := m.Type == wire.RaftPreVoteResponse
	expected := n.role == Candidate && !pre && m.Term == n.hardState.Term ||
		n.role == PreCandidate && pre && m.Term == n.hardState.Term+1
	if !expected || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.peerClocks[m.From] = m.Sent
	n.voteRequestedAt[m.From] = time.Duration(m.Echo)
	n.checkVotes(now)
}

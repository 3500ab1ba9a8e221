package raft

import (
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// This file decides which learners become voters and which voters lose their votes.
//
// A learner with the name of a voter replaces it, because a new identity under the same
// name proves that the old one has lost its disk. Otherwise nothing proves that a voter
// is gone: it may only be down and return with its disk. A learner that takes the vote
// of a silent voter is therefore a guess, and two things keep a wrong one harmless:
//   - A member that returns is told that it was removed, asks for admission, and takes
//     the vote of the voter that is still silent. Then all members that run are voters.
//   - The two voters are exchanged in one step, so that the number of voters never
//     changes. Until the exchange is committed by a majority of the old and of the new
//     voters, it bears what both of them bear.

// voterReplacementDelay is how long a voter must be unresponsive before a learner
// with another name, which has caught up, takes its place. It is longer than a
// restart or an election, and leaves a replaced VM enough time to catch up before a
// further failure counts.
const voterReplacementDelay = 2 * time.Second

// updateVoters promotes a learner that has caught up to a voter, in place of another
// voter if there are enough of them.
func (n *Node) updateVoters(now time.Duration) {
	if n.role != Leader || n.uncommittedChange() || !n.holdsLease(now) {
		return
	}
	m := n.membership()
	if len(m.Outgoing) > 0 {
		_, _, _ = n.appendMembership(finishExchange(m)) // encoding a decoded membership cannot fail
		return
	}
	for _, l := range m.Members {
		if l.Voter || !n.alive(now, l.Identity) || n.peers[l.Identity].match < n.commit {
			continue
		}
		if old, found, wait := n.voterToReplace(now, l); !wait {
			next := addVoter(m, l)
			if found {
				next = startExchange(m, old, l)
			}
			_, _, _ = n.appendMembership(next) // encoding a decoded membership cannot fail
			return
		}
	}
}

// addVoter returns m with the learner l as an additional voter.
func addVoter(m wire.RaftMembership, l wire.RaftMember) wire.RaftMembership {
	m.Members = slices.Clone(m.Members)
	m.Members[slices.Index(m.Members, l)].Voter = true
	return m
}

// startExchange returns the membership in which l votes in place of old, and the
// voters of m still have to agree to every decision.
func startExchange(m wire.RaftMembership, old, l wire.RaftMember) wire.RaftMembership {
	m.Outgoing = newMembershipAt(0, m).voterSets[0]
	m = addVoter(m, l)
	m.Members[slices.Index(m.Members, old)].Voter = false
	return m
}

// finishExchange returns m without the voters that were replaced.
func finishExchange(m wire.RaftMembership) wire.RaftMembership {
	m.Members = slices.DeleteFunc(slices.Clone(m.Members), func(o wire.RaftMember) bool {
		return !o.Voter && slices.Contains(m.Outgoing, o.Identity)
	})
	m.Outgoing = nil
	return m
}

// voterToReplace returns the voter whose vote the learner l takes: an earlier identity
// of the same name, or if there are enough voters, the unresponsive one that is most
// likely gone for good. If wait is true, l cannot become a voter now.
func (n *Node) voterToReplace(now time.Duration, l wire.RaftMember) (old wire.RaftMember, found, wait bool) {
	if old, ok := n.voterByName(l.Name); ok {
		return old, true, n.alive(now, old.Identity)
	}
	if n.c.Voters == 0 || n.voters() < n.c.Voters {
		return old, false, false
	}
	for _, o := range n.membership().Members {
		if o.Voter && !n.alive(now, o.Identity) && (!found || n.likelierGone(now, l, o, old)) {
			old, found = o, true
		}
	}
	return old, found, !found || !n.unresponsive(now, old.Identity)
}

// likelierGone reports whether the silent voter a is more likely than b to be the one
// that is gone. A VM that refuses connections still exists, and a new VM replaces one of
// its own availability zone.
func (n *Node) likelierGone(now time.Duration, l, a, b wire.RaftMember) bool {
	if x, y := n.refusing(now, a.Identity), n.refusing(now, b.Identity); x != y {
		return y
	}
	if x, y := a.Zone == l.Zone, b.Zone == l.Zone; x != y && !l.Returned {
		return x
	}
	return n.lastContact(a) < n.lastContact(b)
}

// alive reports whether the member answered a message within the election timeout.
func (n *Node) alive(now time.Duration, identity string) bool {
	if identity == n.c.Identity {
		return true
	}
	p := n.peers[identity]
	return p != nil && now < p.lastContact+n.c.ElectionTimeout
}

// unresponsive reports whether the member has not answered for
// voterReplacementDelay.
func (n *Node) unresponsive(now time.Duration, identity string) bool {
	if identity == n.c.Identity {
		return false
	}
	p := n.peers[identity]
	return p == nil || now >= max(p.lastContact, n.leaderSince)+voterReplacementDelay
}

// lastContact returns when the member was last heard from. A new leader has heard from
// its predecessor, but not from the other silent members.
func (n *Node) lastContact(m wire.RaftMember) time.Duration {
	t := noContact
	if p := n.peers[m.Identity]; p != nil {
		t = p.lastContact
	}
	if m.Identity == n.previousLeader {
		t = max(t, n.lastLeaderContact)
	}
	return t
}

// ObserveRefusal records that the VM of the member has refused a connection: the VM
// exists, and only the process of the member does not run.
func (n *Node) ObserveRefusal(now time.Duration, identity string) {
	if p := n.peers[identity]; p != nil {
		p.refusedAt = now
	}
}

// refusing reports whether the VM of the member has refused a connection lately.
func (n *Node) refusing(now time.Duration, identity string) bool {
	p := n.peers[identity]
	return p != nil && now < p.refusedAt+voterReplacementDelay
}

func (n *Node) voterByName(name string) (wire.RaftMember, bool) {
	for _, m := range n.membership().Members {
		if m.Voter && m.Name == name {
			return m, true
		}
	}
	return wire.RaftMember{}, false
}

// detachedAfter is how long a member is without a leader, in election timeouts, before it
// asks to be admitted. An election takes up to two.
const detachedAfter = 3

// detached reports whether the member should ask to be admitted to the group: another
// member has told it that the group removed it, or it has been without a leader for
// longer than an election takes.
func (n *Node) detached(now time.Duration) bool {
	return n.role != Leader && (n.removed || now >= n.inContactUntil+detachedAfter*n.c.ElectionTimeout)
}

package raft

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// membershipAt is the membership from the entry at index on. It is in force as soon
// as the entry is in the log, whether committed or not.
type membershipAt struct {
	index      uint64
	membership wire.RaftMembership
	// voterSets holds the identities of the voters and, while voters are exchanged,
	// those of the previous voters. Decisions need a majority of each set.
	voterSets [][]string
}

func newMembershipAt(index uint64, m wire.RaftMembership) membershipAt {
	var v []string
	for _, r := range m.Members {
		if r.Voter {
			v = append(v, r.Identity)
		}
	}
	a := membershipAt{index: index, membership: m, voterSets: [][]string{v}}
	if len(m.Outgoing) > 0 {
		a.voterSets = append(a.voterSets, m.Outgoing)
	}
	return a
}

// EncodeMembership encodes m as the data of a log entry of kind EntryMembership.
func EncodeMembership(m wire.RaftMembership) ([]byte, error) { return wire.Marshal(&m) }

func decodeMembership(b []byte) (wire.RaftMembership, error) {
	var m wire.RaftMembership
	if err := wire.Unmarshal(b, &m); err != nil {
		return m, err
	}
	if !slices.ContainsFunc(m.Members, func(r wire.RaftMember) bool { return r.Voter }) {
		return m, errors.New("membership without a voter")
	}
	return m, nil
}

// addMemberships records the memberships in es.
func (n *Node) addMemberships(es []wire.RaftEntry) {
	for _, e := range es {
		if e.Kind != wire.EntryMembership {
			continue
		}
		m, err := decodeMembership(e.Data)
		if err != nil {
			panic("raft: " + err.Error()) // the entry was checked when it was received
		}
		n.memberships = append(n.memberships, newMembershipAt(e.Index, m))
	}
}

// truncateMemberships drops the memberships from index first on.
func (n *Node) truncateMemberships(first uint64) {
	k := len(n.memberships)
	for k > 1 && n.memberships[k-1].index >= first {
		k--
	}
	n.memberships = n.memberships[:k]
	if n.role == Leader {
		n.updatePeers()
	}
}

func (n *Node) membership() wire.RaftMembership {
	return n.memberships[len(n.memberships)-1].membership
}

// MembershipAt returns the membership in force at index.
func (n *Node) MembershipAt(index uint64) wire.RaftMembership {
	k := len(n.memberships) - 1
	for k > 0 && n.memberships[k].index > index {
		k--
	}
	return n.memberships[k].membership
}

func (n *Node) member(identity string) (wire.RaftMember, bool) {
	for _, m := range n.membership().Members {
		if m.Identity == identity {
			return m, true
		}
	}
	return wire.RaftMember{}, false
}

// voterSets returns the sets of voters of which decisions need a majority each.
func (n *Node) voterSets() [][]string { return n.memberships[len(n.memberships)-1].voterSets }

// isVoter reports whether the member votes in one of the sets.
func (n *Node) isVoter(identity string) bool {
	return slices.ContainsFunc(n.voterSets(), func(s []string) bool { return slices.Contains(s, identity) })
}

// voters returns the number of voters, without those that are being replaced.
func (n *Node) voters() int { return len(n.voterSets()[0]) }

// hasQuorum reports whether f is true for a majority of each set of voters.
func (n *Node) hasQuorum(f func(identity string) bool) bool {
	for _, s := range n.voterSets() {
		k := 0
		for _, id := range s {
			if f(id) {
				k++
			}
		}
		if k <= len(s)/2 {
			return false
		}
	}
	return true
}

// isOnlyVoter reports whether n is the only voter.
func (n *Node) isOnlyVoter() bool {
	s := n.voterSets()
	return len(s) == 1 && len(s[0]) == 1 && s[0][0] == n.c.Identity
}

// commitAsOnlyVoter commits all durable entries, whatever their term, if n is the
// only voter: no other member can be elected without its vote.
func (n *Node) commitAsOnlyVoter() {
	if n.isOnlyVoter() {
		n.commit = max(n.commit, n.log.stable)
	}
}

// AddLearner appends a membership entry that adds m as a learner. It returns index
// 0 if m already belongs to the committed membership.
func (n *Node) AddLearner(now time.Duration, m wire.RaftMember) (index, term uint64, err error) {
	if err := n.checkLeader(now); err != nil {
		return 0, 0, err
	}
	if n.ChangePending() {
		return 0, 0, errkind.New(errkind.NotReady, "another membership change is in progress")
	}
	if _, ok := n.member(m.Identity); ok {
		return 0, 0, nil
	}
	if old, ok := n.voterByName(m.Name); ok && n.alive(now, old.Identity) {
		return 0, 0, errkind.New(errkind.Conflict, "a member named %s with another identity is running", m.Name)
	}
	next := n.membership()
	next.Members = slices.DeleteFunc(slices.Clone(next.Members), func(o wire.RaftMember) bool {
		return o.Name == m.Name && !o.Voter
	})
	m.Voter = false
	next.Members = append(next.Members, m)
	return n.appendMembership(next)
}

// ChangePending reports whether n leads and cannot start a membership change now.
// Changes must not overlap, and the leader must have committed an entry of its own
// term. Otherwise it could act on a membership that is replaced later, and two
// majorities might not overlap.
func (n *Node) ChangePending() bool {
	return n.role == Leader && (n.uncommittedChange() || len(n.membership().Outgoing) > 0)
}

func (n *Node) uncommittedChange() bool {
	return n.commit < n.termStart || n.memberships[len(n.memberships)-1].index > n.commit
}

func (n *Node) appendMembership(m wire.RaftMembership) (index, term uint64, err error) {
	b, err := EncodeMembership(m)
	if err != nil {
		return 0, 0, err
	}
	index, term = n.appendEntry(wire.EntryMembership, b)
	return index, term, nil
}

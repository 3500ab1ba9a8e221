package raft

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// membershipAt is the membership from entry index on. It is in force as soon as
// the entry is in the log.
type membershipAt struct {
	index      uint64
	membership wire.RaftMembership
}

// EncodeMembership returns the data of a membership entry.
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

// noteMemberships adds the memberships that es hold.
func (n *Node) noteMemberships(es []wire.RaftEntry) {
	for _, e := range es {
		if e.Kind != wire.EntryMembership {
			continue
		}
		m, err := decodeMembership(e.Data)
		if err != nil {
			panic("raft: " + err.Error()) // checked when the entry was received
		}
		n.members = append(n.members, membershipAt{index: e.Index, membership: m})
	}
}

// dropMemberships drops those from index first on.
func (n *Node) dropMemberships(first uint64) {
	k := len(n.members)
	for k > 1 && n.members[k-1].index >= first {
		k--
	}
	n.members = n.members[:k]
	if n.role == Leader {
		n.syncPeers()
	}
}

func (n *Node) membership() wire.RaftMembership { return n.members[len(n.members)-1].membership }

// MembershipAt returns the membership in force at index.
func (n *Node) MembershipAt(index uint64) wire.RaftMembership {
	k := len(n.members) - 1
	for k > 0 && n.members[k].index > index {
		k--
	}
	return n.members[k].membership
}

func (n *Node) member(identity string) (wire.RaftMember, bool) {
	for _, m := range n.membership().Members {
		if m.Identity == identity {
			return m, true
		}
	}
	return wire.RaftMember{}, false
}

func (n *Node) isVoter(identity string) bool {
	m, ok := n.member(identity)
	return ok && m.Voter
}

func (n *Node) voters() int {
	k := 0
	for _, m := range n.membership().Members {
		if m.Voter {
			k++
		}
	}
	return k
}

func (n *Node) quorum() int { return n.voters()/2 + 1 }

// alone reports whether n is the only voter.
func (n *Node) alone() bool { return n.voters() == 1 && n.isVoter(n.c.Identity) }

// commitAlone commits what the only voter has on disk, whatever the term: no
// other member can be elected without its vote.
func (n *Node) commitAlone() {
	if n.alone() {
		n.commit = max(n.commit, n.log.stable)
	}
}

// AddLearner appends a membership with m as a learner. It returns index 0 when m
// belongs to the committed membership already.
func (n *Node) AddLearner(now time.Duration, m wire.RaftMember) (index, term uint64, err error) {
	if err := n.checkLeader(now); err != nil {
		return 0, 0, err
	}
	if err := n.checkChange(); err != nil {
		return 0, 0, err
	}
	if _, ok := n.member(m.Identity); ok {
		return 0, 0, nil
	}
	if old, ok := n.voterNamed(m.Name); ok && n.alive(now, old.Identity) {
		return 0, 0, errkind.New(errkind.Conflict, "a member named %s with another identity is running", m.Name)
	}
	next := n.membership()
	next.Members = slices.DeleteFunc(slices.Clone(next.Members), func(o wire.RaftMember) bool {
		return o.Name == m.Name && !o.Voter
	})
	m.Voter = false
	next.Members = append(next.Members, m)
	return n.change(next)
}

// checkChange keeps membership changes one after the other. Without an entry of
// its own term, a leader could act on a membership that is replaced later, and
// two majorities need not overlap.
func (n *Node) checkChange() error {
	if n.commit < n.termStart || n.members[len(n.members)-1].index > n.commit {
		return errkind.New(errkind.NotReady, "another change of the membership is under way")
	}
	return nil
}

func (n *Node) change(m wire.RaftMembership) (index, term uint64, err error) {
	b, err := EncodeMembership(m)
	if err != nil {
		return 0, 0, err
	}
	index, term = n.add(wire.EntryMembership, b)
	return index, term, nil
}

func (n *Node) voterNamed(name string) (wire.RaftMember, bool) {
	for _, m := range n.membership().Members {
		if m.Voter && m.Name == name {
			return m, true
		}
	}
	return wire.RaftMember{}, false
}

// alive reports whether the member answered within the election timeout.
func (n *Node) alive(now time.Duration, identity string) bool {
	if identity == n.c.Identity {
		return true
	}
	p := n.peers[identity]
	return p != nil && now < p.contact+n.c.ElectionTimeout
}

// silentVoterLimit is how long a voter must be silent before a caught-up learner
// of another name takes its place. It is longer than a restart or an election,
// and leaves a replaced VM time to catch up before a further loss counts.
const silentVoterLimit = 2 * time.Second

// silent reports whether the member has not answered for silentVoterLimit.
func (n *Node) silent(now time.Duration, identity string) bool {
	if identity == n.c.Identity {
		return false
	}
	p := n.peers[identity]
	return p == nil || now >= max(p.contact, n.leaderSince)+silentVoterLimit
}

// displaced returns the voter that makes room for the learner m: an earlier
// identity of its name, or where there are enough voters, the one that has been
// silent the longest. wait tells that m cannot become a voter now.
func (n *Node) displaced(now time.Duration, m wire.RaftMember) (old wire.RaftMember, found, wait bool) {
	if old, ok := n.voterNamed(m.Name); ok {
		return old, true, n.alive(now, old.Identity)
	}
	if n.c.Voters == 0 || n.voters() < n.c.Voters {
		return old, false, false
	}
	for _, o := range n.membership().Members {
		if o.Voter && n.silent(now, o.Identity) && (!found || n.lastContact(o) < n.lastContact(old)) {
			old, found = o, true
		}
	}
	return old, found, !found
}

func (n *Node) lastContact(m wire.RaftMember) time.Duration {
	if p := n.peers[m.Identity]; p != nil {
		return p.contact
	}
	return 0
}

// planMembership makes a learner that holds the whole state a voter. A voter of
// the same name, whose disk was lost, is removed first, in a change of its own:
// exchanging two voters at once could give majorities that do not overlap.
func (n *Node) planMembership(now time.Duration) {
	if n.role != Leader || n.checkChange() != nil || !n.leaseHeld(now) {
		return
	}
	for _, m := range n.membership().Members {
		if m.Voter || !n.alive(now, m.Identity) || n.peers[m.Identity].match < n.commit {
			continue
		}
		old, found, wait := n.displaced(now, m)
		if wait {
			continue
		}
		next := n.membership()
		next.Members = slices.Clone(next.Members)
		if found {
			next.Members = slices.DeleteFunc(next.Members, func(o wire.RaftMember) bool { return o.Identity == old.Identity })
		} else {
			i := slices.Index(next.Members, m)
			next.Members[i].Voter = true
		}
		_, _, _ = n.change(next) // encoding a membership that was decoded cannot fail
		return
	}
}

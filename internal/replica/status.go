package replica

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/raft"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Role is what this member does in its group.
type Role string

// Roles. A member is Forming until it belongs to a group.
const (
	Forming      Role = "Forming"
	LearnerRole  Role = "Learner"
	FollowerRole Role = "Follower"
	LeaderRole   Role = "Leader"
	Failed       Role = "Failed"
)

// Status is what this member knows of its group.
type Status struct {
	Role Role
	// Lineage is the random ID written at bootstrap; empty while Forming.
	Lineage  string
	Identity string
	// Leader is empty when no leader is known.
	Leader  Member
	Term    uint64
	Commit  uint64
	Applied uint64
	// SnapshotIndex is the index that the newest snapshot covers. FirstLog and
	// LogBytes tell what of the log is in memory.
	SnapshotIndex uint64
	FirstIndex    uint64
	LogBytes      int
	Members       []wire.RaftMember
	// Current tells that the member was confirmed with a majority within the
	// lease. A member that a silent partition cuts off stops being current.
	Current bool
	// Failure is why the role is Failed.
	Failure error
}

// published is a Status whose Current is decided when it is read.
type published struct {
	Status
	currentUntil time.Duration
}

// Status returns the state of the member. It never waits for the disk.
func (g *Group) Status() Status {
	p := g.status.Load()
	s := p.Status
	s.Current = g.now() < p.currentUntil
	return s
}

// Lineage returns the random ID of the group, or an empty string while the
// member does not belong to one.
func (g *Group) Lineage() string { return g.status.Load().Lineage }

func (g *Group) publish(e *engine, now time.Duration) {
	p := &published{Status: Status{
		Role: Forming, Identity: e.self.Identity, Lineage: e.self.Lineage,
		Applied: e.applied, Failure: e.failure,
	}}
	if e.node != nil {
		s := e.node.Status(now)
		p.Term, p.Commit, p.Members = s.Term, s.Commit, s.Members
		p.SnapshotIndex, p.FirstIndex, p.LogBytes = s.SnapshotIndex, s.FirstIndex, s.LogBytes
		p.Leader, _ = e.leader()
		p.Role = roleOf(s, e.self.Identity)
		p.currentUntil = s.CurrentUntil
	}
	if e.failure != nil {
		p.Role, p.currentUntil = Failed, 0
	}
	g.status.Store(p)
}

func roleOf(s raft.Status, identity string) Role {
	if s.Role == raft.Leader {
		return LeaderRole
	}
	for _, m := range s.Members {
		if m.Identity == identity && m.Voter {
			return FollowerRole
		}
	}
	return LearnerRole
}

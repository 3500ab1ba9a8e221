package replica

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/raft"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Role is the role of a member in its group.
type Role string

// Roles of a member. It is Forming until it belongs to a group, and Failed after an
// error has stopped it.
const (
	Forming      Role = "Forming"
	LearnerRole  Role = "Learner"
	FollowerRole Role = "Follower"
	LeaderRole   Role = "Leader"
	Failed       Role = "Failed"
)

// Status describes the state of the group as this member knows it.
type Status struct {
	Role Role
	// Lineage is the random ID that the group was given at bootstrap. It is empty
	// while the role is Forming.
	Lineage  string
	Identity string
	// Leader is empty if no leader is known.
	Leader  Member
	Term    uint64
	Commit  uint64
	Applied uint64
	// SnapshotIndex is the index of the last entry that the newest snapshot covers.
	// FirstIndex and LogBytes describe the part of the log in memory.
	SnapshotIndex uint64
	FirstIndex    uint64
	LogBytes      int
	Members       []wire.RaftMember
	// Current tells whether a majority confirmed the member within the lease. A
	// member that is cut off by a network partition stops being current.
	Current bool
	// Failure is the error that stopped the member, if the role is Failed.
	Failure error
}

// publishedStatus is a Status whose field Current is computed when it is read.
type publishedStatus struct {
	Status
	currentUntil time.Duration
}

// Status returns the status of the member. It never waits for the disk.
func (g *Group) Status() Status {
	p := g.status.Load()
	s := p.Status
	s.Current = g.now() < p.currentUntil
	return s
}

// Lineage returns the random ID of the group, or an empty string while the member
// belongs to no group.
func (g *Group) Lineage() string { return g.status.Load().Lineage }

func (g *Group) publish(e *engine, now time.Duration) {
	p := &publishedStatus{Status: Status{
		Role: Forming, Identity: e.self.Identity, Lineage: e.self.Lineage,
		Applied: e.applied, Failure: e.failure,
	}}
	detached := false
	if e.node != nil {
		s := e.node.Status(now)
		detached = s.Detached
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
	if detached && e.failure == nil {
		select {
		case g.detached <- struct{}{}:
		default:
		}
	}
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

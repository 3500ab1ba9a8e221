package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// These tests construct states that the randomized fault schedules of package
// replica rarely reach.

var voters = []wire.RaftMember{{Identity: "a", Voter: true}, {Identity: "b", Voter: true}, {Identity: "c", Voter: true}}

// newTestNode returns a member of a group of a, b and c. Its log holds the initial
// membership, followed by entries of the given terms.
func newTestNode(t *testing.T, id string, now time.Duration, term uint64, terms ...uint64) *Node {
	t.Helper()
	b, err := EncodeMembership(wire.RaftMembership{Members: voters})
	if err != nil {
		t.Fatal(err)
	}
	es := []wire.RaftEntry{{Index: 1, Term: 1, Kind: wire.EntryMembership, Data: b}}
	for i, k := range terms {
		es = append(es, wire.RaftEntry{Index: uint64(i + 2), Term: k, Kind: wire.EntryCommand})
	}
	return New(Config{
		Identity: id, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		BatchBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}, InitialState{HardState: HardState{Term: term}, Entries: es, Committed: 1, Restarted: true}, now)
}

// drainReady handles Ready as a driver does and returns the messages to send.
func drainReady(n *Node, now time.Duration) []wire.RaftMessage {
	var ms []wire.RaftMessage
	for n.HasReady() {
		r := n.Ready(now)
		n.Saved(r)
		ms = append(append(ms, r.PreSyncMessages...), r.Messages...)
	}
	return ms
}

// elect makes n, which must be member a, the leader of the next term with the vote
// of b.
func elect(t *testing.T, n *Node) time.Duration {
	t.Helper()
	now := n.Deadline()
	n.Tick(now)
	for _, k := range []wire.RaftMessageType{wire.RaftPreVoteResponse, wire.RaftVoteResponse} {
		m := drainReady(n, now)[0]
		n.Step(now, wire.RaftMessage{Type: k, From: "b", To: "a", Term: m.Term, Echo: m.Sent})
	}
	drainReady(n, now)
	if n.role != Leader {
		t.Fatalf("role %s, want Leader", n.role)
	}
	return now
}

func ackFromB(n *Node, now time.Duration, index uint64) {
	n.Step(now, wire.RaftMessage{Type: wire.RaftAppendResponse, From: "b", To: "a", Term: n.hardState.Term, Index: index, Echo: int64(now)})
	drainReady(n, now)
}

// A member must not vote while a leader may hold a lease from it, even if it
// restarted in between. Otherwise two leaders could count as current.
func TestNoVoteDuringLease(t *testing.T) {
	vote := wire.RaftMessage{Type: wire.RaftVote, From: "c", To: "b", Term: 3, Index: 9, LogTerm: 2}
	granted := func(n *Node, now time.Duration) bool {
		n.Step(now, vote)
		ms := drainReady(n, now)
		return len(ms) == 1 && !ms[0].Reject
	}
	live := newTestNode(t, "b", 0, 2)
	live.Step(5*time.Second, wire.RaftMessage{Type: wire.RaftAppend, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1})
	drainReady(live, 5*time.Second)
	for name, n := range map[string]*Node{"live": live, "restarted": newTestNode(t, "b", 5*time.Second, 2)} {
		if granted(n, 5900*time.Millisecond) {
			t.Errorf("%s member voted 900 ms after a possible message from the leader", name)
		}
		if !granted(n, 6100*time.Millisecond) {
			t.Errorf("%s member did not vote after the election timeout", name)
		}
	}
}

// An entry of an earlier term may still be replaced by another leader although a
// majority holds it, until an entry of the leader's own term is committed.
func TestEarlierTermNotCommittedByCounting(t *testing.T) {
	n := newTestNode(t, "a", 0, 3, 2)
	now := elect(t, n)
	for _, c := range []struct{ acked, want uint64 }{{2, 1}, {3, 3}} {
		if ackFromB(n, now, c.acked); n.commit != c.want {
			t.Errorf("commit %d after an answer for %d, want %d", n.commit, c.acked, c.want)
		}
	}
}

// Two overlapping membership changes, or one by a leader that has committed nothing
// in its term, can lead to majorities that do not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	n := newTestNode(t, "a", 0, 3)
	now := elect(t, n)
	add := func(id string) errkind.Kind {
		_, _, err := n.AddLearner(now, wire.RaftMember{Identity: id, Name: id})
		return errkind.Of(err)
	}
	got := []errkind.Kind{add("d")}
	ackFromB(n, now, 2)
	got = append(got, add("d"), add("e"))
	drainReady(n, now)
	ackFromB(n, now, 3)
	got = append(got, add("e"))
	for i, want := range []errkind.Kind{errkind.NotReady, "", errkind.NotReady, ""} {
		if got[i] != want {
			t.Errorf("change %d: got kind %q, want %q", i, got[i], want)
		}
	}
}

// A snapshot replaces entries that were not written yet. The member must not
// confirm those entries afterwards.
func TestSnapshotDropsUnwrittenEntries(t *testing.T) {
	n := newTestNode(t, "b", 0, 2)
	appended := wire.RaftMessage{
		Type: wire.RaftAppend, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1,
		Entries: []wire.RaftEntry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
	}
	n.Step(0, appended)
	n.Step(0, wire.RaftMessage{
		Type: wire.RaftSnapshot, From: "c", To: "b", Term: 3, Index: 10, LogTerm: 3,
		Membership: &wire.RaftMembership{Members: voters}, Sum: 0xef46db3751d8e999, // xxhash of empty data
	})
	appended.Term, appended.From = 4, "a"
	n.Step(0, appended)
	r := n.Ready(0)
	if r.Snapshot == nil || len(r.Entries) > 0 || len(r.Messages) != 1 || r.Messages[0].Index != 10 {
		t.Errorf("got snapshot %v, %d entries and messages %v", r.Snapshot, len(r.Entries), r.Messages)
	}
}

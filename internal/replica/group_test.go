package replica_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// A single control must not wait for election timeouts, which would delay every
// start.
func TestGroupOfOneIsReadyAtOnce(t *testing.T) {
	run(t, 1, func(t *testing.T, c *cluster) {
		start := time.Now()
		c.start("a")
		equal(t, "result", c.propose("x").(int), 1)
		if d := time.Since(start); d > 100*time.Millisecond {
			t.Errorf("ready after %s, want at most 100ms", d)
		}
	})
}

// Hundreds of entries must survive a restart of a single member, and of all members
// at once.
func TestRestartKeepsEntries(t *testing.T) {
	for _, n := range []int{1, 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			run(t, n, func(t *testing.T, c *cluster) {
				names := []string{"a", "b", "c"}[:n]
				c.start(names...)
				var want []string
				for i := range 500 {
					want = append(want, fmt.Sprint("x", i))
					c.propose(want[i])
				}
				lineage := c.leader().Lineage()
				c.stop(names...)
				c.start(names...)
				equal(t, "lineage", c.leader().Lineage(), lineage)
				for _, name := range names {
					if err := c.group(name).ReadBarrier(t.Context()); err != nil {
						t.Fatal(err)
					}
					if got := c.machines[name].list(); !slices.Equal(got, want) {
						t.Errorf("%s: got %d commands, want %d", name, len(got), len(want))
					}
				}
			})
		})
	}
}

// A leader that applies a long log after a restart must keep sending heartbeats.
// Otherwise it is replaced by the next leader, which has the same log to apply, and
// no member serves requests until each has applied its log in turn.
func TestSlowApplyKeepsTheLeader(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		names := []string{"a", "b", "c"}
		c.start(names...)
		const entries, takes = 60, 40 * time.Millisecond
		for i := range entries {
			c.propose(fmt.Sprint("x", i))
		}
		term := c.leader().Status().Term
		c.stop(names...)
		c.applyDelay = takes
		c.start(names...)
		start := time.Now()
		if err := c.leader().ReadBarrier(t.Context()); err != nil {
			t.Fatal(err)
		}
		equal(t, "elections", c.leader().Status().Term-term, 1)
		if got, most := time.Since(start), entries*takes+2*replica.DefaultElectionTimeout; got > most {
			t.Errorf("state served after %s, want at most %s", got, most)
		}
	})
}

// A follower must not accept commands, or its log would diverge from the leader's.
// Its error must name the leader, so that the caller knows where to send the command.
func TestProposeOnFollowerNamesTheLeader(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		c.start("a", "b", "c")
		l := c.leader().Status().Leader
		time.Sleep(time.Second)
		for _, m := range c.members {
			if m == l {
				continue
			}
			_, err := c.group(m.Name).Propose(t.Context(), []byte("x"))
			e := errkind.From(err)
			equal(t, "kind", e.Kind, errkind.NotLeader)
			equal(t, "execution", e.Execution, errkind.NotRun)
			equal(t, "leader", c.group(m.Name).Status().Leader, l)
			equal(t, "current", c.group(m.Name).Status().Current, true)
		}
	})
}

// A bootstrap must wait for all members. Otherwise it could create a second group
// beside one whose members are only unreachable.
func TestBootstrapWaitsForAllMembers(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		c.start("a", "b")
		time.Sleep(time.Minute)
		for _, name := range []string{"a", "b"} {
			equal(t, name, c.group(name).Status().Role, replica.Forming)
		}
		c.start("c")
		c.propose("x")
		want := c.leader().Lineage()
		for _, m := range c.members {
			equal(t, m.Name, c.group(m.Name).Lineage(), want)
		}
	})
}

// A member that lost its disk must not vote again under its old identity, and must
// become a voter again without intervention.
func TestMemberRejoinsAfterDiskLoss(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		c.start("a", "b", "c")
		for i := range 10 {
			c.propose(fmt.Sprint("x", i))
		}
		old := c.group("c").Status().Identity
		c.stop("c")
		if err := os.RemoveAll(filepath.Join(c.folder, "c")); err != nil {
			t.Fatal(err)
		}
		c.start("c")
		time.Sleep(10 * time.Second)
		s := c.leader().Status()
		equal(t, "members", len(s.Members), 3)
		for _, m := range s.Members {
			equal(t, m.Name+" votes", m.Voter, true)
			equal(t, "old identity kept", m.Identity == old, false)
		}
		if err := c.group("c").ReadBarrier(t.Context()); err != nil {
			t.Fatal(err)
		}
		equal(t, "commands", len(c.machines["c"].list()), 10)
	})
}

// A partitioned leader must stop counting as current, or it would keep answering
// requests.
func TestPartitionedLeaderIsNotCurrent(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		c.start("a", "b", "c")
		c.propose("x")
		l := c.leader()
		name := l.Status().Leader.Name
		c.mu.Lock()
		c.isolated[name] = true
		c.mu.Unlock()
		time.Sleep(replica.DefaultElectionTimeout)
		synctest.Wait()
		equal(t, "current", l.Status().Current, false)
		_, err := l.Propose(t.Context(), []byte("y"))
		equal(t, "execution", errkind.From(err).Execution, errkind.NotRun)
		c.propose("z")
	})
}

// Guards against a command that a leader decided in an earlier term and appends in a later
// one, after it was suspended.
func TestProposeInAnotherTerm(t *testing.T) {
	run(t, 1, func(t *testing.T, c *cluster) {
		c.start("a")
		c.stop("a") // the restart begins another term
		c.start("a")
		c.propose("x")
		g := c.leader()
		term := g.Status().Term
		if _, err := g.ProposeIn(t.Context(), term, []byte("y")); err != nil {
			t.Errorf("in the present term: %v", err)
		}
		if term < 2 {
			t.Fatalf("got term %d, want an earlier one", term)
		}
		_, err := g.ProposeIn(t.Context(), term-1, []byte("z"))
		equal(t, "in an earlier term", errkind.Of(err), errkind.NotLeader)
		_, err = g.ProposeIn(t.Context(), term+1, []byte("z"))
		equal(t, "in a later term", errkind.Of(err), errkind.NotLeader)
	})
}

package replica_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// The log must be compacted, or it fills memory and disk. A member that starts from
// a snapshot must not lose what the snapshot covers.
func TestLogStaysBounded(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		c.configure = func(r *replica.Config) { r.SnapshotEntries, r.SnapshotBytes = 64, 1<<19 }
		names := []string{"a", "b", "c"}
		c.start(names...)
		var want []string
		for i := range 300 {
			want = append(want, fmt.Sprint(i, strings.Repeat("x", 10_000)))
			c.propose(want[i])
			for _, name := range names {
				if s := c.group(name).Status(); s.LogBytes > 3<<19 {
					t.Fatalf("%s holds %d bytes of the log after %d commands", name, s.LogBytes, i)
				}
			}
		}
		time.Sleep(time.Second)
		c.stop(names...)
		for _, name := range names {
			logs, _ := filepath.Glob(filepath.Join(c.folder, name, "*.log"))
			snapshots, _ := filepath.Glob(filepath.Join(c.folder, name, "*.snapshot"))
			if len(logs) > 3 || len(snapshots) != 1 {
				t.Errorf("%s: %d segments and %d snapshots, want at most 3 and 1", name, len(logs), len(snapshots))
			}
		}
		c.start(names...)
		c.leader()
		for _, name := range names {
			if s := c.group(name).Status(); s.SnapshotIndex < 200 {
				t.Errorf("%s: snapshot of %d, want at least 200", name, s.SnapshotIndex)
			}
			c.checkCommands(name, want)
		}
	})
}

// A member whose missing entries were compacted on all other members must still
// catch up, also with a new disk. Chunks larger than the message limit of a stream
// would never arrive.
func TestMemberFarBehindGetsSnapshot(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("disk lost ", lost), func(t *testing.T) {
			run(t, 3, func(t *testing.T, c *cluster) {
				c.configure = func(r *replica.Config) { r.SnapshotEntries = 32 }
				c.start("a", "b", "c")
				want := []string{"first"}
				c.propose(want[0])
				c.stop("c")
				if lost {
					if err := os.RemoveAll(filepath.Join(c.folder, "c")); err != nil {
						t.Fatal(err)
					}
				}
				for i := range 100 {
					want = append(want, fmt.Sprint(i, strings.Repeat("y", 40_000)))
					c.propose(want[len(want)-1])
				}
				c.start("c")
				time.Sleep(5 * time.Second)
				for i := range 10 { // entries after the snapshot
					want = append(want, fmt.Sprint("z", i))
					c.propose(want[len(want)-1])
				}
				c.checkCommands("c", want)
				equal(t, "restored", c.machines["c"].restored, 1)
				equal(t, "role", c.group("c").Status().Role != replica.LearnerRole, true)
				if c.chunks < 4 {
					t.Errorf("%d chunks, want at least 4 for 4 MB", c.chunks)
				}
				if c.largest >= wire.MaxMessageBytes || c.largest > 1<<20+4096 {
					t.Errorf("message of %d bytes", c.largest)
				}
			})
		})
	}
}

// slowFS is a file system that syncs snapshots slowly.
type slowFS struct{ wal.OS }

type slowFile struct{ wal.File }

func (f slowFile) Sync() error {
	time.Sleep(30 * time.Second)
	return f.File.Sync()
}

func (o slowFS) Open(name string) (wal.File, error) {
	f, err := o.OS.Open(name)
	if err == nil && strings.Contains(name, ".snapshot") {
		f = slowFile{f}
	}
	return f, err
}

// The group must not wait for the disk while it writes a snapshot, or it would
// refuse commands and lose its leader.
func TestSnapshotDoesNotStallTheGroup(t *testing.T) {
	run(t, 3, func(t *testing.T, c *cluster) {
		c.configure = func(r *replica.Config) { r.SnapshotEntries, r.FS = 10, slowFS{} }
		c.start("a", "b", "c")
		c.propose("first")
		l := c.leader()
		for i := range 50 {
			start := time.Now()
			if _, err := l.Propose(t.Context(), []byte(fmt.Sprint("x", i))); err != nil {
				t.Fatal(err)
			}
			if d := time.Since(start); d > time.Second {
				t.Fatalf("command %d took %s", i, d)
			}
		}
		equal(t, "snapshot", l.Status().SnapshotIndex, 0)
		time.Sleep(time.Minute)
		equal(t, "snapshot taken", l.Status().SnapshotIndex > 0, true)
	})
}

// checkCommands checks the commands that a member has applied.
func (c *cluster) checkCommands(name string, want []string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	if err := c.group(name).ReadBarrier(ctx); err != nil {
		c.t.Fatal(name, err)
	}
	if got := c.machines[name].list(); !slices.Equal(got, want) {
		c.t.Errorf("%s: got %d commands, want %d", name, len(got), len(want))
	}
}

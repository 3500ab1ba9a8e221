package replica_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	benchCommand = 256  // bytes
	benchState   = 4096 // commands held by the state, 1 MiB in total
)

// ringMachine is a state machine with a state of bounded size.
type ringMachine struct {
	commands []byte
	next     int
}

func (r *ringMachine) Apply(_ uint64, command []byte) any {
	if r.commands == nil {
		r.commands = make([]byte, benchState*benchCommand)
	}
	copy(r.commands[r.next%benchState*benchCommand:], command)
	r.next++
	return nil
}

func (r *ringMachine) Snapshot() ([]byte, error) { return slices.Clone(r.commands), nil }
func (r *ringMachine) Restore(b []byte) error    { r.commands = slices.Clone(b); return nil }

// pipeTransport sends encoded messages over net.Pipe. It implements
// replica.Transport for one member.
type pipeTransport struct {
	queues map[string]chan wire.RaftMessage
}

func (p *pipeTransport) Send(to string, m wire.RaftMessage) {
	select {
	case p.queues[to] <- m:
	default:
	}
}

func (p *pipeTransport) connect(ctx context.Context, name string, to *replica.Group) {
	q := make(chan wire.RaftMessage, 1024)
	p.queues[name] = q
	a, b := net.Pipe()
	context.AfterFunc(ctx, func() { a.Close(); b.Close() })
	go func() {
		for m := range q {
			e, err := wire.Marshal(&m)
			if err == nil {
				_, err = a.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(e))), e...))
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		var n [4]byte
		for {
			if _, err := io.ReadFull(b, n[:]); err != nil {
				return
			}
			e := make([]byte, binary.BigEndian.Uint32(n[:]))
			if _, err := io.ReadFull(b, e); err != nil {
				return
			}
			var m wire.RaftMessage
			if err := wire.Unmarshal(e, &m); err == nil {
				to.Step(m)
			}
		}
	}()
}

// directPeers calls the other members in the same process.
type directPeers struct{ groups map[string]*replica.Group }

func (d directPeers) Probe(ctx context.Context, name string, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return d.groups[name].Probe(ctx, r)
}

func (d directPeers) Bootstrap(ctx context.Context, name string, r *wire.BootstrapRequest) (*wire.Empty, error) {
	return d.groups[name].Bootstrap(ctx, r)
}

func (d directPeers) Join(ctx context.Context, name string, r *wire.JoinRequest) (*wire.JoinResponse, error) {
	return d.groups[name].Join(ctx, r)
}

func openSingle(b *testing.B, folder string, snapshotEntries int) *replica.Group {
	b.Helper()
	g, err := replica.New(replica.Config{
		Group: "g", Name: "a", Members: []replica.Member{{Name: "a"}}, Folder: folder, Log: logr.Discard(),
		SnapshotEntries: snapshotEntries, SnapshotBytes: 1 << 30,
	}, &ringMachine{}, nil)
	if err != nil {
		b.Fatal(err)
	}
	for g.Lineage() == "" { // until the bootstrap is done
		time.Sleep(time.Millisecond)
	}
	if err := g.ReadBarrier(b.Context()); err != nil {
		b.Fatal(err)
	}
	return g
}

// openCluster starts three members and returns their leader.
func openCluster(b *testing.B) *replica.Group {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d, folder, names := directPeers{map[string]*replica.Group{}}, b.TempDir(), []string{"a", "b", "c"}
	ts, ready := map[string]*pipeTransport{}, make(chan struct{})
	var members []replica.Member
	for _, name := range names {
		members = append(members, replica.Member{Name: name})
		ts[name] = &pipeTransport{queues: map[string]chan wire.RaftMessage{}}
	}
	for _, name := range names {
		g, err := replica.New(replica.Config{
			Group: "g", Name: name, Members: members, Folder: filepath.Join(folder, name), Log: logr.Discard(),
			Peers: gatedPeers{d, ready},
		}, &ringMachine{}, ts[name])
		if err != nil {
			b.Fatal(err)
		}
		d.groups[name] = g
	}
	for _, from := range names {
		for _, to := range names {
			ts[from].connect(ctx, to, d.groups[to])
		}
	}
	close(ready)
	b.Cleanup(func() {
		for _, g := range d.groups {
			g.Close()
		}
		cancel()
	})
	for {
		for _, g := range d.groups {
			if s := g.Status(); s.Role == replica.LeaderRole && s.Current {
				return g
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// gatedPeers delays probes until all members are connected.
type gatedPeers struct {
	directPeers
	ready chan struct{}
}

func (g gatedPeers) Probe(ctx context.Context, name string, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	<-g.ready
	return g.directPeers.Probe(ctx, name, r)
}

// propose runs n commands with several concurrent proposers and returns the sorted
// latencies.
func propose(b *testing.B, g *replica.Group, proposers, n int) []time.Duration {
	b.Helper()
	var w sync.WaitGroup
	var next atomic.Int64
	took := make([]time.Duration, n)
	for range proposers {
		w.Go(func() {
			command := make([]byte, benchCommand)
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				start := time.Now()
				if _, err := g.Propose(b.Context(), command); err != nil {
					b.Error(err)
					return
				}
				took[i-1] = time.Since(start)
			}
		})
	}
	w.Wait()
	slices.Sort(took)
	return took
}

// BenchmarkPropose measures the latency and throughput of commands with real syncs.
func BenchmarkPropose(b *testing.B) {
	for _, members := range []int{1, 3} {
		for _, proposers := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("members=%d/proposers=%d", members, proposers), func(b *testing.B) {
				var g *replica.Group
				if members == 1 {
					g = openSingle(b, b.TempDir(), 0)
					defer g.Close()
				} else {
					g = openCluster(b)
				}
				b.ResetTimer()
				start := time.Now()
				took := propose(b, g, proposers, b.N)
				b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "commands/s")
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
			})
		}
	}
}

// BenchmarkRecovery measures the time from the start of a single member until it
// answers a read.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 100_000} {
		for name, snapshotEntries := range map[string]int{"none": 1 << 30, "each 4096": 4096} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%s", entries, name), func(b *testing.B) {
				folder := b.TempDir()
				g := openSingle(b, folder, snapshotEntries)
				propose(b, g, 256, entries)
				time.Sleep(100 * time.Millisecond) // a snapshot may be in progress
				g.Close()
				for b.Loop() {
					openSingle(b, folder, snapshotEntries).Close()
				}
			})
		}
	}
}

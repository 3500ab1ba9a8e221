package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// expireInterval is how often leases are checked. It is short compared with a lease.
const expireInterval = time.Second

// fleetConfig configures a fleet.
type fleetConfig struct {
	Control   string
	Directory *directory
	Source    configSource
	Names     nameStore
	Pool      *wire.Pool
	Log       logr.Logger
}

// fleet manages the nodes of the system: the registry of all nodes, the streams of
// connected nodes, the synchronization with the other controls, and the names of known
// nodes.
type fleet struct {
	registry     *registry.Registry
	streams      *Streams
	registrySync *registrySync
	nodeNames    *nodeNames
	source       configSource
	// directory lists the controls.
	directory *directory
}

func newFleet(c fleetConfig) *fleet {
	f := &fleet{registry: registry.New(), source: c.Source, directory: c.Directory}
	f.streams = newStreams(c.Control, c.Source, f.registry, c.Log)
	f.streams.controls = c.Directory.addresses
	f.registrySync = newRegistrySync(c.Control, c.Directory, c.Source, c.Pool, f.streams, c.Log)
	f.streams.synced, f.streams.authoritative = f.registrySync.synced, f.registrySync.authoritative
	f.nodeNames = &nodeNames{store: c.Names, connected: f.streams.connected, log: c.Log, pending: map[string]nameChange{}}
	f.nodeNames.alive = func(node string) bool {
		r, ok := f.registry.Record(node)
		return ok && !r.Gone
	}
	f.streams.onConnect, f.streams.onLeave = f.nodeNames.remember, f.nodeNames.forget
	return f
}

func (f *fleet) register(m *wire.Mux) {
	m.HandleStream(wire.MethodSubscribe, f.streams.Subscribe)
	wire.HandleUnary(m, wire.MethodRegistrySync, f.registrySync.handleSync)
	wire.HandleUnary(m, wire.MethodControlState, func(context.Context, *wire.Empty) (*wire.ControlState, error) {
		leader, _ := f.directory.address(f.source.Leader()) // empty if unknown
		return &wire.ControlState{
			Lineage: f.source.Lineage(), Committed: f.source.Current().Version(), Current: f.source.IsCurrent(), Leader: leader,
		}, nil
	})
}

// updateMembership updates the directory from the config group and starts the
// synchronization with new controls.
func (f *fleet) updateMembership(ctx context.Context, g *sync.WaitGroup) {
	f.directory.updateMembers(f.source.Members())
	for _, p := range f.registrySync.updatePeers(ctx) {
		g.Go(func() { f.registrySync.run(p.ctx, p) })
	}
}

// run distributes endpoint changes to nodes and controls and expires leases until ctx is
// done.
func (f *fleet) run(ctx context.Context) {
	var g sync.WaitGroup
	defer g.Wait()
	f.updateMembership(ctx, &g)
	g.Go(func() { f.nodeNames.run(ctx) })
	var expired time.Time
	t := time.NewTicker(batchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f.updateMembership(ctx, &g)
			f.registrySync.queueRecords(f.streams.Flush())
			f.registrySync.observeMajority(now, f.source.IsCurrent())
			if now.Sub(expired) >= expireInterval {
				expired = now
				f.streams.Expire(now)
				f.registrySync.expireNodes(now)
			}
		}
	}
}

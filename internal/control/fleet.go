package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// fleetConfig holds what a fleet needs.
type fleetConfig struct {
	Control string
	Members []settings.Member
	Source  configSource
	Pool    *wire.Pool
	Log     logr.Logger
	// Seen is called for each node that connects; it may be nil.
	Seen func(node, zone string)
}

// fleet is what a control knows of nodes and does for them: the registry, the
// streams of connected nodes and the exchange with the other controls.
type fleet struct {
	registry *registry.Registry
	streams  *Streams
	exchange *exchange
	source   configSource
}

func newFleet(c fleetConfig) *fleet {
	f := &fleet{registry: registry.New(), source: c.Source}
	f.streams = newStreams(c.Control, c.Source, f.registry, c.Log)
	if c.Seen != nil {
		f.streams.seen = c.Seen
	}
	f.exchange = newExchange(c.Control, c.Members, c.Pool, f.streams, c.Log)
	f.streams.settled = func() bool { return f.exchange.settled(time.Now()) }
	return f
}

func (f *fleet) register(m *wire.Mux) {
	m.HandleStream(wire.MethodSubscribe, f.streams.Subscribe)
	wire.HandleUnary(m, wire.MethodRegistrySync, f.exchange.receive)
	wire.HandleUnary(m, wire.MethodControlState, func(context.Context, *wire.Empty) (*wire.ControlState, error) {
		return &wire.ControlState{
			Lineage: f.source.Lineage(), Committed: f.source.Current().Version(), Current: f.source.IsCurrent(),
		}, nil
	})
}

// run spreads endpoint changes to nodes and controls and ends leases until ctx
// ends.
func (f *fleet) run(ctx context.Context) {
	var g sync.WaitGroup
	defer g.Wait()
	for _, m := range f.exchange.others {
		g.Go(func() { f.exchange.run(ctx, m) })
	}
	t := time.NewTicker(batchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f.exchange.push(f.streams.Flush())
			f.streams.Expire(now)
			if f.source.IsCurrent() {
				f.exchange.expire(now)
			}
		}
	}
}

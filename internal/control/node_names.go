package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
)

const (
	// namesInterval collects changed node names into one entry of the log.
	namesFlushInterval = 500 * time.Millisecond
	// namesBatch bounds the names in one entry of the log.
	maxNamesPerEntry = 1000
	// namesRepair is how often the names of connected nodes are checked. A node
	// that left and came back at another control, or that an operator removed
	// while it connected, can be forgotten late; one that came with more than
	// namesBatch others is not stored at first.
	namesRepairInterval = 5 * time.Second
	// namesFlushTimeout bounds the last proposal of a control that stops.
	namesFlushTimeout = time.Second
)

// nameStore is the part of the config group that keeps node names.
type nameStore interface {
	HasNode(name, zone string) bool
	propose(ctx context.Context, command []byte) (versions.Result, error)
}

// names writes the names of new nodes to the config group, so that status lists
// them even after all controls restarted, and removes those of nodes that left
// as planned.
type nodeNames struct {
	store nameStore
	// connected returns the nodes that are connected, with their zones.
	connected func() map[string]string
	// alive reports whether a node is anywhere in the fleet.
	alive func(node string) bool
	log   logr.Logger

	mu      sync.Mutex
	pending map[string]nameChange
}

type nameChange struct {
	zone   string
	forget bool
}

func (n *nodeNames) remember(node, zone string) { n.change(node, nameChange{zone: zone}) }

func (n *nodeNames) forget(node string) { n.change(node, nameChange{forget: true}) }

func (n *nodeNames) change(node string, c nameChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.pending) < maxNamesPerEntry {
		n.pending[node] = c
	}
}

// run proposes changes until ctx ends.
func (n *nodeNames) run(ctx context.Context) {
	t := time.NewTicker(namesFlushInterval)
	defer t.Stop()
	repaired := time.Now()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), namesFlushTimeout)
			defer cancel()
			n.flush(last)
			return
		case now := <-t.C:
			if now.Sub(repaired) >= namesRepairInterval {
				repaired = now
				n.rememberMissing()
			}
			n.flush(ctx)
		}
	}
}

// recall adds the connected nodes whose names are not stored.
func (n *nodeNames) rememberMissing() {
	for k, z := range n.connected() {
		if !n.store.HasNode(k, z) {
			n.remember(k, z)
		}
	}
}

// flush proposes what is pending. What fails is tried again, unless the node
// has changed once more.
func (n *nodeNames) flush(ctx context.Context) {
	n.mu.Lock()
	l := n.pending
	n.pending = map[string]nameChange{}
	n.mu.Unlock()
	q := versions.RememberNodes{Time: time.Now()}
	var f versions.ForgetNodes
	for k, c := range l {
		switch {
		case c.forget && !n.alive(k):
			f.Names = append(f.Names, k)
		case !c.forget && !n.store.HasNode(k, c.zone):
			q.Nodes = append(q.Nodes, versions.Node{Name: k, AvailabilityZone: c.zone})
		default:
			delete(l, k)
		}
	}
	err := n.propose(ctx, len(f.Names), f.Encode)
	if e := n.propose(ctx, len(q.Nodes), q.Encode); e != nil {
		err = e
	}
	if err == nil {
		return
	}
	n.log.Info("node names not stored; trying again", "nodes", len(l), "cause", err.Error())
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, c := range l {
		if _, ok := n.pending[k]; !ok {
			n.pending[k] = c
		}
	}
}

func (n *nodeNames) propose(ctx context.Context, count int, encode func() ([]byte, error)) error {
	if count == 0 {
		return nil
	}
	b, err := encode()
	if err == nil {
		_, err = n.store.propose(ctx, b)
	}
	return err
}

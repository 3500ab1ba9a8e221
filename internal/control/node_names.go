package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
)

const (
	// namesFlushInterval is how long changed node names are collected into one log entry.
	namesFlushInterval = 500 * time.Millisecond
	// maxNamesPerEntry is the maximum number of names that wait for the next log entry.
	maxNamesPerEntry = 1000
	// namesRepairInterval is how often the names of connected nodes are checked. The name
	// of a connected node can be missing: a late command may have removed it after the
	// node left and reconnected to another control, or after an operator removed the
	// name while the node connected. A name is also missing if more than maxNamesPerEntry
	// nodes connected at once.
	namesRepairInterval = 5 * time.Second
	// namesFlushTimeout limits the last proposal of a control that is stopping.
	namesFlushTimeout = time.Second
)

// nameStore is the part of the config group that stores node names.
type nameStore interface {
	HasNode(name, zone string) bool
	propose(ctx context.Context, command []byte) (versions.Result, error)
}

// nodeNames stores the names of new nodes in the config group, so that status lists them
// even after a restart of all controls. It removes the names of nodes that left as
// planned.
type nodeNames struct {
	store nameStore
	// connected returns the nodes that are connected, with their zones.
	connected func() map[string]string
	// alive reports whether the registry lists a node as present.
	alive func(node string) bool
	log   logr.Logger

	mu      sync.Mutex
	pending map[string]nameChange
}

// nameChange is a name to store, or with forget, one to remove.
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

// run proposes changes until ctx is done. It then proposes the remaining ones.
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

// rememberMissing queues the names of connected nodes that are not stored.
func (n *nodeNames) rememberMissing() {
	for k, z := range n.connected() {
		if !n.store.HasNode(k, z) {
			n.remember(k, z)
		}
	}
}

// flush proposes the pending changes. Changes that fail are queued again, unless a newer
// change of the same node is pending.
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

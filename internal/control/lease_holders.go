package control

import (
	"context"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
)

const (
	// holdersInterval is how often the replicated set of lease holders is brought up to
	// date. A new node gets its first share that much later.
	holdersInterval = 250 * time.Millisecond
	holdersTimeout  = time.Second
	// holderSilence is how long a lease holder is silent before it is removed.
	holderSilence = quota.GrantorLease + time.Second
)

// leaseHolders is the leader's view of the replicated set of nodes that may hold leases of
// account limits. After a restart of all controls, only these nodes are waited for, and not
// all that were ever known: many of them may have been replaced since.
type leaseHolders struct {
	// set is the replicated set as far as this leader has changed it, removing the members
	// whose removal may be in the log.
	set, removing map[string]bool
	// lastReport is when each node last reported.
	lastReport map[string]time.Duration
}

func newLeaseHolders(names []string) *leaseHolders {
	h := &leaseHolders{set: map[string]bool{}, removing: map[string]bool{}, lastReport: map[string]time.Duration{}}
	for _, n := range names {
		h.set[n] = true
	}
	return h
}

// reported records that a node reported its shares.
func (h *leaseHolders) reported(now time.Duration, node string) { h.lastReport[node] = now }

// left records that a node gave up its shares and will use none. An older report that
// arrives later only adds it again.
func (h *leaseHolders) left(node string) { delete(h.lastReport, node) }

// mayHold reports whether shares may be granted to a node.
func (h *leaseHolders) mayHold(node string) bool { return h.set[node] && !h.removing[node] }

// change returns what has to change in the replicated set. What it removes gets no shares
// from then on. Nothing is removed while leases may be unknown.
func (h *leaseHolders) change(now time.Duration, complete bool) versions.LeaseHolders {
	var c versions.LeaseHolders
	for n, at := range h.lastReport {
		if now-at < quota.GrantorLease && !h.mayHold(n) {
			c.Add = append(c.Add, n)
		}
		if now-at >= holderSilence {
			delete(h.lastReport, n)
		}
	}
	for n := range h.set { // in any order: the command is applied as a set
		if _, alive := h.lastReport[n]; !alive && complete {
			h.removing[n] = true
			c.Remove = append(c.Remove, n)
		}
	}
	return c
}

// changed records that c was applied. A removal that may be in the log as well comes
// before it there.
func (h *leaseHolders) changed(c versions.LeaseHolders) {
	for _, n := range c.Add {
		h.set[n] = true
		delete(h.removing, n)
	}
	for _, n := range c.Remove {
		delete(h.set, n)
		delete(h.removing, n)
	}
}

// run keeps the replicated set of lease holders up to date while this control leads, until
// ctx is done.
func (g *grantor) run(ctx context.Context) {
	t := time.NewTicker(holdersInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.updateHolders(ctx)
		}
	}
}

// updateHolders proposes one change of the lease holders. After a failure, the next call
// proposes it again.
func (g *grantor) updateHolders(ctx context.Context) {
	term, leads := g.source.leadership()
	g.mu.Lock()
	h := g.holders
	var c versions.LeaseHolders
	if leads && term == g.ledger.Epoch() {
		c = h.change(g.clock(), g.ledger.Complete())
	}
	g.mu.Unlock()
	if len(c.Add)+len(c.Remove) == 0 {
		return
	}
	b, err := c.Encode()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, holdersTimeout)
		defer cancel()
		err = g.source.proposeAsLeader(ctx, term, b)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		h.changed(c)
	}
	g.log.Info("lease holders", "added", len(c.Add), "removed", len(c.Remove), "accepted", err == nil, "reason", errorText(err))
}

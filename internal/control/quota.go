package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// quotaSource is the part of the config group that a grantor uses.
type quotaSource interface {
	Current() *versions.View
	LeaseHolders() []string
	ReadBarrier(ctx context.Context) error
	// leadership returns the term of the group, and whether this control leads it.
	leadership() (term uint64, leads bool)
	// proposeAsLeader appends a command to the log of this control only if it leads in term.
	proposeAsLeader(ctx context.Context, term uint64, command []byte) error
}

// leadership implements quotaSource.
func (c *configStore) leadership() (uint64, bool) {
	s := c.group.Status()
	return s.Term, s.Role == replica.LeaderRole
}

// proposeAsLeader implements quotaSource. Unlike propose, it never forwards the command: a
// change of the lease holders that reached a later leader could contradict its grants. The
// same holds for a later term of this control.
func (c *configStore) proposeAsLeader(ctx context.Context, term uint64, command []byte) error {
	v, err := c.group.ProposeIn(ctx, term, command)
	if err != nil {
		return err
	}
	_, err = v.(versions.Result).Outcome()
	return err
}

// grantor grants the shares of account limits to nodes while this control leads the config
// group. Its state is in memory: after a change of the leader, nodes report their shares.
type grantor struct {
	source  quotaSource
	barrier *sharedBarrier
	clock   func() time.Duration
	log     logr.Logger
	metrics metrics.Registry

	mu        sync.Mutex
	tolerance quota.Tolerance
	ledger    *quota.Ledger
	version   uint64
	limited   bool // some account has a limit
	holders   *leaseHolders
	// reported says that the completion of the takeover, which began at takeoverAt, was
	// logged.
	reported   bool
	takeoverAt time.Duration
}

func newGrantor(s quotaSource, t settings.LimitTolerance, clock func() time.Duration, m metrics.Registry, l logr.Logger) *grantor {
	x := quota.Tolerance{Window: t.Window, Share: t.Share, Requests: t.Requests}
	return &grantor{
		source: s, barrier: &sharedBarrier{read: s.ReadBarrier}, clock: clock, log: l.WithName("quota"), metrics: m,
		tolerance: x, ledger: quota.NewLedger(x), holders: newLeaseHolders(nil),
	}
}

func (g *grantor) register(m *wire.Mux) {
	wire.HandleUnary(m, wire.MethodRenewShares, func(ctx context.Context, q *wire.ShareRequest) (*wire.ShareResponse, error) {
		return g.handle(ctx, q, (*quota.Ledger).Renew)
	})
	wire.HandleUnary(m, wire.MethodTakeTokens, func(ctx context.Context, q *wire.ShareRequest) (*wire.ShareResponse, error) {
		return g.handle(ctx, q, (*quota.Ledger).Take)
	})
}

// handle decides about a report once a majority has confirmed, after the report arrived,
// that this control leads. The term is the epoch of the ledger: a control leads at most
// once in a term, so no other one grants in it.
func (g *grantor) handle(ctx context.Context, q *wire.ShareRequest, decide func(*quota.Ledger, time.Duration, quota.Report) quota.Grant) (*wire.ShareResponse, error) {
	term, leads := g.source.leadership()
	if !leads {
		return nil, errkind.New(errkind.NotLeader, "this control does not lead the controls")
	}
	if err := g.barrier.wait(ctx); err != nil {
		return nil, errkind.Wrap(err, errkind.NotCurrent, "no majority confirms that this control leads")
	}
	if t, leads := g.source.leadership(); !leads || t != term {
		return nil, errkind.New(errkind.NotLeader, "this control no longer leads the controls")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if term < g.ledger.Epoch() {
		return nil, errkind.New(errkind.NotLeader, "a later term has begun")
	}
	now := g.clock()
	g.refresh(now, term)
	r := q.Report()
	r.Known = g.holders.mayHold(r.Node)
	a := decide(g.ledger, now, r)
	switch {
	case !r.Leaving:
		g.holders.reported(now, r.Node)
	case !a.Stale && !a.Resync: // a late report of an earlier process says nothing about this one
		g.holders.left(r.Node)
	}
	return wire.NewShareResponse(a), nil
}

// refresh brings the ledger up to date with the term, the newest version and the time. The caller holds mu.
func (g *grantor) refresh(now time.Duration, term uint64) {
	takeover := term != g.ledger.Epoch()
	if v := g.source.Current(); v.Version() != g.version {
		g.setLimits(now, v)
	}
	if takeover {
		names := g.source.LeaseHolders()
		g.holders = newLeaseHolders(names)
		g.ledger.Takeover(now, term, names)
		g.reported, g.takeoverAt = false, now
		if g.limited {
			g.log.Info("took over as grantor of account limits", "term", term, "version", g.version, "leaseHolders", len(names))
		}
	}
	missing := g.ledger.Missing()
	gone, completed := g.ledger.Expire(now)
	if completed && g.limited {
		g.log.Info("lease holders did not report after the takeover", "nodes", len(missing), "first", missing[0])
	}
	if len(gone) > 0 && g.limited {
		g.log.Info("leases of account limits ended", "nodes", len(gone), "first", gone[0], "reason", "no renewal within "+quota.GrantorLease.String())
	}
	if !g.reported && g.ledger.Complete() {
		g.reported = true
		if g.limited {
			g.log.Info("shares of account limits are known", "term", term, "took", (now - g.takeoverAt).String())
		}
	}
}

// setLimits sets the limits of version v.
func (g *grantor) setLimits(now time.Duration, v *versions.View) {
	m := map[string]quota.Limit{}
	for _, c := range v.Configs() {
		for _, a := range c.Accounts() {
			if a.RatePerSecond > 0 {
				m[quota.Account(c.Customer(), a.Name)] = g.tolerance.Limit(a.RatePerSecond, a.Burst)
			}
		}
	}
	g.ledger.SetLimits(now, m)
	g.version, g.limited = v.Version(), len(m) > 0
}

// updateGauges updates the gauges of the grantor. They are those of the last term in which
// this control granted.
func (g *grantor) updateGauges() {
	term, leads := g.source.leadership()
	g.mu.Lock()
	defer g.mu.Unlock()
	grants := leads && term == g.ledger.Epoch() && g.limited
	metrics.GetOrRegisterGauge("limit_granting", g.metrics).Update(boolToInt(grants))
	if !grants {
		return
	}
	for k, s := range g.ledger.States(g.clock()) {
		l := fmt.Sprintf("{account=%q}", k)
		metrics.GetOrRegisterGaugeFloat64("limit_granted_rate"+l, g.metrics).Update(float64(s.Granted.Rate) / quota.Whole)
		metrics.GetOrRegisterGaugeFloat64("limit_granted_burst"+l, g.metrics).Update(float64(s.Granted.Burst) / quota.Whole)
		metrics.GetOrRegisterGaugeFloat64("limit_reserve_tokens"+l, g.metrics).Update(s.Reserve)
	}
}

package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	// renewInterval is the interval between renewals of the shares of account limits.
	renewInterval = 500 * time.Millisecond
	// confirmDelay is how soon a node confirms that it holds less, so that others can
	// have the difference.
	confirmDelay = 30 * time.Millisecond
	// renewTimeout bounds one renewal, including the search for the leader.
	renewTimeout = time.Second
)

// limiter admits the requests of accounts with limits. It implements caller.Limits. Its
// decisions are those of quota.Holder; it exchanges the messages with the grantor.
type limiter struct {
	// call sends a report to the grantor.
	call    func(ctx context.Context, method string, r quota.Report) (quota.Grant, error)
	clock   func() time.Duration
	log     logr.Logger
	metrics metrics.Registry
	// kick wakes the renewals after a change of the limits.
	kick chan struct{}
	// limited is false if no account has a limit. The node then makes no calls.
	limited atomic.Bool

	mu       sync.Mutex
	holder   *quota.Holder
	accounts map[accountKey]*limitedAccount
	// epoch is that of the last grantor that replied, failed whether it did not reply to
	// the last renewal.
	epoch  uint64
	failed bool
}

// accountKey identifies an account in the configuration.
type accountKey struct{ customer, account string }

// limitedAccount is the state of one account with a limit.
type limitedAccount struct {
	name               string // unique over all customers
	labels             string
	admitted, rejected metrics.Counter
	waiting            []*admission
	// asking says that a goroutine asks the grantor for tokens; calls limits how often.
	asking bool
	calls  quota.Bucket
	// until is when asking again is useful. promised is when the last refused request was
	// told to come back.
	until, promised time.Duration
}

func newLimiter(node string, incarnation uint64, c *leaderClient, clock func() time.Duration, m metrics.Registry, l logr.Logger) *limiter {
	return &limiter{
		call: func(ctx context.Context, method string, r quota.Report) (quota.Grant, error) {
			a, err := callLeader[wire.ShareRequest, wire.ShareResponse](ctx, c, method, wire.NewShareRequest(r))
			if err != nil {
				return quota.Grant{}, err
			}
			return a.Grant(), nil
		},
		clock: clock, log: l, metrics: m, kick: make(chan struct{}, 1),
		holder: quota.NewHolder(node, incarnation), accounts: map[accountKey]*limitedAccount{},
	}
}

// setTable puts the limits of a new version in force.
func (l *limiter) setTable(t *table.Table) {
	limits := map[string]quota.AccountLimit{}
	keys := map[accountKey]string{}
	for n, c := range t.Configs() {
		for _, a := range c.Accounts() {
			if a.RatePerSecond > 0 {
				k := quota.Account(n, a.Name)
				limits[k], keys[accountKey{n, a.Name}] = quota.AccountLimit{Rate: a.RatePerSecond, Burst: a.Burst}, k
			}
		}
	}
	if len(limits) == 0 && !l.limited.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.holder.SetLimits(now, limits)
	for k := range l.accounts {
		if _, ok := keys[k]; !ok {
			delete(l.accounts, k)
		}
	}
	for k, n := range keys {
		if l.accounts[k] == nil {
			l.accounts[k] = l.newAccount(now, k, n)
		}
	}
	l.limited.Store(len(limits) > 0)
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *limiter) newAccount(now time.Duration, k accountKey, name string) *limitedAccount {
	s := fmt.Sprintf("{customer=%q,account=%q}", k.customer, k.account)
	a := &limitedAccount{
		name: name, labels: s,
		admitted: metrics.GetOrRegisterCounter("limit_admitted"+s, l.metrics),
		rejected: metrics.GetOrRegisterCounter("limit_refused"+s, l.metrics),
	}
	a.calls.SetRate(now, callsPerSecond, callsBurst)
	a.calls.Refund(now, callsBurst)
	return a
}

// run renews the shares until ctx is done.
func (l *limiter) run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-l.kick:
		}
		if !l.limited.Load() {
			t.Stop() // until a version with limits
			continue
		}
		d := renewInterval
		if l.renew(ctx) {
			d = confirmDelay
		}
		t.Reset(d)
	}
}

// renew sends one renewal. It reports whether the next one is due soon.
func (l *limiter) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	l.mu.Lock()
	now := l.clock()
	if l.holder.Expire(now) {
		l.log.Info("lease of account limits ended", "epoch", l.epoch, "reason", "no renewal was answered within "+quota.NodeLease.String())
	}
	r := l.holder.Renewal(now)
	l.mu.Unlock()
	g, err := l.call(ctx, wire.MethodRenewShares, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.failed && ctx.Err() != context.Canceled {
			l.failed = true
			l.log.Info("no grantor of account limits; shares stay until their lease ends", "epoch", l.epoch, "cause", err.Error())
		}
		return false
	}
	if l.failed || g.Epoch != l.epoch {
		l.log.Info("grantor of account limits replied", "epoch", g.Epoch, "before", l.epoch, "accounts", len(l.accounts))
	}
	l.failed, l.epoch = false, g.Epoch
	return l.holder.Apply(l.clock(), r.Seq, g)
}

// leave gives up all shares, before the node leaves the list of known nodes.
func (l *limiter) leave() {
	if !l.limited.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Leave(l.clock())
	l.log.Info("gave up the shares of account limits", "reason", "the node stops")
}

// sample sets the gauges.
func (l *limiter) sample() {
	if !l.limited.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		s := l.holder.Share(a.name)
		metrics.GetOrRegisterGaugeFloat64("limit_share_rate"+a.labels, l.metrics).Update(float64(s.Rate) / quota.Whole)
		metrics.GetOrRegisterGaugeFloat64("limit_share_burst"+a.labels, l.metrics).Update(float64(s.Burst) / quota.Whole)
	}
}

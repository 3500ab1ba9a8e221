package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// testGrantor is a grantor with a delay in memory.
type testGrantor struct {
	mu     sync.Mutex
	ledger *quota.Ledger
	start  time.Time
	delay  time.Duration
	down   bool
	calls  map[string]int // by method
}

func (g *testGrantor) now() time.Duration { return time.Hour + time.Since(g.start) }

// count returns the number of calls of a method.
func (g *testGrantor) count(method string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[method]
}

func (g *testGrantor) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

func (g *testGrantor) call(ctx context.Context, method string, r quota.Report) (quota.Grant, error) {
	g.mu.Lock()
	g.calls[method]++
	down := g.down
	g.mu.Unlock()
	if down {
		return quota.Grant{}, errors.New("unreachable")
	}
	select {
	case <-time.After(g.delay):
	case <-ctx.Done():
		return quota.Grant{}, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Known = true
	if method == wire.MethodTakeTokens {
		return g.ledger.Take(g.now(), r), nil
	}
	return g.ledger.Renew(g.now(), r), nil
}

// limitTable returns a table whose account "a" has the given limit.
func limitTable(t *testing.T, version uint64, rate, burst float64) *table.Table {
	t.Helper()
	c := customer.NewConfig("c").WithAccount(customer.Account{Name: "a", RatePerSecond: rate, Burst: burst})
	b, err := table.New(version, map[string]*customer.Config{"c": c})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func limitMatch(rate float64) table.Match {
	return table.Match{Customer: "c", Account: customer.Account{Name: "a", RatePerSecond: rate}}
}

// runLimiters runs f with n limiters that share a limit, after they got their shares.
func runLimiters(t *testing.T, n int, rate, burst float64, f func(t *testing.T, g *testGrantor, l []*limiter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &testGrantor{ledger: quota.NewLedger(quota.Tolerance{}), start: time.Now(), delay: 10 * time.Millisecond, calls: map[string]int{}}
		g.ledger.Takeover(g.now(), 1, nil)
		if rate > 0 {
			g.ledger.SetLimits(g.now(), map[string]quota.Limit{"c/a": {Rate: rate, Burst: burst}})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var l []*limiter
		var running sync.WaitGroup
		for i := range n {
			k := newLimiter(string(rune('a'+i)), 1, nil, g.now, metrics.NewRegistry(), logr.Discard())
			k.call = g.call
			k.setTable(limitTable(t, 1, rate, burst))
			running.Go(func() { k.run(ctx) })
			l = append(l, k)
		}
		time.Sleep(10 * time.Second)
		f(t, g, l)
		cancel()
		running.Wait()
		synctest.Wait()
	})
}

// admitAll sends n requests at once and returns how many were admitted and the refusals.
func admitAll(t *testing.T, l *limiter, rate float64, n int) (admitted int, refused []error) {
	t.Helper()
	var mu sync.Mutex
	var g sync.WaitGroup
	for range n {
		g.Go(func() {
			err := l.Admit(t.Context(), time.Now().Add(time.Second), limitMatch(rate))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				admitted++
			} else {
				refused = append(refused, err)
			}
		})
	}
	g.Wait()
	return admitted, refused
}

func retryAfter(t *testing.T, err error) time.Duration {
	t.Helper()
	var e *limitError
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want an error with a retry time", err)
	}
	return e.RetryAfter()
}

// Guards against nodes that do work or send messages for accounts without limits.
func TestNoCallsWithoutLimits(t *testing.T) {
	runLimiters(t, 1, 0, 0, func(t *testing.T, g *testGrantor, l []*limiter) {
		equal(t, "admitted", l[0].Admit(t.Context(), time.Now(), limitMatch(0)), nil)
		equal(t, "renewals", g.count(wire.MethodRenewShares), 0)
		equal(t, "calls for tokens", g.count(wire.MethodTakeTokens), 0)
		l[0].setTable(limitTable(t, 2, 5, 5))
		time.Sleep(time.Second)
		if g.count(wire.MethodRenewShares) == 0 {
			t.Error("got no renewals after a version with a limit")
		}
	})
}

// Guards against a burst that is refused although the account was silent before, and
// against nodes that together admit more than the limit.
func TestBurstAtOneNode(t *testing.T) {
	runLimiters(t, 4, 20, 20, func(t *testing.T, g *testGrantor, l []*limiter) {
		start := g.now()
		n, _ := admitAll(t, l[2], 20, 14)
		equal(t, "admitted", n, 14)
		for _, k := range l {
			a, _ := admitAll(t, k, 20, 100)
			n += a
		}
		if want := 20 + int(20*(g.now()-start).Seconds()); n > want {
			t.Errorf("got %d admitted at all nodes, want at most %d", n, want)
		}
	})
}

// Guards against excess requests that wait, that cause a call each, or that are told to
// come back at a time when they will be refused again.
func TestExcessIsRefusedAtOnce(t *testing.T) {
	runLimiters(t, 1, 10, 10, func(t *testing.T, g *testGrantor, l []*limiter) {
		admitAll(t, l[0], 10, 100)
		before := g.count(wire.MethodTakeTokens)
		for range 1000 { // one second
			time.Sleep(time.Millisecond)
			start := time.Now()
			err := l[0].Admit(t.Context(), start.Add(time.Second), limitMatch(10))
			if d := time.Since(start); d > maxAdmitWait {
				t.Fatalf("got a decision after %s, want at most %s", d, maxAdmitWait)
			}
			if err != nil {
				equal(t, "kind", errkind.Of(err), errkind.LimitExceeded)
				equal(t, "execution", errkind.From(err).Execution, errkind.NotRun)
			}
		}
		if got := g.count(wire.MethodTakeTokens) - before; got > callsPerSecond+callsBurst {
			t.Errorf("got %d calls in a second, want at most %d", got, callsPerSecond+callsBurst)
		}
		time.Sleep(3 * time.Second)
		_, r := admitAll(t, l[0], 10, 30)
		if len(r) == 0 {
			t.Fatal("got no refusals")
		}
		time.Sleep(retryAfter(t, r[len(r)-1]))
		n, _ := admitAll(t, l[0], 10, 1)
		equal(t, "admitted at the promised time", n, 1)
	})
}

// Guards against requests that are refused one by one while the grantor is away, and
// against shares that are used after their lease.
func TestGrantorUnreachable(t *testing.T) {
	runLimiters(t, 2, 100, 100, func(t *testing.T, g *testGrantor, l []*limiter) {
		g.setDown(true)
		n, _ := admitAll(t, l[0], 100, 1)
		equal(t, "admitted from the own share", n, 1)
		n, r := admitAll(t, l[0], 100, 200)
		if n > 20 || len(r) == 0 || retryAfter(t, r[0]) <= 0 {
			t.Errorf("got %d admitted, want those of the own share; refusals need a retry time", n)
		}
		time.Sleep(quota.NodeLease)
		n, _ = admitAll(t, l[1], 100, 10)
		equal(t, "admitted after the lease", n, 0)
		g.setDown(false)
		time.Sleep(2 * time.Second)
		n, _ = admitAll(t, l[1], 100, 10)
		equal(t, "admitted after the grantor is back", n, 10)
	})
}

// Guards against tokens that are lost with requests that did not run.
func TestRefundedRequestsCanBeRepeated(t *testing.T) {
	runLimiters(t, 1, 1, 10, func(t *testing.T, _ *testGrantor, l []*limiter) {
		time.Sleep(10 * time.Second) // until the buckets are full
		for range 5 {
			n, _ := admitAll(t, l[0], 1, 9)
			equal(t, "admitted", n, 9)
			for range n {
				l[0].Refund(limitMatch(1), 0)
			}
			time.Sleep(renewInterval * 2) // the tokens go back to the reserve
		}
	})
}

// Guards against a limit that outlives its version, and against requests that wait for it.
func TestLimitIsRemoved(t *testing.T) {
	runLimiters(t, 1, 5, 5, func(t *testing.T, g *testGrantor, l []*limiter) {
		admitAll(t, l[0], 5, 50)
		l[0].setTable(limitTable(t, 2, 0, 0))
		n, _ := admitAll(t, l[0], 5, 50)
		equal(t, "admitted", n, 50)
		time.Sleep(time.Second)
		before := g.count(wire.MethodRenewShares)
		time.Sleep(5 * time.Second)
		equal(t, "renewals", g.count(wire.MethodRenewShares), before)
	})
}

// Guards against a call for each request of an account that the node has no share of,
// although the grantor admits all of them.
func TestCallsForTokensAreShared(t *testing.T) {
	runLimiters(t, 1, 1000, 1000, func(t *testing.T, g *testGrantor, l []*limiter) {
		l[0].leave()
		before := g.count(wire.MethodTakeTokens)
		var w sync.WaitGroup
		for range 200 { // one second
			time.Sleep(5 * time.Millisecond)
			w.Go(func() {
				if err := l[0].Admit(t.Context(), time.Now().Add(time.Second), limitMatch(1000)); err != nil {
					t.Error(err)
				}
			})
		}
		w.Wait()
		if got := g.count(wire.MethodTakeTokens) - before; got > callsPerSecond+callsBurst {
			t.Errorf("got %d calls in a second, want at most %d", got, callsPerSecond+callsBurst)
		}
	})
}

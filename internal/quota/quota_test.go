package quota

import (
	"math"
	"testing"
	"time"
)

var testTolerance = Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20}

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*max(1, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Guards against a bucket that keeps tokens above its capacity or counts time twice.
func TestBucket(t *testing.T) {
	var b Bucket
	b.SetRate(0, 10, 5)
	assertNear(t, "tokens of a new bucket", b.Tokens(0), 0)
	assertNear(t, "after 200 ms", b.Tokens(200*time.Millisecond), 2)
	assertNear(t, "at an earlier time", b.Tokens(100*time.Millisecond), 2)
	assertNear(t, "after a long time", b.Tokens(time.Minute), 5)
	assertEqual(t, "take more than there is", b.Take(time.Minute, 6), false)
	assertEqual(t, "take all", b.Take(time.Minute, 5), true)
	w, ok := b.Wait(time.Minute, 1)
	assertEqual(t, "wait for one", w, 100*time.Millisecond)
	assertEqual(t, "wait for one, possible", ok, true)
	_, ok = b.Wait(time.Minute, 6)
	assertEqual(t, "wait for more than the capacity", ok, false)
	assertNear(t, "excess of a refund", b.Refund(time.Minute, 7), 2)
	b.SetRate(time.Minute, 10, 3)
	assertNear(t, "after shrinking", b.Tokens(time.Minute), 3)
}

// Guards against a capacity that uses up the tolerance, or that admits nothing.
func TestLimit(t *testing.T) {
	assertNear(t, "capacity", testTolerance.Limit(100, 50).Capacity(), 50+0.8*(0.1*550+20))
	assertNear(t, "without tolerance", Tolerance{}.Limit(100, 50).Capacity(), 50)
	assertNear(t, "without burst", Tolerance{}.Limit(100, 0).Capacity(), 1)
}

// pair is a Ledger with one Holder.
type pair struct {
	t   *testing.T
	now time.Duration
	l   *Ledger
	h   *Holder
}

func newPair(t *testing.T, rate, burst float64) *pair {
	p := &pair{t: t, now: time.Hour, l: NewLedger(testTolerance), h: NewHolder("n", 1)}
	p.l.Takeover(p.now, 1, nil)
	p.setLimits(rate, burst)
	p.renew()
	return p
}

func (p *pair) setLimits(rate, burst float64) {
	p.l.SetLimits(p.now, map[string]Limit{"a": testTolerance.Limit(rate, burst)})
	p.h.SetLimits(p.now, map[string]AccountLimit{"a": {rate, burst}})
}

// renew lets the holder renew until nothing changes.
func (p *pair) renew() {
	for again := true; again; {
		r := p.h.Renewal(p.now)
		r.Known = true
		again = p.h.Apply(p.now, r.Seq, p.l.Renew(p.now, r))
		p.now += time.Millisecond
	}
}

// idle lets time pass in which the holder renews.
func (p *pair) idle(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += 500 * time.Millisecond {
		p.renew()
	}
	p.renew()
}

// tokens returns the tokens of the node and of the reserve together.
func (p *pair) tokens() float64 {
	return p.h.accounts["a"].bucket.Tokens(p.now) + p.l.accounts["a"].reserve.Tokens(p.now)
}

// take asks for n tokens.
func (p *pair) take(n int) (int, time.Duration) {
	r := p.h.Want(p.now, "a", n)
	r.Known = true
	return p.h.Taken(p.now, p.now, r.Seq, "a", p.l.Take(p.now, r))
}

// Guards against tokens that appear or disappear while shares move between the node and
// the reserve.
func TestTokensAreConserved(t *testing.T) {
	p := newPair(t, 100, 100)
	p.idle(10 * time.Second)
	assertNear(t, "when full", p.tokens(), testTolerance.Limit(100, 100).Capacity())
	// Moved tokens must also leave a reserve that is not full.
	p.take(140)
	for range 200 {
		p.h.Offer("a")
	}
	p.now += planInterval
	before, share := p.tokens(), p.h.Share("a")
	p.renew()
	if got := p.h.Share("a"); got.Burst <= share.Burst || got.Rate <= share.Rate {
		t.Errorf("got share %v after demand, want more than %v", got, share)
	}
	if got := p.tokens(); got > before+0.5 || got < before-0.5 {
		t.Errorf("got %v tokens after the share grew, want %v", got, before)
	}
	share = p.h.Share("a")
	p.now += 5 * time.Second
	before = p.tokens()
	p.renew()
	if got := p.h.Share("a"); got.Burst >= share.Burst {
		t.Errorf("got share %v without demand, want less than %v", got, share)
	}
	if got := p.tokens(); got > before+0.5 || got < before-0.5 {
		t.Errorf("got %v tokens after the share shrank, want %v", got, before)
	}
}

// Guards against a node that uses its shares after its lease, or reports them again later,
// when others may hold them.
func TestSharesEndWithTheLease(t *testing.T) {
	p := newPair(t, 100, 100)
	p.now += NodeLease - 10*time.Millisecond
	assertEqual(t, "admitted within the lease", p.h.Admit(p.now, "a"), true)
	p.now += 10 * time.Millisecond
	assertEqual(t, "admitted after the lease", p.h.Admit(p.now, "a"), false)
	r := p.h.Renewal(p.now)
	assertEqual(t, "full report after the lease", r.Full, true)
	for _, i := range r.Items {
		assertEqual(t, "share reported after the lease", i.Share, Share{})
	}
}

// Guards against a new grantor that gives away again what the one before has just given.
func TestTakeoverStartsEmpty(t *testing.T) {
	p := newPair(t, 100, 100)
	p.idle(10 * time.Second)
	p.l.Takeover(p.now, 2, []string{"n", "other"})
	k, w := p.take(1)
	assertEqual(t, "granted just after the takeover", k, 0)
	if w < minWait {
		t.Errorf("got wait %s, want at least %s", w, minWait)
	}
	p.now += time.Second
	k, _ = p.take(1000)
	assertEqual(t, "granted a second later, while shares are unknown", k, 100*(Whole-MaxNodeRate)/Whole)
	p.renew()
	assertEqual(t, "complete without the other node", p.l.Complete(), false)
	p.now += GrantorLease
	p.l.Expire(p.now)
	assertEqual(t, "complete after the leases", p.l.Complete(), true)
}

// Guards against a report that was sent before a takeover, arrives after it, and hides what
// the earlier grantor has given the node since then.
func TestReportOfAnEarlierEpoch(t *testing.T) {
	p := newPair(t, 100, 100)
	old := p.h.Renewal(p.now)
	old.Full = true
	p.idle(time.Second)
	p.l.Takeover(p.now, 2, []string{"n"})
	assertEqual(t, "asked for a new report", p.l.Renew(p.now, old).Resync, true)
	assertEqual(t, "complete after the old report", p.l.Complete(), false)
	p.renew()
	assertEqual(t, "complete after the new report", p.l.Complete(), true)
	assertEqual(t, "held", p.l.accounts["a"].held, p.h.Share("a"))
}

// Guards against tokens that serve requests long after they left the reserve, which has
// refilled since then.
func TestLateTokensAreDropped(t *testing.T) {
	p := newPair(t, 100, 100)
	p.idle(10 * time.Second)
	r := p.h.Want(p.now, "a", 3)
	g := p.l.Take(p.now, r)
	assertEqual(t, "granted", g.Items[0].Granted, 3)
	got, _ := p.h.Taken(p.now+MaxTakeAge+1, p.now, r.Seq, "a", g)
	assertEqual(t, "used late", got, 0)
	got, _ = p.h.Taken(p.now+MaxTakeAge, p.now, r.Seq, "a", g)
	assertEqual(t, "used in time", got, 3)
}

// Guards against a limit that takes effect only with the next messages, or that keeps the
// tokens of a higher one.
func TestChangedLimit(t *testing.T) {
	p := newPair(t, 1000, 1000)
	p.now += 5 * time.Second
	share := p.h.Share("a")
	before := p.h.accounts["a"].bucket.Tokens(p.now)
	p.setLimits(100, 100)
	assertEqual(t, "share", p.h.Share("a"), share)
	got, want := p.h.accounts["a"].bucket.Tokens(p.now), before*testTolerance.Limit(100, 100).Capacity()/testTolerance.Limit(1000, 1000).Capacity()
	assertNear(t, "tokens at the node", got, want)
	if got, want := p.l.accounts["a"].reserve.Tokens(p.now), testTolerance.Limit(100, 100).Capacity(); got > want {
		t.Errorf("got %v tokens in the reserve, want at most %v", got, want)
	}
}

// Guards against tokens of requests that did not run and are lost to the account.
func TestRefund(t *testing.T) {
	p := newPair(t, 5, 5)
	p.idle(10 * time.Second)
	k, _ := p.take(10)
	assertEqual(t, "granted", k, 10)
	before := p.tokens()
	p.h.Refund(p.now, "a", 0)
	p.h.Refund(p.now, "a", 0)
	p.renew()
	if got := p.tokens(); got < before+1.9 {
		t.Errorf("got %v tokens, want 2 more than %v", got, before)
	}
}

// Guards against a node that starts again and cannot get the shares that it held before.
func TestRestartReleasesShares(t *testing.T) {
	p := newPair(t, 100, 100)
	p.now += time.Second
	for range 200 {
		p.h.Offer("a")
	}
	p.renew()
	held := p.l.accounts["a"].held
	p.h = NewHolder("n", 2)
	p.h.SetLimits(p.now, map[string]AccountLimit{"a": {100, 100}})
	p.renew()
	if got := p.l.accounts["a"].held; got.Rate >= held.Rate || got != p.h.Share("a") {
		t.Errorf("got held %v and share %v after the restart, want the same and less than %v", got, p.h.Share("a"), held)
	}
}

// Guards against a node that gets shares again after it has left, when a new grantor does
// not wait for its report.
func TestLeave(t *testing.T) {
	p := newPair(t, 100, 100)
	p.h.Leave(p.now)
	p.idle(time.Second)
	assertEqual(t, "share", p.h.Share("a"), Share{})
	k, _ := p.take(3)
	assertEqual(t, "granted from the reserve", k, 3)
	assertEqual(t, "share after a take", p.h.Share("a"), Share{})
}

// Guards against replies that arrive in another order than their calls were sent. The
// grantor counts only what the reply to the last call allows.
func TestOldRepliesAreNotUsed(t *testing.T) {
	big := Grant{Epoch: 1, Items: []GrantItem{{Account: "a", Changed: true, Share: Share{Whole / 2, Whole / 2}}}}
	t.Run("renewal after a renewal", func(t *testing.T) {
		p := newPair(t, 100, 100)
		old := p.h.Renewal(p.now)
		p.renew()
		want := p.h.Share("a")
		p.h.Apply(p.now, old.Seq, big)
		assertEqual(t, "share", p.h.Share("a"), want)
	})
	t.Run("renewal after a take", func(t *testing.T) {
		p := newPair(t, 100, 100)
		old := p.h.Renewal(p.now)
		p.take(1)
		want := p.h.Share("a")
		p.h.Apply(p.now, old.Seq, big)
		assertEqual(t, "share", p.h.Share("a"), want)
	})
	for name, later := range map[string]func(p *pair){
		"take after a renewal": func(p *pair) { p.renew() },
		"take after a take":    func(p *pair) { p.take(1) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, 100, 100)
			old, sent := p.h.Want(p.now, "a", 1), p.now
			later(p)
			want := p.h.Share("a")
			p.h.Taken(p.now, sent, old.Seq, "a", big)
			assertEqual(t, "share", p.h.Share("a"), want)
		})
	}
}

// Guards against reports that arrive after later ones, or after the restart of their node,
// and hide what the node holds now.
func TestOldReportsAreNotUsed(t *testing.T) {
	for name, old := range map[string]Report{
		"same incarnation": {Node: "n", Known: true, Incarnation: 1, Seq: 1, Epoch: 1, Full: true},
		"earlier process":  {Node: "n", Known: true, Seq: 1 << 20, Epoch: 1, Full: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, 100, 100)
			p.idle(time.Second)
			want := p.l.accounts["a"].held
			if want.IsZero() {
				t.Fatal("the node got no share")
			}
			assertEqual(t, "stale", p.l.Renew(p.now, old).Stale, true)
			assertEqual(t, "held", p.l.accounts["a"].held, want)
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	h := NewHolder("n", 1)
	h.SetLimits(0, map[string]AccountLimit{"a": {1e9, 1e9}})
	h.lease = math.MaxInt64
	h.accounts["a"].setShare(0, Share{Whole, Whole})
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		h.Offer("a")
		h.Admit(now, "a")
	}
}

// BenchmarkRenew measures the work of a grantor with 82 nodes and 83 accounts for a
// renewal.
func BenchmarkRenew(b *testing.B) {
	limits, x := map[string]AccountLimit{}, map[string]Limit{}
	for i := range 83 {
		k := "account-" + string(rune('A'+i))
		limits[k] = AccountLimit{float64(5 + i*10), float64(5 + i*10)}
		x[k] = testTolerance.Limit(limits[k].Rate, limits[k].Burst)
	}
	l := NewLedger(testTolerance)
	l.Takeover(0, 1, nil)
	l.SetLimits(0, x)
	var nodes []*Holder
	for i := range 82 {
		h := NewHolder("n"+string(rune('A'+i)), 1)
		h.SetLimits(0, limits)
		nodes = append(nodes, h)
	}
	now := time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 500 * time.Millisecond / 82
		h := nodes[i%len(nodes)]
		for k := range limits {
			h.Offer(k)
		}
		r := h.Renewal(now)
		r.Known = true
		h.Apply(now, r.Seq, l.Renew(now, r))
	}
}

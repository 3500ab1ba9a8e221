package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// minWait and maxWait bound the time after which a node may ask again for tokens that
	// the reserve lacks. With minWait, a node makes at most ten calls per second for an
	// account that sends too much; maxWait is short enough to notice a free reserve.
	minWait = 100 * time.Millisecond
	maxWait = time.Second
	// expireInterval is the shortest time between two searches for ended leases.
	expireInterval = 100 * time.Millisecond
)

// Ledger is the state of the grantor. It is in memory only: a new grantor rebuilds it from
// the reports of the nodes.
type Ledger struct {
	epoch     uint64
	tolerance Tolerance
	accounts  map[string]*account
	nodes     map[string]*node
	// waiting are the known nodes that have not reported to this grantor. Until it is
	// empty or the leases of the earlier grantor have ended, complete is false.
	waiting  map[string]bool
	complete bool
	takeover time.Duration
	expired  time.Duration
}

// account is the state of one account.
type account struct {
	limit   Limit
	reserve Bucket
	// held is the sum of the shares in holdings.
	held     Share
	holdings map[string]*holding
	planned  time.Duration
	isNew    bool // planned at once
}

// holding is what one node may hold of an account.
type holding struct {
	// share is the largest share that the node may hold.
	share  Share
	target Share
	demand float64
	// seq is the last call about the account.
	seq uint64
	// denied is when the node last asked in vain, zero if never.
	denied time.Duration
}

// node is a node with a lease.
type node struct {
	incarnation, seq uint64
	expires          time.Duration
}

// NewLedger returns a Ledger that grants nothing before Takeover.
func NewLedger(t Tolerance) *Ledger {
	return &Ledger{tolerance: t, accounts: map[string]*account{}, nodes: map[string]*node{}}
}

// Takeover starts an epoch in which this Ledger grants. An epoch must be larger than all
// earlier ones of any grantor. known are the nodes that may have shares of the earlier
// grantor.
func (l *Ledger) Takeover(now time.Duration, epoch uint64, known []string) {
	l.epoch, l.takeover, l.expired = epoch, now, now
	l.nodes, l.waiting = map[string]*node{}, make(map[string]bool, len(known))
	for _, n := range known {
		l.waiting[n] = true
	}
	l.complete = len(known) == 0
	for _, a := range l.accounts {
		*a = account{limit: a.limit, holdings: map[string]*holding{}, reserve: Bucket{at: now}, isNew: true}
		l.settle(now, a)
	}
}

// SetLimits replaces the limits by account. Shares are kept, also those of an account that
// is removed, since nodes may hold them when it is added again.
func (l *Ledger) SetLimits(now time.Duration, limits map[string]Limit) {
	for k, v := range limits {
		a := l.accounts[k]
		if a == nil {
			a = &account{holdings: map[string]*holding{}, reserve: Bucket{at: now}, isNew: true}
			l.accounts[k] = a
		}
		a.limit = v
		l.settle(now, a)
	}
	for k, a := range l.accounts {
		if _, ok := limits[k]; ok {
			continue
		}
		a.limit = Limit{}
		l.settle(now, a)
		if a.held.IsZero() && l.complete {
			delete(l.accounts, k)
		}
	}
}

// settle sets the rate and the capacity of the reserve to what nodes cannot hold.
func (l *Ledger) settle(now time.Duration, a *account) {
	if a.limit.Rate <= 0 {
		a.reserve.SetRate(now, 0, 0)
		return
	}
	r := l.reserveShare(a)
	a.reserve.SetRate(now, a.limit.rateOf(r), a.limit.capacityOf(r))
}

func (l *Ledger) reserveShare(a *account) Share {
	out := a.held
	if !l.complete {
		out = out.max(Share{MaxNodeRate, MaxNodeBurst})
	}
	return Share{Whole, Whole}.minus(out.min(Share{Whole, Whole}))
}

// free returns the share that can be granted to nodes.
func (l *Ledger) free(a *account) Share {
	if !l.complete {
		return Share{}
	}
	m := Share{MaxNodeRate, MaxNodeBurst}
	return m.minus(a.held.min(m))
}

// Expire releases the shares of nodes whose lease has ended, and returns these nodes. It
// reports whether the time since the takeover has passed in which nodes may have unknown
// shares.
func (l *Ledger) Expire(now time.Duration) (gone []string, completed bool) {
	if now-l.expired < expireInterval {
		return nil, false
	}
	l.expired = now
	for k, n := range l.nodes {
		if now >= n.expires {
			l.release(now, k)
			delete(l.nodes, k)
			gone = append(gone, k)
		}
	}
	if !l.complete && now >= l.takeover+GrantorLease {
		l.finish(now)
		completed = true
	}
	slices.Sort(gone)
	return gone, completed
}

// finish ends the time in which nodes may have unknown shares.
func (l *Ledger) finish(now time.Duration) {
	l.complete, l.waiting = true, nil
	for _, a := range l.accounts {
		l.settle(now, a)
	}
}

// release removes all shares of a node.
func (l *Ledger) release(now time.Duration, name string) {
	for _, a := range l.accounts {
		if h := a.holdings[name]; h != nil {
			l.setShare(now, a, h, Share{})
			delete(a.holdings, name)
		}
	}
}

// setShare records that a node may hold at most s.
func (l *Ledger) setShare(now time.Duration, a *account, h *holding, s Share) {
	if h.share == s {
		return
	}
	a.held = a.held.minus(h.share).plus(s)
	h.share = s
	l.settle(now, a)
}

// Renew extends the lease of a node and returns its new shares.
func (l *Ledger) Renew(now time.Duration, r Report) Grant {
	l.Expire(now)
	n, ok := l.enter(now, r)
	if !ok {
		return Grant{Epoch: l.epoch, Stale: true}
	}
	// A report that does not name the epoch may have been sent before the takeover, and the
	// node may have got more since then.
	if r.Epoch != l.epoch || !r.Full && n == nil {
		return Grant{Epoch: l.epoch, Resync: true}
	}
	if n == nil {
		n = &node{incarnation: r.Incarnation}
		l.nodes[r.Node] = n
	}
	n.seq, n.expires = r.Seq, now+GrantorLease
	g := Grant{Epoch: l.epoch}
	reported := make(map[string]bool, len(r.Items))
	for _, i := range r.Items {
		reported[i.Account] = true
		l.report(now, r, i)
	}
	if r.Full {
		g.Tolerance = l.tolerance
		for k := range l.accounts {
			if !reported[k] {
				l.report(now, r, ReportItem{Account: k})
			}
		}
		delete(l.waiting, r.Node)
		if !l.complete && len(l.waiting) == 0 {
			l.finish(now)
		}
	}
	if r.Leaving {
		l.release(now, r.Node)
		return g
	}
	for k, a := range l.accounts {
		h := a.holdings[r.Node]
		if h == nil || h.seq > r.Seq {
			continue // a later call about the account came first
		}
		h.seq = r.Seq
		if i, ok := l.offer(now, r, a, h); ok {
			i.Account = k
			g.Items = append(g.Items, i)
		}
	}
	return g
}

// enter finds the node of a report. It returns false if a later report was used, and no
// node if it has no lease in this incarnation.
func (l *Ledger) enter(now time.Duration, r Report) (*node, bool) {
	n := l.nodes[r.Node]
	switch {
	case n == nil:
		return nil, true
	case r.Incarnation < n.incarnation:
		return nil, false
	case r.Incarnation > n.incarnation: // the earlier process has ended
		l.release(now, r.Node)
		delete(l.nodes, r.Node)
		return nil, true
	}
	return n, r.Seq > n.seq
}

// report records what a node holds of one account, unless a later call has done so.
func (l *Ledger) report(now time.Duration, r Report, i ReportItem) {
	a := l.accounts[i.Account]
	if a == nil {
		if i.Share.IsZero() {
			return
		}
		// The account was removed in a version that the node does not have yet.
		a = &account{holdings: map[string]*holding{}, reserve: Bucket{at: now}}
		l.accounts[i.Account] = a
	}
	h := a.holdings[r.Node]
	if h == nil {
		h = &holding{}
		a.holdings[r.Node] = h
	}
	if h.seq >= r.Seq {
		return
	}
	if h.demand >= minDemand && i.Demand < h.demand/2 {
		a.isNew = true // planned at once, since the share refills in vain
	}
	h.demand = i.Demand
	l.setShare(now, a, h, i.Share)
	a.reserve.Refund(now, max(0, i.Refund))
}

// offer returns the change of a node's share, and false if it stays as it is.
func (l *Ledger) offer(now time.Duration, r Report, a *account, h *holding) (GrantItem, bool) {
	l.plan(now, a)
	t := h.target
	if !r.Known || r.Leaving {
		t = Share{}
	}
	if a.limit.Rate <= 0 {
		t = Share{}
	}
	t = t.min(h.share.plus(l.free(a)))
	if !l.complete || !material(a.limit, h.share, t) {
		return GrantItem{}, false
	}
	i := GrantItem{Changed: true, Share: t}
	if up := t.max(h.share).minus(h.share); !up.IsZero() {
		have := a.reserve.Tokens(now)
		if s := l.reserveShare(a); s.Burst > 0 {
			i.Tokens = have * float64(up.Burst) / float64(s.Burst)
		}
		a.reserve.Take(now, i.Tokens)
		l.setShare(now, a, h, h.share.plus(up))
	}
	return i, true
}

// Take gives tokens of the reserve to waiting requests of a node. It also updates the
// node's share of the account, if the node has a lease.
func (l *Ledger) Take(now time.Duration, r Report) Grant {
	l.Expire(now)
	g := Grant{Epoch: l.epoch}
	n, ok := l.enter(now, r)
	g.Stale = !ok
	g.Resync = ok && (n == nil || r.Epoch != l.epoch)
	for _, i := range r.Items {
		a := l.accounts[i.Account]
		if a == nil || a.limit.Rate <= 0 {
			g.Items = append(g.Items, GrantItem{Wait: minWait})
			continue
		}
		h := a.holdings[r.Node]
		valid := ok && !g.Resync && (h == nil || h.seq < r.Seq)
		if valid {
			l.report(now, r, i)
			h = a.holdings[r.Node]
			h.seq = r.Seq
		}
		k := min(max(0, i.Want), int(a.reserve.Tokens(now)+tokenRounding))
		a.reserve.Take(now, float64(k))
		o := GrantItem{}
		if valid {
			o, _ = l.offer(now, r, a, h)
		}
		o.Granted = k
		if k < i.Want {
			o.Wait = l.wait(now, a, h)
		}
		g.Items = append(g.Items, o)
	}
	return g
}

// wait returns the time after which a node that was denied tokens may ask again. The
// nodes that were denied within the last second share what the reserve refills.
func (l *Ledger) wait(now time.Duration, a *account, h *holding) time.Duration {
	if h != nil {
		h.denied = now
	}
	n := 0
	for _, o := range a.holdings {
		if o.denied > 0 && now-o.denied < maxWait {
			n++
		}
	}
	w, ok := a.reserve.Wait(now, 1)
	if !ok {
		return maxWait
	}
	if a.reserve.rate > 0 {
		w = max(w, time.Duration(float64(n)/a.reserve.rate*float64(time.Second)))
	}
	return min(max(w, minWait), maxWait)
}

// Complete reports whether the shares of all nodes are known.
func (l *Ledger) Complete() bool { return l.complete }

// Missing returns the nodes that have not reported since the takeover.
func (l *Ledger) Missing() []string { return slices.Sorted(maps.Keys(l.waiting)) }

// Epoch returns the epoch in which the Ledger grants.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// AccountState describes one account at the grantor.
type AccountState struct {
	// Granted is the sum of the shares of nodes, Reserve the number of tokens at the
	// grantor.
	Granted Share
	Reserve float64
}

// States returns the states of all accounts.
func (l *Ledger) States(now time.Duration) map[string]AccountState {
	m := make(map[string]AccountState, len(l.accounts))
	for k, a := range maps.All(l.accounts) {
		m[k] = AccountState{a.held, a.reserve.Tokens(now)}
	}
	return m
}

package quota

import (
	"math"
	"time"
)

const (
	// demandTime is the time over which the demand is averaged. It is long enough that a
	// single request does not count as demand, and short enough that shares follow
	// traffic that moves within about a second.
	demandTime = 2 * time.Second
	// A changed demand is reported if it differs by demandPart of the larger value and
	// by demandStep, a third of the demand that shares follow.
	demandPart = 0.35
	demandStep = 1.0 // requests per second
	// dropDeviations is the number of standard deviations by which the requests of an
	// interval are below the average if traffic has moved away.
	dropDeviations = 1.5
	// fullInterval is the number of renewals after which one reports all accounts. It
	// repairs what may differ at the grantor. A lost reply causes a full report at once,
	// so this is rarely needed; 83 accounts take 3 KB.
	fullInterval = 60
	// maxRefundAge is how long after its admission a request is refunded. Later, its bucket
	// has refilled, and 163 refunds after 2 s let 751 requests through where 680 are the
	// bound of the next 5 s.
	maxRefundAge = 250 * time.Millisecond
)

// Holder is the state of a node: its shares and their buckets.
type Holder struct {
	node             string
	incarnation, seq uint64
	// renewal is the sequence number of the last renewal.
	renewal uint64
	epoch   uint64
	// sinceFull counts renewals since the last full one. full requires the next one to be
	// full, and so does unanswered, which is set until the reply to a renewal is used.
	sinceFull        int
	full, unanswered bool
	// lease is when the shares end.
	lease     time.Duration
	sent      time.Duration // when the last renewal was sent
	tolerance Tolerance
	accounts  map[string]*held
	left      bool
}

// held is what a node holds of one account.
type held struct {
	rate, burst float64
	limit       Limit
	share       Share
	bucket      Bucket
	// seq is the last call about the account. changed requires it to be in the next
	// renewal.
	seq     uint64
	changed bool
	// offered counts requests since counted; demand is the average.
	offered          int
	demand, reported float64
	counted          time.Duration
	// refund is the number of tokens to give back to the reserve: those that a smaller
	// share cannot hold, and those of requests that have not run.
	refund float64
}

// NewHolder returns a Holder without shares. The incarnation must be larger than those of
// earlier processes of the node.
func NewHolder(node string, incarnation uint64) *Holder {
	return &Holder{node: node, incarnation: incarnation, full: true, accounts: map[string]*held{}}
}

// AccountLimit is the rate and burst of an account in the configuration.
type AccountLimit struct{ Rate, Burst float64 }

// SetLimits replaces the limits by account. Shares are fractions, so they stay as they are.
func (h *Holder) SetLimits(now time.Duration, limits map[string]AccountLimit) {
	for k, v := range limits {
		a := h.accounts[k]
		if a == nil {
			// The account may have been removed a moment ago. Replies to earlier calls about
			// it must not be used after a later one, so none of them is.
			a = &held{counted: now, bucket: Bucket{at: now}, seq: h.seq, changed: true}
			h.accounts[k] = a
		}
		a.rate, a.burst = v.Rate, v.Burst
		a.limit = h.tolerance.Limit(v.Rate, v.Burst)
		a.setShare(now, a.share)
	}
	for k := range h.accounts {
		if _, ok := limits[k]; !ok {
			delete(h.accounts, k)
			h.full = true // the grantor must learn that the share is gone
		}
	}
}

// Limited reports whether any account has a limit.
func (h *Holder) Limited() bool { return len(h.accounts) > 0 }

// Has reports whether an account has a limit.
func (h *Holder) Has(account string) bool { return h.accounts[account] != nil }

func (a *held) setShare(now time.Duration, s Share) {
	a.share = s
	a.bucket.SetRate(now, a.limit.rateOf(s), a.limit.capacityOf(s))
}

// Expire drops all shares if the lease has ended, and reports whether it dropped any.
func (h *Holder) Expire(now time.Duration) bool {
	if now < h.lease {
		return false
	}
	dropped := false
	for _, a := range h.accounts {
		if !a.share.IsZero() {
			dropped, h.full = true, true
			a.setShare(now, Share{})
		}
	}
	return dropped
}

// Leave drops all shares and takes no new ones. It is called before the node is removed
// from the list of known nodes, since a new grantor waits only for these. Tokens of the
// reserve can still be taken.
func (h *Holder) Leave(now time.Duration) {
	h.left, h.full = true, true
	for _, a := range h.accounts {
		a.setShare(now, Share{})
	}
}

// Offer counts a request of an account.
func (h *Holder) Offer(account string) {
	if a := h.accounts[account]; a != nil {
		a.offered++
	}
}

// Admit takes a token of the node's own share and reports whether there was one.
func (h *Holder) Admit(now time.Duration, account string) bool {
	a := h.accounts[account]
	return a != nil && now < h.lease && a.bucket.Take(now, 1)
}

// Refund gives back the token of a request that was admitted age ago and has not run. What
// exceeds the capacity goes back to the reserve with the next call.
func (h *Holder) Refund(now time.Duration, account string, age time.Duration) {
	if a := h.accounts[account]; a != nil && age <= maxRefundAge {
		a.refund += a.bucket.Refund(now, 1)
		a.changed = a.changed || a.refund >= 1
	}
}

// Wait returns the time until the node's own share has a token, and false if it never has.
func (h *Holder) Wait(now time.Duration, account string) (time.Duration, bool) {
	a := h.accounts[account]
	if a == nil || now >= h.lease {
		return 0, false
	}
	return a.bucket.Wait(now, 1)
}

// Rate returns the rate at which the node's own share refills.
func (h *Holder) Rate(account string) float64 {
	if a := h.accounts[account]; a != nil {
		return a.bucket.rate
	}
	return 0
}

// Share returns the share that the node holds.
func (h *Holder) Share(account string) Share {
	if a := h.accounts[account]; a != nil {
		return a.share
	}
	return Share{}
}

// Demand returns the requests per second that were offered.
func (h *Holder) Demand(now time.Duration, account string) float64 {
	a := h.accounts[account]
	if a == nil {
		return 0
	}
	if d := (now - a.counted).Seconds(); d > 0 {
		k := math.Exp(-d / demandTime.Seconds())
		a.demand = a.demand*k + float64(a.offered)/d*(1-k)
		a.counted, a.offered = now, 0
	}
	return a.demand
}

// Renewal returns the next renewal. The reply is passed to Apply. Without one, the next
// renewal is full. The replies to earlier calls no longer change shares.
func (h *Holder) Renewal(now time.Duration) Report {
	h.Expire(now)
	h.seq++
	h.renewal, h.sent = h.seq, now
	h.sinceFull++
	r := Report{Node: h.node, Incarnation: h.incarnation, Seq: h.seq, Epoch: h.epoch, Full: h.full || h.unanswered || h.sinceFull >= fullInterval, Leaving: h.left}
	if r.Full {
		h.sinceFull, h.full = 0, false
	}
	for k, a := range h.accounts {
		a.notice(now)
		d := h.Demand(now, k)
		if c := math.Abs(d - a.reported); c >= demandStep && c >= demandPart*max(d, a.reported) {
			a.changed = true
		}
		if a.changed || r.Full && (!a.share.IsZero() || d >= demandStep) {
			r.Items = append(r.Items, a.report(k))
		}
	}
	h.unanswered = true
	return r
}

// notice lowers the demand at once if the account sends much less than on average and the
// bucket is full. Its share refills in vain then: before, an account lost the tokens of
// about two seconds when its traffic moved to other nodes, and requests within the limit
// were refused there.
func (a *held) notice(now time.Duration) {
	d := (now - a.counted).Seconds()
	want, got := a.demand*d, float64(a.offered)
	if d > 0 && want-got > dropDeviations*math.Sqrt(want) && a.bucket.Tokens(now) >= a.bucket.capacity {
		a.demand = got / d
	}
}

// report returns what the node reports about an account.
func (a *held) report(account string) ReportItem {
	i := ReportItem{Account: account, Share: a.share, Demand: a.demand, Refund: a.refund}
	a.reported, a.changed, a.refund = a.demand, false, 0
	return i
}

// Apply uses the reply to the renewal seq. It reports whether the next renewal is due at
// once: the grantor waits for the confirmation of a smaller share, or for a full report.
func (h *Holder) Apply(now time.Duration, seq uint64, g Grant) (soon bool) {
	if seq != h.renewal || g.Stale || now >= h.sent+NodeLease {
		return false
	}
	if g.Resync {
		h.epoch = g.Epoch
		return true // the renewal counts as unanswered, so the next one is full
	}
	h.epoch, h.unanswered = g.Epoch, false
	h.lease = max(h.lease, h.sent+NodeLease)
	if g.Tolerance != (Tolerance{}) && g.Tolerance != h.tolerance {
		h.tolerance = g.Tolerance
		for _, a := range h.accounts {
			a.limit = h.tolerance.Limit(a.rate, a.burst)
			a.setShare(now, a.share)
		}
	}
	for _, i := range g.Items {
		if a := h.accounts[i.Account]; a != nil && a.seq < seq && !h.left {
			soon = a.apply(now, i) || soon
		} else if a == nil && i.Changed {
			h.full = true // the account was removed since the renewal was sent
		}
	}
	return soon
}

// apply uses a share and reports whether it is smaller than the one before.
func (a *held) apply(now time.Duration, i GrantItem) (lowered bool) {
	if !i.Changed {
		return false
	}
	lowered = i.Share.Rate < a.share.Rate || i.Share.Burst < a.share.Burst
	before := a.bucket.Tokens(now)
	a.setShare(now, i.Share)
	a.refund += before - a.bucket.Tokens(now)
	a.bucket.Refund(now, i.Tokens)
	a.changed = a.changed || lowered
	return lowered
}

// Want returns a call for tokens for n waiting requests of an account.
func (h *Holder) Want(now time.Duration, account string, n int) Report {
	h.Expire(now)
	h.seq++
	r := Report{Node: h.node, Incarnation: h.incarnation, Seq: h.seq, Epoch: h.epoch, Leaving: h.left}
	if a := h.accounts[account]; a != nil {
		h.Demand(now, account)
		i := a.report(account)
		i.Want = n
		// The call may get lost, and the next renewal must not rely on its reply.
		a.seq, a.changed = h.seq, true
		r.Items = []ReportItem{i}
	}
	return r
}

// Taken uses the reply to the call seq of Want that was sent at sent. It returns how many
// waiting requests are admitted, and, if that is fewer than were waiting, the time after
// which asking again is useful. The tokens of a late reply are dropped.
func (h *Holder) Taken(now, sent time.Duration, seq uint64, account string, g Grant) (granted int, wait time.Duration) {
	if len(g.Items) != 1 {
		return 0, minWait
	}
	i, a := g.Items[0], h.accounts[account]
	if a != nil && !g.Stale && !g.Resync && a.seq == seq && h.renewal < seq && now < h.lease && g.Epoch == h.epoch && !h.left {
		a.apply(now, i)
		a.changed = i.Changed
	}
	if g.Resync {
		h.full = true
	}
	if now-sent > MaxTakeAge {
		return 0, i.Wait
	}
	return i.Granted, i.Wait
}

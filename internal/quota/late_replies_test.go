package quota

import (
	"testing"
	"time"
)

// Guards against a share that is granted twice: a reply to a renewal must not be used after
// a later call about the account, also if the account was removed and added in between.
func TestReplyAfterAccountIsAddedAgain(t *testing.T) {
	const k = "account"
	limit := map[string]AccountLimit{k: {Rate: 100, Burst: 100}}
	now := time.Hour
	l := NewLedger(testTolerance)
	l.Takeover(now, 1, nil)
	l.SetLimits(now, map[string]Limit{k: testTolerance.Limit(100, 100)})
	now += 10 * time.Second
	h := NewHolder("n", 1)
	renew := func() (uint64, Grant) {
		r := h.Renewal(now)
		r.Known = true
		return r.Seq, l.Renew(now, r)
	}
	h.SetLimits(now, limit)
	seq, g := renew()
	h.Apply(now, seq, g)
	for range 200 {
		h.Offer(k)
	}
	now += time.Second
	seq, late := renew() // this reply, with a share, is on its way
	if len(late.Items) != 1 || !late.Items[0].Changed {
		t.Fatalf("got %+v, want a share", late)
	}
	w := h.Want(now, k, 1)
	w.Known = false // the node is being removed from the lease holders: no new offer
	l.Take(now, w)
	h.SetLimits(now, nil)
	h.SetLimits(now, limit)
	h.Apply(now, seq, late)
	if got, most := h.Share(k), l.accounts[k].holdings["n"].share; got.Rate > most.Rate || got.Burst > most.Burst {
		t.Errorf("the node holds %v, the ledger counts %v", got, most)
	}
}

// Guards against shares that are reserved for a node that stops, although it will use none.
func TestLeavingNodeGetsNoShares(t *testing.T) {
	const k = "account"
	now := time.Hour
	l := NewLedger(testTolerance)
	l.Takeover(now, 1, nil)
	l.SetLimits(now, map[string]Limit{k: testTolerance.Limit(100, 100)})
	now += 10 * time.Second
	h := NewHolder("n", 1)
	h.SetLimits(now, map[string]AccountLimit{k: {Rate: 100, Burst: 100}})
	for range 6 {
		for range 50 {
			h.Offer(k)
		}
		now += 500 * time.Millisecond
		r := h.Renewal(now)
		r.Known = true
		h.Apply(now, r.Seq, l.Renew(now, r))
	}
	if h.Share(k).IsZero() {
		t.Fatal("got no share before the node stops")
	}
	h.Leave(now)
	now += 30 * time.Millisecond
	r := h.Renewal(now)
	r.Known = true
	l.Renew(now, r)
	if got := l.accounts[k].held; !got.IsZero() {
		t.Errorf("got %v reserved for a node that stops, want nothing", got)
	}
}

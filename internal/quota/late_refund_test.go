package quota

import (
	"testing"
	"time"
)

// Guards against a token that is refunded so late that its bucket has refilled in the
// meantime: the requests of the next window then exceed the bound.
func TestLateRefund(t *testing.T) {
	const k = "account"
	for name, delay := range map[string]time.Duration{"100 ms": 100 * time.Millisecond, "900 ms": 900 * time.Millisecond, "2 s": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			l := NewLedger(testTolerance)
			l.Takeover(now, 1, nil)
			l.SetLimits(now, map[string]Limit{k: testTolerance.Limit(100, 100)})
			h := NewHolder("n", 1)
			h.SetLimits(now, map[string]AccountLimit{k: {Rate: 100, Burst: 100}})
			renew := func() {
				r := h.Renewal(now)
				r.Known = true
				h.Apply(now, r.Seq, l.Renew(now, r))
			}
			// send admits as many as possible, from the share and then from the reserve.
			send := func() int {
				n := 0
				for h.Offer(k); h.Admit(now, k); h.Offer(k) {
					n++
				}
				r := h.Want(now, k, 1000)
				granted, _ := h.Taken(now, now, r.Seq, k, l.Take(now, r))
				return n + granted
			}
			for range 20 {
				now += 500 * time.Millisecond
				renew()
			}
			queued := send()
			now += delay
			start, sent := now, send()
			for range queued { // refused by the upstream, not run
				h.Refund(now, k, delay)
			}
			for ; now < start+5*time.Second; now += 100 * time.Millisecond {
				if (now-start)%(500*time.Millisecond) == 0 {
					renew()
				}
				sent += send()
			}
			if most := (100.0*5+100)*1.1 + 20; float64(sent) > most {
				t.Errorf("got %d requests in 5 s, want at most %.0f", sent, most)
			}
		})
	}
}

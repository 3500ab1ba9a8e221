package node

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// impatient sends requests of callers that come back once after a refusal, as
// long as a third of their time allows, and counts answers.
type impatient struct {
	m      *mesh
	target time.Duration

	mu      sync.Mutex
	answers int
	// inTarget counts answers within the target from the caller's first attempt.
	inTarget int
}

func (p *impatient) send(patience time.Duration) {
	started := time.Now()
	for range 2 {
		left := patience - time.Since(started)
		r := p.m.do("HTTP/1.1", "entry", "GET", "/", nil, upstream.HeaderDeadline, left.String())
		if r.status == http.StatusOK {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.answers++
			if time.Since(started) <= p.target {
				p.inTarget++
			}
			return
		}
		wait, _ := strconv.Atoi(r.header.Get("Retry-After")) // none is 0
		time.Sleep(min(time.Duration(wait)*time.Second, (patience-time.Since(started))/3))
	}
}

// Guards that callers that come back after a refusal, too late for their target,
// do not take the slots of callers that can still be answered in time.
func TestReturningRequestsDoNotDisplaceNewOnes(t *testing.T) {
	const (
		slots    = 4
		slotTime = 100 * time.Millisecond
		load     = 1.5 // of what the slots can serve
		requests = 1200
	)
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "entry", "owner")
		target := 300 * time.Millisecond
		if err := m.control.Set(config().WithRank(customer.Rank{Name: "urgent", Order: 1, Target: target, Worth: 1})); err != nil {
			t.Fatal(err)
		}
		random := rand.New(rand.NewPCG(1, 1))
		m.serve("owner", "u", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(slotTime)
			io.WriteString(w, "level")
		}))
		time.Sleep(time.Second)
		p := &impatient{m: m, target: target}
		var g sync.WaitGroup
		started := time.Now()
		for range requests {
			patience := time.Duration(900+random.IntN(100)) * time.Millisecond
			g.Go(func() { p.send(patience) })
			time.Sleep(time.Duration(random.ExpFloat64() * float64(slotTime) / slots / load))
		}
		g.Wait()
		took := time.Since(started)
		served := float64(p.inTarget) / (float64(slots) * took.Seconds() / slotTime.Seconds())
		t.Logf("%d of %d answers in target, in %v", p.inTarget, p.answers, took)
		if served < 0.9 {
			t.Errorf("slot time spent on answers in target: got %.2f of it, want 0.9", served)
		}
	})
}

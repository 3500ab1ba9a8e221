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

// returningCallers sends requests of callers that try once more after a refusal, and
// counts the successful responses. Before the second try, callers wait for the time of
// Retry-After, but at most a third of the time left.
type returningCallers struct {
	m      *mesh
	target time.Duration

	mu      sync.Mutex
	answers int
	// inTarget counts successful responses within the target, measured from the caller's
	// first attempt.
	inTarget int
}

func (p *returningCallers) send(patience time.Duration) {
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
		wait, _ := strconv.Atoi(r.header.Get("Retry-After")) // 0 if there is none
		time.Sleep(min(time.Duration(wait)*time.Second, (patience-time.Since(started))/3))
	}
}

// Guards against callers that return after a refusal, too late for their target, and
// take the slots of callers that can still be answered within it.
func TestReturningRequestsDoNotDisplaceNewOnes(t *testing.T) {
	const (
		slots    = 4
		slotTime = 100 * time.Millisecond
		load     = 1.5 // relative to the capacity of the slots
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
		p := &returningCallers{m: m, target: target}
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

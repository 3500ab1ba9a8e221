package priorwait

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func equal[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// filled returns an Estimator that has seen n first requests of 850 to 1,000 ms,
// and of each hundred requests some that came back after a third of their time.
func filled(n, back int) *Estimator[string] {
	e, r := New[string](), rand.New(rand.NewPCG(1, 1))
	for range n {
		d := time.Duration(850+r.IntN(151)) * time.Millisecond
		if r.IntN(100) < back {
			d = d * 2 / 3
		}
		e.Observe("r", d)
	}
	return e
}

// Guards that a new request is not taken for one that has waited.
func TestFirstRequestsHaveNotWaited(t *testing.T) {
	e := filled(200, 40)
	for given := 850; given <= 1000; given += 10 {
		equal(t, fmt.Sprintf("%d ms", given), e.Observe("r", time.Duration(given)*time.Millisecond), 0)
	}
}

// Guards that requests that come back are known, also where most requests do.
func TestReturningRequestsHaveWaited(t *testing.T) {
	for _, back := range []int{0, 30, 60} {
		e := filled(200, back)
		for _, given := range []int{567, 667} {
			got := e.Observe("r", time.Duration(given)*time.Millisecond)
			if got < 250*time.Millisecond || got > 450*time.Millisecond {
				t.Errorf("%d%% come back, %d ms given: got %v, want 250ms to 450ms", back, given, got)
			}
		}
	}
}

// Guards that a few callers with a long time do not make all others look as if
// they had waited.
func TestFewPatientCallersDoNotCount(t *testing.T) {
	e := New[string]()
	for i := range 200 {
		given := time.Second
		if i%5 == 0 {
			given = 10 * time.Second
		}
		e.Observe("r", given)
	}
	equal(t, "one second given", e.Observe("r", time.Second), 0)
}

// Guards that few requests, and other keys, say nothing.
func TestUnknownTimes(t *testing.T) {
	e := filled(enough-1, 0)
	equal(t, "few requests", e.Observe("s", 100*time.Millisecond), 0)
	e = filled(200, 0)
	equal(t, "another key", e.Observe("s", 100*time.Millisecond), 0)
}

// Guards that callers that change their time are followed, and that the number of
// keys is bounded.
func TestEstimatorFollowsAndForgets(t *testing.T) {
	e := filled(200, 0)
	for range remembered + refreshEvery {
		e.Observe("r", 300*time.Millisecond)
	}
	equal(t, "after a change", e.Observe("r", 300*time.Millisecond), 0)
	for i := range 3 * maxKeys {
		e.Observe(fmt.Sprint(i), time.Second)
	}
	if got := len(e.keys); got > maxKeys {
		t.Errorf("keys: got %d, want at most %d", got, maxKeys)
	}
}

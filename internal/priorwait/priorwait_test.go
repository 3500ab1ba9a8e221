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

// newTrained returns an Estimator with n samples. First attempts have a timeout of
// 850 to 1,000 ms. The given percentage of samples are retries sent after a third of
// that time, with the remaining two thirds as the timeout.
func newTrained(n, retried int) *Estimator[string] {
	e, r := New[string](), rand.New(rand.NewPCG(1, 1))
	for range n {
		d := time.Duration(850+r.IntN(151)) * time.Millisecond
		if r.IntN(100) < retried {
			d = d * 2 / 3
		}
		e.Observe("r", d)
	}
	return e
}

// A first attempt must not count as a retry.
func TestFirstAttemptsHaveNotWaited(t *testing.T) {
	e := newTrained(200, 40)
	for timeout := 850; timeout <= 1000; timeout += 10 {
		equal(t, fmt.Sprintf("%d ms", timeout), e.Observe("r", time.Duration(timeout)*time.Millisecond), 0)
	}
}

// Retries must be recognized, even where most requests are retries.
func TestReturningRequestsHaveWaited(t *testing.T) {
	for _, retried := range []int{0, 30, 60} {
		e := newTrained(200, retried)
		for _, timeout := range []int{567, 667} {
			got := e.Observe("r", time.Duration(timeout)*time.Millisecond)
			if got < 250*time.Millisecond || got > 450*time.Millisecond {
				t.Errorf("%d%% retries, timeout %d ms: got %v, want 250ms to 450ms", retried, timeout, got)
			}
		}
	}
}

// A few callers with long timeouts must not make the first attempts of all others
// count as retries.
func TestFewLongTimeoutsDoNotCount(t *testing.T) {
	e := New[string]()
	for i := range 200 {
		timeout := time.Second
		if i%5 == 0 {
			timeout = 10 * time.Second
		}
		e.Observe("r", timeout)
	}
	equal(t, "timeout of one second", e.Observe("r", time.Second), 0)
}

// A key without enough samples must yield no wait, whatever other keys have.
func TestTooFewSamples(t *testing.T) {
	e := newTrained(minSamples-1, 0)
	equal(t, "few requests", e.Observe("s", 100*time.Millisecond), 0)
	e = newTrained(200, 0)
	equal(t, "another key", e.Observe("s", 100*time.Millisecond), 0)
}

// The estimate must follow a change of the callers' timeouts, and the number of keys
// must stay bounded.
func TestChangedTimeoutsAndMaxKeys(t *testing.T) {
	e := newTrained(200, 0)
	for range windowSize + refreshEvery {
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

// Package priorwait estimates how long a caller had already waited before its request
// arrived. A caller that retries a refused request states its remaining time as the
// timeout, which is shorter than the timeout of first attempts on the same route.
//
// # Usage
//
//	e := priorwait.New[string]()
//	w := e.Observe(route, timeout) // once per request that states a timeout
//
// Callers of one route may use different timeouts. A high percentile of them is taken
// as the usual timeout, and only a request with a clearly shorter one counts as a
// retry.
package priorwait

import (
	"slices"
	"sync"
	"time"
)

const (
	// windowSize is the number of recent requests of a key from which the usual
	// timeout is computed. It is unknown until there are minSamples of them.
	windowSize = 64
	minSamples = 16
	// refreshEvery is the number of requests after which the usual timeout is
	// recomputed.
	refreshEvery = 8
	// usualPercentile is the percentile that is taken as the usual timeout. It is
	// high enough to find first attempts where most requests are retries, and low
	// enough to ignore a few callers with a far longer timeout than the others.
	usualPercentile = 75
	// firstAttemptShare is the share of the usual timeout from which a request counts
	// as a first attempt. It allows for differences between callers.
	firstAttemptShare = 0.8
	// maxKeys bounds the number of keys; beyond it all are cleared.
	maxKeys = 1024
)

// Estimator keeps the timeouts of recent requests by key, such as the route. It is
// safe for concurrent use.
type Estimator[K comparable] struct {
	mu   sync.Mutex
	keys map[K]*timeouts
}

// New returns an Estimator without samples.
func New[K comparable]() *Estimator[K] { return &Estimator[K]{keys: map[K]*timeouts{}} }

// Observe records the timeout of a request of k and returns how long its caller is
// estimated to have waited, or zero for a first attempt or too few samples.
func (e *Estimator[K]) Observe(k K, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.keys[k]
	if t == nil {
		if len(e.keys) >= maxKeys {
			clear(e.keys)
		}
		t = &timeouts{}
		e.keys[k] = t
	}
	t.add(timeout)
	return t.priorWait(timeout)
}

// timeouts holds the timeouts of the recent requests of one key.
type timeouts struct {
	recent       [windowSize]time.Duration
	n            int
	usualTimeout time.Duration
}

func (t *timeouts) add(timeout time.Duration) {
	t.recent[t.n%windowSize] = timeout
	t.n++
	if t.n >= minSamples && t.n%refreshEvery == 0 {
		l := t.recent
		s := l[:min(t.n, windowSize)]
		slices.Sort(s)
		t.usualTimeout = s[len(s)*usualPercentile/100]
	}
}

func (t *timeouts) priorWait(timeout time.Duration) time.Duration {
	if float64(timeout) >= firstAttemptShare*float64(t.usualTimeout) {
		return 0
	}
	return t.usualTimeout - timeout
}

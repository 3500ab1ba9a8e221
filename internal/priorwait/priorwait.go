// Package priorwait estimates how long a caller has waited already when its request
// arrives. A caller that was refused and comes back gives the time that it has
// left, which is less than callers of the same route usually give at first.
//
// # Usage
//
//	e := priorwait.New[string]()
//	w := e.Observe(route, given) // once per request that states its time
//
// Callers of one route need not agree about their time. What they usually give
// is a high percentile, and only a request that gives clearly less counts as one
// that has waited.
package priorwait

import (
	"slices"
	"sync"
	"time"
)

const (
	// remembered is the number of requests of a key from which the usual time is
	// taken, and enough is how many of them it takes.
	remembered = 64
	enough     = 16
	// refreshEvery is the number of requests after which the usual time is
	// computed anew.
	refreshEvery = 8
	// usualPercentile finds first requests where most requests come back, and
	// leaves out a few callers that give far more time than the others.
	usualPercentile = 75
	// firstShare is the share of the usual time that first requests give at
	// least. It leaves room for callers that differ.
	firstShare = 0.8
	// maxKeys bounds the keys that are remembered.
	maxKeys = 1024
)

// Estimator remembers the times that requests gave. It is safe for concurrent
// use.
type Estimator[K comparable] struct {
	mu   sync.Mutex
	keys map[K]*times
}

// New returns an Estimator that knows nothing.
func New[K comparable]() *Estimator[K] { return &Estimator[K]{keys: map[K]*times{}} }

// Observe notes a request of k and returns how long its caller has waited, or
// zero where that is not known.
func (e *Estimator[K]) Observe(k K, given time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.keys[k]
	if t == nil {
		if len(e.keys) >= maxKeys {
			clear(e.keys)
		}
		t = &times{}
		e.keys[k] = t
	}
	t.add(given)
	return t.waited(given)
}

// times holds the times of the last requests of one key.
type times struct {
	last  [remembered]time.Duration
	n     int
	usual time.Duration
}

func (t *times) add(given time.Duration) {
	t.last[t.n%remembered] = given
	t.n++
	if t.n >= enough && t.n%refreshEvery == 0 {
		l := t.last
		s := l[:min(t.n, remembered)]
		slices.Sort(s)
		t.usual = s[len(s)*usualPercentile/100]
	}
}

func (t *times) waited(given time.Duration) time.Duration {
	if float64(given) >= firstShare*float64(t.usual) {
		return 0
	}
	return t.usual - given
}

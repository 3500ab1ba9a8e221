package queue

import "math"

// estimate is a moving mean of slot times in seconds, with the mean deviation.
type estimate struct {
	mean    float64
	dev     float64
	n       int
	updated float64
}

const (
	// minWeight is the weight of a sample once many are known; about the last
	// 20 samples count.
	minWeight = 0.05
	// staleAfter is how long a mean holds without samples, in seconds. Older
	// means are halved every staleAfter: a mean above the deadline refuses all
	// work of its kind, and without samples it would do so forever.
	staleAfter = 2.0
)

func (e *estimate) add(now, seconds float64) {
	e.n++
	w := max(minWeight, 1/float64(e.n))
	if e.n == 1 {
		e.dev = seconds / 4 // a guess until there are samples to compare
	} else {
		e.dev += (math.Abs(seconds-e.mean) - e.dev) * w
	}
	e.mean += (seconds - e.mean) * w
	e.updated = now
}

// at returns the mean as far as it can still be trusted at now.
func (e *estimate) at(now float64) float64 {
	age := now - e.updated
	if age <= staleAfter {
		return e.mean
	}
	return e.mean * math.Exp2(-(age-staleAfter)/staleAfter)
}

// rate is an exponentially decaying sum per second.
type rate struct {
	sum, at, window float64
}

func (r *rate) add(now, v float64) {
	r.sum = r.sum*math.Exp(-(now-r.at)/r.window) + v
	r.at = now
}

func (r *rate) value(now float64) float64 {
	return r.sum * math.Exp(-(now-r.at)/r.window) / r.window
}

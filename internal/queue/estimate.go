package queue

import "math"

// estimate is a moving mean of times in seconds, with the mean absolute deviation.
type estimate struct {
	mean    float64
	dev     float64
	n       int
	updated float64
}

const (
	// minWeight is the lowest weight of a new sample, reached with the 20th
	// sample. About the last 20 samples count.
	minWeight = 0.05
	// staleAfter is how long a mean stays valid without samples, in seconds. From
	// then on it is halved every staleAfter: a mean above the deadline causes all
	// requests of the route or rank to be refused, and without new samples it would
	// do so forever.
	staleAfter = 2.0
)

func (e *estimate) add(now, seconds float64) {
	e.n++
	w := max(minWeight, 1/float64(e.n))
	if e.n == 1 {
		e.dev = seconds / 4 // assumed until there are samples to compare
	} else {
		e.dev += (math.Abs(seconds-e.mean) - e.dev) * w
	}
	e.mean += (seconds - e.mean) * w
	e.updated = now
}

// at returns the mean at now, reduced if it is stale.
func (e *estimate) at(now float64) float64 {
	age := now - e.updated
	if age <= staleAfter {
		return e.mean
	}
	return e.mean * math.Exp2(-(age-staleAfter)/staleAfter)
}

// rate is an exponentially decaying sum, read as a rate per second.
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

package link

import (
	"math"
	"time"
)

// movingRate is a rate in bytes per second over about window seconds.
type movingRate struct {
	window float64
	sum    float64
	at     time.Time
}

func (r *movingRate) add(now time.Time, n int) {
	r.sum = r.value(now)*r.window + float64(n)
	r.at = now
}

func (r *movingRate) value(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-max(now.Sub(r.at), 0).Seconds()/r.window) / r.window
}

// orderRates are the rates of the bodies of one order: of all, and of those that can meet
// their target.
type orderRates struct{ all, inTime movingRate }

func (s *Scheduler) recordRate(f *flow, now time.Time) {
	r := s.orders[f.Order]
	if r == nil {
		r = &orderRates{movingRate{window: largeWindow.Seconds()}, movingRate{window: largeWindow.Seconds()}}
		s.orders[f.Order] = r
	}
	r.all.add(now, f.want)
	if !s.isLate(f, now) {
		r.inTime.add(now, f.want)
	}
}

// Estimate is when a body is expected to have been sent.
type Estimate struct {
	// Delay is the time until then.
	Delay time.Duration
	// RetryAfter is the time after which the same body would meet its target, and its
	// deadline, if no others come.
	RetryAfter time.Duration
}

// Estimate returns when a further body of n bytes would have been sent.
func (s *Scheduler) Estimate(now time.Time, c Class, n int64) Estimate {
	s.advance(now)
	g := &flow{Class: c, left: max(n, 0)}
	e := Estimate{Delay: s.delay(g, now, false)}
	wanted := c.Target
	if wanted.IsZero() || !c.Deadline.IsZero() && c.Deadline.Before(wanted) {
		wanted = c.Deadline
	}
	if wanted.IsZero() || !now.Add(e.Delay).After(wanted) {
		return e
	}
	e.RetryAfter = now.Add(e.Delay).Sub(wanted)
	if !c.Target.IsZero() {
		e.Delay = s.delay(g, now, true)
	}
	return e
}

// delay returns how long it takes to send g and what is sent before it; late states that g
// cannot meet its target.
func (s *Scheduler) delay(g *flow, now time.Time, late bool) time.Duration {
	return seconds((s.ahead(g, now, late) + float64(g.left)) / s.rateFor(g, now, late))
}

// rateFor returns the rate that is left to g if as many bodies pass it as did lately: those
// of more urgent ranks and, if g is late, those of its own that are not.
func (s *Scheduler) rateFor(g *flow, now time.Time, late bool) float64 {
	free := s.largeRate(now)
	rest := free
	for o, r := range s.orders {
		switch {
		case o < g.Order:
			rest -= r.all.value(now)
		case o == g.Order && late:
			rest -= r.inTime.value(now)
		}
	}
	return max(rest, free/behindShare)
}

// largeRate returns the rate that small messages leave to large bodies.
func (s *Scheduler) largeRate(now time.Time) float64 {
	return max(s.rate-s.small.value(now), s.rate/reservedShare)
}

// ahead returns the bytes that are sent before g; late states that g cannot meet its
// target.
func (s *Scheduler) ahead(g *flow, now time.Time, late bool) float64 {
	n := s.backlog
	for _, f := range s.flows {
		if f.left == 0 || s.stalled(f, now) {
			continue
		}
		switch l := s.isLate(f, now); {
		case f.Order > g.Order:
		case f.Order < g.Order, late && !l, late == l && !f.due(l).After(g.due(l)):
			n += float64(f.left)
		}
	}
	return n
}

// stalled reports whether f has begun and no longer asks for pieces.
func (s *Scheduler) stalled(f *flow, now time.Time) bool {
	return f.begun && f.want == 0 && now.Sub(f.granted) > stallTime
}

// Admit reports whether a further body of n bytes is expected to have been sent by its
// deadline. A body alone on the link always is, since the setting may be wrong.
func (s *Scheduler) Admit(now time.Time, c Class, n int64) (Estimate, bool) {
	e := s.Estimate(now, c, n)
	return e, len(s.flows) == 0 || c.Deadline.IsZero() || !now.Add(e.Delay).After(c.Deadline)
}

// Delay returns how long a further body would wait if it were the least urgent. It does not
// depend on a rank, since entry nodes keep one value for each link.
func (s *Scheduler) Delay(now time.Time) time.Duration {
	s.advance(now)
	n := s.backlog
	for _, f := range s.flows {
		if !s.stalled(f, now) {
			n += float64(f.left)
		}
	}
	return seconds(n / s.largeRate(now))
}

// Backlog returns the modeled queue of the link as time.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	s.advance(now)
	return seconds(s.backlog / s.rate)
}

// Bodies returns the number of bodies that are being sent or expected.
func (s *Scheduler) Bodies() int { return len(s.flows) }

// Waiting returns the number of pieces that wait.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, f := range s.flows {
		if f.want > 0 {
			n++
		}
	}
	return n
}

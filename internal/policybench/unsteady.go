package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// ZoneFault is a fault of the first zone, in the second third of the measurement.
type ZoneFault int

// Faults of a zone.
const (
	SteadyZone ZoneFault = iota
	// EmptyZone has lost all but one in three of its upstreams.
	EmptyZone
	// SlowZone takes slowZoneFactor times as long.
	SlowZone
	// BusyLinks delays large responses of the zone's upstreams by busyLinkDelay.
	BusyLinks
)

const (
	slowZoneFactor = 3
	busyLinkDelay  = 700 * time.Millisecond
	// pauseTime is how long an upstream is slow by pauseFactor.
	pauseTime   = 600 * time.Millisecond
	pauseFactor = 2.5
)

// Unsteady describes how the load and the upstreams of a scenario vary.
type Unsteady struct {
	// Tail is the standard deviation of the logarithm of the service times; zero means
	// half constant and half exponentially distributed.
	Tail float64
	// Pauses is the share of the time in which an upstream is slow for a moment.
	Pauses float64
	// Swing is how much of its mean the load of a zone rises and falls in each Period.
	// The zones follow each other.
	Swing  float64
	Period time.Duration
	// ZoneFault is the fault of the first zone, ZonePrice the price of bytes between zones.
	ZoneFault ZoneFault
	ZonePrice float64
	// FreeRetries is how many refusals of a call are followed by another try that takes
	// nothing from the retry budget.
	FreeRetries int
}

// serviceTime draws the service time of a call at an upstream of mean speed.
func (s Scenario) serviceTime(w *Workload, r *rand.Rand) time.Duration {
	if s.Tail == 0 {
		return time.Duration((0.5 + 0.5*r.ExpFloat64()) * float64(w.Service))
	}
	return time.Duration(math.Exp(s.Tail*r.NormFloat64()-s.Tail*s.Tail/2) * float64(w.Service))
}

// entryOf draws the entry node of a call that arrives at time t. Each upstream has the
// given number of entry nodes in its zone.
func (s Scenario) entryOf(t time.Duration, r *rand.Rand, n, each int) int {
	for {
		i := r.IntN(n)
		if s.Swing == 0 {
			return i
		}
		zone := float64(i / each % len(s.Zones))
		phase := 2 * math.Pi * (t.Seconds()/s.Period.Seconds() + zone/float64(len(s.Zones)))
		if r.Float64()*(1+s.Swing) < 1+s.Swing*math.Sin(phase) {
			return i
		}
	}
}

// faultTime returns when the fault of a zone begins and ends.
func (s Scenario) faultTime() (begin, end time.Duration) {
	return s.WarmUp + s.Measured/3, s.WarmUp + 2*s.Measured/3
}

// linkDelay returns the delay of large responses of upstreams of a zone at time t.
func (s Scenario) linkDelay(zone string, t time.Duration) time.Duration {
	begin, end := s.faultTime()
	if s.ZoneFault != BusyLinks || zone != s.Zones[0] || t < begin || t >= end {
		return 0
	}
	return busyLinkDelay
}

// scheduleUnsteady schedules the pauses of upstreams and the fault of the first zone.
func (m *sim) scheduleUnsteady(r *rand.Rand) {
	s := m.scenario
	begin, end := s.faultTime()
	for i, n := range m.names {
		o := m.owners[n]
		if s.Pauses > 0 {
			m.pause(o, rand.New(rand.NewPCG(r.Uint64(), uint64(i))))
		}
		if o.zone != s.Zones[0] {
			continue
		}
		switch s.ZoneFault {
		case SlowZone:
			m.loop.at(epoch.Add(begin), func() { o.upstream.factor *= slowZoneFactor })
			m.loop.at(epoch.Add(end), func() { o.upstream.factor /= slowZoneFactor })
		case EmptyZone:
			if i/len(s.Zones)%3 > 0 {
				m.loop.at(epoch.Add(begin), func() { m.remove(o.name) })
			}
		case SteadyZone, BusyLinks:
		}
	}
}

// pause makes an upstream slow for pauseTime at random times.
func (m *sim) pause(o *owner, r *rand.Rand) {
	mean := pauseTime.Seconds() * (1 - m.scenario.Pauses) / m.scenario.Pauses
	m.loop.after(time.Duration(r.ExpFloat64()*mean*float64(time.Second)), func() {
		if m.loop.now.After(m.to) {
			return
		}
		o.upstream.factor *= pauseFactor
		m.loop.after(pauseTime, func() {
			o.upstream.factor /= pauseFactor
			m.pause(o, r)
		})
	})
}

// zoned returns a service of 27 upstreams with 9 slots each in three zones, with the given
// load and 81 entry nodes.
func zoned(name string, load float64, u Unsteady) Scenario {
	u.Tail, u.ZonePrice, u.FreeRetries = 0.8, 8000, 2
	return Scenario{
		Name: name, Workers: 27, Slots: 9, ZoneLatency: 500 * time.Microsecond,
		Zones: []string{"bilbao", "oviedo", "santander"},
		Workloads: []Workload{
			{rank("read", 1, 500*time.Millisecond, 0.4), 1, 1200 * time.Millisecond, 150 * time.Millisecond, load, true, 0, 1500},
		},
		Slowest: 3.2, OtherEntries: 2, Unsteady: u,
		WarmUp: 10 * time.Second, Measured: 60 * time.Second,
	}
}

// large returns a copy whose responses have the given size, with a longer target.
func (s Scenario) large(bytes int64) Scenario {
	w := s.Workloads[0]
	w.ResponseBytes, w.Target, w.Deadline = bytes, 800*time.Millisecond, 2*time.Second
	s.Workloads = []Workload{w}
	return s
}

// ZoneScenarios returns the scenarios of uneven speeds and zones.
func ZoneScenarios() []Scenario {
	small := func(name string, workers, slots int, load float64, price float64) Scenario {
		s := zoned(name, load, Unsteady{})
		s.Workers, s.Slots, s.Slowest, s.ZonePrice, s.OtherEntries = workers, slots, 0, price, 1
		s.Workloads[0].Service, s.Workloads[0].Target, s.Workloads[0].Deadline = 30*time.Millisecond, 250*time.Millisecond, time.Second
		return s
	}
	return []Scenario{
		zoned("speeds, 7%", 0.07, Unsteady{}),
		zoned("speeds, 45%", 0.45, Unsteady{}),
		zoned("speeds, 80%", 0.8, Unsteady{}),
		zoned("pauses, 7%", 0.07, Unsteady{Pauses: 0.15}),
		zoned("pauses, 45%", 0.45, Unsteady{Pauses: 0.15}),
		zoned("zone short of upstreams, 45%", 0.45, Unsteady{ZoneFault: EmptyZone}),
		zoned("slow zone, 30%", 0.3, Unsteady{ZoneFault: SlowZone}),
		zoned("slow zone, 60%", 0.6, Unsteady{ZoneFault: SlowZone}),
		zoned("busy links, 20 KB", 0.3, Unsteady{ZoneFault: BusyLinks}).large(20_000),
		zoned("busy links, 90 KB", 0.3, Unsteady{ZoneFault: BusyLinks}).large(90_000),
		zoned("wave of 15%, 80%", 0.8, Unsteady{Swing: 0.15, Period: 11 * time.Second}),
		zoned("wave of 55%, 70%", 0.7, Unsteady{Swing: 0.55, Period: 13 * time.Second}),
		zoned("wave of 55%, 70%, 90 KB", 0.7, Unsteady{Swing: 0.55, Period: 13 * time.Second}).large(90_000),
		small("small 5×18, 30%", 5, 18, 0.3, 8000),
		small("small 5×6, 60%", 5, 6, 0.6, 8000),
		small("small 3×6, 60%", 3, 6, 0.6, 8000),
		small("small 5×6, 80%", 5, 6, 0.8, 8000),
		small("small 5×6, 60%, no price", 5, 6, 0.6, 0),
	}
}

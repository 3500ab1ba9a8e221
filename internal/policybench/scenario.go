package policybench

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
)

// Workload describes the calls of one rank to the measured service.
type Workload struct {
	queue.Rank
	Worth    float64
	Deadline time.Duration
	// Service is the mean slot time. Half of it is constant, the other half is
	// exponentially distributed.
	Service time.Duration
	// Load is the normal demand as a share of the service's capacity.
	Load       float64
	Idempotent bool
	// RequestBytes and ResponseBytes are the sizes of the bodies.
	RequestBytes, ResponseBytes int64
}

// Fault is a fault of the first upstream.
type Fault int

// Faults.
const (
	NoFault Fault = iota
	// Stalled completes no request during the fault.
	Stalled
	// Lost is lost together with its node from the start of the fault.
	Lost
	// Failing answers with errors after a millisecond.
	Failing
	// Shrunk has a quarter of its slots and queues further requests internally.
	Shrunk
)

// Scenario is a load on one service, possibly with a flood and a fault.
type Scenario struct {
	Name    string
	Workers int
	Slots   int
	Zones   []string
	// ZoneLatency is the one-way latency between two zones.
	ZoneLatency time.Duration
	Workloads   []Workload
	// Flood is the rank whose demand is FloodFactor times the capacity, in addition
	// to its Load; empty for none.
	Flood       string
	FloodFactor float64
	// FloodCaller is the single caller of the flood. If it is empty, the flood comes
	// from the normal callers.
	FloodCaller string
	Fault       Fault
	// Slowest is the slot time of the slowest upstream relative to the fastest; zero
	// means that all are equal. The mean over all upstreams stays that of the workload.
	Slowest float64
	// OtherEntries is the number of entry nodes for each upstream besides its own node:
	// those beside the upstreams of other services.
	OtherEntries int
	Unsteady
	// WarmUp is the time with normal load before the flood and the measurement,
	// Measured the duration of the measurement. A fault starts after a third of
	// Measured and lasts for a third.
	WarmUp, Measured time.Duration
}

// Capacity returns the number of slots of the service.
func (s Scenario) Capacity() float64 { return float64(s.Workers * s.Slots) }

// WithFlood returns a copy with a flood of the named rank at times the capacity.
func (s Scenario) WithFlood(rank string, times float64) Scenario {
	s.Flood, s.FloodFactor = rank, times
	s.Name = fmt.Sprintf("%s, %g times %s", s.Name, times, rank)
	if times > 5 {
		s.Measured = min(s.Measured, 10*time.Second) // limits the number of events
	}
	return s
}

// WithFloodCaller returns a copy whose flood comes from one caller.
func (s Scenario) WithFloodCaller(name string) Scenario {
	s.FloodCaller = name
	s.Name += " from one caller"
	return s
}

// WithFault returns a copy with a fault of one upstream.
func (s Scenario) WithFault(f Fault, name string) Scenario {
	s.Fault = f
	s.Name += ", " + name
	return s
}

// WithLoad returns a copy in which the normal demand of the named rank is the given
// share of the capacity.
func (s Scenario) WithLoad(rank string, load float64) Scenario {
	s.Workloads = slices.Clone(s.Workloads)
	for i := range s.Workloads {
		if s.Workloads[i].Name == rank {
			s.Workloads[i].Load = load
		}
	}
	return s
}

// WithMeasured returns a copy with the given duration of the measurement.
func (s Scenario) WithMeasured(d time.Duration) Scenario { s.Measured = d; return s }

// WithRanks returns a copy that serves only the named ranks.
func (s Scenario) WithRanks(names ...string) Scenario {
	var l []Workload
	for _, w := range s.Workloads {
		for _, n := range names {
			if w.Name == n {
				l = append(l, w)
			}
		}
	}
	s.Workloads = l
	s.Name += " " + names[0] + " alone"
	return s
}

func rank(name string, order int, target time.Duration, floor float64) queue.Rank {
	return queue.Rank{Name: name, Order: order, Target: target, Floor: floor}
}

// Pichler returns a service of 5 upstreams with 20 slots each that serves three ranks.
func Pichler() Scenario {
	return Scenario{
		Name: "Pichler shared 5×20", Workers: 5, Slots: 20, ZoneLatency: 1500 * time.Microsecond,
		Zones: []string{"innsbruck-a", "innsbruck-b", "kufstein"},
		Workloads: []Workload{
			{rank("level", 1, 250*time.Millisecond, 0.4), 10, time.Second, 20 * time.Millisecond, 0.3, true, 0, 0},
			{rank("alarm", 2, 500*time.Millisecond, 0.2), 8, 2 * time.Second, 40 * time.Millisecond, 0.1, false, 0, 0},
			{rank("survey", 3, 10*time.Second, 0.1), 1, 30 * time.Second, 800 * time.Millisecond, 0.25, false, 0, 0},
		},
		WarmUp: 5 * time.Second, Measured: 20 * time.Second,
	}
}

// Vineta returns a service of 5 upstreams with 5 slots each that serves three ranks.
func Vineta() Scenario {
	return Scenario{
		Name: "Viñeta Norte shared 5×5", Workers: 5, Slots: 5, ZoneLatency: 500 * time.Microsecond,
		Zones: []string{"bilbao", "oviedo", "santander"},
		Workloads: []Workload{
			{rank("swap", 1, 300*time.Millisecond, 0.3), 10, 2 * time.Second, 30 * time.Millisecond, 0.1, false, 0, 0},
			{rank("page", 2, 200*time.Millisecond, 0.3), 3, 1500 * time.Millisecond, 25 * time.Millisecond, 0.3, true, 0, 0},
			{rank("scan", 3, 5*time.Second, 0.1), 1, 15 * time.Second, 500 * time.Millisecond, 0.25, false, 0, 0},
		},
		WarmUp: 5 * time.Second, Measured: 20 * time.Second,
	}
}

// Large returns a service of 96 upstreams with 16 slots each that differ in speed. An entry
// node has about one request in three seconds for each upstream of its availability zone.
func Large() Scenario {
	return Scenario{
		Name: "large 96×16", Workers: 96, Slots: 16, ZoneLatency: 1400 * time.Microsecond,
		Zones: []string{"innsbruck-a", "innsbruck-b", "kufstein"},
		Workloads: []Workload{
			{rank("level", 1, time.Second, 0.4), 10, 3 * time.Second, 470 * time.Millisecond, 0.5, true, 0, 0},
		},
		Slowest: 2.4, OtherEntries: 2,
		WarmUp: 10 * time.Second, Measured: 20 * time.Second,
	}
}

// speedFactor returns the slot time of upstream i relative to the mean.
func (s Scenario) speedFactor(i int) float64 {
	if s.Slowest == 0 || s.Workers < 2 {
		return 1
	}
	// The step spreads fast and slow upstreams over the zones.
	const step = 37
	position := float64(i*step%s.Workers) / float64(s.Workers-1)
	return (1 + (s.Slowest-1)*position) * 2 / (1 + s.Slowest)
}

// Scenarios returns all scenarios of the table.
func Scenarios() []Scenario {
	var l []Scenario
	for _, s := range []Scenario{Pichler(), Vineta()} {
		top, low := s.Workloads[0].Name, s.Workloads[len(s.Workloads)-1].Name
		l = append(l, s)
		for _, times := range []float64{2, 5, 20} {
			l = append(l, s.WithFlood(low, times))
		}
		for _, times := range []float64{2, 5, 20} {
			l = append(l, s.WithFlood(top, times))
		}
		l = append(l,
			s.WithFlood(s.Workloads[1].Name, 5).WithFloodCaller("flood"),
			s.WithFault(Stalled, "one upstream stalled"),
			s.WithFault(Lost, "one node lost"),
			s.WithFault(Failing, "one upstream failing fast"),
			s.WithFault(Shrunk, "one upstream with a quarter of its slots"),
			s.WithFlood(low, 5).WithFault(Stalled, "one upstream stalled"),
			s.WithFlood(low, 5).WithFault(Lost, "one node lost"),
		)
	}
	l = append(l, Large())
	alone := Pichler().WithRanks("level")
	return append(l, alone, alone.WithFlood("level", 2), alone.WithFlood("level", 5))
}

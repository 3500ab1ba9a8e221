package policybench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// RankResult counts the calls of one rank that arrived during the measurement.
type RankResult struct {
	Rank           string
	Calls          int
	OnTime         int
	Refused        int // ended in a refusal, provably not run
	Retries        int // of all calls, including those before the measurement
	AllCalls       int
	Worth          float64
	SlotTime       time.Duration // slot time within the measurement
	WastedSlotTime time.Duration // part of Slot whose answer was late or none
	// BackloggedSlotTime is the slot time of the owners while work of the rank waited there,
	// and SlotWaited the rank's part of it.
	BackloggedSlotTime time.Duration
	BackloggedUse      time.Duration
	Latency            []time.Duration
	capacity           time.Duration
}

// InTarget is the share of calls answered within the target, in percent.
func (t *RankResult) InTarget() float64 { return percent(float64(t.OnTime), float64(t.Calls)) }

// SlotShare is the share of the service's slot time, in percent.
func (t *RankResult) SlotShare() float64 { return percent(float64(t.SlotTime), float64(t.capacity)) }

// BackloggedShare is the rank's share of an owner's slot time while any of its work
// waits there, in percent: what the floor promises.
func (t *RankResult) BackloggedShare() float64 {
	return percent(float64(t.BackloggedUse), float64(t.BackloggedSlotTime))
}

// RetryShare is the number of retries by calls, in percent.
func (t *RankResult) RetryShare() float64 { return percent(float64(t.Retries), float64(t.AllCalls)) }

func percent(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return 100 * a / b
}

// Quantile returns a quantile of the latency of answered calls.
func (t *RankResult) Quantile(q float64) time.Duration {
	if len(t.Latency) == 0 {
		return 0
	}
	slices.Sort(t.Latency)
	return t.Latency[int(q*float64(len(t.Latency)-1))]
}

func (t *RankResult) finish(w *Workload, took time.Duration, answered bool, x errkind.Execution) {
	if !answered {
		if x == errkind.NotRun {
			t.Refused++
		}
		return
	}
	t.Latency = append(t.Latency, took)
	if took <= w.Target {
		t.OnTime++
		t.Worth += w.Worth
	}
}

// Result holds the tallies of one run.
type Result struct {
	Scenario Scenario
	Policy   Policy
	Ranks    []*RankResult
	// FloodCaller counts the calls of a single flooding caller.
	FloodCaller *RankResult
}

func newResult(s Scenario, p Policy) *Result {
	r := &Result{Scenario: s, Policy: p}
	c := time.Duration(s.Capacity() * float64(s.Measured))
	for _, w := range s.Workloads {
		r.Ranks = append(r.Ranks, &RankResult{Rank: w.Name, capacity: c})
	}
	if s.FloodCaller != "" {
		r.FloodCaller = &RankResult{Rank: s.Flood + ", flooding caller", capacity: c}
	}
	return r
}

// Rank returns the tally of the named rank, without a single flooding caller.
func (r *Result) Rank(name string) *RankResult {
	for _, t := range r.Ranks {
		if t.Rank == name {
			return t
		}
	}
	return nil
}

func (r *Result) tally(rank string, flood bool) *RankResult {
	if flood && r.FloodCaller != nil {
		return r.FloodCaller
	}
	return r.Rank(rank)
}

func (r *Result) occupied(rank string, from, to time.Time, useful bool) {
	d := to.Sub(from)
	if d <= 0 {
		return
	}
	t := r.Rank(rank)
	t.SlotTime += d
	if !useful {
		t.WastedSlotTime += d
	}
}

// Header starts the Markdown table of results.
const Header = `| Scenario | Policy | Rank | Calls/s | In target % | Worth/s | p50 ms | p99 ms | Not run % | Slot time % | While waiting % | Wasted % | Retries % |
| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
`

// Write prints the rows of r.
func (r *Result) Write(w io.Writer) {
	l := r.Ranks
	if r.FloodCaller != nil {
		l = append(slices.Clone(l), r.FloodCaller)
	}
	s := r.Scenario.Measured.Seconds()
	for _, t := range l {
		fmt.Fprintf(w, "| %s | %s | %s | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n",
			r.Scenario.Name, r.Policy.Name, t.Rank, float64(t.Calls)/s, t.InTarget(), t.Worth/s,
			milliseconds(t.Quantile(0.5)), milliseconds(t.Quantile(0.99)),
			percent(float64(t.Refused), float64(t.Calls)), t.SlotShare(), t.BackloggedShare(),
			percent(float64(t.WastedSlotTime), float64(t.capacity)), t.RetryShare())
	}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

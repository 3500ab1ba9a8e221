package policybench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// RankResult holds the counts and slot times of one rank. Unless noted otherwise they
// are of calls that arrived during the measurement.
type RankResult struct {
	Rank           string
	Calls          int
	OnTime         int
	Refused        int // refused, and known not to have run
	Retries        int // of all calls, including those before the measurement
	AllCalls       int
	Worth          float64
	SlotTime       time.Duration // slot time within the measurement
	WastedSlotTime time.Duration // part of SlotTime of tries without an answer in target
	// BackloggedSlotTime is the slot time of all owners, each counted only while
	// requests of the rank waited there. BackloggedUse is the part of it that the
	// rank used.
	BackloggedSlotTime time.Duration
	BackloggedUse      time.Duration
	Latency            []time.Duration
	// Crossed counts the tries at other zones, CrossedBytes the bytes of their bodies,
	// and Queued the tries that found no free slot.
	Crossed         int
	CrossedBySecond []int // Crossed by second of the measurement
	CrossedBytes    int64
	Queued          int
	// LongWaits counts the tries that waited for a slot for more than a fifth of the
	// target.
	LongWaits int
	capacity  time.Duration
}

// InTarget returns the share of calls answered within the target, in percent.
func (t *RankResult) InTarget() float64 { return percent(float64(t.OnTime), float64(t.Calls)) }

// SlotShare returns the rank's share of the service's slot time, in percent.
func (t *RankResult) SlotShare() float64 { return percent(float64(t.SlotTime), float64(t.capacity)) }

// BackloggedShare returns the rank's share of the owners' slot time while any of its
// requests waited there, in percent. The floor guarantees this share.
func (t *RankResult) BackloggedShare() float64 {
	return percent(float64(t.BackloggedUse), float64(t.BackloggedSlotTime))
}

// RetryShare returns the number of retries divided by that of all calls, in percent.
func (t *RankResult) RetryShare() float64 { return percent(float64(t.Retries), float64(t.AllCalls)) }

func percent(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return 100 * a / b
}

// Quantile returns the q-quantile of the latency of answered calls.
func (t *RankResult) Quantile(q float64) time.Duration {
	if len(t.Latency) == 0 {
		return 0
	}
	slices.Sort(t.Latency)
	return t.Latency[int(q*float64(len(t.Latency)-1))]
}

// finish counts a call that has ended.
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

// Result holds the results of one run.
type Result struct {
	Scenario Scenario
	Policy   Policy
	Ranks    []*RankResult
	// FloodCaller counts the calls of a single flooding caller; nil without one.
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

// Rank returns the result of the named rank, without the calls of a single flooding
// caller.
func (r *Result) Rank(name string) *RankResult {
	for _, t := range r.Ranks {
		if t.Rank == name {
			return t
		}
	}
	return nil
}

// forCall returns the result to which a call is added.
func (r *Result) forCall(rank string, flood bool) *RankResult {
	if flood && r.FloodCaller != nil {
		return r.FloodCaller
	}
	return r.Rank(rank)
}

func (r *Result) addSlotTime(rank string, from, to time.Time, useful bool) {
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

// Header is the header of the Markdown table of results.
const Header = `| Scenario | Policy | Rank | Calls/s | In target % | Worth/s | p50 ms | p99 ms | Not run % | Slot time % | While waiting % | Wasted % | Retries % |
| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
`

// Write writes the table rows of r.
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

// ZoneHeader is the header of the Markdown table of WriteZones.
const ZoneHeader = `| Scenario | Policy | Calls/s | Late % | p50 ms | p99 ms | Not run % | Queued % | Crossed % | KB/s between zones | Worth/s less bytes |
| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
`

// WriteZones writes the table rows of r with what crossed between zones.
func (r *Result) WriteZones(w io.Writer) {
	s := r.Scenario.Measured.Seconds()
	for _, t := range r.Ranks {
		fmt.Fprintf(w, "| %s | %s | %.0f | %.2f | %.0f | %.0f | %.2f | %.1f | %.1f | %.0f | %.1f |\n",
			r.Scenario.Name, r.Policy.Name, float64(t.Calls)/s, 100-t.InTarget(), milliseconds(t.Quantile(0.5)), milliseconds(t.Quantile(0.99)),
			percent(float64(t.Refused), float64(t.Calls)), percent(float64(t.Queued), float64(t.Calls)),
			percent(float64(t.Crossed), float64(t.Calls)), float64(t.CrossedBytes)/1000/s, t.WorthLessBytes(r.Scenario.ZonePrice)/s)
	}
}

// cross counts a try at another zone that is sent at a time of the measurement.
func (t *RankResult) cross(w *Workload, at time.Duration) {
	t.Crossed++
	t.CrossedBytes += w.RequestBytes
	second := int(at / time.Second)
	for len(t.CrossedBySecond) <= second {
		t.CrossedBySecond = append(t.CrossedBySecond, 0)
	}
	t.CrossedBySecond[second]++
}

// WorthLessBytes returns the worth of the answers in target less the price of the bytes
// between zones.
func (t *RankResult) WorthLessBytes(price float64) float64 {
	return t.Worth - float64(t.CrossedBytes)*price/1e9
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

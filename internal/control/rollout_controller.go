package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/rollout"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// rolloutInterval is the interval between decisions. A bad version that gets all
	// requests uses up its exposure in about a second.
	rolloutInterval = 100 * time.Millisecond
	// advanceTimeout bounds one change of a rollout. It is tried again with the next
	// decision.
	advanceTimeout = time.Second
	// reportAge is the age from which the last report of a node says nothing about its
	// present state. Nodes report every 200 ms after the step.
	reportAge = 1200 * time.Millisecond
)

// rolloutSource is the part of the config group that the controller needs.
type rolloutSource interface {
	Current() *versions.View
	// Leading reports whether this member leads the group.
	Leading() bool
	// Advance proposes a change of a rollout at this member.
	Advance(ctx context.Context, a versions.AdvanceRollout) error
}

// Leading implements rolloutSource.
func (c *configStore) Leading() bool {
	s := c.group.Status()
	return s.Role == replica.LeaderRole && s.Current
}

// Advance implements rolloutSource. It does not forward the proposal: only the leader
// decides.
func (c *configStore) Advance(ctx context.Context, a versions.AdvanceRollout) error {
	b, err := a.Encode()
	if err != nil {
		return err
	}
	v, err := c.group.Propose(ctx, b)
	if err != nil {
		return err
	}
	_, err = v.(versions.Result).Outcome()
	return err
}

// rollouts is the controller of the rollouts. Every control follows them, so that one that
// takes over knows their times; only the leader takes reports and decides.
type rollouts struct {
	source   rolloutSource
	registry *registry.Registry
	metrics  metrics.Registry
	log      logr.Logger

	mu sync.Mutex
	// leadingSince is zero while this member does not lead.
	leadingSince time.Time
	// ran states that the rollouts were looked at before.
	ran     bool
	running map[string]*runningRollout
	changes sync.WaitGroup
}

// runningRollout is what this control knows of a running rollout.
type runningRollout struct {
	rollout customer.Rollout
	// started is when the rollout began, on this VM's clock, and appeared when the first
	// new upstream was serving.
	started, appeared time.Time
	// tally is nil while this member does not lead. counting is when it began.
	tally    *rollout.Tally
	counting time.Time
	nodes    map[string]rolloutNode
	reason   string
	// changing states that a change is being proposed.
	changing bool
}

// rolloutNode is the state of a node in its last report.
type rolloutNode struct {
	at          time.Time
	step        uint64
	oldInFlight int
}

func newRollouts(s rolloutSource, r *registry.Registry, m metrics.Registry, l logr.Logger) *rollouts {
	return &rollouts{source: s, registry: r, metrics: m, log: l, running: map[string]*runningRollout{}}
}

// run decides periodically until ctx is done.
func (k *rollouts) run(ctx context.Context) {
	defer k.changes.Wait()
	t := time.NewTicker(rolloutInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.decide(ctx, wallClock())
		}
	}
}

// wallClock returns the time without its monotonic reading, which does not advance while
// the VM is suspended.
func wallClock() time.Time { return time.Now().Round(0) }

// decide updates the running rollouts and, at the leader, decides about each.
func (k *rollouts) decide(ctx context.Context, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	leading := k.source.Leading()
	k.follow(now, leading)
	switch {
	case !leading:
		k.leadingSince = time.Time{}
	case k.leadingSince.IsZero():
		k.leadingSince = now
	}
	metrics.GetOrRegisterGauge("rollouts_running", k.metrics).Update(int64(len(k.running)))
	for _, r := range k.running {
		if !leading {
			r.tally, r.reason = nil, ""
			continue
		}
		if r.tally == nil {
			r.tally = rollout.NewTally(r.rollout.Version, r.started.Before(k.leadingSince))
			r.counting, r.nodes = now, map[string]rolloutNode{}
		}
		if !r.changing {
			k.decideOne(ctx, now, r)
		}
	}
}

// follow brings the list of running rollouts up to date.
func (k *rollouts) follow(now time.Time, leading bool) {
	seen := map[string]bool{}
	for _, o := range k.source.Current().Rollouts() {
		if !o.Running() {
			continue
		}
		seen[o.Service] = true
		r := k.running[o.Service]
		if r == nil || r.rollout.Order != o.Order {
			r = &runningRollout{started: k.start(now, o, leading)}
			k.running[o.Service] = r
		}
		r.rollout = o
		if r.appeared.IsZero() {
			if _, n := k.upstreams(o); n.count > 0 {
				r.appeared = now
			}
		}
		k.shareGauge(o.Service).Update(int64(o.Share))
	}
	for s := range k.running {
		if !seen[s] {
			delete(k.running, s)
			k.shareGauge(s).Update(0)
		}
	}
	k.ran = true
}

func (k *rollouts) shareGauge(service string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(fmt.Sprintf("rollout_share{service=%q}", service), k.metrics)
}

// start returns when the rollout began, which this control sees now for the first time. The
// leader sees it at once. Another control may see it late, and relies on the clock of the
// control that took the order.
func (k *rollouts) start(now time.Time, o customer.Rollout, leading bool) time.Time {
	if leading && k.ran && !k.leadingSince.IsZero() {
		return now
	}
	s := time.UnixMilli(o.StartedMillis)
	if first := now.Add(-o.Within); s.Before(first) {
		return first
	}
	if s.After(now) {
		return now
	}
	return s
}

// upstreamCount counts serving upstreams and their slots.
type upstreamCount struct{ count, slots int }

// upstreams returns the serving upstreams of the old and of the new version.
func (k *rollouts) upstreams(o customer.Rollout) (old, next upstreamCount) {
	for _, c := range k.registry.Candidates(o.Service) {
		u := c.Upstream
		if u.State != wire.Serving {
			continue
		}
		switch {
		case u.Version == o.Version:
			next.count, next.slots = next.count+1, next.slots+u.Slots
		case o.IsOld(u.Version):
			old.count, old.slots = old.count+1, old.slots+u.Slots
		}
	}
	return old, next
}

// decideOne decides about one rollout and proposes the change.
func (k *rollouts) decideOne(ctx context.Context, now time.Time, r *runningRollout) {
	i := k.input(now, r)
	d := rollout.Decide(i)
	if d.Action == rollout.Wait {
		if d.Reason != r.reason {
			r.reason = d.Reason
			k.logDecision(now, r, i, d, nil)
		}
		return
	}
	r.reason, r.changing = d.Reason, true
	a := versions.AdvanceRollout{
		Service: r.rollout.Service, Order: r.rollout.Order, Step: r.rollout.Step, Time: now,
		State: customer.RolloutRunning, Share: d.Share, Canaries: d.Canaries,
	}
	switch d.Action {
	case rollout.Complete:
		a.State, a.Share = customer.RolloutComplete, customer.FullShare
	case rollout.RollBack:
		a.State, a.Share = customer.RolloutRolledBack, 0
	}
	k.changes.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, advanceTimeout)
		defer cancel()
		err := k.source.Advance(ctx, a)
		k.mu.Lock()
		defer k.mu.Unlock()
		r.changing = false
		k.logDecision(now, r, i, d, err)
		metrics.GetOrRegisterCounter(fmt.Sprintf("rollout_decisions{action=%q}", d.Action), k.metrics).Inc(1)
	})
}

// input collects what the decision about r depends on.
func (k *rollouts) input(now time.Time, r *runningRollout) rollout.Input {
	o := r.rollout
	old, next := k.upstreams(o)
	i := rollout.Input{
		Elapsed: now.Sub(r.started), Within: o.Within, Share: o.Share, Canaries: o.Canaries, Counting: now.Sub(r.counting),
		OldUpstreams: old.count, NewUpstreams: next.count, OldSlots: old.slots, NewSlots: next.slots,
		Deadline: longestDeadline(k.source.Current(), o.Service), Evidence: r.tally.Evidence(now),
	}
	if !r.appeared.IsZero() {
		i.Appeared = now.Sub(r.appeared)
	}
	for _, n := range k.registry.Records() {
		if s, ok := r.nodes[n.Node]; !ok || now.Sub(s.at) > reportAge {
			i.Missing++
		}
	}
	// A node that stops has left the registry, and reports until its requests have ended.
	for _, s := range r.nodes {
		if now.Sub(s.at) <= reportAge && (s.step < o.Step || s.oldInFlight > 0) {
			i.Pending++
		}
	}
	return i
}

// longestDeadline returns the longest deadline of the routes to a service.
func longestDeadline(v *versions.View, service string) time.Duration {
	d := time.Duration(0)
	for _, c := range v.Configs() {
		for _, r := range c.Routes() {
			for _, p := range r.WeightedServices() {
				if p.Service == service {
					d = max(d, r.Deadline)
				}
			}
		}
	}
	return d
}

func (k *rollouts) logDecision(now time.Time, r *runningRollout, i rollout.Input, d rollout.Decision, err error) {
	old, next, recent := i.Evidence.Summary()
	oldest := time.Duration(0)
	for _, n := range r.nodes {
		oldest = max(oldest, now.Sub(n.at))
	}
	k.log.Info("rollout decision", "service", r.rollout.Service, "softwareVersion", r.rollout.Version,
		"order", r.rollout.Order, "step", r.rollout.Step, "elapsedMillis", i.Elapsed.Milliseconds(), "withinMillis", i.Within.Milliseconds(),
		"share", i.Share, "canaries", i.Canaries, "oldUpstreams", i.OldUpstreams, "newUpstreams", i.NewUpstreams,
		"oldRequests", old.Requests, "oldFailures", old.Failures, "newRequests", next.Requests, "newFailures", next.Failures,
		"recentRequests", recent.Requests, "recentFailures", recent.Failures, "countingMillis", i.Counting.Milliseconds(),
		"reports", len(r.nodes), "oldestReportMillis", oldest.Milliseconds(), "pending", i.Pending, "missing", i.Missing,
		"action", d.Action, "newShare", d.Share, "newCanaries", d.Canaries, "reason", d.Reason, "detail", d.Detail, "failure", errorText(err))
}

// handleReport takes the report of a node.
func (k *rollouts) handleReport(_ context.Context, q *wire.RolloutReport) (*wire.Empty, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	if !k.source.Leading() {
		return nil, errkind.New(errkind.NotLeader, "this control does not lead").WithExecution(errkind.NotRun)
	}
	k.add(wallClock(), q)
	return &wire.Empty{}, nil
}

// add stores a report.
func (k *rollouts) add(now time.Time, q *wire.RolloutReport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	metrics.GetOrRegisterCounter("rollout_reports", k.metrics).Inc(1)
	for _, s := range q.Services {
		r := k.running[s.Service]
		if r == nil || r.tally == nil || r.rollout.Order != s.Order || !r.tally.Add(now, q, s) {
			continue
		}
		r.nodes[q.Node] = rolloutNode{at: now, step: s.Step, oldInFlight: s.OldInFlight}
	}
}

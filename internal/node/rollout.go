package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

const (
	// rolloutReportInterval is the interval between reports while a rollout is running.
	rolloutReportInterval = 500 * time.Millisecond
	// fullShareReportInterval applies once all requests go to the new version. A bad one
	// then gets in one second most of what it may get in the whole rollout.
	fullShareReportInterval = 200 * time.Millisecond
	// rolloutTick is how often the node looks for a new state of a rollout, which it
	// reports at once.
	rolloutTick = 50 * time.Millisecond
	// rolloutReportTimeout bounds one report. The next one carries the same counts.
	rolloutReportTimeout = time.Second
)

// rolloutReporter reports running rollouts to the leader of the controls.
type rolloutReporter struct {
	node        string
	incarnation uint64
	log         logr.Logger
	// running returns the rollouts that are running in the table in force, and its version.
	running func() ([]customer.Rollout, uint64)
	// services returns the counts of the given rollouts.
	services func([]customer.Rollout) []wire.RolloutService
	send     func(context.Context, *wire.RolloutReport) error

	sequence uint64
	// last is when the last report was sent, and steps the sum of the steps in it.
	last    time.Time
	steps   uint64
	failing bool
}

// newRolloutReporter returns the reporter of this incarnation of n.
func (n *Node) newRolloutReporter(incarnation uint64) *rolloutReporter {
	return &rolloutReporter{
		node: n.c.Settings.Name, incarnation: incarnation, log: n.c.Log.WithName("rollout"),
		running: func() ([]customer.Rollout, uint64) {
			t := n.distribution.Table()
			return t.RunningRollouts(), t.Version()
		},
		services: n.router.Rollouts,
		send: func(ctx context.Context, q *wire.RolloutReport) error {
			_, err := callLeader[wire.RolloutReport, wire.Empty](ctx, n.leader, wire.MethodReportRollouts, q)
			return err
		},
	}
}

// run reports until ctx is done. Reports do not overlap.
func (r *rolloutReporter) run(ctx context.Context) {
	t := time.NewTicker(rolloutTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			r.tick(ctx, now)
		}
	}
}

// tick sends a report if one is due.
func (r *rolloutReporter) tick(ctx context.Context, now time.Time) {
	l, version := r.running()
	if len(l) == 0 {
		return
	}
	interval, steps := rolloutReportInterval, uint64(0)
	for _, o := range l {
		steps += o.Order + o.Step
		if o.Full() {
			interval = fullShareReportInterval
		}
	}
	if steps == r.steps && now.Sub(r.last) < interval {
		return
	}
	r.last, r.steps = now, steps
	r.sequence++
	ctx, cancel := context.WithTimeout(ctx, rolloutReportTimeout)
	defer cancel()
	err := r.send(ctx, &wire.RolloutReport{
		Node: r.node, Incarnation: r.incarnation, Sequence: r.sequence, Version: version, Services: r.services(l),
	})
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.log.Info("report of rollouts", "delivered", err == nil, "rollouts", len(l), "version", version, "reason", errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

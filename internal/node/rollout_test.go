package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// Guards against reports without a rollout, which would cost every node, and against a new
// state that the leader hears of only with the next regular report.
func TestRolloutReports(t *testing.T) {
	var running []customer.Rollout
	var sent []*wire.RolloutReport
	var fail error
	now := time.Unix(1000, 0)
	r := &rolloutReporter{
		node: "n", incarnation: 7, log: logr.Discard(),
		running:  func() ([]customer.Rollout, uint64) { return running, 3 },
		services: func([]customer.Rollout) []wire.RolloutService { return nil },
		send:     func(_ context.Context, q *wire.RolloutReport) error { sent = append(sent, q); return fail },
	}
	assertReports := func(what string, d time.Duration, low, high int) {
		t.Helper()
		sent = nil
		for end := now.Add(d); now.Before(end); now = now.Add(rolloutTick) {
			r.tick(t.Context(), now)
		}
		if n := len(sent); n < low || n > high {
			t.Errorf("%s: got %d reports in %s, want %d to %d", what, n, d, low, high)
		}
	}
	assertReports("no rollout", 5*time.Second, 0, 0)
	running = []customer.Rollout{{Order: 2, State: customer.RolloutRunning}}
	assertReports("running", 5*time.Second, 9, 11)
	assertReports("just reported", rolloutReportInterval/2, 0, 1)
	running = []customer.Rollout{{Order: 2, Step: 1, State: customer.RolloutRunning}}
	assertReports("new step", 2*rolloutTick, 1, 1)
	fail = errors.New("no leader")
	assertReports("unreachable leader", 5*time.Second, 9, 11)
	if a, b := sent[0], sent[1]; b.Sequence <= a.Sequence || a.Incarnation != 7 {
		t.Errorf("got %+v, then %+v; want rising sequences of incarnation 7", a, b)
	}
	running = []customer.Rollout{{Order: 2, Step: 2, State: customer.RolloutRunning, Share: customer.FullShare}}
	assertReports("full share", 5*time.Second, 20, 26)
}

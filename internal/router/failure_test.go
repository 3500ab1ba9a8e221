package router

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// answers is a transport whose first answers have the given statuses. In place of
// the status full, the node beside the upstream refuses the request, in place of
// rejected the upstream does, in place of cut the connection breaks after the
// request was sent, and in place of away the node cannot be reached.
type answers struct{ statuses []int }

const full, cut, rejected, away = -1, -2, -3, -4

func (a *answers) Call(_ context.Context, r *call.Request) (*call.Response, error) {
	s := 200
	if len(a.statuses) > 0 {
		s, a.statuses = a.statuses[0], a.statuses[1:]
	}
	switch s {
	case full:
		return nil, &call.LoadError{After: 2 * time.Second, Err: errkind.New(errkind.QueueFull, "full")}
	case rejected:
		return nil, &call.LoadError{Arrived: true, Err: errkind.New(errkind.QueueFull, "busy")}
	case cut:
		return nil, errkind.New(errkind.UpstreamFailed, "connection reset")
	case away:
		return nil, errkind.New(errkind.ConnectFailed, "connection refused").WithExecution(errkind.NotRun)
	}
	return &call.Response{
		Head: wire.ResponseHead{RequestID: r.RequestID, Status: s, ContentLength: 4}, Body: io.NopCloser(strings.NewReader("body")),
		Trailer: func() map[string][]string { return nil }, Load: func() *wire.Load { return nil },
	}, nil
}

// twoUpstreams returns a router with two upstreams behind l, and a match of the route.
func twoUpstreams(l *answers, enabled bool, execution customer.Execution, attempts int) (*Router, table.Match) {
	g := registry.New()
	g.Put(time.Now(), []wire.NodeRecord{{Node: "n", Incarnation: 1, Upstreams: []wire.Upstream{
		{Name: "u1", Service: "s", State: wire.Serving, Slots: 5, Connections: 5},
		{Name: "u2", Service: "s", State: wire.Serving, Slots: 5, Connections: 5},
	}}})
	m := table.Match{
		Name: "* h/", Rank: customer.Rank{Name: "r"},
		Route: customer.Route{Service: "s", Execution: execution, Attempts: attempts},
	}
	return New(Config{Node: "n", Registry: g, Local: l, Log: logr.Discard(), RetryFailures: enabled}), m
}

func send(t *testing.T, r *Router, m table.Match) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	a, err := r.Route(ctx, m, &call.Request{RequestHead: wire.RequestHead{RequestID: "id", WholeBody: true, Attempt: 1}})
	if err != nil {
		return 0, err
	}
	b, err := io.ReadAll(a.Body)
	a.Body.Close()
	if got, want := string(b), "body"; err != nil || got != want {
		t.Errorf("body: got %q, %v, want %q", got, err, want)
	}
	return a.Head.Status, nil
}

// A request that ran must never be refused as not-run because a later try was,
// and an upstream's own answer must not be lost to a later error.
func TestFailureAfterRun(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		status   int
		want     int // of an error
	}{
		"answer, then refused":     {[]int{500, full}, 500, 0},
		"answer, then cut":         {[]int{500, cut}, 500, 0},
		"cut, then refused":        {[]int{cut, full}, 0, 502},
		"refused, then refused":    {[]int{full, full}, 0, 503},
		"refused, then an answer":  {[]int{full, 500}, 500, 0},
		"cut, then a whole answer": {[]int{cut}, 200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := &answers{}
			r, m := twoUpstreams(l, true, customer.Idempotent, 2)
			for range 20 { // earns retries
				_, _ = send(t, r, m)
			}
			l.statuses = c.statuses
			got, err := send(t, r, m)
			if got != c.status {
				t.Errorf("got status %d, want %d", got, c.status)
			}
			if (err != nil) != (c.want > 0) || err != nil && errkind.From(err).HTTPStatus() != c.want {
				t.Errorf("got %v, want an error of status %d", err, c.want)
			}
			var l2 *call.LoadError
			if c.want > 0 && (!errors.As(err, &l2) || l2.After != 2*time.Second) {
				t.Errorf("got %#v, want the time to come back", err)
			}
		})
	}
}

// Work that must not run twice must never be sent again after an upstream's own
// failure, and other work not more often than its route and the budget allow.
func TestRetryAfterFailure(t *testing.T) {
	for name, c := range map[string]struct {
		execution customer.Execution
		attempts  int
		enabled   bool
		budget    int // calls that earned retries before
		statuses  []int
		want      int
	}{
		"idempotent":                {customer.Idempotent, 2, true, 20, []int{500}, 200},
		"once":                      {customer.Once, 2, true, 20, []int{500}, 500},
		"one attempt":               {customer.Idempotent, 1, true, 20, []int{500}, 500},
		"two failures":              {customer.Idempotent, 2, true, 20, []int{500, 500}, 500},
		"switched off":              {customer.Idempotent, 2, false, 20, []int{500}, 500},
		"empty budget":              {customer.Idempotent, 2, true, 0, []int{500}, 500},
		"a failure of the request":  {customer.Idempotent, 2, true, 20, []int{404}, 404},
		"the end of its time":       {customer.Idempotent, 2, true, 20, []int{504}, 504},
		"other parts of the system": {customer.Idempotent, 2, true, 20, []int{502}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			l := &answers{}
			r, m := twoUpstreams(l, c.enabled, c.execution, c.attempts)
			for range c.budget {
				_, _ = send(t, r, m)
			}
			l.statuses = c.statuses
			if got, err := send(t, r, m); err != nil || got != c.want {
				t.Errorf("got status %d, %v, want %d", got, err, c.want)
			}
		})
	}
}

// A node that has no free slot or cannot be reached must not cost a retry, since
// the upstream got nothing; one that the upstream itself refused counts there as an arrival.
func TestNodesThatTurnAway(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		want     int // status, or zero for an error
	}{
		"turned away by a node":               {[]int{full}, 200},
		"turned away by all nodes":            {[]int{full, full}, 0},
		"a node that cannot be reached":       {[]int{away}, 200},
		"no node can be reached":              {[]int{away, away}, 0},
		"rejected by the upstream":            {[]int{rejected}, 0},
		"turned away, then a failed upstream": {[]int{full, 500}, 500},
	} {
		t.Run(name, func(t *testing.T) {
			l := &answers{statuses: c.statuses}
			r, m := twoUpstreams(l, true, customer.Once, 2)
			retries := 0
			r.c.Retried = func(string) { retries++ }
			got, err := send(t, r, m) // no call has earned a retry yet
			if got != c.want || (err == nil) != (c.want > 0) {
				t.Errorf("got status %d, %v, want %d", got, err, c.want)
			}
			if retries != 0 {
				t.Errorf("retries taken: got %d, want 0", retries)
			}
		})
	}
}

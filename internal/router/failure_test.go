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

// scriptedTransport responds with the given statuses in order, and then with 200.
// For the constants below it returns an error instead: the owner node or the upstream
// has no capacity, the connection breaks after the request was sent, the node cannot be
// reached, or the upstream has left its node.
type scriptedTransport struct{ statuses []int }

const nodeBusy, connectionLost, upstreamBusy, unreachable, departed = -1, -2, -3, -4, -5

func (a *scriptedTransport) Call(_ context.Context, r *call.Request) (*call.Response, error) {
	s := 200
	if len(a.statuses) > 0 {
		s, a.statuses = a.statuses[0], a.statuses[1:]
	}
	switch s {
	case nodeBusy:
		return nil, &call.LoadError{After: 2 * time.Second, Err: errkind.New(errkind.QueueFull, "no free slot")}
	case upstreamBusy:
		return nil, &call.LoadError{Arrived: true, Err: errkind.New(errkind.QueueFull, "busy")}
	case connectionLost:
		return nil, errkind.New(errkind.UpstreamFailed, "connection reset")
	case departed:
		return nil, errkind.New(errkind.Leaving, "not attached")
	case unreachable:
		return nil, errkind.New(errkind.ConnectFailed, "connection refused").WithExecution(errkind.NotRun)
	}
	return &call.Response{
		Head: wire.ResponseHead{RequestID: r.RequestID, Status: s, ContentLength: 4}, Body: io.NopCloser(strings.NewReader("body")),
		Trailer: func() map[string][]string { return nil }, Load: func() *wire.Load { return nil },
	}, nil
}

// twoUpstreams returns a router with two local upstreams that l serves, and a match of
// a route to them.
func twoUpstreams(l *scriptedTransport, enabled bool, execution customer.Execution, attempts int) (*Router, table.Match) {
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

// Guards that a request that may have run is never refused as not-run because a later
// try was, and that a later error does not replace the response of an upstream.
func TestErrorAfterRun(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		status   int
		want     int // of an error
	}{
		"response, then busy node":        {[]int{500, nodeBusy}, 500, 0},
		"response, then lost connection":  {[]int{500, connectionLost}, 500, 0},
		"lost connection, then busy node": {[]int{connectionLost, nodeBusy}, 0, 502},
		"two busy nodes":                  {[]int{nodeBusy, nodeBusy}, 0, 503},
		"busy node, then response":        {[]int{nodeBusy, 500}, 500, 0},
		"lost connection, then response":  {[]int{connectionLost}, 200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := &scriptedTransport{}
			r, m := twoUpstreams(l, true, customer.Idempotent, 2)
			for range 20 { // fills the retry budget
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
				t.Errorf("got %#v, want a retry delay of 2s", err)
			}
		})
	}
}

// Guards that callers are told when an overloaded upstream has a slot for them, although
// the upstream that was tried after it is gone. They would return too early.
func TestRetryDelayOfAnOverloadedUpstream(t *testing.T) {
	for name, gone := range map[string]int{"has left": departed, "cannot be reached": unreachable} {
		for order, statuses := range map[string][]int{"last": {nodeBusy, gone}, "first": {gone, nodeBusy}} {
			t.Run(name+" "+order, func(t *testing.T) {
				r, m := twoUpstreams(&scriptedTransport{statuses: statuses}, true, customer.Once, 2)
				_, err := send(t, r, m)
				var l *call.LoadError
				if !errors.As(err, &l) || l.After != 2*time.Second || errkind.From(err).Execution != errkind.NotRun {
					t.Errorf("got %v, want not-run with a retry delay of 2s", err)
				}
			})
		}
	}
}

// Guards that requests that must not run twice are never retried after an upstream
// has failed, and that others are not retried more often than their route and the
// retry budget allow.
func TestRetryAfterFailure(t *testing.T) {
	for name, c := range map[string]struct {
		execution customer.Execution
		attempts  int
		enabled   bool
		budget    int // requests sent before, which fill the retry budget
		statuses  []int
		want      int
	}{
		"idempotent":                   {customer.Idempotent, 2, true, 20, []int{500}, 200},
		"not idempotent":               {customer.Once, 2, true, 20, []int{500}, 500},
		"one attempt":                  {customer.Idempotent, 1, true, 20, []int{500}, 500},
		"two failures":                 {customer.Idempotent, 2, true, 20, []int{500, 500}, 500},
		"retries of failures disabled": {customer.Idempotent, 2, false, 20, []int{500}, 500},
		"empty budget":                 {customer.Idempotent, 2, true, 0, []int{500}, 500},
		"error of the request":         {customer.Idempotent, 2, true, 20, []int{404}, 404},
		"timeout":                      {customer.Idempotent, 2, true, 20, []int{504}, 504},
		"bad gateway":                  {customer.Idempotent, 2, true, 20, []int{502}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			l := &scriptedTransport{}
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

// Guards that a node without a free slot, or one that cannot be reached, takes nothing
// from the retry budget, since nothing was sent to its upstream. A request that the
// upstream itself refused has arrived there, and is not retried for free.
func TestNodesThatTurnAway(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int
		want     int // status, or zero for an error
	}{
		"busy node":                       {[]int{nodeBusy}, 200},
		"two busy nodes":                  {[]int{nodeBusy, nodeBusy}, 0},
		"unreachable node":                {[]int{unreachable}, 200},
		"two unreachable nodes":           {[]int{unreachable, unreachable}, 0},
		"busy upstream":                   {[]int{upstreamBusy}, 0},
		"busy node, then failed upstream": {[]int{nodeBusy, 500}, 500},
	} {
		t.Run(name, func(t *testing.T) {
			l := &scriptedTransport{statuses: c.statuses}
			r, m := twoUpstreams(l, true, customer.Once, 2)
			retries := 0
			r.c.Retried = func(string) { retries++ }
			got, err := send(t, r, m) // the retry budget is still empty
			if got != c.want || (err == nil) != (c.want > 0) {
				t.Errorf("got status %d, %v, want %d", got, err, c.want)
			}
			if retries != 0 {
				t.Errorf("retries: got %d, want 0", retries)
			}
		})
	}
}

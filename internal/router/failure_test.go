package router

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// answers is a transport whose first answers have the given statuses.
type answers struct{ statuses []int }

func (a *answers) Call(_ context.Context, r *call.Request) (*call.Response, error) {
	s := 200
	if len(a.statuses) > 0 {
		s, a.statuses = a.statuses[0], a.statuses[1:]
	}
	return &call.Response{
		Head: wire.ResponseHead{RequestID: r.RequestID, Status: s, ContentLength: 4}, Body: io.NopCloser(strings.NewReader("body")),
		Trailer: func() map[string][]string { return nil }, Load: func() *wire.Load { return nil },
	}, nil
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
			g := registry.New()
			g.Put(time.Now(), []wire.NodeRecord{{Node: "n", Incarnation: 1, Upstreams: []wire.Upstream{
				{Name: "u1", Service: "s", State: wire.Serving, Slots: 5, Connections: 5},
				{Name: "u2", Service: "s", State: wire.Serving, Slots: 5, Connections: 5},
			}}})
			l := &answers{}
			r := New(Config{Node: "n", Registry: g, Local: l, Log: logr.Discard(), RetryFailures: c.enabled})
			m := table.Match{
				Name: "* h/", Rank: customer.Rank{Name: "r"},
				Route: customer.Route{Service: "s", Execution: c.execution, Attempts: c.attempts},
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			send := func() int {
				a, err := r.Route(ctx, m, &call.Request{RequestHead: wire.RequestHead{RequestID: "id", WholeBody: true, Attempt: 1}})
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, a.Body)
				a.Body.Close()
				return a.Head.Status
			}
			for range c.budget {
				send()
			}
			l.statuses = c.statuses
			if got := send(); got != c.want {
				t.Errorf("got status %d, want %d", got, c.want)
			}
		})
	}
}

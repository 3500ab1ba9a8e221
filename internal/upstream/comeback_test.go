package upstream

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// refusing serves an upstream that turns every request away, beside a node whose
// requests have a target of 400 ms.
func refusing(t *testing.T) *Local {
	network := standin.NewNetwork()
	l, err := network.Listen("u:80")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	c := customer.NewConfig("pichler").
		WithService(customer.Service{Name: "levels", Slots: 4, Connections: 8}).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: 400 * time.Millisecond, Worth: 1}).
		WithRoute(customer.Route{Host: "h", Method: "GET", Path: "/", Service: "levels", Rank: "urgent", Deadline: time.Second, Execution: customer.Idempotent})
	b, err := table.New(1, map[string]*customer.Config{"pichler": c})
	if err != nil {
		t.Fatal(err)
	}
	d := dialect.Default()
	d.NotRun = "Not-Run"
	n := NewLocal(Config{Table: func() *table.Table { return b }, Log: logr.Discard(), Dial: network.Dial, Dialect: d})
	n.Set([]Announced{{Name: "u", Announcement: Announcement{Service: "levels", Address: "u:80", Slots: 4, Connections: 8, State: wire.Serving}}})
	t.Cleanup(func() { n.Close(); s.Close(); <-done })
	return n
}

// Guards that a caller whom an upstream turned away is told to come back while it
// can still be answered within its target, and not later where it cannot.
func TestRefusedByUpstreamComesBackWithinTarget(t *testing.T) {
	for _, c := range []struct {
		name        string
		waited      time.Duration
		least, most time.Duration
	}{
		{"new request", 0, minWait, 300 * time.Millisecond},
		{"a part of the target is left", 200 * time.Millisecond, minWait, 150 * time.Millisecond},
		{"no target is left", 390 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := refusing(t).Call(t.Context(), &call.Request{RequestHead: wire.RequestHead{
					Service: "levels", Upstream: "u", Rank: "urgent", Route: "r", Method: "GET", Path: "/", Host: "h", Waited: c.waited,
				}})
				var l *call.LoadError
				if !errors.As(err, &l) || !l.Arrived {
					t.Fatalf("got %v, want a refusal by the upstream", err)
				}
				if l.After < c.least || l.After > c.most {
					t.Errorf("come back: got %v, want %v to %v", l.After, c.least, c.most)
				}
			})
		})
	}
}

// minWait is longer than the way to the caller and back.
const minWait = 20 * time.Millisecond

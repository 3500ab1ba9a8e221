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

// startRefusing starts an upstream that refuses every request, and returns a Local for
// it whose requests have a target of 400 ms.
func startRefusing(t *testing.T) *Local {
	return startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// startUpstream starts an upstream with four slots that runs h, and returns a Local for it
// whose requests have a target of 400 ms.
func startUpstream(t *testing.T, h http.HandlerFunc) *Local {
	network := standin.NewNetwork()
	l, err := network.Listen("u:80")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
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

// Guards that the retry delay after a refusal by an upstream lets the caller retry
// while the request can still be answered within its target, and that it is longer if
// it cannot.
func TestRetryAfterOfUpstreamRefusal(t *testing.T) {
	for _, c := range []struct {
		name               string
		waited             time.Duration
		minAfter, maxAfter time.Duration
	}{
		{"new request", 0, minRetryAfter, 300 * time.Millisecond},
		{"a part of the target is left", 200 * time.Millisecond, minRetryAfter, 150 * time.Millisecond},
		{"no target is left", 390 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := startRefusing(t).Call(t.Context(), &call.Request{RequestHead: wire.RequestHead{
					Service: "levels", Upstream: "u", Rank: "urgent", Route: "r", Method: "GET", Path: "/", Host: "h", Waited: c.waited,
				}})
				var l *call.LoadError
				if !errors.As(err, &l) || !l.Arrived {
					t.Fatalf("got %v, want a refusal by the upstream", err)
				}
				if l.After < c.minAfter || l.After > c.maxAfter {
					t.Errorf("retry after: got %v, want %v to %v", l.After, c.minAfter, c.maxAfter)
				}
			})
		})
	}
}

// minRetryAfter exceeds the round trip time to the caller.
const minRetryAfter = 20 * time.Millisecond

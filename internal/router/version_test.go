package router

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// versionedService has upstreams "VERSION-NUMBER" on one node and counts their requests.
type versionedService struct {
	registry *registry.Registry
	sequence uint64
	counts   map[string]int
	byName   map[string]int
	// failing is the version whose requests fail.
	failing string
	rollout customer.Rollout
	known   bool
	router  *Router
	match   table.Match
}

func newVersionedService() *versionedService {
	f := &versionedService{registry: registry.New(), counts: map[string]int{}, byName: map[string]int{}}
	f.match = table.Match{Name: "* h/", Rank: customer.Rank{Name: "r"}, Route: customer.Route{Service: "s", Execution: customer.Idempotent}}
	f.router = New(Config{
		Node: "n", Registry: f.registry, Local: f, Log: logr.Discard(), RetryFailures: true,
		Rollout: func(string) (customer.Rollout, bool) { return f.rollout, f.known },
	})
	return f
}

// set replaces the upstreams: the given number of each version, in order of appearance.
func (f *versionedService) set(l ...any) {
	r := wire.NodeRecord{Node: "n", Incarnation: 1, Sequence: f.sequence}
	f.sequence++
	for i := 0; i < len(l); i += 2 {
		for k := range l[i+1].(int) {
			r.Upstreams = append(r.Upstreams, wire.Upstream{
				Name: fmt.Sprintf("%s-%d", l[i], k), Version: l[i].(string), Service: "s", State: wire.Serving, Slots: 5, Connections: 5,
				Since: time.Unix(int64(i), 0),
			})
		}
	}
	f.registry.Put(time.Now(), []wire.NodeRecord{r})
}

func (f *versionedService) order(r customer.Rollout) {
	r.Service, r.Order, r.Step = "s", 1, f.rollout.Step+1
	f.rollout, f.known = r, true
}

// Call implements call.Transport.
func (f *versionedService) Call(_ context.Context, r *call.Request) (*call.Response, error) {
	v, _, _ := strings.Cut(r.Upstream, "-")
	f.counts[v]++
	f.byName[r.Upstream]++
	if v == f.failing {
		return nil, errkind.New(errkind.UpstreamFailed, "connection reset")
	}
	return &call.Response{
		Head: wire.ResponseHead{RequestID: r.RequestID, Status: 200, ContentLength: 4}, Body: io.NopCloser(strings.NewReader("body")),
		Trailer: func() map[string][]string { return nil }, Load: func() *wire.Load { return nil },
	}, nil
}

// send sends n requests and returns how many requests each version got.
func (f *versionedService) send(t *testing.T, n int) map[string]int {
	t.Helper()
	clear(f.counts)
	clear(f.byName)
	for range n {
		_, _ = send(t, f.router, f.match)
	}
	return f.counts
}

func assertCounts(t *testing.T, what string, got map[string]int, want ...any) {
	t.Helper()
	w := map[string]int{}
	for i := 0; i < len(want); i += 2 {
		w[want[i].(string)] = want[i+1].(int)
	}
	if fmt.Sprint(got) != fmt.Sprint(w) {
		t.Errorf("%s: got %v requests by version, want %v", what, got, w)
	}
}

// Guards against requests that reach a version which no order has named, and against
// upstreams that get none although no order came.
func TestUnnamedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedService()
		f.set("v1", 3)
		assertCounts(t, "one version", f.send(t, 100), "v1", 100)
		f.set("v1", 3, "v2", 3)
		assertCounts(t, "another appeared", f.send(t, 100), "v1", 100)
		time.Sleep(holdingTime - time.Millisecond)
		assertCounts(t, "before the holding time ends", f.send(t, 100), "v1", 100)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning})
		time.Sleep(time.Minute)
		assertCounts(t, "ordered without a share", f.send(t, 100), "v1", 100)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRolledBack})
		assertCounts(t, "rolled back", f.send(t, 100), "v1", 100)
		f.set("v2", 3)
		assertCounts(t, "only rolled back upstreams", f.send(t, 10))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedService()
		f.set("v1", 3, "v2", 3)
		assertCounts(t, "as many of both versions", f.send(t, 100), "v1", 100)
		time.Sleep(holdingTime)
		if got := f.send(t, 100); got["v2"] == 0 {
			t.Errorf("got %v, want requests at v2 after the holding time", got)
		}
	})
}

// Guards against shares that differ from the one in force, and against fallbacks that the
// state of the rollout forbids.
func TestRolloutShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedService()
		f.set("v1", 3, "v2", 3)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning, Share: 100})
		assertCounts(t, "share of a tenth", f.send(t, 1000), "v1", 900, "v2", 100)
		f.set("v1", 3)
		assertCounts(t, "no new upstream", f.send(t, 100), "v1", 100)
		f.set("v2", 3)
		if got := f.send(t, 100); got["v2"] != 10 {
			t.Errorf("got %v without old upstreams, want the share of 10 only", got)
		}
		f.set("v1", 3, "v2", 3)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning, Share: customer.FullShare})
		assertCounts(t, "full share", f.send(t, 100), "v2", 100)
		f.set("v1", 3)
		assertCounts(t, "full share without new upstreams", f.send(t, 10))
		f.set("v1", 3, "v2", 3, "v3", 9)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutComplete, Share: customer.FullShare})
		time.Sleep(time.Minute)
		assertCounts(t, "complete", f.send(t, 100), "v2", 100)
		f.order(customer.Rollout{Version: "v3", Base: "v2", State: customer.RolloutRunning, Share: 500})
		assertCounts(t, "next rollout", f.send(t, 100), "v2", 50, "v3", 50)
		f.order(customer.Rollout{Version: "v3", Rejected: []string{"v2"}, State: customer.RolloutRunning})
		assertCounts(t, "rejected before", f.send(t, 100), "v1", 100)
	})
}

// Guards against requests that are lost although an old upstream could serve them.
func TestRetryAtOldVersion(t *testing.T) {
	f := newVersionedService()
	f.set("v1", 3, "v2", 3)
	f.send(t, 500) // fills the retry budget
	f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning, Share: 500})
	f.failing = "v2"
	assertCounts(t, "failing version", f.send(t, 8), "v1", 8, "v2", 4)
}

// Guards against a share that is spread over all new upstreams, which would be loaded too
// little, and against one that always goes to the same upstream.
func TestCanariesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedService()
		f.set("v1", 3, "v2", 3)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning, Share: 500, Canaries: 1})
		all := map[string]bool{}
		for range 3 {
			f.send(t, 100)
			n := 0
			for k := range f.byName {
				if strings.HasPrefix(k, "v2") {
					all[k] = true
					n++
				}
			}
			if n != 1 {
				t.Errorf("got %v, want one new upstream in a turn", f.byName)
			}
			time.Sleep(canaryTurn)
		}
		if len(all) != 3 {
			t.Errorf("got requests at %v, want all new upstreams to take a turn", all)
		}
	})
}

// Guards against a weight of a split route that changes with the share of a rollout.
func TestSplitBeforeVersion(t *testing.T) {
	f := newVersionedService()
	f.set("v1", 3, "v2", 3)
	f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning, Share: 200})
	f.match = splitMatch(70, 30)
	f.match.Route.Split[0].Service, f.match.WeightedServices[0].Service.Name = "s", "s"
	assertCounts(t, "two services", f.send(t, 1000), "v1", 560, "v2", 140)
}

// Guards against counts that mix versions, routes or rollouts, and against in-flight
// requests at old upstreams that are not reported.
func TestRolloutReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedService()
		f.set("v1", 1, "v2", 1)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning, Share: 500})
		f.send(t, 10)
		f.failing = "v2"
		f.send(t, 10)
		q := &call.Request{RequestHead: wire.RequestHead{RequestID: "id", WholeBody: true, Attempt: 1}}
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning})
		a, err := f.router.Route(t.Context(), f.match, q)
		if err != nil {
			t.Fatal(err)
		}
		got := f.router.Rollouts([]customer.Rollout{f.rollout})[0]
		if got.Order != 1 || got.Step != 2 || got.OldInFlight != 1 {
			t.Errorf("got %+v, want order 1, step 2 and a request in flight at an old upstream", got)
		}
		i := slices.IndexFunc(got.Upstreams, func(u wire.RolloutUpstream) bool { return u.Version == "v2" })
		if i < 0 || got.Upstreams[i].Counts[0].Requests != 10 || got.Upstreams[i].Counts[0].Failures != 5 {
			t.Errorf("got %+v, want 10 requests and 5 failures of v2", got.Upstreams)
		}
		if len(got.Upstreams[i].Counts[0].Times) != 0 {
			t.Errorf("got times %v of an upstream that is still warming up", got.Upstreams[i].Counts[0].Times)
		}
		a.Body.Close()
		if got := f.router.Rollouts([]customer.Rollout{f.rollout})[0]; got.OldInFlight != 0 {
			t.Errorf("got %d requests in flight after the end, want 0", got.OldInFlight)
		}
		f.failing = ""
		time.Sleep(warmUpTime)
		f.order(customer.Rollout{Version: "v2", State: customer.RolloutRunning, Share: customer.FullShare})
		f.send(t, 10)
		got = f.router.Rollouts([]customer.Rollout{f.rollout})[0]
		if n := got.Upstreams[i].Counts[0].Times; len(n) != 1 || n[0] != 10 {
			t.Errorf("got times %v, want 10 in the first bucket", n)
		}
		f.rollout.Order++
		if got := f.router.Rollouts([]customer.Rollout{f.rollout})[0]; len(got.Upstreams) != 0 {
			t.Errorf("got %+v, want no counts of an earlier rollout", got.Upstreams)
		}
	})
}

// Guards against failures that are blamed on a version although the upstream did not cause
// them, and against failures that are overlooked.
func TestEndings(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		err    error
		want   ending
	}{
		"answer":             {200, nil, answered},
		"answer to a caller": {404, nil, answered},
		"failure":            {500, nil, failed},
		"upstream is full":   {503, nil, notRun},
		"cut off":            {200, errkind.New(errkind.AnswerIncomplete, "e").WithExecution(errkind.Unknown), failed},
		"malformed":          {0, errkind.New(errkind.UpstreamFailed, "e").WithExecution(errkind.Unknown), failed},
		"timeout":            {0, errkind.New(errkind.DeadlineExceeded, "e").WithExecution(errkind.Unknown), timedOut},
		"timeout in a queue": {0, errkind.New(errkind.DeadlineExceeded, "e").WithExecution(errkind.NotRun), notRun},
		"caller left":        {200, errkind.New(errkind.Canceled, "e"), notRun},
		"node is gone":       {0, errkind.New(errkind.Unreachable, "e"), notRun},
		"refused connection": {0, errkind.New(errkind.ConnectFailed, "e").WithExecution(errkind.NotRun), notRun},
	} {
		if got := endingOf(c.status, c.err); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

// Guards against requests that reach a version which no order has named because its
// upstreams outnumber the others: some of these may have failed, or fewer were started.
func TestUnnamedVersionInMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedService()
		f.set("v1", 3)
		f.send(t, 10)
		time.Sleep(time.Minute)
		f.set("v1", 3, "v2", 4)
		assertCounts(t, "more upstreams of another version", f.send(t, 100), "v1", 100)
		f.set("v1", 1, "v2", 4)
		assertCounts(t, "after some were lost", f.send(t, 100), "v1", 100)
		time.Sleep(holdingTime)
		if got := f.send(t, 100); got["v2"] == 0 {
			t.Errorf("got %v, want requests at v2 after the holding time", got)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedService()
		f.set("v1", 3)
		f.send(t, 10)
		time.Sleep(time.Minute)
		f.set("v2", 3)
		assertCounts(t, "all were replaced", f.send(t, 100), "v2", 100)
	})
}

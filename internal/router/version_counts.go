package router

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxVersionCounts bounds the counts kept for a service.
const maxVersionCounts = 1024

// versionCounts holds the counts of a running rollout.
type versionCounts map[versionKey]*versionCount

type versionKey struct{ upstream, version, route string }

type versionCount struct {
	requests, failures uint64
	times              [wire.RolloutTimeBuckets]uint64
}

// ending is how a try ended, as far as it says something about the upstream's version.
type ending int

const (
	// notRun tries say nothing about the upstream.
	notRun ending = iota
	answered
	failed
	// timedOut tries failed because the answer did not come in time. They are no failures
	// of an upstream that is still warming up.
	timedOut
)

// endingOf classifies a try that got an answer with the given status, which may be
// zero, and then err, which may be nil. A node that could not be reached says nothing about
// the software of its upstream.
func endingOf(status int, err error) ending {
	if err != nil {
		e := errkind.From(err)
		switch {
		case e.Kind == errkind.Canceled || e.Execution == errkind.NotRun:
			return notRun
		case e.Kind == errkind.DeadlineExceeded:
			return timedOut
		case e.Kind == errkind.UpstreamFailed || e.Kind == errkind.AnswerIncomplete:
			return failed
		}
		return notRun
	}
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return notRun // the upstream refused for lack of capacity
	case status >= http.StatusInternalServerError:
		return failed
	}
	return answered
}

// recordEnding counts the end of a try whose response head came after the given time.
func (s *service) recordEnding(m table.Match, t try, e ending, head time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &s.versions
	if !v.known || !v.rollout.Running() || e == notRun {
		return
	}
	k := versionKey{t.name, t.candidate.Upstream.Version, m.Name}
	c := v.counts[k]
	if c == nil {
		if len(v.counts) >= maxVersionCounts {
			return
		}
		c = &versionCount{}
		v.counts[k] = c
	}
	c.requests++
	warm := v.isWarm(t.started, t.name)
	switch {
	case e == failed || e == timedOut && warm:
		c.failures++
	case e == answered && warm:
		c.times[wire.RolloutTimeBucket(head)]++
	}
}

// Rollouts returns the report of each service whose rollout is running. The state in force
// and the requests in flight belong together: no request that starts later follows an
// earlier state.
func (r *Router) Rollouts(running []customer.Rollout) []wire.RolloutService {
	l := make([]wire.RolloutService, 0, len(running))
	for _, o := range running {
		s := r.service(o.Service)
		l = append(l, s.report(time.Now(), r.c))
	}
	return l
}

func (s *service) report(now time.Time, c Config) wire.RolloutService {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now, c.Registry.Candidates(s.name), s.service, c)
	o := s.versions.rollout
	a := wire.RolloutService{Service: s.name, Order: o.Order, Step: o.Step}
	for k, n := range s.versions.inFlight {
		if k != o.Version {
			a.OldInFlight += n
		}
	}
	keys := slices.SortedFunc(maps.Keys(s.versions.counts), func(x, y versionKey) int {
		return cmp.Or(cmp.Compare(x.upstream, y.upstream), cmp.Compare(x.version, y.version), cmp.Compare(x.route, y.route))
	})
	for _, k := range keys {
		n := len(a.Upstreams)
		if n == 0 || a.Upstreams[n-1].Name != k.upstream || a.Upstreams[n-1].Version != k.version {
			a.Upstreams = append(a.Upstreams, wire.RolloutUpstream{Name: k.upstream, Version: k.version})
			n++
		}
		i := slices.Index(a.Routes, k.route)
		if i < 0 {
			i = len(a.Routes)
			a.Routes = append(a.Routes, k.route)
		}
		v := s.versions.counts[k]
		u := &a.Upstreams[n-1]
		u.Counts = append(u.Counts, wire.RolloutCounts{Route: i, Requests: v.requests, Failures: v.failures, Times: trimTimes(v.times[:])})
	}
	return a
}

// trimTimes returns a copy of l without its trailing zeros.
func trimTimes(l []uint64) []uint64 {
	n := len(l)
	for n > 0 && l[n-1] == 0 {
		n--
	}
	return slices.Clone(l[:n])
}

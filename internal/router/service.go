package router

import (
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/retry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// service holds the load balancer and the retry budget of one service.
type service struct {
	name     string
	mu       sync.Mutex
	balancer *balance.Balancer
	budget   *retry.Budget
	// source is the registry's list that set and byName were built from.
	source  []registry.Candidate
	service customer.Service
	set     *balance.Set
	byName  map[string]registry.Candidate
}

func newService(name string, c balance.Config, b retry.Config) *service {
	return &service{
		name:     name,
		balancer: balance.New(c),
		budget:   retry.New(b),
		set:      balance.NewSet(nil),
	}
}

func (s *service) recordRequest(now time.Time, rank string, inboundAttempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Deposit(now, rank, inboundAttempt)
}

// availableRetries returns the number of retries that each rank may make now.
func (s *service) availableRetries() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Available()
}

// choose picks an upstream and counts it as started.
func (s *service) choose(c Config, m table.Match, q balance.Query) (try, bool) {
	l := c.Registry.Candidates(s.name)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(l, m.Service)
	h, ok := s.balancer.Choose(now, s.set, q)
	if !ok {
		return try{}, false
	}
	n := h.Candidate.Name
	s.balancer.Started(now, n, m.Rank.Name)
	return try{candidate: s.byName[n], name: n, started: now, choice: h}, true
}

// refresh rebuilds the set if the list of candidates has been replaced, or the
// service's configuration has changed. The registry never modifies a list in place.
func (s *service) refresh(l []registry.Candidate, v customer.Service) {
	if sameList(l, s.source) && s.service == v {
		return
	}
	s.source, s.service = l, v
	s.byName = make(map[string]registry.Candidate, len(l))
	k := make([]balance.Candidate, 0, len(l))
	for _, c := range l {
		n := c.Node + "/" + c.Upstream.Name
		s.byName[n] = c
		k = append(k, balance.Candidate{
			Name:      n,
			Node:      c.Node,
			Zone:      c.AvailabilityZone,
			Slots:     usableSlots(c.Upstream.Slots, v),
			State:     c.Upstream.State,
			Since:     c.Upstream.Since,
			ColdStart: v.ColdStart,
		})
	}
	s.set = balance.NewSet(k)
}

// usableSlots limits the announced slots to those of the customer file.
func usableSlots(announced int, v customer.Service) int {
	if v.Slots > 0 {
		return min(announced, v.Slots)
	}
	return announced
}

func sameList(a, b []registry.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (s *service) finished(t try, o balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Finished(time.Now(), t.name, o)
}

// retryable reports whether q may run again and its body can be sent again.
func retryable(m table.Match, q *call.Request) bool {
	return m.Route.Execution == customer.Idempotent && q.WholeBody
}

// reasonBodySent is logged if a retry is impossible, whatever the budget allows: a
// streamed body can be read only once.
const reasonBodySent = "body was sent already"

// hasOtherUpstream reports whether the service has a serving upstream other than
// that of q.
func (s *service) hasOtherUpstream(c Config, q *call.Request) bool {
	for _, k := range c.Registry.Candidates(s.name) {
		if k.Upstream.Name != q.Upstream && k.Upstream.State == wire.Serving {
			return true
		}
	}
	return false
}

// wouldRetry reports whether the budget would allow another try now, without taking
// anything from it.
func (s *service) wouldRetry(m table.Match, q *call.Request, err error, inboundAttempt, tries int, left time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.WouldRetry(time.Now(), s.newTry(m, q, err, inboundAttempt, tries, left))
}

// retry decides whether a failed try is followed by another one.
func (s *service) retry(m table.Match, q *call.Request, err error, inboundAttempt, tries int, left time.Duration, admitted bool) retry.Decision {
	if admitted {
		return retry.Decision{Reason: reasonBodySent}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Decide(time.Now(), s.newTry(m, q, err, inboundAttempt, tries, left))
}

func (s *service) newTry(m table.Match, q *call.Request, err error, inboundAttempt, tries int, left time.Duration) retry.Try {
	e := errkind.From(err)
	return retry.Try{
		Kind:           e.Kind,
		Execution:      e.Execution,
		Idempotent:     retryable(m, q),
		InboundAttempt: inboundAttempt,
		Tries:          tries,
		MaxTries:       m.Route.Attempts,
		Remaining:      left,
		Rank:           m.Rank.Name,
	}
}

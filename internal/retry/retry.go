// Package retry decides whether the entry node tries a request again and keeps
// the number of retries bounded.
//
// A request is tried again only when it provably did not run, or when it is
// idempotent and its outcome is unknown. A complete answer of the upstream is
// never retried, whatever its status.
//
// Retries cannot multiply along a chain of calls: a request that is itself a
// retry (its inbound attempt is above 1) is not retried further down, and the
// retries of each rank of a service are bounded to a share of its calls.
//
// # Usage
//
// The package is pure and not safe for concurrent use. The entry node keeps one
// Budget per service:
//
//	b := retry.New(retry.Config{})
//	b.Call(now, rank, inbound) // once per request from a caller, not per try
//	d := b.Decide(now, retry.Try{Kind: kind, Execution: execution, Idempotent: true,
//		Inbound: inbound, Tries: 1, Remaining: left, Usual: usual, Rank: rank})
//	if d.Retry { … } // d.Reason is for the log line
package retry

import (
	"cmp"
	"maps"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// DefaultShare is the bound on retries as a share of calls.
	DefaultShare = 0.1
	// DefaultBurst is how many retries unused budget can pay for at once. Ten
	// cover the requests in flight at one lost upstream of a small service.
	DefaultBurst = 10
	// DefaultMaxTries bounds the tries of one request.
	DefaultMaxTries = 3
)

// Config describes a budget.
type Config struct {
	// Share is the bound on retries as a share of calls; zero means
	// DefaultShare.
	Share float64
	// Burst is the most unused budget that is kept; zero means DefaultBurst.
	Burst float64
	// MaxTries bounds the tries of one request; zero means DefaultMaxTries.
	MaxTries int
}

// Budget bounds the retries of one service. Each rank has its own account, so
// that a flood of refused work of one rank does not use up the retries of the
// others. The budget starts empty: at no time have there been more retries than
// the share of the calls.
type Budget struct {
	config Config
	tokens map[string]float64
}

// New returns an empty budget.
func New(c Config) *Budget {
	c.Share = cmp.Or(c.Share, DefaultShare)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	c.MaxTries = cmp.Or(c.MaxTries, DefaultMaxTries)
	return &Budget{config: c, tokens: map[string]float64{}}
}

// Deposit notes a request of a caller, which earns its share of a retry. Inbound is
// its attempt number. A request that is itself a retry earns nothing: otherwise
// the retries of each place of a chain would pay for more of them at the next.
func (b *Budget) Deposit(_ time.Time, rank string, inbound int) {
	if inbound > 1 {
		return
	}
	b.tokens[rank] = min(b.tokens[rank]+b.config.Share, b.config.Burst)
}

// WouldRetry reports whether Decide would say to try again, without taking anything
// out of the budget.
func (b *Budget) WouldRetry(now time.Time, t Try) bool {
	before := b.tokens[t.Rank]
	d := b.Decide(now, t)
	b.tokens[t.Rank] = before
	return d.Retry
}

// Available returns the retries that each rank may make now.
func (b *Budget) Available() map[string]float64 { return maps.Clone(b.tokens) }

// Withdraw takes one retry of rank out of the budget if there is one.
func (b *Budget) Withdraw(_ time.Time, rank string) bool {
	// Ten additions of 0.1 are slightly less than 1 in binary.
	if b.tokens[rank] < 1-1e-9 {
		return false
	}
	b.tokens[rank]--
	return true
}

// Try describes a try that ended in an error of the system.
type Try struct {
	Kind      errkind.Kind
	Execution errkind.Execution
	// Idempotent says that the route's execution allows a second run.
	Idempotent bool
	// InboundAttempt is the attempt number that the request came with; 0 and 1 are
	// first attempts.
	InboundAttempt int
	// Tries is how many tries the entry node has made, at least 1.
	Tries int
	// MaxTries is the bound of the route; zero leaves that of the budget.
	MaxTries int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// ExpectedLatency is the usual duration of a try.
	ExpectedLatency time.Duration
	Rank            string
}

// Decision says whether to try again.
type Decision struct {
	Retry bool
	// Reason is a short text for the log line.
	Reason string
}

// Reasons of decisions.
const (
	ReasonRetry        = "retry"
	ReasonNotRetryable = "another try cannot help"
	ReasonInboundRetry = "request is itself a retry"
	ReasonMaxTries     = "tries used up"
	ReasonMayHaveRun   = "may have run and is not idempotent"
	ReasonDeadline     = "remaining time too short"
	ReasonBudget       = "retry budget empty"
)

// retryable lists the kinds for which another upstream may do better.
var retryable = map[errkind.Kind]bool{
	errkind.QueueFull:        true,
	errkind.DeadlineTooShort: true,
	errkind.Leaving:          true,
	errkind.NotReady:         true,
	errkind.ConnectFailed:    true,
	errkind.Unreachable:      true,
	errkind.UpstreamFailed:   true,
	errkind.AnswerIncomplete: true,
}

// Decide says whether t is followed by another try and takes it out of the
// budget.
func (b *Budget) Decide(now time.Time, t Try) Decision {
	switch {
	case !retryable[t.Kind]:
		return Decision{Reason: ReasonNotRetryable}
	case t.InboundAttempt > 1:
		return Decision{Reason: ReasonInboundRetry}
	case t.Tries >= b.config.MaxTries, t.MaxTries > 0 && t.Tries >= t.MaxTries:
		return Decision{Reason: ReasonMaxTries}
	case t.Execution != errkind.NotRun && !t.Idempotent:
		return Decision{Reason: ReasonMayHaveRun}
	case t.Remaining <= 0 || t.Remaining < t.ExpectedLatency:
		return Decision{Reason: ReasonDeadline}
	case !b.Withdraw(now, t.Rank):
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Reason: ReasonRetry}
}

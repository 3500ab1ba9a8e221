// Package retry decides whether the entry node retries a request, and bounds the
// retries by a budget.
//
// A request is retried only if it is known not to have run, or if it is
// idempotent and its outcome is unknown. A complete answer of the upstream is not
// retried, except one with status 500 if RetryFailures of package router is set.
//
// Retries cannot multiply along a chain of calls: a request that is itself a
// retry (its inbound attempt number is above 1) is not retried again, and the
// retries of each rank of a service are bounded to a share of its calls.
//
// # Usage
//
// The package does no I/O and is not safe for concurrent use. The entry node keeps
// one Budget per service:
//
//	b := retry.New(retry.Config{})
//	b.Deposit(now, rank, inbound) // once per request from a caller, not per try
//	d := b.Decide(now, retry.Try{Kind: kind, Execution: execution, Idempotent: true,
//		InboundAttempt: inbound, Tries: 1, Remaining: left, ExpectedLatency: expected, Rank: rank})
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
	// DefaultBurst is the number of retries that can be saved up. Ten cover the
	// requests in flight at one lost upstream of a small service.
	DefaultBurst = 10
	// DefaultMaxTries bounds the tries of one request.
	DefaultMaxTries = 3
)

// Config holds the settings of a Budget.
type Config struct {
	// Share is the bound on retries as a share of calls; zero means
	// DefaultShare.
	Share float64
	// Burst is the largest number of unused retries that is kept; zero means
	// DefaultBurst.
	Burst float64
	// MaxTries bounds the tries of one request; zero means DefaultMaxTries.
	MaxTries int
}

// Budget bounds the retries of one service. Each rank has its own tokens, so that
// a flood of refused requests of one rank does not use up the retries of the
// others. The budget starts empty, so the retries never exceed their share of the
// calls so far.
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

// Deposit adds the share of a retry that a request of a caller earns. Inbound is
// its attempt number. A request that is itself a retry earns nothing: otherwise
// the retries at each hop of a chain would allow more of them at the next.
func (b *Budget) Deposit(_ time.Time, rank string, inbound int) {
	if inbound > 1 {
		return
	}
	b.tokens[rank] = min(b.tokens[rank]+b.config.Share, b.config.Burst)
}

// WouldRetry reports whether Decide would allow a retry, without taking it from the
// budget.
func (b *Budget) WouldRetry(now time.Time, t Try) bool {
	before := b.tokens[t.Rank]
	d := b.Decide(now, t)
	b.tokens[t.Rank] = before
	return d.Retry
}

// Available returns the number of retries that each rank has left.
func (b *Budget) Available() map[string]float64 { return maps.Clone(b.tokens) }

// Withdraw takes one retry of the rank from the budget and reports whether there
// was one.
func (b *Budget) Withdraw(_ time.Time, rank string) bool {
	// Ten additions of 0.1 are slightly less than 1 in binary.
	if b.tokens[rank] < 1-1e-9 {
		return false
	}
	b.tokens[rank]--
	return true
}

// Try describes a failed try.
type Try struct {
	Kind      errkind.Kind
	Execution errkind.Execution
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// InboundAttempt is the attempt number that the request arrived with; 0 and 1
	// are first attempts.
	InboundAttempt int
	// Tries is how many tries the entry node has made, at least 1.
	Tries int
	// MaxTries is the route's own bound on tries, in addition to that of the
	// budget; zero means none.
	MaxTries int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// ExpectedLatency is the expected duration of the next try; zero if unknown.
	ExpectedLatency time.Duration
	Rank            string
}

// Decision is the result of Decide.
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

// retryable holds the kinds of errors that may not occur at another upstream.
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

// Decide decides whether t is retried. If so, it takes the retry from the budget.
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

// Package errkind defines the error kinds of gooseberrypick and the response to each
// kind: the HTTP status for callers and operators, and the exit code of the command
// line. The list of kinds is closed.
//
// # Usage
//
// Create an error with New or Wrap, and look up its kind where the response is written:
//
//	err := errkind.New(errkind.QueueFull, "rank %s has %d requests waiting", r, n)
//	answer := errkind.Of(err).Answer()
//	w.WriteHeader(answer.HTTPStatus)
//
// Of finds the kind in a chain of wrapped errors. An error without a kind counts as
// Internal, whose execution is unknown.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind identifies the cause of a failure.
type Kind string

// Kinds of errors.
const (
	BadRequest       Kind = "BadRequest"
	Unauthorized     Kind = "Unauthorized"
	NotFound         Kind = "NotFound"
	TooLarge         Kind = "TooLarge"
	HeadTooLarge     Kind = "HeadTooLarge"
	HeadTimeout      Kind = "HeadTimeout"
	NoRoute          Kind = "NoRoute"
	NoUpstream       Kind = "NoUpstream"
	KeyRequired      Kind = "KeyRequired"
	KeyReused        Kind = "KeyReused"
	InProgress       Kind = "InProgress"
	OutcomeUnknown   Kind = "OutcomeUnknown"
	AnswerNotKept    Kind = "AnswerNotKept"
	LimitExceeded    Kind = "LimitExceeded"
	QueueFull        Kind = "QueueFull"
	DeadlineTooShort Kind = "DeadlineTooShort"
	DeadlineExceeded Kind = "DeadlineExceeded"
	Canceled         Kind = "Canceled"
	Leaving          Kind = "Leaving"
	NotReady         Kind = "NotReady"
	ConnectFailed    Kind = "ConnectFailed"
	UpstreamFailed   Kind = "UpstreamFailed"
	AnswerIncomplete Kind = "AnswerIncomplete"
	NotLeader        Kind = "NotLeader"
	NoQuorum         Kind = "NoQuorum"
	NotCurrent       Kind = "NotCurrent"
	Conflict         Kind = "Conflict"
	InvalidFile      Kind = "InvalidFile"
	DiskFull         Kind = "DiskFull"
	Corrupt          Kind = "Corrupt"
	Outdated         Kind = "Outdated"
	Usage            Kind = "Usage"
	Unreachable      Kind = "Unreachable"
	Internal         Kind = "Internal"
)

// Execution states whether a request may have reached an upstream's handler.
type Execution string

// Executions that an error response can state.
const (
	NotRun  Execution = "not-run"
	Unknown Execution = "unknown"
)

// Exit codes of the command line.
const (
	ExitDone    = 0
	ExitRefused = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

// Group is a coarse classification of kinds, for metrics that allow only a few
// counters.
type Group string

// Groups of kinds.
const (
	// GroupOverload is a lack of capacity or time.
	GroupOverload Group = "Overload"
	// GroupCaller is an invalid request, or a caller that gave up.
	GroupCaller Group = "Caller"
	// GroupUnavailable is a failure of a part of the system, and every other kind.
	GroupUnavailable Group = "Unavailable"
)

var groups = map[Kind]Group{
	QueueFull: GroupOverload, DeadlineTooShort: GroupOverload, DeadlineExceeded: GroupOverload,
	BadRequest: GroupCaller, Unauthorized: GroupCaller, NotFound: GroupCaller, TooLarge: GroupCaller, HeadTooLarge: GroupCaller, HeadTimeout: GroupCaller,
	NoRoute: GroupCaller, KeyRequired: GroupCaller, KeyReused: GroupCaller, InProgress: GroupCaller,
	LimitExceeded: GroupCaller, Canceled: GroupCaller, Conflict: GroupCaller, InvalidFile: GroupCaller, Usage: GroupCaller,
}

// Answer is the response to an error of a kind.
type Answer struct {
	HTTPStatus int
	// Execution is the weakest statement that always holds for the kind, and the
	// default of its errors. Code may state NotRun for a single error only if it can
	// prove that the request did not run.
	Execution Execution
	ExitCode  int
	// RetryAfter is zero if waiting does not help.
	RetryAfter time.Duration
}

const (
	shortRetry = time.Second
	longRetry  = 5 * time.Second
)

var answers = map[Kind]Answer{
	BadRequest:       {http.StatusBadRequest, NotRun, ExitRefused, 0},
	Unauthorized:     {http.StatusUnauthorized, NotRun, ExitRefused, 0},
	NotFound:         {http.StatusNotFound, NotRun, ExitRefused, 0},
	HeadTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, NotRun, ExitRefused, 0},
	HeadTimeout:      {http.StatusRequestTimeout, NotRun, ExitRefused, 0},
	TooLarge:         {http.StatusRequestEntityTooLarge, NotRun, ExitRefused, 0},
	NoRoute:          {http.StatusNotFound, NotRun, ExitRefused, 0},
	NoUpstream:       {http.StatusServiceUnavailable, NotRun, ExitRefused, shortRetry},
	KeyRequired:      {http.StatusBadRequest, NotRun, ExitRefused, 0},
	KeyReused:        {http.StatusUnprocessableEntity, NotRun, ExitRefused, 0},
	InProgress:       {http.StatusConflict, Unknown, ExitUnknown, shortRetry},
	OutcomeUnknown:   {http.StatusConflict, Unknown, ExitUnknown, 0},
	AnswerNotKept:    {http.StatusConflict, Unknown, ExitUnknown, 0},
	LimitExceeded:    {http.StatusTooManyRequests, NotRun, ExitRefused, shortRetry},
	QueueFull:        {http.StatusServiceUnavailable, NotRun, ExitRefused, shortRetry},
	DeadlineTooShort: {http.StatusServiceUnavailable, NotRun, ExitRefused, shortRetry},
	DeadlineExceeded: {http.StatusGatewayTimeout, Unknown, ExitUnknown, 0},
	Canceled:         {499, Unknown, ExitUnknown, 0}, // 499: the usual status for a closed client connection
	Leaving:          {http.StatusServiceUnavailable, NotRun, ExitRefused, shortRetry},
	NotReady:         {http.StatusServiceUnavailable, NotRun, ExitRefused, shortRetry},
	ConnectFailed:    {http.StatusBadGateway, NotRun, ExitRefused, shortRetry},
	UpstreamFailed:   {http.StatusBadGateway, Unknown, ExitUnknown, 0},
	AnswerIncomplete: {http.StatusBadGateway, Unknown, ExitUnknown, 0},
	NotLeader:        {http.StatusServiceUnavailable, NotRun, ExitRefused, shortRetry},
	NoQuorum:         {http.StatusServiceUnavailable, NotRun, ExitRefused, longRetry},
	NotCurrent:       {http.StatusServiceUnavailable, NotRun, ExitRefused, longRetry},
	Conflict:         {http.StatusConflict, NotRun, ExitRefused, 0},
	InvalidFile:      {http.StatusUnprocessableEntity, NotRun, ExitRefused, 0},
	DiskFull:         {http.StatusInsufficientStorage, NotRun, ExitRefused, longRetry},
	Corrupt:          {http.StatusInternalServerError, Unknown, ExitRefused, 0},
	Outdated:         {http.StatusServiceUnavailable, NotRun, ExitRefused, 0},
	Usage:            {http.StatusBadRequest, NotRun, ExitUsage, 0},
	Unreachable:      {http.StatusBadGateway, Unknown, ExitUnknown, 0},
	Internal:         {http.StatusInternalServerError, Unknown, ExitUnknown, 0},
}

// Answer returns the response to errors of kind k. Unknown kinds count as Internal.
func (k Kind) Answer() Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}

// Group returns the group of k, GroupUnavailable if none is listed.
func (k Kind) Group() Group {
	if g, ok := groups[k]; ok {
		return g
	}
	return GroupUnavailable
}

// Error is an error with a kind, a reason and a statement about execution.
type Error struct {
	Kind      Kind
	Execution Execution
	Reason    string
	cause     error
}

// New returns an error of kind k with the default execution of the kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Execution: k.Answer().Execution, Reason: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k that keeps err as its cause.
func Wrap(err error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = err
	return e
}

// WithExecution returns a copy of e that states x.
func (e *Error) WithExecution(x Execution) *Error {
	c := *e
	c.Execution = x
	return &c
}

// HTTPStatus returns the status of the kind, unless the execution of e requires another
// one: 503 promises that a request did not run, and a caller with time left may repeat
// a request that did not run, whatever its kind.
func (e *Error) HTTPStatus() int {
	s := e.Kind.Answer().HTTPStatus
	switch {
	case s == http.StatusServiceUnavailable && e.Execution != NotRun:
		return http.StatusBadGateway
	case s == http.StatusGatewayTimeout && e.Execution == NotRun:
		return http.StatusServiceUnavailable
	}
	return s
}

// Error returns the reason and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the first Error in the chain of err, or an Internal error that
// wraps err. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error")
}

// Of returns the kind of err.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

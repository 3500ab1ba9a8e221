// Package dialect describes in which HTTP headers a node speaks with callers and
// upstreams, so that the same node serves callers of this project's interface
// and those of a platform with an interface of its own.
//
// # Usage
//
//	d := dialect.Own()
//	id := r.Header.Get(d.RequestID)
//	h.Set(d.Deadline, d.FormatDeadline(left))
package dialect

import (
	"fmt"
	"strconv"
	"time"
)

// Headers of this project's own interface.
const (
	HeaderDeadline  = "Gooseberrypick-Deadline"
	HeaderRequestID = "Gooseberrypick-Request-Id"
	HeaderAttempt   = "Gooseberrypick-Attempt"
	HeaderExecution = "Gooseberrypick-Execution"
	// ReservedPrefix is the prefix of the own headers.
	ReservedPrefix = "Gooseberrypick-"
)

// Dialect names headers and their formats. A header without a name is not used.
type Dialect struct {
	// RequestID holds the ID of a request.
	RequestID string
	// NeedsRequestID refuses requests without an ID, instead of making one.
	NeedsRequestID bool
	// EchoesRequestID says that each answer of an upstream holds the ID of its
	// request, so that an answer with another ID belongs to another request.
	EchoesRequestID bool
	// Deadline holds the time that is left for a request.
	Deadline       string
	FormatDeadline func(time.Duration) string
	ParseDeadline  func(string) (time.Duration, error)
	// Attempt counts the tries of a request along a chain of calls.
	Attempt string
	// Execution says in answers of the system whether a request can have run.
	Execution string
	// Caller tells an upstream the service of the VM where a request began.
	Caller string
	// ExpectedInstance names the only upstream that may run a request.
	ExpectedInstance string
	// NotRun marks an upstream's answer to a request that it did not run.
	NotRun string
	// ReservedPrefix is the prefix of the system's own headers, which upstreams must
	// not set.
	ReservedPrefix string
	// AllowsCloseDelimited accepts answers of upstreams that have neither a length nor
	// chunks and end with a proper close of their connection.
	AllowsCloseDelimited bool
	// ExactSlots says that upstreams run as many requests at the same time as
	// they announce, whatever their latency does.
	ExactSlots bool
	// FormatRetryAfter formats when a refused caller should come back.
	FormatRetryAfter func(time.Duration) string
}

// Default returns the dialect of this project's own interface.
func Default() *Dialect {
	return &Dialect{
		RequestID: HeaderRequestID,
		Deadline:  HeaderDeadline,
		FormatDeadline: func(d time.Duration) string {
			return strconv.FormatInt(max(d.Milliseconds(), 1), 10) + "ms"
		},
		ParseDeadline: func(v string) (time.Duration, error) {
			d, err := time.ParseDuration(v)
			if err != nil {
				return 0, fmt.Errorf("%q; expected a duration such as 750ms", v)
			}
			return d, nil
		},
		Attempt:        HeaderAttempt,
		Execution:      HeaderExecution,
		ReservedPrefix: ReservedPrefix,
		FormatRetryAfter: func(d time.Duration) string {
			return strconv.Itoa(int(max(1, (d+time.Second-1)/time.Second)))
		},
	}
}

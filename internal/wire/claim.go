package wire

import "time"

// Size limits of a recorded outcome. A body or header that exceeds its limit is not
// recorded.
const (
	MaxOutcomeBody   = 16 << 10
	MaxOutcomeHeader = 8 << 10
	// headerOverhead is counted for each header name and value, so that the number of
	// empty values is limited too.
	headerOverhead = 8
)

// ClaimRequest asks for the exclusive right to run a request with an idempotency key.
type ClaimRequest struct {
	Customer string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	// Digest is the hash of method, path and body.
	Digest []byte `cbor:"3,keyasint"`
	// ClaimID makes a repeated claim idempotent. A node generates a random ID for
	// each request and never reuses it.
	ClaimID string `cbor:"4,keyasint"`
	Node    string `cbor:"5,keyasint"`
	// Remaining is the time until the deadline of the request when the claim is sent.
	// Some time after the deadline, a claim without an outcome counts as unknown. It
	// is a duration because the clocks of nodes and controls differ.
	Remaining time.Duration `cbor:"6,keyasint"`
}

// ClaimState is the result of a claim.
type ClaimState string

// States of a claim that a node gets in the response.
const (
	// Granted allows the node with this claim ID to send the request once.
	Granted ClaimState = "Granted"
	// InProgress says that another claim holds the key and can still run.
	InProgress ClaimState = "InProgress"
	// Recorded says that the request ran; the response contains its outcome.
	Recorded ClaimState = "Recorded"
	// OutcomeUnknown says that another claim passed its deadline without an outcome, so
	// its request may have run.
	OutcomeUnknown ClaimState = "OutcomeUnknown"
	// Mismatch says that the key belongs to a request with another digest.
	Mismatch ClaimState = "Mismatch"
	// Released says that this claim ID was released before the claim arrived.
	Released ClaimState = "Released"
)

// ClaimResponse answers ClaimRequest.
type ClaimResponse struct {
	State   ClaimState `cbor:"1,keyasint"`
	Outcome *Outcome   `cbor:"2,keyasint,omitempty"`
}

// Outcome is the recorded response of an upstream.
type Outcome struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Truncated is set when the body was not recorded, for example because it was too
	// large. Body is then empty, because a partial response is of no use to a caller.
	Truncated bool `cbor:"4,keyasint,omitempty"`
}

// Bounded returns o without a body or headers that exceed the size limits. If the headers
// exceed theirs, the body is dropped as well.
func (o Outcome) Bounded() Outcome {
	if len(o.Body) > MaxOutcomeBody || o.Truncated {
		o = o.WithoutBody()
	}
	n := 0
	for name, values := range o.Header {
		n += len(name) + headerOverhead
		for _, v := range values {
			n += len(v) + headerOverhead
		}
	}
	if n > MaxOutcomeHeader {
		o = o.WithoutBody()
		o.Header = nil
	}
	return o
}

// WithoutBody returns o with its body dropped and marked as truncated.
func (o Outcome) WithoutBody() Outcome {
	o.Body, o.Truncated = nil, true
	return o
}

// CompleteRequest records the outcome of a claim.
type CompleteRequest struct {
	Customer string  `cbor:"1,keyasint"`
	Key      string  `cbor:"2,keyasint"`
	ClaimID  string  `cbor:"3,keyasint"`
	Outcome  Outcome `cbor:"4,keyasint"`
}

// ReleaseRequest releases a claim whose request provably did not run.
type ReleaseRequest struct {
	Customer string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	ClaimID  string `cbor:"3,keyasint"`
}

// Empty is the request or response of methods that need no data.
type Empty struct{}

package wire

import "time"

// Bounds of a recorded outcome. Larger parts are not kept.
const (
	MaxOutcomeBody   = 16 << 10
	MaxOutcomeHeader = 8 << 10
	// headerOverhead stands for the encoding of one header value, so that many
	// empty ones are bounded too.
	headerOverhead = 8
)

// ClaimRequest asks for the right to run one request once.
type ClaimRequest struct {
	Customer string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	// Digest covers method, path and body.
	Digest []byte `cbor:"3,keyasint"`
	// ClaimID makes a repeated claim idempotent. A node draws it at random for
	// each request and never uses it for a second one.
	ClaimID string `cbor:"4,keyasint"`
	Node    string `cbor:"5,keyasint"`
	// Remaining is the time the request has left when the claim is sent. A
	// claim without an outcome counts as unknown some time after it. It is a
	// duration because the clocks of nodes and controls differ.
	Remaining time.Duration `cbor:"6,keyasint"`
}

// ClaimState is the answer to a claim.
type ClaimState string

// States of a claim as told to a node.
const (
	// Granted allows the node with this claim ID to send the request once.
	Granted ClaimState = "Granted"
	// InProgress says that another claim holds the key and can still run.
	InProgress ClaimState = "InProgress"
	// Recorded says that the request ran; the outcome comes with it.
	Recorded ClaimState = "Recorded"
	// OutcomeUnknown says that another claim held the key past its deadline.
	OutcomeUnknown ClaimState = "OutcomeUnknown"
	// Mismatch says that the key belongs to a request with another digest.
	Mismatch ClaimState = "Mismatch"
	// Released says that this claim ID was withdrawn before the claim arrived.
	Released ClaimState = "Released"
)

// ClaimResponse answers ClaimRequest.
type ClaimResponse struct {
	State   ClaimState `cbor:"1,keyasint"`
	Outcome *Outcome   `cbor:"2,keyasint,omitempty"`
}

// Outcome is the recorded answer of an upstream.
type Outcome struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Truncated is set when the body was too large to record; Body is then
	// empty, because a part of an answer is of no use to a caller.
	Truncated bool `cbor:"4,keyasint,omitempty"`
}

// Bounded returns o without the parts that exceed the bounds.
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

// ReleaseRequest withdraws a claim whose request provably did not run.
type ReleaseRequest struct {
	Customer string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	ClaimID  string `cbor:"3,keyasint"`
}

// Empty is the answer of methods that return nothing.
type Empty struct{}

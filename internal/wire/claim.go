package wire

// ClaimRequest asks for the right to run one request once.
type ClaimRequest struct {
	Customer string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	// Digest covers method, path and body.
	Digest []byte `cbor:"3,keyasint"`
	// ClaimID makes a repeated claim idempotent.
	ClaimID string `cbor:"4,keyasint"`
	Node    string `cbor:"5,keyasint"`
	// DeadlineMillis is the time after which a claim without outcome counts
	// as unknown.
	DeadlineMillis int64 `cbor:"6,keyasint"`
}

// ClaimState is the answer to a claim.
type ClaimState string

// States of a claim as told to a node.
const (
	Granted        ClaimState = "Granted"
	InProgress     ClaimState = "InProgress"
	Recorded       ClaimState = "Recorded"
	OutcomeUnknown ClaimState = "OutcomeUnknown"
	Mismatch       ClaimState = "Mismatch"
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
	// Truncated is set when the body was too large to record.
	Truncated bool `cbor:"4,keyasint,omitempty"`
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

package wire

import "time"

// ForwardRequest is a message from an entry node on a Forward stream. The first one
// contains Head. Unless Head contains the whole body, the body follows in Chunk messages
// once the owner node has sent Admitted; the last one has End set.
type ForwardRequest struct {
	Head  *RequestHead `cbor:"1,keyasint,omitempty"`
	Chunk []byte       `cbor:"2,keyasint,omitempty"`
	// End marks the end of the body.
	End bool `cbor:"3,keyasint,omitempty"`
}

// RequestHead describes one request to the owner node.
type RequestHead struct {
	RequestID string `cbor:"1,keyasint"`
	Customer  string `cbor:"2,keyasint"`
	Service   string `cbor:"3,keyasint"`
	Upstream  string `cbor:"4,keyasint"`
	Rank      string `cbor:"5,keyasint"`
	// Caller identifies the flow for fair queuing within a rank.
	Caller    string              `cbor:"6,keyasint,omitempty"`
	Remaining time.Duration       `cbor:"7,keyasint"`
	Attempt   int                 `cbor:"8,keyasint"`
	Version   uint64              `cbor:"9,keyasint"`
	Execution string              `cbor:"10,keyasint"`
	Method    string              `cbor:"11,keyasint"`
	Host      string              `cbor:"12,keyasint"`
	Path      string              `cbor:"13,keyasint"`
	Header    map[string][]string `cbor:"14,keyasint,omitempty"`
	// Body is the whole body when WholeBody is set.
	Body          []byte `cbor:"15,keyasint,omitempty"`
	WholeBody     bool   `cbor:"16,keyasint,omitempty"`
	ContentLength int64  `cbor:"17,keyasint"`
	// Route is the name of the matched route, for logs.
	Route string `cbor:"18,keyasint,omitempty"`
	// Origin is the service of the VM that originated the request.
	Origin string `cbor:"19,keyasint,omitempty"`
	// Waited is the time since the caller first sent the request, earlier attempts
	// included, as far as it is known.
	Waited time.Duration `cbor:"20,keyasint,omitempty"`
	// SendClock identifies a steady clock of the entry node, and SentAt is the time on it
	// at which the head was sent.
	SendClock uint64        `cbor:"21,keyasint,omitempty"`
	SentAt    time.Duration `cbor:"22,keyasint,omitempty"`
	// Account is the account of the caller, and Weight its share of slot time relative to
	// that of other callers; zero means 1.
	Account string  `cbor:"23,keyasint,omitempty"`
	Weight  float64 `cbor:"24,keyasint,omitempty"`
	// Reserve is how much less time the upstream gets than remains, so that its response
	// arrives before the node gives up.
	Reserve time.Duration `cbor:"25,keyasint,omitempty"`
}

// ForwardResponse is a message from the owner node: Admitted if it expects the body,
// then Head, Chunk messages and End. One message may contain the whole response. A
// Refusal replaces everything that has not been sent yet.
type ForwardResponse struct {
	// Admitted allows the entry node to send the body.
	Admitted bool          `cbor:"1,keyasint,omitempty"`
	Head     *ResponseHead `cbor:"2,keyasint,omitempty"`
	Chunk    []byte        `cbor:"3,keyasint,omitempty"`
	End      *ResponseEnd  `cbor:"4,keyasint,omitempty"`
	Refusal  *Fault        `cbor:"5,keyasint,omitempty"`
	// Load is set together with End or Refusal.
	Load *Load `cbor:"6,keyasint,omitempty"`
	// RetryAfter is set together with Refusal: the time until a slot is likely to be
	// free.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	// Arrived is set together with Refusal if the request was sent to the upstream.
	Arrived bool `cbor:"8,keyasint,omitempty"`
}

// ResponseHead holds the status and headers of the upstream's response.
type ResponseHead struct {
	RequestID     string              `cbor:"1,keyasint"`
	Status        int                 `cbor:"2,keyasint"`
	Header        map[string][]string `cbor:"3,keyasint,omitempty"`
	ContentLength int64               `cbor:"4,keyasint"`
}

// ResponseEnd marks the end of a complete response.
type ResponseEnd struct {
	RequestID string              `cbor:"1,keyasint"`
	Bytes     int64               `cbor:"2,keyasint"`
	Trailer   map[string][]string `cbor:"3,keyasint,omitempty"`
	// BodyLeft is set if the request body was not read completely. The connection may
	// then still hold chunks that nothing reads, so it must not be reused.
	BodyLeft bool `cbor:"4,keyasint,omitempty"`
}

// Load is the load of one upstream as its owner node measures it.
type Load struct {
	InFlight  int           `cbor:"1,keyasint"`
	Waiting   int           `cbor:"2,keyasint"`
	Limit     int           `cbor:"3,keyasint"`
	QueueWait time.Duration `cbor:"4,keyasint"`
	// Version is the configuration version in force at the owner node.
	Version uint64 `cbor:"5,keyasint"`
	// SlotTime is the moving mean of the time that requests of the answer's route hold
	// a slot, over all entry nodes, or zero if unknown.
	SlotTime time.Duration `cbor:"6,keyasint,omitempty"`
	// BusyPercent is the moving mean of the slots in use, in percent.
	BusyPercent int `cbor:"7,keyasint,omitempty"`
	// LinkDelayMillis is how long a large response would wait for the others on the owner
	// node's link if it were the least urgent, in milliseconds, or zero if unknown.
	LinkDelayMillis int `cbor:"8,keyasint,omitempty"`
}

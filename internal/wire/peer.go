package wire

import "time"

// ForwardRequest is what an entry node sends on a Forward stream. Head comes
// first. Unless it holds the whole body, Chunk messages follow after Admitted;
// the last one has End set.
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
	// Caller identifies the flow for fairness inside a rank.
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
	// Route is the name of the matched route, for log lines.
	Route string `cbor:"18,keyasint,omitempty"`
	// Origin is the service of the VM where the request began.
	Origin string `cbor:"19,keyasint,omitempty"`
	// Waited is how long the caller has waited since it first asked, as far as
	// that is known.
	Waited time.Duration `cbor:"20,keyasint,omitempty"`
}

// ForwardResponse is what the owner node sends back: Admitted where the body is
// to follow, then Head, Chunk messages and End. One message may hold a whole
// answer. A Refusal takes the place of all that is still to come.
type ForwardResponse struct {
	// Admitted allows the entry node to send the body.
	Admitted bool          `cbor:"1,keyasint,omitempty"`
	Head     *ResponseHead `cbor:"2,keyasint,omitempty"`
	Chunk    []byte        `cbor:"3,keyasint,omitempty"`
	End      *ResponseEnd  `cbor:"4,keyasint,omitempty"`
	Refusal  *Fault        `cbor:"5,keyasint,omitempty"`
	// Load comes with End and Refusal.
	Load *Load `cbor:"6,keyasint,omitempty"`
	// RetryAfter comes with a Refusal and is when a slot is likely to be free.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	// Arrived comes with a Refusal of a request that was sent to the upstream.
	Arrived bool `cbor:"8,keyasint,omitempty"`
}

// ResponseHead starts the upstream's answer.
type ResponseHead struct {
	RequestID     string              `cbor:"1,keyasint"`
	Status        int                 `cbor:"2,keyasint"`
	Header        map[string][]string `cbor:"3,keyasint,omitempty"`
	ContentLength int64               `cbor:"4,keyasint"`
}

// ResponseEnd says that the answer is complete.
type ResponseEnd struct {
	RequestID string              `cbor:"1,keyasint"`
	Bytes     int64               `cbor:"2,keyasint"`
	Trailer   map[string][]string `cbor:"3,keyasint,omitempty"`
	// BodyLeft says that the request's body was not read to its end. The
	// connection then holds chunks that nobody will read.
	BodyLeft bool `cbor:"4,keyasint,omitempty"`
}

// Load is the owner node's view of one upstream.
type Load struct {
	InFlight  int           `cbor:"1,keyasint"`
	Waiting   int           `cbor:"2,keyasint"`
	Limit     int           `cbor:"3,keyasint"`
	QueueWait time.Duration `cbor:"4,keyasint"`
	// Version is the configuration version in force at the owner node.
	Version uint64 `cbor:"5,keyasint"`
}

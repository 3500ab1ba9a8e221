package wire

// RankCounts holds the request counts of one rank, of one node or summed over several.
type RankCounts struct {
	// Answers counts responses of upstreams with any status.
	Answers uint64 `cbor:"3,keyasint,omitempty"`
	// InTarget counts responses with a status below 500 within the rank's target.
	InTarget uint64 `cbor:"4,keyasint,omitempty"`
	// Overload, Unavailable and Caller count refusals marked not-run, grouped by the
	// kind of their error.
	Overload    uint64 `cbor:"5,keyasint,omitempty"`
	Unavailable uint64 `cbor:"6,keyasint,omitempty"`
	Caller      uint64 `cbor:"7,keyasint,omitempty"`
	// Unknown counts requests that may have run and got no complete response.
	Unknown uint64 `cbor:"8,keyasint,omitempty"`
	// Worth is the sum of the rank's worth over the responses in InTarget.
	Worth float64 `cbor:"9,keyasint,omitempty"`
}

// Requests returns the number of requests that the system had to serve. It excludes
// those that were refused because of an error of the caller.
func (c RankCounts) Requests() uint64 { return c.Answers + c.Overload + c.Unavailable + c.Unknown }

// RankStats holds the counts of one rank at one node since the node started.
type RankStats struct {
	Customer string `cbor:"1,keyasint"`
	Rank     string `cbor:"2,keyasint"`
	RankCounts
}

// RankSample holds the counts that a node reports.
type RankSample struct {
	Ranks []RankStats `cbor:"1,keyasint,omitempty"`
}

// RankRates holds rates per second between the last two samples of each node.
type RankRates struct {
	Requests float64 `cbor:"1,keyasint,omitempty"`
	InTarget float64 `cbor:"2,keyasint,omitempty"`
	Worth    float64 `cbor:"3,keyasint,omitempty"`
}

// RankTotal is the sum for one rank over several nodes.
type RankTotal struct {
	RankStats
	PerSecond RankRates `cbor:"10,keyasint,omitzero"`
}

// RankTotals holds the sums of the newest samples of the nodes connected to one control,
// or to all controls that answered.
type RankTotals struct {
	Nodes int         `cbor:"1,keyasint"`
	Ranks []RankTotal `cbor:"2,keyasint,omitempty"`
}

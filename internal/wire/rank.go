package wire

// RankCounts count the requests of one rank, or are a sum of such counts.
type RankCounts struct {
	// Answers are those of upstreams, whatever their status.
	Answers uint64 `cbor:"3,keyasint,omitempty"`
	// InTarget are the answers below status 500 within the rank's target.
	InTarget uint64 `cbor:"4,keyasint,omitempty"`
	// Overload, Unavailable and Caller are refusals marked not-run, by the group
	// of their kind.
	Overload    uint64 `cbor:"5,keyasint,omitempty"`
	Unavailable uint64 `cbor:"6,keyasint,omitempty"`
	Caller      uint64 `cbor:"7,keyasint,omitempty"`
	// Unknown are requests that may have run and got no whole answer.
	Unknown uint64 `cbor:"8,keyasint,omitempty"`
	// Worth is the sum of the rank's worth over InTarget.
	Worth float64 `cbor:"9,keyasint,omitempty"`
}

// Requests returns the requests that the system had to serve. Those that were
// refused for a fault of the caller are left out.
func (c RankCounts) Requests() uint64 { return c.Answers + c.Overload + c.Unavailable + c.Unknown }

// RankStats are the counts of one rank at one node since the node started.
type RankStats struct {
	Customer string `cbor:"1,keyasint"`
	Rank     string `cbor:"2,keyasint"`
	RankCounts
}

// RankSample is what a node sends of its counts.
type RankSample struct {
	Ranks []RankStats `cbor:"1,keyasint,omitempty"`
}

// RankRates are per second, between the last two samples of each node.
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

// RankTotals sum the newest samples of the nodes connected to a control.
type RankTotals struct {
	Nodes int         `cbor:"1,keyasint"`
	Ranks []RankTotal `cbor:"2,keyasint,omitempty"`
}

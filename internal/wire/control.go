package wire

import "time"

// RegistrySyncRequest exchanges node records between two controls.
type RegistrySyncRequest struct {
	Control string `cbor:"1,keyasint"`
	// Records are those that changed at the sender since its last call.
	Records []NodeRecord `cbor:"2,keyasint,omitempty"`
	// Buckets are the digests of the sender's registry buckets, Records included. It
	// is empty when the sender requests no comparison.
	Buckets []uint64 `cbor:"3,keyasint,omitempty"`
	// First is the number of the first bucket to compare.
	First   int    `cbor:"4,keyasint,omitempty"`
	Lineage string `cbor:"5,keyasint"`
	// Heard maps each other control to the time since the sender last exchanged
	// records with it.
	Heard map[string]time.Duration `cbor:"6,keyasint,omitempty"`
}

// RegistrySyncResponse holds the receiver's records of differing buckets.
type RegistrySyncResponse struct {
	Records []NodeRecord `cbor:"1,keyasint,omitempty"`
	// Next is the bucket to continue the comparison from, or zero when it is complete.
	Next  int                      `cbor:"2,keyasint,omitempty"`
	Heard map[string]time.Duration `cbor:"3,keyasint,omitempty"`
}

// NodeReport is the state of a node as the control it connects to knows it.
type NodeReport struct {
	Node             string        `cbor:"1,keyasint"`
	AvailabilityZone string        `cbor:"2,keyasint"`
	Version          uint64        `cbor:"3,keyasint"`
	Refused          uint64        `cbor:"4,keyasint,omitempty"`
	Reason           string        `cbor:"5,keyasint,omitempty"`
	Control          string        `cbor:"6,keyasint"`
	SinceHeard       time.Duration `cbor:"7,keyasint"`
}

// NodeReportsRequest asks a control for the reports of its nodes.
type NodeReportsRequest struct {
	// Ranks asks for RankTotals instead of the reports.
	Ranks bool `cbor:"1,keyasint,omitempty"`
}

// NodeReports answers MethodNodeReports.
type NodeReports struct {
	Reports []NodeReport `cbor:"1,keyasint"`
	Member  MemberReport `cbor:"2,keyasint"`
	Ranks   *RankTotals  `cbor:"3,keyasint,omitempty"`
}

// MemberReport is the state of a control as it reports it itself.
type MemberReport struct {
	Name             string `cbor:"1,keyasint"`
	AvailabilityZone string `cbor:"2,keyasint"`
	Role             string `cbor:"3,keyasint"`
	Current          bool   `cbor:"4,keyasint"`
	Version          uint64 `cbor:"5,keyasint"`
	// Reason says why a group of the control stopped; it is empty if none did.
	Reason string `cbor:"6,keyasint,omitempty"`
}

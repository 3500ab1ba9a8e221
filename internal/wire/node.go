package wire

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// UpstreamState is the state that an upstream announces.
type UpstreamState string

// States of an upstream.
const (
	Starting UpstreamState = "Starting"
	Serving  UpstreamState = "Serving"
	Leaving  UpstreamState = "Leaving"
)

// Upstream is one announced upstream as other nodes see it.
type Upstream struct {
	Name        string        `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	State       UpstreamState `cbor:"3,keyasint"`
	Slots       int           `cbor:"4,keyasint"`
	Connections int           `cbor:"5,keyasint"`
	// Since is when the upstream entered State, for the warm-up ramp.
	Since time.Time `cbor:"6,keyasint"`
}

// NodeRecord is what the fleet knows of one node. Only the node itself raises
// (Incarnation, Sequence); of two records the higher pair wins.
type NodeRecord struct {
	Node             string     `cbor:"1,keyasint"`
	AvailabilityZone string     `cbor:"2,keyasint"`
	PeerAddress      string     `cbor:"3,keyasint"`
	Incarnation      uint64     `cbor:"4,keyasint"`
	Sequence         uint64     `cbor:"5,keyasint"`
	Gone             bool       `cbor:"6,keyasint,omitempty"`
	Upstreams        []Upstream `cbor:"7,keyasint,omitempty"`
	// Home is the control that holds the node's lease.
	Home string `cbor:"8,keyasint,omitempty"`
}

// Bounds of a node's record. 37,000 records of this size would not fit into a
// node; real ones have one upstream and take about 150 bytes.
const (
	MaxNameBytes   = 256
	MaxUpstreams   = 64
	MaxRecordBytes = 8 << 10
)

// overhead of one encoded record or upstream, its strings left out.
const (
	recordOverhead   = 40
	upstreamOverhead = 48
)

// EncodedBytes returns an upper bound of the encoded size of r.
func (r NodeRecord) EncodedBytes() int {
	n := recordOverhead + len(r.Node) + len(r.AvailabilityZone) + len(r.PeerAddress) + len(r.Home)
	for _, u := range r.Upstreams {
		n += upstreamOverhead + len(u.Name) + len(u.Service) + len(u.State)
	}
	return n
}

// Check returns why a peer must not have sent r, or nil.
func (r NodeRecord) Check() error {
	if r.Node == "" {
		return errkind.New(errkind.BadRequest, "a record without a node")
	}
	for _, s := range []string{r.Node, r.AvailabilityZone, r.PeerAddress, r.Home} {
		if len(s) > MaxNameBytes {
			return errkind.New(errkind.BadRequest, "a name of %d bytes in the record of a node, at most %d are allowed", len(s), MaxNameBytes)
		}
	}
	if n := len(r.Upstreams); n > MaxUpstreams {
		return errkind.New(errkind.BadRequest, "%d upstreams in the record of node %s, at most %d are allowed", n, r.Node, MaxUpstreams)
	}
	if n := r.EncodedBytes(); n > MaxRecordBytes {
		return errkind.New(errkind.BadRequest, "a record of %d bytes of node %s, at most %d are allowed", n, r.Node, MaxRecordBytes)
	}
	return nil
}

// CheckRecords returns the first fault of l.
func CheckRecords(l []NodeRecord) error {
	for _, r := range l {
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Newer reports whether r replaces o.
func (r NodeRecord) Newer(o NodeRecord) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.Gone && !o.Gone
}

// ConfigUpdate moves a node from one version to another. From is zero for a
// snapshot.
type ConfigUpdate struct {
	From    uint64            `cbor:"1,keyasint"`
	To      uint64            `cbor:"2,keyasint"`
	Changes []customer.Change `cbor:"3,keyasint"`
	// Digest is the hash of all resources at version To.
	Digest uint64 `cbor:"4,keyasint"`
	// Lineage is the control system that To belongs to.
	Lineage string `cbor:"5,keyasint"`
}

// NodeMessage is what a node sends on its stream; exactly one field is set.
type NodeMessage struct {
	Hello  *Hello      `cbor:"1,keyasint,omitempty"`
	Report *NodeRecord `cbor:"2,keyasint,omitempty"`
	Ack    *Ack        `cbor:"3,keyasint,omitempty"`
	Ping   *Ping       `cbor:"4,keyasint,omitempty"`
	// Compare asks for the records that differ.
	Compare *Compare `cbor:"5,keyasint,omitempty"`
}

// Compare holds the registry digests of a node.
type Compare struct {
	Buckets []uint64 `cbor:"1,keyasint"`
}

// Hello opens a node's stream.
type Hello struct {
	Record  NodeRecord `cbor:"1,keyasint"`
	Lineage string     `cbor:"2,keyasint,omitempty"`
	Version uint64     `cbor:"3,keyasint"`
	// Buckets are the registry digests the node holds, so that it gets only
	// the records that differ.
	Buckets []uint64 `cbor:"4,keyasint,omitempty"`
}

// Ack tells which version is in force, or why a version was refused.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Refused uint64 `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}

// Ping renews the node's lease.
type Ping struct {
	Version uint64 `cbor:"1,keyasint"`
	// Ranks is set in some pings only.
	Ranks *RankSample `cbor:"2,keyasint,omitempty"`
}

// ControlState tells a node whether it should change to this control.
type ControlState struct {
	Lineage string `cbor:"1,keyasint"`
	// Committed is the newest version that the control knows to be committed.
	Committed uint64 `cbor:"2,keyasint"`
	// Current is set while the control is in contact with a majority.
	Current bool `cbor:"3,keyasint,omitempty"`
}

// ControlMessage is what a control sends on a node's stream; exactly one field
// is set.
type ControlMessage struct {
	Welcome   *Welcome     `cbor:"1,keyasint,omitempty"`
	Config    *ConfigChunk `cbor:"2,keyasint,omitempty"`
	Endpoints *Endpoints   `cbor:"3,keyasint,omitempty"`
	Pong      *Pong        `cbor:"4,keyasint,omitempty"`
	Fault     *Fault       `cbor:"5,keyasint,omitempty"`
}

// Welcome accepts a node.
type Welcome struct {
	Lineage string        `cbor:"1,keyasint"`
	Control string        `cbor:"2,keyasint"`
	Lease   time.Duration `cbor:"3,keyasint"`
	// Controls are the addresses of all controls.
	Controls []string `cbor:"4,keyasint,omitempty"`
}

// ConfigChunk is a part of one encoded ConfigUpdate. The update is complete
// with the chunk that has Last set.
type ConfigChunk struct {
	To         uint64 `cbor:"1,keyasint"`
	Compressed bool   `cbor:"2,keyasint,omitempty"`
	Data       []byte `cbor:"3,keyasint"`
	Last       bool   `cbor:"4,keyasint,omitempty"`
	// Offset is the number of bytes of the update before Data.
	Offset int `cbor:"5,keyasint,omitempty"`
}

// Endpoints carries node records that changed.
type Endpoints struct {
	Records []NodeRecord `cbor:"1,keyasint"`
	// Buckets lists the registry buckets of which Records holds every record.
	Buckets []int `cbor:"2,keyasint,omitempty"`
	// Authoritative is set when a record that is missing from Buckets no longer
	// exists. A control that has just started does not know all nodes yet.
	Authoritative bool `cbor:"3,keyasint,omitempty"`
	// Packed holds more records: compressed encodings of lists.
	Packed [][]byte `cbor:"5,keyasint,omitempty"`
	// Complete ends the answer to a Hello or a Compare.
	Complete bool `cbor:"4,keyasint,omitempty"`
}

// Pong answers Ping.
type Pong struct {
	// Committed is the newest version that the control knows to be committed.
	Committed uint64 `cbor:"1,keyasint"`
	// Current is set while the control is in contact with a majority.
	Current bool `cbor:"2,keyasint,omitempty"`
	// Digest covers all records of a control that knows all nodes; otherwise it
	// is zero.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Left is set when the control holds this node's record as Gone.
	Left bool `cbor:"3,keyasint,omitempty"`
}

package wire

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// UpstreamState is the lifecycle state that an upstream announces.
type UpstreamState string

// States of an upstream.
const (
	Starting UpstreamState = "Starting"
	Serving  UpstreamState = "Serving"
	Leaving  UpstreamState = "Leaving"
)

// Upstream describes an announced upstream to other nodes.
type Upstream struct {
	Name        string        `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	State       UpstreamState `cbor:"3,keyasint"`
	Slots       int           `cbor:"4,keyasint"`
	Connections int           `cbor:"5,keyasint"`
	// Since is when the upstream entered State; the warm-up ramp starts then.
	Since time.Time `cbor:"6,keyasint"`
	// Version is the software version of the upstream. It may be empty.
	Version string `cbor:"7,keyasint,omitempty"`
}

// Departure is what a node remembers of an upstream that leaves, is not announced any more
// or has just started. A node that was restarted gets it back from its control. Times are
// in milliseconds since 1970, by the clock of the VM; zero means none.
type Departure struct {
	Name        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	Sequence    uint64 `cbor:"4,keyasint,omitempty"`
	FirstHeard  int64  `cbor:"5,keyasint,omitempty"`
	LastHeard   int64  `cbor:"6,keyasint,omitempty"`
	// Withdrawn is set if the incarnation has withdrawn for certain. Withdrawal is when a
	// withdrawal that names no incarnation arrived, and LatestSender the latest incarnation
	// that can have sent it.
	Withdrawn    bool  `cbor:"7,keyasint,omitempty"`
	Withdrawal   int64 `cbor:"8,keyasint,omitempty"`
	LatestSender int64 `cbor:"9,keyasint,omitempty"`
}

// NodeRecord is the registry entry of one node. Only the node itself increments
// (Incarnation, Sequence); of two records the one with the higher pair is newer.
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
	// Departed is kept by the controls, and not sent to other nodes.
	Departed []Departure `cbor:"9,keyasint,omitempty"`
}

// WithoutDepartures returns r as it is sent to other nodes.
func (r NodeRecord) WithoutDepartures() NodeRecord {
	r.Departed = nil
	return r
}

// Limits of a node's record. 37,000 records of the maximum size would exceed the memory
// of a node; actual ones have one upstream and take about 150 bytes.
const (
	MaxNameBytes   = 256
	MaxUpstreams   = 64
	MaxDepartures  = 16
	MaxRecordBytes = 8 << 10
)

// Upper bounds of the encoded size of a record, an upstream and a departure, without
// strings.
const (
	recordOverhead    = 40
	upstreamOverhead  = 52
	departureOverhead = 78
)

// EncodedBytes returns an upper bound of the encoded size of r.
func (r NodeRecord) EncodedBytes() int {
	n := recordOverhead + len(r.Node) + len(r.AvailabilityZone) + len(r.PeerAddress) + len(r.Home)
	for _, u := range r.Upstreams {
		n += upstreamOverhead + len(u.Name) + len(u.Service) + len(u.State) + len(u.Version)
	}
	for _, d := range r.Departed {
		n += departureOverhead + len(d.Name) + len(d.Address)
	}
	return n
}

// Check returns an error if r lacks a name or exceeds a limit.
func (r NodeRecord) Check() error {
	if r.Node == "" {
		return errkind.New(errkind.BadRequest, "node record without a node name")
	}
	for _, s := range []string{r.Node, r.AvailabilityZone, r.PeerAddress, r.Home} {
		if len(s) > MaxNameBytes {
			return errkind.New(errkind.BadRequest, "name of %d bytes in a node record, at most %d are allowed", len(s), MaxNameBytes)
		}
	}
	if n := len(r.Upstreams); n > MaxUpstreams {
		return errkind.New(errkind.BadRequest, "%d upstreams in the record of node %s, at most %d are allowed", n, r.Node, MaxUpstreams)
	}
	if n := len(r.Departed); n > MaxDepartures {
		return errkind.New(errkind.BadRequest, "%d departures in the record of node %s, at most %d are allowed", n, r.Node, MaxDepartures)
	}
	if n := r.EncodedBytes(); n > MaxRecordBytes {
		return errkind.New(errkind.BadRequest, "record of %d bytes for node %s, at most %d are allowed", n, r.Node, MaxRecordBytes)
	}
	return nil
}

// CheckRecords returns the error of the first invalid record in l.
func CheckRecords(l []NodeRecord) error {
	for _, r := range l {
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Newer reports whether r supersedes o.
func (r NodeRecord) Newer(o NodeRecord) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.Gone && !o.Gone
}

// ConfigUpdate holds the changes from one configuration version to another. From is
// zero for a snapshot.
type ConfigUpdate struct {
	From    uint64            `cbor:"1,keyasint"`
	To      uint64            `cbor:"2,keyasint"`
	Changes []customer.Change `cbor:"3,keyasint"`
	// Digest is the hash of all resources at version To.
	Digest uint64 `cbor:"4,keyasint"`
	// Lineage identifies the control system that assigned version To.
	Lineage string `cbor:"5,keyasint"`
}

// NodeMessage is a message from a node on its stream; exactly one field is set.
type NodeMessage struct {
	Hello  *Hello      `cbor:"1,keyasint,omitempty"`
	Report *NodeRecord `cbor:"2,keyasint,omitempty"`
	Ack    *Ack        `cbor:"3,keyasint,omitempty"`
	Ping   *Ping       `cbor:"4,keyasint,omitempty"`
	// Compare requests the registry records that differ.
	Compare *Compare `cbor:"5,keyasint,omitempty"`
}

// Compare holds the bucket digests of a node's registry.
type Compare struct {
	Buckets []uint64 `cbor:"1,keyasint"`
}

// Hello is the first message on a node's stream.
type Hello struct {
	Record  NodeRecord `cbor:"1,keyasint"`
	Lineage string     `cbor:"2,keyasint,omitempty"`
	Version uint64     `cbor:"3,keyasint"`
	// Buckets are the bucket digests of the node's registry. The control then sends
	// only the buckets that differ.
	Buckets []uint64 `cbor:"4,keyasint,omitempty"`
}

// Ack reports the version in force and, if a version was refused, the reason.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Refused uint64 `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}

// Ping renews the node's lease.
type Ping struct {
	Version uint64 `cbor:"1,keyasint"`
	// Ranks is set only in some pings.
	Ranks *RankSample `cbor:"2,keyasint,omitempty"`
}

// ControlState is the state by which a node decides whether to switch to this control.
type ControlState struct {
	Lineage string `cbor:"1,keyasint"`
	// Committed is the newest version that the control knows to be committed.
	Committed uint64 `cbor:"2,keyasint"`
	// Current is set while the control is in contact with a majority of the members.
	Current bool `cbor:"3,keyasint,omitempty"`
	// Leader is the address of the leader of the config group, as far as the control
	// knows it.
	Leader string `cbor:"4,keyasint,omitempty"`
}

// ControlMessage is a message from a control on a node's stream; exactly one field is
// set.
type ControlMessage struct {
	Welcome   *Welcome     `cbor:"1,keyasint,omitempty"`
	Config    *ConfigChunk `cbor:"2,keyasint,omitempty"`
	Endpoints *Endpoints   `cbor:"3,keyasint,omitempty"`
	Pong      *Pong        `cbor:"4,keyasint,omitempty"`
	Fault     *Fault       `cbor:"5,keyasint,omitempty"`
}

// Welcome is the control's answer to a Hello that it accepts.
type Welcome struct {
	Lineage string        `cbor:"1,keyasint"`
	Control string        `cbor:"2,keyasint"`
	Lease   time.Duration `cbor:"3,keyasint"`
	// Controls are the addresses of all controls.
	Controls []string `cbor:"4,keyasint,omitempty"`
	// Departed is what the process that ran before under the node's name remembered.
	Departed []Departure `cbor:"5,keyasint,omitempty"`
}

// ConfigChunk is a part of one encoded ConfigUpdate. The last chunk has Last set.
type ConfigChunk struct {
	To         uint64 `cbor:"1,keyasint"`
	Compressed bool   `cbor:"2,keyasint,omitempty"`
	Data       []byte `cbor:"3,keyasint"`
	Last       bool   `cbor:"4,keyasint,omitempty"`
	// Offset is the position of Data in the encoded update.
	Offset int `cbor:"5,keyasint,omitempty"`
}

// Endpoints contains changed node records.
type Endpoints struct {
	Records []NodeRecord `cbor:"1,keyasint"`
	// Buckets lists the registry buckets that Records and Packed contain completely.
	Buckets []int `cbor:"2,keyasint,omitempty"`
	// Authoritative is set when records of these Buckets that are not in the message
	// no longer exist. A control that has just started does not know all nodes yet.
	Authoritative bool `cbor:"3,keyasint,omitempty"`
	// Packed holds further records. Each element is a compressed, encoded list.
	Packed [][]byte `cbor:"5,keyasint,omitempty"`
	// Complete is set in the last message of the answer to a Hello or a Compare.
	Complete bool `cbor:"4,keyasint,omitempty"`
}

// Pong answers Ping.
type Pong struct {
	// Committed is the newest version that the control knows to be committed.
	Committed uint64 `cbor:"1,keyasint"`
	// Current is set while the control is in contact with a majority of the members.
	Current bool `cbor:"2,keyasint,omitempty"`
	// Digest is the digest over all records of the control's registry except tombstones,
	// or zero while the control does not know all nodes.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Left is set when the control has this node's record marked as Gone.
	Left bool `cbor:"3,keyasint,omitempty"`
}

package wire

// RaftEntryKind says what an entry of the replicated log holds.
type RaftEntryKind uint8

// Kinds of entries.
const (
	// EntryEmpty is the first entry of a leader. Committing it commits all
	// entries of earlier terms.
	EntryEmpty RaftEntryKind = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds an encoded RaftMembership.
	EntryMembership
)

// RaftEntry is one entry of the replicated log.
type RaftEntry struct {
	Index uint64        `cbor:"1,keyasint"`
	Term  uint64        `cbor:"2,keyasint"`
	Kind  RaftEntryKind `cbor:"3,keyasint"`
	Data  []byte        `cbor:"4,keyasint,omitempty"`
}

// RaftMember is one member of a group. A member without a vote is a learner.
type RaftMember struct {
	// Identity is random and lives as long as the member's data folder.
	Identity string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Voter    bool   `cbor:"4,keyasint,omitempty"`
}

// RaftMembership is the set of members from one entry on.
type RaftMembership struct {
	Lineage string       `cbor:"1,keyasint"`
	Members []RaftMember `cbor:"2,keyasint"`
}

// RaftMessageType selects the meaning of the fields of a RaftMessage.
type RaftMessageType uint8

// Types of messages.
const (
	RaftAppend RaftMessageType = iota + 1
	RaftAppendResponse
	RaftPreVote
	RaftPreVoteResponse
	RaftVote
	RaftVoteResponse
	RaftReadIndex
	RaftReadIndexResponse
	RaftSnapshot
	RaftSnapshotResponse
)

// RaftMessage is one message between two members of a group. Messages may be
// lost, delayed, duplicated and reordered.
type RaftMessage struct {
	Group   string          `cbor:"1,keyasint"`
	Lineage string          `cbor:"2,keyasint"`
	Type    RaftMessageType `cbor:"3,keyasint"`
	// From and To are identities, so that a message for an identity whose disk
	// was lost never reaches its successor.
	From     string `cbor:"4,keyasint"`
	FromName string `cbor:"5,keyasint"`
	To       string `cbor:"6,keyasint"`
	Term     uint64 `cbor:"7,keyasint"`
	// Index and LogTerm name an entry: the one before Entries (append), the
	// last one of the log (votes), the last one covered (snapshot), the last
	// one that matches or, with Reject, the one that did not (append response),
	// or the one to wait for (read index response).
	Index   uint64      `cbor:"8,keyasint,omitempty"`
	LogTerm uint64      `cbor:"9,keyasint,omitempty"`
	Commit  uint64      `cbor:"10,keyasint,omitempty"`
	Entries []RaftEntry `cbor:"11,keyasint,omitempty"`
	Reject  bool        `cbor:"12,keyasint,omitempty"`
	// Hint is the last index at which the logs of a rejecting member and the
	// leader may agree.
	Hint uint64 `cbor:"13,keyasint,omitempty"`
	// Round counts the leader's broadcasts; a response repeats it.
	Round uint64 `cbor:"14,keyasint,omitempty"`
	// Sent is the sender's clock; Echo is the newest Sent that the sender
	// received from the recipient. Each member compares Echo only with its own
	// clock, so the clocks need not agree.
	Sent int64 `cbor:"15,keyasint,omitempty"`
	Echo int64 `cbor:"16,keyasint,omitempty"`
	// Lease is set by a leader that holds its lease.
	Lease bool `cbor:"17,keyasint,omitempty"`
	// Read matches a read index response to its request.
	Read uint64 `cbor:"18,keyasint,omitempty"`
	// Offset, Data, Size, Sum and Membership belong to a chunk of a snapshot.
	// Size and Sum, an xxhash, are those of the whole data. In a response,
	// Offset is the number of bytes received; with Reject the sum was wrong.
	Offset     uint64          `cbor:"19,keyasint,omitempty"`
	Data       []byte          `cbor:"20,keyasint,omitempty"`
	Size       uint64          `cbor:"21,keyasint,omitempty"`
	Membership *RaftMembership `cbor:"22,keyasint,omitempty"`
	Sum        uint64          `cbor:"23,keyasint,omitempty"`
	// Full is set in a rejection for lack of space on the disk.
	Full bool `cbor:"24,keyasint,omitempty"`
	// FromAddress is where the sender is reached, set where members are found at
	// run time.
	FromAddress string `cbor:"25,keyasint,omitempty"`
}

// ProposeRequest forwards a command to the leader of a group.
type ProposeRequest struct {
	Group   string `cbor:"1,keyasint"`
	Command []byte `cbor:"2,keyasint"`
}

// ProposeResponse holds the encoded result of applying the command.
type ProposeResponse struct {
	Result []byte `cbor:"1,keyasint,omitempty"`
}

// ProbeRequest asks a configured member whether it belongs to a group.
type ProbeRequest struct {
	Group string `cbor:"1,keyasint"`
	// Name and Identity are those of the asking member.
	Name     string `cbor:"2,keyasint"`
	Identity string `cbor:"3,keyasint"`
}

// ProbeResponse answers ProbeRequest. Lineage is empty when the member's folder
// is empty.
type ProbeResponse struct {
	Name     string `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Lineage  string `cbor:"3,keyasint,omitempty"`
	// Initial is the membership at bootstrap, where the member knows it.
	Initial []RaftMember `cbor:"4,keyasint,omitempty"`
	// Members is the newest membership that the member knows.
	Members []RaftMember `cbor:"5,keyasint,omitempty"`
}

// BootstrapRequest tells an empty member the first membership of a new group.
type BootstrapRequest struct {
	Group   string       `cbor:"1,keyasint"`
	Driver  string       `cbor:"2,keyasint"` // identity of the sender
	Lineage string       `cbor:"3,keyasint"`
	Members []RaftMember `cbor:"4,keyasint"`
}

// JoinRequest asks the leader to add a member as a learner.
type JoinRequest struct {
	Group    string `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Name     string `cbor:"3,keyasint"`
	Address  string `cbor:"4,keyasint"`
}

// JoinResponse answers JoinRequest once the learner is committed.
type JoinResponse struct {
	Lineage string `cbor:"1,keyasint"`
}

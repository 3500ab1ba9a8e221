package wire

// RaftEntryKind is the kind of an entry in the replicated log.
type RaftEntryKind uint8

// Kinds of entries.
const (
	// EntryEmpty is the entry that a new leader appends first. Committing it commits
	// all entries of earlier terms.
	EntryEmpty RaftEntryKind = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds an encoded RaftMembership, which changes the members.
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
	// Identity is a random ID that is stored in the member's data folder. A member that
	// loses the folder gets a new one.
	Identity string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Voter    bool   `cbor:"4,keyasint,omitempty"`
	// Zone is the availability zone of the member's VM, or empty if it is not known.
	Zone string `cbor:"5,keyasint,omitempty"`
	// Returned is set for a member that asked for admission because the group had removed
	// it, and not because its VM is new.
	Returned bool `cbor:"6,keyasint,omitempty"`
}

// RaftMembership is the set of members that applies from its log entry on.
type RaftMembership struct {
	Lineage string       `cbor:"1,keyasint"`
	Members []RaftMember `cbor:"2,keyasint"`
	// Outgoing holds the identities of all voters of the previous membership while voters
	// are exchanged. Decisions then need a majority of these as well as of the voters in
	// Members.
	Outgoing []string `cbor:"3,keyasint,omitempty"`
}

// RaftMessageType determines the meaning of the fields of a RaftMessage.
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
	// From and To are identities, so that a message for a member that lost its disk is
	// never processed by the member that replaces it under the same name.
	From     string `cbor:"4,keyasint"`
	FromName string `cbor:"5,keyasint"`
	To       string `cbor:"6,keyasint"`
	Term     uint64 `cbor:"7,keyasint"`
	// Index and LogTerm identify an entry: the one before Entries (append), the last
	// one of the log (votes), the last one in the snapshot (snapshot), the last one
	// that matches or, with Reject, the one that did not match (append response), or
	// the one that must be applied before the read (read index response).
	Index   uint64      `cbor:"8,keyasint,omitempty"`
	LogTerm uint64      `cbor:"9,keyasint,omitempty"`
	Commit  uint64      `cbor:"10,keyasint,omitempty"`
	Entries []RaftEntry `cbor:"11,keyasint,omitempty"`
	Reject  bool        `cbor:"12,keyasint,omitempty"`
	// Hint is the last index at which the logs of a rejecting member and the
	// leader may agree.
	Hint uint64 `cbor:"13,keyasint,omitempty"`
	// Round is the number of the leader's broadcast; a response echoes it.
	Round uint64 `cbor:"14,keyasint,omitempty"`
	// Sent is the time on the sender's clock. Echo is the newest Sent that the sender
	// received from the recipient. Each member compares Echo only with its own clock,
	// so the clocks need not be synchronized.
	Sent int64 `cbor:"15,keyasint,omitempty"`
	Echo int64 `cbor:"16,keyasint,omitempty"`
	// Lease is set by a leader that holds a valid lease.
	Lease bool `cbor:"17,keyasint,omitempty"`
	// Read matches a read index response to its request.
	Read uint64 `cbor:"18,keyasint,omitempty"`
	// Offset, Data, Size, Sum and Membership describe a chunk of a snapshot. Size and
	// Sum, an xxhash checksum, are those of the whole snapshot. In a response, Offset
	// is the number of bytes received; Reject then says that the checksum was wrong.
	Offset     uint64          `cbor:"19,keyasint,omitempty"`
	Data       []byte          `cbor:"20,keyasint,omitempty"`
	Size       uint64          `cbor:"21,keyasint,omitempty"`
	Membership *RaftMembership `cbor:"22,keyasint,omitempty"`
	Sum        uint64          `cbor:"23,keyasint,omitempty"`
	// Full is set in a rejection because the disk is full.
	Full bool `cbor:"24,keyasint,omitempty"`
	// FromAddress is the address of the sender. It is set if members are discovered at
	// run time instead of being listed in the settings.
	FromAddress string `cbor:"25,keyasint,omitempty"`
	// Removed is set in the rejection of a vote if the group has removed the recipient.
	Removed bool `cbor:"26,keyasint,omitempty"`
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

// ProbeRequest asks a configured member whether it already belongs to a group.
type ProbeRequest struct {
	Group string `cbor:"1,keyasint"`
	// Name and Identity are those of the member that sends the request.
	Name     string `cbor:"2,keyasint"`
	Identity string `cbor:"3,keyasint"`
}

// ProbeResponse answers ProbeRequest. Lineage is empty if the member's data folder is
// empty.
type ProbeResponse struct {
	Name     string `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Lineage  string `cbor:"3,keyasint,omitempty"`
	// Initial is the membership at bootstrap, if the member knows it.
	Initial []RaftMember `cbor:"4,keyasint,omitempty"`
	// Members is the latest membership that the member knows.
	Members []RaftMember `cbor:"5,keyasint,omitempty"`
	// Zone is the availability zone of the member's VM.
	Zone string `cbor:"6,keyasint,omitempty"`
}

// BootstrapRequest gives a member without data the initial membership of a new group.
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
	Zone     string `cbor:"5,keyasint,omitempty"`
	// Returned is set by a member that has belonged to the group before.
	Returned bool `cbor:"6,keyasint,omitempty"`
}

// JoinResponse answers JoinRequest once the learner's membership is committed.
type JoinResponse struct {
	Lineage string `cbor:"1,keyasint"`
}

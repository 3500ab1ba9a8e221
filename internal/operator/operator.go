// Package operator is the HTTP API for operators: the bodies, the server
// handler over a Backend, and the client of the commands.
//
// # Usage
//
// The control process implements Backend and serves the handler:
//
//	h, err := operator.NewHandler(operator.HandlerConfig{Backend: b, Operators: o, Log: l})
//	err = operator.NewServer(h).Serve(listener)
//
// A Backend builds most of its answers from the state machine of the config group:
//
//	c, err := operator.Compile(author, request, time.Now()) // then propose c.Encode()
//	p, err := operator.NewPlan(m.Current(), request)
//	n := operator.NewNodes(m.Nodes(), reports, m.Current().Version())
//
// Commands use the client, which tries the controls in turn:
//
//	c, err := operator.NewClient(operator.ClientConfig{Control: []string{"10.0.0.1:7000"}, Token: t})
//	s, err := c.Status(ctx)
package operator

import (
	"context"
	"time"
)

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 1 << 20

// MaxHistory is the highest number of versions that one answer lists.
const MaxHistory = 1000

// MaxForget is the highest number of nodes that one request forgets.
const MaxForget = 1000

// Paths of the API.
const (
	PathPlan     = "/v1/plan"
	PathAccept   = "/v1/accept"
	PathForget   = "/v1/forget"
	PathStatus   = "/v1/status"
	PathReport   = "/v1/report"
	PathHistory  = "/v1/history"
	PathVersions = "/v1/versions/"
	// Latest stands for the newest version at the end of PathVersions.
	Latest = "latest"
)

// Headers of the API.
const (
	HeaderRequestID = "Gooseberrypick-Request-Id"
	HeaderExecution = "Gooseberrypick-Execution"
)

// Backend implements the operations of the API. Its errors carry a kind of package
// errkind and say correctly whether the request ran: an accept that may have been
// proposed has execution unknown.
type Backend interface {
	// Plan compares a file with the current configuration.
	Plan(ctx context.Context, r PlanRequest) (Plan, error)
	// Accept proposes a file. Refusals because of the base or the request ID must
	// come from applying the proposal, because only the state machine recognizes a
	// resent request ID.
	Accept(ctx context.Context, author string, r AcceptRequest) (Accepted, error)
	// Forget removes nodes that no longer exist from the status list. It refuses
	// the whole request if one of them is connected.
	Forget(ctx context.Context, r ForgetRequest) (Forgotten, error)
	// Status returns what the controls know about members and nodes.
	Status(ctx context.Context) (Status, error)
	// Report sums the request counts of the whole fleet by rank.
	Report(ctx context.Context, r ReportRequest) (Report, error)
	// History lists versions, newest first.
	History(ctx context.Context, r HistoryRequest) (History, error)
	// Version returns one version.
	Version(ctx context.Context, r VersionRequest) (Version, error)
}

// PlanRequest is the body of a plan.
type PlanRequest struct {
	FileName string
	File     string
}

// Difference lists the names of added, changed and removed resources of one kind,
// in order.
type Difference struct {
	Added   []string `json:",omitempty"`
	Changed []string `json:",omitempty"`
	Removed []string `json:",omitempty"`
	// Values lists the changed values of the resources in Changed.
	Values []ValueChange `json:",omitempty"`
}

// ValueChange is a changed value of a service, rank or route.
type ValueChange struct {
	Name string
	Key  string
	Old  string
	New  string
}

// Empty reports whether d lists nothing.
func (d Difference) Empty() bool { return len(d.Added)+len(d.Changed)+len(d.Removed) == 0 }

// Plan describes what accepting a file would change.
type Plan struct {
	Customer string
	// Base is the base to accept the file with.
	Base uint64
	// Newest is the newest version of the customer, zero for a new customer.
	Newest   uint64
	Services Difference
	Ranks    Difference
	Accounts Difference
	Routes   Difference
}

// AcceptRequest is the body of an accept.
type AcceptRequest struct {
	Base      uint64
	RequestID string `json:"RequestId"`
	FileName  string
	File      string
}

// Accepted is the answer to an accept.
type Accepted struct {
	Version   uint64
	Customer  string
	Base      uint64
	RequestID string `json:"RequestId"`
	// Repeated is set when an earlier accept with this request ID made Version.
	Repeated bool `json:",omitempty"`
}

// ForgetRequest names nodes that no longer exist.
type ForgetRequest struct {
	Nodes []string
}

// Forgotten is the answer to a forget.
type Forgotten struct {
	// Removed lists the nodes that were on the status list.
	Removed []string
	// Unknown lists the nodes that were not on the list, for example because an
	// earlier attempt removed them.
	Unknown []string `json:",omitempty"`
	// Silent lists the controls that did not report their connected nodes. A node
	// that is connected to one of them reappears on the list.
	Silent []string `json:",omitempty"`
}

// HistoryRequest selects versions.
type HistoryRequest struct {
	// Customer is empty for all customers.
	Customer string
	// Limit is from 1 to MaxHistory.
	Limit int
}

// VersionRequest selects one version.
type VersionRequest struct {
	// Number is zero for the newest version.
	Number uint64
	// Customer, if set, selects the newest version of this customer.
	Customer string
}

// Metadata describes one version.
type Metadata struct {
	Version   uint64
	Customer  string
	Author    string
	Time      time.Time
	Base      uint64
	RequestID string `json:"RequestId"`
	FileName  string
	// Digest is the digest over all customers, in hex.
	Digest   string
	Services int
	Ranks    int
	Routes   int
}

// History lists versions, newest first.
type History struct {
	Versions []Metadata
}

// Version is one version with its file.
type Version struct {
	Metadata
	// FileKept tells whether the file of this version is still stored.
	FileKept bool
	File     string
}

// Status is the state of the controls and of the fleet of nodes.
type Status struct {
	// Control is the name of the control that answered.
	Control string
	// Current tells whether the control confirmed Version with a majority.
	Current bool
	// Version is the newest version that the control knows.
	Version uint64
	Members []Member
	Nodes   []Node
}

// Unreachable is the role of a member that did not answer.
const Unreachable = "Unreachable"

// Member is one voting control.
type Member struct {
	Name             string
	AvailabilityZone string
	Role             string
	// Current tells whether the member holds the newest version.
	Current bool
	// Reason says why a group of the member stopped.
	Reason string `json:",omitempty"`
}

// Node is what the controls know about one node.
type Node struct {
	Name             string
	AvailabilityZone string
	// Heard tells whether a control has heard from the node since the control
	// started. The other fields below mean nothing otherwise.
	Heard bool
	// Version is in force on the node.
	Version uint64
	// BehindBy is the number of versions accepted after Version.
	BehindBy uint64
	// Refused is the newest version at the time when the node last refused a version
	// or was itself refused by a control. Putting a later version in force clears it
	// and Reason.
	Refused uint64 `json:",omitempty"`
	// Reason is the cause of that refusal, empty if there is none.
	Reason    string    `json:",omitempty"`
	LastHeard time.Time `json:",omitzero"`
	// Control is the control that the node is or was last connected to.
	Control string `json:",omitempty"`
}

// CaughtUp reports whether n has the newest version in force. A node that was
// refused has not caught up: if it is of another lineage, for example, its version
// cannot be compared with the newest version of this control system.
func (n Node) CaughtUp() bool { return n.Heard && n.BehindBy == 0 && n.Reason == "" }

// Lagging returns the nodes that have not caught up.
func (s Status) Lagging() []Node {
	var l []Node
	for _, n := range s.Nodes {
		if !n.CaughtUp() {
			l = append(l, n)
		}
	}
	return l
}

// Fault is the body of every error response.
type Fault struct {
	Kind      string
	Reason    string
	RequestID string `json:"RequestId"`
	Execution string
}

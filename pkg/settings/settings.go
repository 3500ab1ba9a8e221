// Package settings reads the settings of a process: decoding, defaults and
// checks in one place.
//
// # Usage
//
//	s, err := settings.ReadNode("node.jsonc")
//	if err != nil {
//		return err // kind errkind.Usage; names every fault with file, line and column
//	}
//	l, err := net.Listen("tcp", s.Listen)
//
// ReadControl does the same for a control. ParseNode and ParseControl take the
// content of a file that was read elsewhere.
package settings

import (
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Defaults of optional keys.
const (
	DefaultLogLevel       = "info"
	DefaultStopLimit      = 30 * time.Second
	DefaultClaimGroups    = 2
	DefaultClaimRetention = 24 * time.Hour
	DefaultLosses         = 2
	DefaultUrgentReserve  = 3
	// DefaultRetryBurst covers the requests in flight at one lost upstream of a
	// small service.
	DefaultRetryShare  = 0.1
	DefaultRetryBurst  = 10
	DefaultCallerDrain = 500 * time.Millisecond
	// DefaultReconnectLimit spreads the nodes of a large fleet when all controls
	// come back.
	DefaultReconnectLimit = 5 * time.Second
	// DefaultElectionTimeout leaves room for a slow sync of a busy disk, during
	// which a control sends and hears nothing.
	DefaultElectionTimeout = time.Second
)

// Interface is the manner in which a process speaks with callers, upstreams and
// operators.
type Interface string

// Interfaces.
const (
	// OwnInterface is the interface of this project.
	OwnInterface Interface = "Own"
	// PlatformInterface is the interface of the platform that package platform
	// speaks.
	PlatformInterface Interface = "Platform"
)

// Node holds the settings of a node.
type Node struct {
	Name             string
	AvailabilityZone string
	// Listen serves callers.
	Listen string
	// UpstreamListen serves the announcements of upstreams.
	UpstreamListen string
	// PeerListen serves other nodes, which reach this node by it.
	PeerListen  string
	AdminListen string
	// Control lists the PeerListen addresses of controls. With Seeds it is empty.
	Control []string `jsonc:"optional,max=100"`
	// Seeds lists addresses at which some controls can be found. Only their IPs
	// count: all controls have the port ControlPort in their PeerListen.
	Seeds       []string `jsonc:"optional,max=100"`
	ControlPort int      `jsonc:"optional"`
	// ReconnectLimit is the longest pause between two tries to reach a control.
	ReconnectLimit time.Duration `jsonc:"optional"`
	// Interface is how callers, upstreams and the platform are spoken to.
	Interface Interface `jsonc:"optional"`
	// Service is the service of the upstream beside the node. With the interface
	// Platform, upstreams are told it as the origin of the callers' requests.
	Service string `jsonc:"optional"`
	// ReadyListen serves the platform's questions whether the node is ready.
	ReadyListen string `jsonc:"optional"`
	// CallerDrain is how long a stopping node still takes connections of callers,
	// which learn of the stop from its readiness.
	CallerDrain time.Duration `jsonc:"optional"`
	// UrgentReserve is how sure urgent work is of a spare slot beside longer,
	// less urgent work: it misses one with a chance of about exp(-UrgentReserve).
	UrgentReserve float64 `jsonc:"optional"`
	// RetryBudget bounds the requests that are sent to a second upstream.
	RetryBudget RetryBudget `jsonc:"optional"`
	// LinkMbps is the rate of the VM's link in Mbit/s, by which the large bodies
	// that arrive at the same time are bounded. Zero means unknown.
	LinkMbps float64 `jsonc:"optional"`
	// TLS is for connections to and from other nodes and controls.
	TLS      TLS    `jsonc:"optional"`
	LogLevel string `jsonc:"optional"`
	Pprof    bool   `jsonc:"optional"`
	// StopLimit bounds a graceful shutdown. StopMargin is taken off it, where the
	// limit is that of whoever kills the process after it.
	StopLimit  time.Duration `jsonc:"optional"`
	StopMargin time.Duration `jsonc:"optional"`
}

// RetryBudget bounds the retries of one rank of one service at one node: Share
// of its calls, of which up to Burst are saved for later.
type RetryBudget struct {
	Share float64
	Burst float64
}

// Control holds the settings of a control.
type Control struct {
	Name             string
	AvailabilityZone string
	// Listen serves operators.
	Listen string
	// PeerListen serves nodes and other controls, which reach this control by it.
	PeerListen  string
	AdminListen string
	// Members lists all controls that vote, including this one. With Seeds it is
	// empty.
	Members []Member `jsonc:"optional,max=100"`
	// Seeds lists addresses at which some controls can be found, as in Node. The
	// port of PeerListen is that of all controls.
	Seeds []string `jsonc:"optional,max=100"`
	// Losses is how many voting controls may be lost at once in a system with
	// Seeds, which aims for twice as many voters and one more.
	Losses int `jsonc:"optional"`
	// FirstStart allows a control with an empty folder to set up a new system
	// with the other seeds. It must be false once the system has existed.
	FirstStart bool `jsonc:"optional"`
	// ElectionTimeout is how long the leader of the controls may be silent before
	// another one is elected.
	ElectionTimeout time.Duration `jsonc:"optional"`
	// Interface is how operators are spoken to.
	Interface  Interface `jsonc:"optional"`
	DataFolder string
	// TLS is for connections to and from nodes and other controls, and for the
	// operator API, which asks for no certificate of the client.
	TLS TLS `jsonc:"optional"`
	// Operators may be empty; then only loopback is allowed.
	Operators   []Operator `jsonc:"optional,max=1000"`
	ClaimGroups int        `jsonc:"optional"`
	// ClaimRetention is how long a claim is kept.
	ClaimRetention time.Duration `jsonc:"optional"`
	LogLevel       string        `jsonc:"optional"`
	Pprof          bool          `jsonc:"optional"`
	// StopLimit bounds a graceful shutdown. StopMargin is taken off it, where the
	// limit is that of whoever kills the process after it.
	StopLimit  time.Duration `jsonc:"optional"`
	StopMargin time.Duration `jsonc:"optional"`
}

// leastClaimGroups is zero where no request carries an idempotency key.
func (c Control) leastClaimGroups() int {
	if c.Interface == PlatformInterface {
		return 0
	}
	return 1
}

// Member is a control that votes.
type Member struct {
	Name    string
	Address string
}

// Operator is a person or program that may use the operator API.
type Operator struct {
	Name string
	// TokenHash is the SHA-256 of the bearer token in hex digits.
	TokenHash string
}

// ReadNode reads the settings of a node.
func ReadNode(file string) (*Node, error) {
	b, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseNode(file, b)
}

// ReadControl reads the settings of a control.
func ReadControl(file string) (*Control, error) {
	b, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseControl(file, b)
}

// ParseNode decodes and checks the settings of a node. The file is named in
// errors.
func ParseNode(file string, data []byte) (*Node, error) {
	s := &Node{
		LogLevel: DefaultLogLevel, StopLimit: DefaultStopLimit, Interface: OwnInterface, RetryBudget: RetryBudget{Share: DefaultRetryShare, Burst: DefaultRetryBurst},
		CallerDrain: DefaultCallerDrain, ReconnectLimit: DefaultReconnectLimit, UrgentReserve: DefaultUrgentReserve,
	}
	d := jsonc.Parse(file, data)
	d.Decode(s)
	checkNode(checker{d}, s)
	if err := d.Err(); err != nil {
		return nil, errkind.New(errkind.Usage, "%v", err)
	}
	s.TLS = s.TLS.within(file)
	s.StopLimit -= s.StopMargin
	if len(s.Seeds) > 0 {
		s.Control = peerAddresses(s.Seeds, s.ControlPort)
	}
	return s, nil
}

// peerAddresses returns the IPs of checked addresses with another port.
func peerAddresses(l []string, port int) []string {
	var r []string
	for _, a := range l {
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			continue // reported by the check
		}
		r = append(r, netip.AddrPortFrom(p.Addr().Unmap(), uint16(port)).String())
	}
	return r
}

// ParseControl decodes and checks the settings of a control. The file is named
// in errors.
func ParseControl(file string, data []byte) (*Control, error) {
	s := &Control{
		ClaimGroups: DefaultClaimGroups, ClaimRetention: DefaultClaimRetention,
		LogLevel: DefaultLogLevel, StopLimit: DefaultStopLimit, Interface: OwnInterface, Losses: DefaultLosses, ElectionTimeout: DefaultElectionTimeout,
	}
	d := jsonc.Parse(file, data)
	d.Decode(s)
	checkControl(checker{d}, s)
	if err := d.Err(); err != nil {
		return nil, errkind.New(errkind.Usage, "%v", err)
	}
	s.TLS = s.TLS.within(file)
	s.StopLimit -= s.StopMargin
	if own, err := netip.ParseAddrPort(s.PeerListen); err == nil && len(s.Seeds) > 0 {
		s.PeerListen = netip.AddrPortFrom(own.Addr().Unmap(), own.Port()).String()
		s.Seeds = peerAddresses(s.Seeds, int(own.Port()))
	}
	return s, nil
}

// read reads one byte more than is accepted, so that the parser refuses an
// oversized file without reading all of it.
func read(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "read settings")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, jsonc.MaxSize+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "read settings")
	}
	return b, nil
}

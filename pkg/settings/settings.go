// Package settings reads the settings of a process: decoding, defaults and
// checks in one place.
//
// # Usage
//
//	s, err := settings.ReadNode("node.jsonc")
//	if err != nil {
//		return err // kind errkind.Usage; lists every fault with file, line and column
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
	DefaultRetryShare     = 0.1
	// DefaultRetryBurst covers the requests in flight at one lost upstream of a
	// small service.
	DefaultRetryBurst  = 10
	DefaultCallerDrain = 500 * time.Millisecond
	// DefaultReconnectLimit is long enough to spread the reconnects of a large fleet
	// when all controls come back.
	DefaultReconnectLimit = 5 * time.Second
	// DefaultNodeMemoryMb and DefaultControlMemoryMb are the memory of the smallest VMs.
	DefaultNodeMemoryMb    = 184
	DefaultControlMemoryMb = 280
	// DefaultCallerConnections is the number of connections that the load of a node needs
	// at most.
	DefaultCallerConnections = 4096
	// DefaultElectionTimeout tolerates a slow sync of a busy disk, during which a
	// control neither sends nor receives messages.
	DefaultElectionTimeout = time.Second
)

// Interface selects the HTTP interface of a process to callers, upstreams and
// operators.
type Interface string

// Interfaces.
const (
	// OwnInterface is the interface of this project.
	OwnInterface Interface = "Own"
	// PlatformInterface is the interface of the platform, which package platform
	// implements.
	PlatformInterface Interface = "Platform"
)

// Node holds the settings of a node.
type Node struct {
	Name             string
	AvailabilityZone string
	// Listen is the address for callers.
	Listen string
	// UpstreamListen is the address for the announcements of upstreams.
	UpstreamListen string
	// PeerListen is the address for other nodes, which connect to it.
	PeerListen  string
	AdminListen string
	// Control lists the PeerListen addresses of controls. It must be empty if Seeds is
	// set.
	Control []string `jsonc:"optional,max=100"`
	// Seeds lists addresses at which at least some controls run. Only the IPs are used:
	// ControlPort is the port in the PeerListen of all controls.
	Seeds       []string `jsonc:"optional,max=100"`
	ControlPort int      `jsonc:"optional"`
	// ReconnectLimit is the longest pause between two tries to connect to a control.
	ReconnectLimit time.Duration `jsonc:"optional"`
	// Interface is the interface to callers, upstreams and the platform.
	Interface Interface `jsonc:"optional"`
	// Service is the service of the upstream on the node's VM. With the interface
	// Platform, it is sent to upstreams as the origin of the callers' requests.
	Service string `jsonc:"optional"`
	// ReadyListen is the address for the platform's readiness checks.
	ReadyListen string `jsonc:"optional"`
	// CallerDrain is how long a stopping node still accepts connections of callers,
	// which learn of the stop from its readiness.
	CallerDrain time.Duration `jsonc:"optional"`
	// UrgentReserve sets how reliably an urgent request finds a spare slot while longer,
	// less urgent requests run: it finds none with a probability of about
	// exp(-UrgentReserve).
	UrgentReserve float64 `jsonc:"optional"`
	// RetryBudget bounds the requests that are sent to a second upstream.
	RetryBudget RetryBudget `jsonc:"optional"`
	// LinkMbps is the rate of the VM's network link in Mbit/s. Large bodies that the node
	// sends are paced to it, and it bounds how many arrive at the same time. Zero means
	// unknown.
	LinkMbps float64 `jsonc:"optional"`
	// ZonePrice is the worth of a gigabyte that is sent between availability zones, in
	// worths of one answer. With zero, bytes between zones are free.
	ZonePrice float64 `jsonc:"optional"`
	// MemoryMb is the memory of the VM in MB, which bounds what connections may hold.
	// Zero means unknown: DefaultNodeMemoryMb.
	MemoryMb int `jsonc:"optional"`
	// CallerConnections is the greatest number of connections of callers.
	CallerConnections int `jsonc:"optional"`
	// TLS configures the connections to and from other nodes and controls.
	TLS      TLS    `jsonc:"optional"`
	LogLevel string `jsonc:"optional"`
	Pprof    bool   `jsonc:"optional"`
	// StopLimit bounds the time of a graceful shutdown. StopMargin, but at most an eighth,
	// is subtracted from it, for a StopLimit after which a supervisor kills the process.
	StopLimit  time.Duration `jsonc:"optional"`
	StopMargin time.Duration `jsonc:"optional"`
}

// RetryBudget bounds the retries of one rank of one service at one node. Each call
// adds Share of a retry to the budget, which holds at most Burst retries.
type RetryBudget struct {
	Share float64
	Burst float64
}

// Control holds the settings of a control.
type Control struct {
	Name             string
	AvailabilityZone string
	// Listen is the address for operators.
	Listen string
	// PeerListen is the address for nodes and other controls, which connect to it.
	PeerListen  string
	AdminListen string
	// Members lists all voting controls, including this one. It must be empty if Seeds
	// is set.
	Members []Member `jsonc:"optional,max=100"`
	// Seeds lists addresses at which at least some controls run, as in Node. The port of
	// PeerListen is the same for all controls.
	Seeds []string `jsonc:"optional,max=100"`
	// Losses is how many voting controls a system with Seeds can lose at once and still
	// work. Such a system aims for 2*Losses+1 voters.
	Losses int `jsonc:"optional"`
	// FirstStart allows a control with an empty data folder to bootstrap a new system
	// with the other seeds. It must be false once the system has existed.
	FirstStart bool `jsonc:"optional"`
	// ElectionTimeout is how long the controls wait for a message of their leader before
	// they elect another one.
	ElectionTimeout time.Duration `jsonc:"optional"`
	// Interface is the interface to operators.
	Interface  Interface `jsonc:"optional"`
	DataFolder string
	// MemoryMb is the memory of the VM in MB, as in Node. Zero means
	// DefaultControlMemoryMb.
	MemoryMb int `jsonc:"optional"`
	// TLS configures the connections to and from nodes and other controls, and the
	// operator API, which requires no client certificate.
	TLS TLS `jsonc:"optional"`
	// Operators lists who may use the operator API. If it is empty, only clients on
	// loopback may.
	Operators   []Operator `jsonc:"optional,max=1000"`
	ClaimGroups int        `jsonc:"optional"`
	// ClaimRetention is how long a claim is kept.
	ClaimRetention time.Duration `jsonc:"optional"`
	// LimitTolerance states by how much the requests of an account may exceed its limit.
	LimitTolerance LimitTolerance `jsonc:"optional"`
	LogLevel       string         `jsonc:"optional"`
	Pprof          bool           `jsonc:"optional"`
	// StopLimit bounds the time of a graceful shutdown. StopMargin, but at most an eighth,
	// is subtracted from it, for a StopLimit after which a supervisor kills the process.
	StopLimit  time.Duration `jsonc:"optional"`
	StopMargin time.Duration `jsonc:"optional"`
}

// minClaimGroups is zero for the interface Platform, whose requests carry no
// idempotency keys.
func (c Control) minClaimGroups() int {
	if c.Interface == PlatformInterface {
		return 0
	}
	return 1
}

// LimitTolerance states by how much the requests of an account that arrive within any
// window of length Window may exceed its limit: by the part Share of what it allows, and
// Requests more. The zero value allows no excess.
type LimitTolerance struct {
	Window   time.Duration
	Share    float64
	Requests float64
}

// Member is a voting control.
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
func ReadNode(file string, translate ...Translation) (*Node, error) {
	b, err := readTranslated(file, translate)
	if err != nil {
		return nil, err
	}
	return ParseNode(file, b)
}

// ReadControl reads the settings of a control.
func ReadControl(file string, translate ...Translation) (*Control, error) {
	b, err := readTranslated(file, translate)
	if err != nil {
		return nil, err
	}
	return ParseControl(file, b)
}

func readTranslated(file string, translate []Translation) ([]byte, error) {
	b, err := read(file)
	if err != nil {
		return nil, err
	}
	for _, f := range translate {
		b = f(b)
	}
	return b, nil
}

// Translation replaces what a settings file has in the words of a platform by settings.
type Translation func(file []byte) []byte

// ParseNode decodes and checks the settings of a node. The file name appears in
// errors, and relative paths are resolved against its folder.
func ParseNode(file string, data []byte) (*Node, error) {
	s := &Node{
		LogLevel: DefaultLogLevel, StopLimit: DefaultStopLimit, Interface: OwnInterface, RetryBudget: RetryBudget{Share: DefaultRetryShare, Burst: DefaultRetryBurst},
		CallerDrain: DefaultCallerDrain, ReconnectLimit: DefaultReconnectLimit, UrgentReserve: DefaultUrgentReserve,
		CallerConnections: DefaultCallerConnections,
	}
	d := jsonc.Parse(file, data)
	d.Decode(s)
	checkNode(checker{d}, s)
	if err := d.Err(); err != nil {
		return nil, errkind.New(errkind.Usage, "%v", err)
	}
	s.TLS = s.TLS.resolve(file)
	s.StopLimit -= stopMargin(s.StopLimit, s.StopMargin)
	if len(s.Seeds) > 0 {
		s.Control = peerAddresses(s.Seeds, s.ControlPort)
	}
	return s, nil
}

// peerAddresses returns the addresses with their port replaced. The addresses were
// checked before.
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

// ParseControl decodes and checks the settings of a control. The file name appears in
// errors, and relative paths are resolved against its folder.
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
	s.TLS = s.TLS.resolve(file)
	s.StopLimit -= stopMargin(s.StopLimit, s.StopMargin)
	if own, err := netip.ParseAddrPort(s.PeerListen); err == nil && len(s.Seeds) > 0 {
		s.PeerListen = netip.AddrPortFrom(own.Addr().Unmap(), own.Port()).String()
		s.Seeds = peerAddresses(s.Seeds, int(own.Port()))
	}
	return s, nil
}

// read reads at most one byte more than the parser accepts, so that an oversized file
// is refused without reading all of it.
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

// stopMarginShare is the largest part of StopLimit that StopMargin takes, so that a short
// stop leaves requests most of its time.
const stopMarginShare = 8

func stopMargin(limit, margin time.Duration) time.Duration { return min(margin, limit/stopMarginShare) }

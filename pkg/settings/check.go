package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
)

const (
	maxClaimGroups    = 64
	minClaimRetention = time.Hour
	maxPort           = 65535
	maxLosses         = 4
	maxUrgentReserve  = 10
	maxRetryBurst     = 1000
	maxLinkMbps       = 1_000_000
	maxLimitWindow    = time.Minute
	maxLimitRequests  = 10_000
	maxZonePrice      = 1_000_000_000
	// Below the minimum, a process does not have the memory that it needs without load.
	minMemoryMb          = 48
	maxMemoryMb          = 1 << 20
	maxCallerConnections = 1 << 16
	// Below the minimum, the repeated connections of nodes would prevent starting
	// controls from finishing their start.
	minReconnectLimit = 100 * time.Millisecond
	maxReconnectLimit = time.Minute
	// Below the minimum, one lost packet between availability zones would cause an
	// election. Above the maximum, no configuration could be accepted for a long
	// time after the loss of a leader.
	minElectionTimeout = 200 * time.Millisecond
	maxElectionTimeout = 10 * time.Second
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9.-]{1,100}$`)
	hashPattern = regexp.MustCompile(`^[0-9A-Fa-f]{64}$`)
	logLevels   = []string{"debug", "info", "error"}
)

// checker checks decoded values and adds the faults that it finds to the document.
type checker struct{ d *jsonc.Document }

func checkNode(c checker, s *Node) {
	c.name("Name", s.Name)
	c.name("AvailabilityZone", s.AvailabilityZone)
	l := []listenAddress{
		{"Listen", s.Listen, false},
		{"UpstreamListen", s.UpstreamListen, false},
		{"PeerListen", s.PeerListen, true},
		{"AdminListen", s.AdminListen, false},
	}
	if s.ReadyListen != "" {
		l = append(l, listenAddress{"ReadyListen", s.ReadyListen, false})
	}
	c.listenAddresses(l)
	c.controls(s)
	c.interfaceName(s.Interface)
	if s.Interface == PlatformInterface {
		c.name("Service", s.Service)
		if c.d.Valid("ReadyListen") && s.ReadyListen == "" {
			c.d.Fault("ReadyListen", "empty", "an address, which the interface Platform needs")
		}
	}
	c.retryBudget(s.RetryBudget)
	if c.d.Valid("UrgentReserve") && (s.UrgentReserve <= 0 || s.UrgentReserve > maxUrgentReserve) {
		c.d.Fault("UrgentReserve", fmt.Sprintf("%v is out of range", s.UrgentReserve), "a number above 0, at most 10")
	}
	if c.d.Valid("ReconnectLimit") && (s.ReconnectLimit < minReconnectLimit || s.ReconnectLimit > maxReconnectLimit) {
		c.d.Fault("ReconnectLimit", fmt.Sprintf("%s is out of range", s.ReconnectLimit), "a duration from 100ms to 1m")
	}
	if c.d.Valid("LinkMbps") && (s.LinkMbps < 0 || s.LinkMbps > maxLinkMbps) {
		c.d.Fault("LinkMbps", fmt.Sprintf("%v is out of range", s.LinkMbps), "a number from 0 to 1000000")
	}
	if c.d.Valid("ZonePrice") && (s.ZonePrice < 0 || s.ZonePrice > maxZonePrice) {
		c.d.Fault("ZonePrice", fmt.Sprintf("%v is out of range", s.ZonePrice), "a number from 0 to 1000000000")
	}
	if c.d.Valid("CallerDrain") && (s.CallerDrain < 0 || s.CallerDrain > s.StopLimit) {
		c.d.Fault("CallerDrain", fmt.Sprintf("%s is out of range", s.CallerDrain), "a duration from 0s to StopLimit")
	}
	c.memory(s.MemoryMb)
	if c.d.Valid("CallerConnections") && (s.CallerConnections < 1 || s.CallerConnections > maxCallerConnections) {
		c.d.Fault("CallerConnections", fmt.Sprintf("%d is out of range", s.CallerConnections), "a whole number from 1 to 65536")
	}
	c.tls(s.TLS)
	c.common(s.LogLevel, s.StopLimit, s.StopMargin)
}

func (c checker) memory(n int) {
	if c.d.Valid("MemoryMb") && n != 0 && (n < minMemoryMb || n > maxMemoryMb) {
		c.d.Fault("MemoryMb", fmt.Sprintf("%d is out of range", n), "a whole number from 48 to 1048576, or 0")
	}
}

// controls checks the addresses by which a node finds the controls.
func (c checker) controls(s *Node) {
	switch {
	case c.d.Has("") && !c.d.Has("Control") && !c.d.Has("Seeds"):
		c.d.Fault("", "neither Control nor Seeds", "the addresses of controls or of seeds")
	case len(s.Seeds) == 0:
		if c.d.Valid("Control") && len(s.Control) == 0 {
			c.d.Fault("Control", "empty", "the address of at least one control")
		}
	case len(s.Control) > 0:
		c.d.Fault("Seeds", "Control is set as well", "either Control or Seeds")
	case s.ControlPort < 1 || s.ControlPort > maxPort:
		c.d.Fault("Seeds", fmt.Sprintf("ControlPort %d is out of range", s.ControlPort), "a ControlPort from 1 to 65535")
	}
	c.addresses("Control", s.Control)
	c.addresses("Seeds", s.Seeds)
}

func (c checker) addresses(key string, l []string) {
	seen := map[netip.AddrPort]bool{}
	for i, a := range l {
		c.peerAddress(jsonc.Index(key, i), a, seen)
	}
}

func (c checker) interfaceName(i Interface) {
	if c.d.Valid("Interface") && i != OwnInterface && i != PlatformInterface {
		c.d.Fault("Interface", "unknown interface "+jsonc.Quote(string(i)), `"Own" or "Platform"`)
	}
}

func (c checker) retryBudget(b RetryBudget) {
	if c.d.Valid("RetryBudget") && (b.Share <= 0 || b.Share > 1 || b.Burst < 1 || b.Burst > maxRetryBurst) {
		c.d.Fault("RetryBudget", fmt.Sprintf("Share %v, Burst %v is out of range", b.Share, b.Burst),
			"a Share above 0, at most 1, and a Burst from 1 to 1000")
	}
}

// seeds checks the settings by which a control finds the other controls.
func (c checker) seeds(s *Control) {
	c.addresses("Seeds", s.Seeds)
	if c.d.Valid("Members") && len(s.Members) > 0 {
		c.d.Fault("Seeds", "Members is set as well", "either Members or Seeds")
	}
	if c.d.Valid("Losses") && (s.Losses < 0 || s.Losses > maxLosses) {
		c.d.Fault("Losses", fmt.Sprintf("%d is out of range", s.Losses), "a whole number from 0 to 4")
	}
}

func checkControl(c checker, s *Control) {
	c.name("Name", s.Name)
	c.name("AvailabilityZone", s.AvailabilityZone)
	c.listenAddresses([]listenAddress{
		{"Listen", s.Listen, false},
		{"PeerListen", s.PeerListen, true},
		{"AdminListen", s.AdminListen, false},
	})
	switch {
	case len(s.Seeds) > 0:
		c.seeds(s)
	case c.d.Has("") && !c.d.Has("Members"):
		c.d.Fault("", "neither Members nor Seeds", "the members or the addresses of seeds")
	default:
		c.members(s)
	}
	c.interfaceName(s.Interface)
	if c.d.Valid("ElectionTimeout") && (s.ElectionTimeout < minElectionTimeout || s.ElectionTimeout > maxElectionTimeout) {
		c.d.Fault("ElectionTimeout", fmt.Sprintf("%s is out of range", s.ElectionTimeout), "a duration from 200ms to 10s")
	}
	if c.d.Valid("DataFolder") && s.DataFolder == "" {
		c.d.Fault("DataFolder", "empty", "a folder")
	}
	c.memory(s.MemoryMb)
	c.tls(s.TLS)
	c.operators(s.Operators)
	if c.d.Valid("ClaimGroups") && (s.ClaimGroups < s.minClaimGroups() || s.ClaimGroups > maxClaimGroups) {
		c.d.Fault("ClaimGroups", fmt.Sprintf("%d is out of range", s.ClaimGroups), "a whole number from 1 to 64")
	}
	if c.d.Valid("ClaimRetention") && s.ClaimRetention < minClaimRetention {
		c.d.Fault("ClaimRetention", fmt.Sprintf("%s is out of range", s.ClaimRetention), "at least 1h")
	}
	if t := s.LimitTolerance; c.d.Has("LimitTolerance") && c.d.Valid("LimitTolerance") &&
		(t.Window <= 0 || t.Window > maxLimitWindow || t.Share < 0 || t.Share > 1 || t.Requests < 0 || t.Requests > maxLimitRequests) {
		c.d.Fault("LimitTolerance", fmt.Sprintf("Window %s, Share %v, Requests %v is out of range", t.Window, t.Share, t.Requests),
			"a Window above 0, at most 1m, a Share from 0 to 1 and Requests from 0 to 10000")
	}
	c.common(s.LogLevel, s.StopLimit, s.StopMargin)
}

// members checks that there are 1, 3 or 5 members, so that they can form quorums, and
// that this control is one of them.
func (c checker) members(s *Control) {
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	self := -1
	for i, m := range s.Members {
		p := jsonc.Index("Members", i)
		if c.unique(jsonc.Path(p, "Name"), m.Name, names) && m.Name == s.Name {
			self = i
		}
		c.peerAddress(jsonc.Path(p, "Address"), m.Address, addresses)
	}
	if !c.d.Valid("Members") {
		return
	}
	if !slices.Contains([]int{1, 3, 5}, len(s.Members)) {
		c.d.Fault("Members", fmt.Sprintf("%d members", len(s.Members)), "1, 3 or 5 members")
	}
	switch {
	case !c.d.Valid("Name"):
	case self < 0:
		c.d.Fault("Members", fmt.Sprintf("no member named %s", jsonc.Quote(s.Name)), "this control among its members")
	case c.d.Valid("PeerListen") && !sameAddress(s.Members[self].Address, s.PeerListen):
		c.d.Fault(jsonc.Path(jsonc.Index("Members", self), "Address"),
			jsonc.Quote(s.Members[self].Address)+" differs from this control's PeerListen", jsonc.Quote(s.PeerListen))
	}
}

func (c checker) operators(l []Operator) {
	names := map[string]bool{}
	for i, o := range l {
		p := jsonc.Index("Operators", i)
		c.unique(jsonc.Path(p, "Name"), o.Name, names)
		if p = jsonc.Path(p, "TokenHash"); c.d.Valid(p) && !hashPattern.MatchString(o.TokenHash) {
			c.d.Fault(p, "not a SHA-256 hash", "64 hex digits") // the value may be a token, so it is not shown
		}
	}
}

func (c checker) common(level string, stop, margin time.Duration) {
	if c.d.Valid("LogLevel") && !slices.Contains(logLevels, level) {
		c.d.Fault("LogLevel", "unknown level "+jsonc.Quote(level), `one of "debug", "info", "error"`)
	}
	if c.d.Valid("StopLimit") && stop <= 0 {
		c.d.Fault("StopLimit", fmt.Sprintf("%s is out of range", stop), "a duration above 0")
	}
	if c.d.Valid("StopMargin") && (margin < 0 || margin >= stop) {
		c.d.Fault("StopMargin", fmt.Sprintf("%s is out of range", margin), "a duration from 0s to below StopLimit")
	}
}

// name reports whether the value at path is a valid name.
func (c checker) name(path, v string) bool {
	if !c.d.Valid(path) {
		return false
	}
	if namePattern.MatchString(v) {
		return true
	}
	c.d.Fault(path, "bad name "+jsonc.Quote(v), "1 to 100 letters, digits, dots and dashes")
	return false
}

// unique reports whether the value at path is a valid name that is not yet in seen,
// and adds it to seen.
func (c checker) unique(path, v string, seen map[string]bool) bool {
	if !c.name(path, v) {
		return false
	}
	if seen[v] {
		c.d.Fault(path, "duplicate name "+jsonc.Quote(v), "unique names")
		return false
	}
	seen[v] = true
	return true
}

type listenAddress struct {
	key, address string
	reachable    bool // other processes must be able to connect to the address
}

// listenAddresses checks the addresses that one process listens on.
func (c checker) listenAddresses(l []listenAddress) {
	seen := map[netip.AddrPort]string{}
	for _, a := range l {
		p, ok := c.address(a.key, a.address, a.reachable)
		if !ok {
			continue
		}
		if k, taken := seen[p]; taken {
			c.d.Fault(a.key, "same address as "+k, "an address of its own")
			continue
		}
		seen[p] = a.key
	}
}

// peerAddress checks the address of another process.
func (c checker) peerAddress(path, v string, seen map[netip.AddrPort]bool) {
	p, ok := c.address(path, v, true)
	if !ok {
		return
	}
	if seen[p] {
		c.d.Fault(path, "duplicate address "+jsonc.Quote(v), "unique addresses")
	}
	seen[p] = true
}

func (c checker) address(path, v string, reachable bool) (netip.AddrPort, bool) {
	if !c.d.Valid(path) {
		return netip.AddrPort{}, false
	}
	p, err := netip.ParseAddrPort(v)
	switch {
	case err != nil || p.Port() == 0:
		c.d.Fault(path, "bad address "+jsonc.Quote(v), `IP:port such as "127.0.0.1:8080"`)
		return p, false
	case reachable && p.Addr().Unmap().IsUnspecified():
		c.d.Fault(path, "address "+jsonc.Quote(v)+" cannot be reached by others", "the IP of one interface")
		return p, false
	}
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port()), true
}

func sameAddress(a, b string) bool {
	p, errA := netip.ParseAddrPort(a)
	q, errB := netip.ParseAddrPort(b)
	return errA != nil || errB != nil || // a bad address is already a fault
		(p.Port() == q.Port() && p.Addr().Unmap() == q.Addr().Unmap())
}

package control

import (
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// directory holds the names and addresses of the controls. They come from the settings
// or, if the settings list seeds, from the current membership of the config group.
type directory struct {
	self  settings.Member
	fixed bool

	mu      sync.RWMutex
	members []settings.Member
	// learned holds the addresses of controls that sent messages but are not, or not
	// yet, members.
	learned map[string]string
}

// maxLearnedAddresses limits the learned addresses of controls that are not members.
const maxLearnedAddresses = 1024

func newDirectory(s settings.Control) *directory {
	d := &directory{
		self:    settings.Member{Name: s.Name, Address: s.PeerListen},
		fixed:   len(s.Seeds) == 0,
		members: s.Members,
		learned: map[string]string{},
	}
	if !d.fixed {
		d.members = []settings.Member{d.self}
	}
	return d
}

// list returns all controls sorted by name, including this one.
func (d *directory) list() []settings.Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.members
}

// addresses returns the addresses of all controls, for nodes that find them through
// seeds. It returns nil if the controls are fixed: nodes then use only the controls in
// their settings.
func (d *directory) addresses() []string {
	if d.fixed {
		return nil
	}
	var l []string
	for _, m := range d.list() {
		l = append(l, m.Address)
	}
	return l
}

// address returns the address of the named control. name may also be an address, unless
// the controls are fixed.
func (d *directory) address(name string) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, m := range d.members {
		if m.Name == name {
			return m.Address, true
		}
	}
	if a, ok := d.learned[name]; ok {
		return a, true
	}
	if _, err := netip.ParseAddrPort(name); err == nil && !d.fixed {
		return name, true
	}
	return "", false
}

// learnAddress stores the address of a control that sent a message.
func (d *directory) learnAddress(name, address string) {
	if d.fixed || address == "" {
		return
	}
	d.mu.RLock()
	known := d.learned[name] == address
	d.mu.RUnlock()
	if known {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.learned) >= maxLearnedAddresses {
		clear(d.learned)
	}
	d.learned[name] = address
}

// updateMembers sets the controls from the membership of the config group. While a member
// and its replacement of the same name are both in it, the replacement, which was added
// later, takes precedence.
func (d *directory) updateMembers(l []wire.RaftMember) {
	if d.fixed || len(l) == 0 {
		return
	}
	names := map[string]string{d.self.Name: d.self.Address}
	for _, m := range l {
		if m.Name != d.self.Name {
			names[m.Name] = m.Address
		}
	}
	next := make([]settings.Member, 0, len(names))
	for n, a := range names {
		next = append(next, settings.Member{Name: n, Address: a})
	}
	slices.SortFunc(next, func(a, b settings.Member) int { return strings.Compare(a.Name, b.Name) })
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(next, d.members) {
		d.members = next
	}
}

package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// RenewWithin is the time within which an upstream must renew its announcement.
	// Three renewals fit into a node's lease.
	RenewWithin = 5 * time.Second
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 16 << 10
	// maxConnections bounds the connections, and thus the slots, of one upstream: no
	// address accepts more from one VM.
	maxConnections = 1 << 16
	// maxUpstreams bounds the upstreams of one node.
	maxUpstreams = 64
	// idleWaitLimit bounds how long the response to a Leaving announcement waits for
	// the requests in flight at the upstream. A server that shuts down closes
	// connections on which it has not read a request yet.
	idleWaitLimit = 250 * time.Millisecond
)

// Announcement is the request body with which an upstream registers at its node.
type Announcement struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       wire.UpstreamState
	// Version is the software version of the upstream. It may be empty.
	Version string `json:",omitempty"`
	// Incarnation increases with each start of an upstream and Sequence with each of
	// its announcements, so that late announcements are detected. Both are zero in
	// the default API, which does not transmit them.
	Incarnation int64  `json:"-"`
	Sequence    uint64 `json:"-"`
}

// supersedes reports whether n replaces o, and is not an older announcement.
func (n Announcement) supersedes(o Announcement) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	return n.Incarnation == 0 || n.Sequence > o.Sequence
}

// equalExceptSequence reports whether n and o differ at most in Sequence, so that
// subscribers need not be notified.
func (n Announcement) equalExceptSequence(o Announcement) bool {
	n.Sequence = o.Sequence
	return n == o
}

// Renewal is the response body to an announcement.
type Renewal struct {
	RenewWithin string
}

// Announced is an upstream with its latest announcement.
type Announced struct {
	Name string
	Announcement
	// Since is the time since which the upstream has had its state, address, software
	// version and incarnation.
	Since   time.Time
	expires time.Time
}

// Announcements holds the upstreams that announced themselves to this node.
type Announcements struct {
	log        logr.Logger
	subscriber Subscriber
	mu         sync.Mutex
	// notifyMu serializes the calls of the subscriber's Set, in the order of changes.
	notifyMu sync.Mutex
	byName   map[string]Announced
	// withdrawn holds the incarnations of upstreams that withdrew, oldest first, so
	// that a late announcement does not add one again.
	withdrawn []withdrawal
}

type withdrawal struct {
	name        string
	incarnation int64
}

// Subscriber is notified of changes to the announced upstreams.
type Subscriber interface {
	// Set is called with all upstreams after each change.
	Set(l []Announced)
	// WaitIdle returns once no request is in flight at the named upstream, or when
	// ctx ends.
	WaitIdle(ctx context.Context, name string)
}

// NewAnnouncements returns an empty Announcements that notifies t.
func NewAnnouncements(l logr.Logger, t Subscriber) *Announcements {
	return &Announcements{log: l, subscriber: t, byName: map[string]Announced{}}
}

// Handler returns the HTTP API with which upstreams are announced, listed and
// withdrawn.
func (a *Announcements) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/upstreams/{name}", a.put)
	m.HandleFunc("DELETE /v1/upstreams/{name}", a.delete)
	m.HandleFunc("GET /v1/upstreams", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, a.List()) })
	return m
}

func (a *Announcements) put(w http.ResponseWriter, r *http.Request) {
	var n Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		writeError(w, errkind.Wrap(err, errkind.BadRequest, "announcement is not the expected JSON object"))
		return
	}
	if err := n.Validate(); err != nil {
		writeError(w, err)
		return
	}
	if err := a.Put(time.Now(), r.PathValue("name"), n); err != nil {
		writeError(w, err)
		return
	}
	if n.State == wire.Leaving {
		ctx, cancel := context.WithTimeout(r.Context(), idleWaitLimit)
		defer cancel()
		a.subscriber.WaitIdle(ctx, r.PathValue("name"))
	}
	writeJSON(w, http.StatusOK, Renewal{RenewWithin: RenewWithin.String()})
}

// Validate reports what is wrong with an announcement.
func (n Announcement) Validate() error {
	if n.Service == "" {
		return errkind.New(errkind.BadRequest, "Service is missing; expected the name of a service")
	}
	if a, err := netip.ParseAddrPort(n.Address); err != nil || a.Port() == 0 {
		return errkind.New(errkind.BadRequest, "Address %q; expected an IP address and a port from 1 to 65535", n.Address)
	}
	if n.Slots < 1 || n.Connections < n.Slots || n.Connections > maxConnections {
		return errkind.New(errkind.BadRequest, "Slots %d, Connections %d; expected at least 1 slot, as many connections, and at most %d", n.Slots, n.Connections, maxConnections)
	}
	if len(n.Version) > wire.MaxNameBytes {
		return errkind.New(errkind.BadRequest, "Version of %d bytes; expected at most %d", len(n.Version), wire.MaxNameBytes)
	}
	switch n.State {
	case wire.Starting, wire.Serving, wire.Leaving:
		return nil
	}
	return errkind.New(errkind.BadRequest, "State %q; expected Starting, Serving or Leaving", n.State)
}

// Put stores a valid announcement and notifies the subscriber of any change. It ignores
// outdated announcements.
func (a *Announcements) Put(now time.Time, name string, n Announcement) error {
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	a.mu.Lock()
	o, known := a.byName[name]
	if reason := a.outdatedReason(name, n); reason != "" {
		a.mu.Unlock()
		a.log.Info("announcement ignored", "upstream", name, "service", n.Service, "state", n.State, "address", n.Address,
			"incarnation", n.Incarnation, "sequence", n.Sequence, "reason", reason)
		return nil
	}
	if !known && len(a.byName) >= maxUpstreams {
		a.mu.Unlock()
		return errkind.New(errkind.TooLarge, "%d upstreams are announced already", maxUpstreams)
	}
	replaced := a.dropAddress(name, n)
	e := Announced{Name: name, Announcement: n, Since: now, expires: now.Add(RenewWithin)}
	if known && o.State == n.State && o.Address == n.Address && o.Incarnation == n.Incarnation && o.Version == n.Version {
		e.Since = o.Since
	}
	a.byName[name] = e
	a.mu.Unlock()
	if replaced != "" {
		a.log.Info("upstream removed", "upstream", replaced, "reason", "its address belongs to "+name)
	}
	if !known || !o.equalExceptSequence(n) {
		a.log.Info("upstream announced", "upstream", name, "service", n.Service, "state", n.State, "address", n.Address,
			"incarnation", n.Incarnation, "sequence", n.Sequence)
		a.subscriber.Set(a.List())
	}
	return nil
}

// outdatedReason returns why an announcement is outdated, or an empty string if it is
// not. The caller holds the lock.
func (a *Announcements) outdatedReason(name string, n Announcement) string {
	if o, ok := a.byName[name]; ok && !n.supersedes(o.Announcement) {
		return "a newer announcement of the upstream is known"
	}
	if n.Incarnation == 0 {
		return ""
	}
	for _, e := range a.withdrawn {
		if e.name == name && n.Incarnation <= e.incarnation {
			return "the upstream has withdrawn"
		}
	}
	for k, o := range a.byName {
		if k != name && o.Address == n.Address && o.Incarnation > n.Incarnation {
			return "upstream " + k + " started later at the same address"
		}
	}
	return ""
}

// dropAddress removes another upstream that was announced with the address of n, and
// returns its name. The caller holds the lock.
func (a *Announcements) dropAddress(name string, n Announcement) string {
	if n.Incarnation == 0 {
		return ""
	}
	for k, o := range a.byName {
		if k != name && o.Address == n.Address {
			delete(a.byName, k)
			return k
		}
	}
	return ""
}

// Withdraw records that an upstream withdrew in the given incarnation, and removes
// it unless a later incarnation is known.
func (a *Announcements) Withdraw(name string, incarnation int64) {
	a.mu.Lock()
	o, ok := a.byName[name]
	a.log.Info("upstream withdraws", "upstream", name, "incarnation", incarnation,
		"announced", ok, "announcedIncarnation", o.Incarnation, "announcedSequence", o.Sequence)
	if incarnation == 0 {
		incarnation = o.Incarnation
	}
	if a.withdrawn = append(a.withdrawn, withdrawal{name, incarnation}); len(a.withdrawn) > maxUpstreams {
		a.withdrawn = a.withdrawn[1:]
	}
	a.mu.Unlock()
	if ok && o.Incarnation <= incarnation {
		a.Remove(name, "withdrawn")
	}
}

func (a *Announcements) delete(w http.ResponseWriter, r *http.Request) {
	a.Remove(r.PathValue("name"), "withdrawn")
	w.WriteHeader(http.StatusNoContent)
}

// Remove removes an upstream and notifies the subscriber.
func (a *Announcements) Remove(name, reason string) {
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	a.mu.Lock()
	_, ok := a.byName[name]
	delete(a.byName, name)
	a.mu.Unlock()
	if ok {
		a.log.Info("upstream removed", "upstream", name, "reason", reason)
		a.subscriber.Set(a.List())
	}
}

// Expire removes the upstreams that did not renew in time.
func (a *Announcements) Expire(now time.Time) {
	for _, e := range a.List() {
		if now.After(e.expires) {
			a.Remove(e.Name, "not renewed in time")
		}
	}
}

// List returns all upstreams, sorted by name.
func (a *Announcements) List() []Announced {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := make([]Announced, 0, len(a.byName))
	for _, e := range a.byName {
		l = append(l, e)
	}
	slices.SortFunc(l, func(x, y Announced) int { return strings.Compare(x.Name, y.Name) })
	return l
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has gone
}

// problem is the body of an error response.
type problem struct {
	Kind   errkind.Kind
	Reason string
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	writeJSON(w, e.Kind.Answer().HTTPStatus, problem{Kind: e.Kind, Reason: e.Error()})
}

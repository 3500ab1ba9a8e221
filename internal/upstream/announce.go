package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
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
	// maxClockLead is how far the clock of an upstream may be ahead of this VM's. One
	// announcement from further in the future would outdate all later starts at its
	// address.
	maxClockLead = time.Hour
	// maxConnections bounds the connections, and thus the slots, of one upstream: no
	// address accepts more from one VM.
	maxConnections = 1 << 16
	// maxHeld bounds the messages that are held back until Restore.
	maxHeld = 256
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
	// Incarnation is the start of the upstream in milliseconds since 1970, and Sequence
	// increases with each of its announcements, so that late announcements are detected.
	// Both are zero if they are not known. The default API transmits them in the query,
	// which nodes of earlier versions ignore.
	Incarnation int64  `json:"-"`
	Sequence    uint64 `json:"-"`
	// ExclusiveAddress is set if no other upstream has the address at the same time, so
	// that an announcement replaces the upstream that had the address before.
	ExclusiveAddress bool `json:"-"`
}

// supersedes reports whether n replaces o, and is not an older announcement.
func (n Announcement) supersedes(o Announcement) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	return n.Incarnation == 0 || n.Sequence > o.Sequence
}

// excludes reports whether n and o are of upstreams that cannot run at the same time.
func (n Announcement) excludes(o Announcement) bool {
	return n.ExclusiveAddress && n.Address == o.Address
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
	// notifyMu serializes the calls of the subscriber's Set, in the order of changes.
	notifyMu sync.Mutex
	mu       sync.Mutex // guards everything below
	history  *history
	// held are the messages that wait for Restore, in the order of their arrival. They
	// are not held if holding is false.
	holding bool
	held    []func()
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
	return &Announcements{log: l, subscriber: t, history: newHistory()}
}

// Hold keeps messages back until Restore is called. A node that has just started does not
// know yet what the process before it remembered.
func (a *Announcements) Hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holding = true
}

// hold keeps f back until Restore is called, and reports whether it did. Of too many
// messages it drops the oldest; upstreams renew their announcements.
func (a *Announcements) hold(f func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holding {
		return false
	}
	if a.held = append(a.held, f); len(a.held) > maxHeld {
		a.held = a.held[1:]
	}
	return true
}

// Restore ends Hold: it adds what the process before this one remembered, and handles the
// messages that arrived meanwhile. Later calls have no effect.
func (a *Announcements) Restore(now time.Time, l []wire.Departure) {
	a.mu.Lock()
	if !a.holding {
		a.mu.Unlock()
		return
	}
	a.history.restore(now, l)
	held := a.held
	a.holding, a.held = false, nil
	a.mu.Unlock()
	for _, d := range l {
		a.log.Info("departed upstream restored", "upstream", d.Name, "incarnation", d.Incarnation, "sequence", d.Sequence, "withdrawn", d.Withdrawn)
	}
	for _, f := range held {
		f()
	}
	if len(l) > 0 { // the next process has to know it too
		a.notifyMu.Lock()
		defer a.notifyMu.Unlock()
		a.subscriber.Set(a.List())
	}
}

// Departures returns what a process that replaces this one has to remember.
func (a *Announcements) Departures(now time.Time) []wire.Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history.departures(now)
}

// Handler returns the HTTP API with which upstreams are announced, listed and
// withdrawn.
func (a *Announcements) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/upstreams/{name}", a.handlePut)
	m.HandleFunc("DELETE /v1/upstreams/{name}", a.handleDelete)
	m.HandleFunc("GET /v1/upstreams", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, a.List()) })
	return m
}

func (a *Announcements) handlePut(w http.ResponseWriter, r *http.Request) {
	var n Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		writeError(w, errkind.Wrap(err, errkind.BadRequest, "announcement is not the expected JSON object"))
		return
	}
	var err error
	if n.Incarnation, n.Sequence, err = order(time.Now(), r); err == nil {
		err = n.Validate()
	}
	if err != nil {
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
	if len(name) > wire.MaxNameBytes {
		return errkind.New(errkind.BadRequest, "name of %d bytes; expected at most %d", len(name), wire.MaxNameBytes)
	}
	if a.hold(func() { _ = a.put(now, name, n) }) {
		return nil
	}
	return a.put(now, name, n)
}

func (a *Announcements) put(now time.Time, name string, n Announcement) error {
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	a.mu.Lock()
	o, err := a.history.put(now, name, n)
	a.mu.Unlock()
	switch {
	case err != nil:
		return err
	case o.ignored != "":
		a.log.Info("announcement ignored", "upstream", name, "service", n.Service, "state", n.State, "address", n.Address,
			"incarnation", n.Incarnation, "sequence", n.Sequence, "reason", o.ignored)
	case o.changed:
		a.log.Info("upstream announced", "upstream", name, "service", n.Service, "state", n.State, "address", n.Address,
			"incarnation", n.Incarnation, "sequence", n.Sequence)
	}
	if o.replaced != "" {
		a.log.Info("upstream removed", "upstream", o.replaced, "reason", "its address belongs to "+name)
	}
	if o.changed {
		a.subscriber.Set(a.List())
	}
	return nil
}

// Withdraw records that an upstream withdrew in the given incarnation, or in one that is
// not known if it is zero, and removes it unless a later incarnation is known.
func (a *Announcements) Withdraw(name string, incarnation int64) {
	if len(name) > wire.MaxNameBytes {
		return // never announced
	}
	now := time.Now()
	if !a.hold(func() { a.withdraw(now, name, incarnation) }) {
		a.withdraw(now, name, incarnation)
	}
}

func (a *Announcements) withdraw(now time.Time, name string, incarnation int64) {
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	a.mu.Lock()
	o, known := a.history.get(name)
	removed := a.history.withdraw(now, name, incarnation)
	a.mu.Unlock()
	a.log.Info("upstream withdraws", "upstream", name, "incarnation", incarnation,
		"announced", known, "announcedIncarnation", o.Incarnation, "announcedSequence", o.Sequence)
	if removed {
		a.log.Info("upstream removed", "upstream", name, "reason", "withdrawn")
	}
	a.subscriber.Set(a.List()) // also if none was announced: the departures have changed
}

func (a *Announcements) handleDelete(w http.ResponseWriter, r *http.Request) {
	i, _, err := order(time.Now(), r)
	if err != nil {
		writeError(w, err)
		return
	}
	a.Withdraw(r.PathValue("name"), i)
	w.WriteHeader(http.StatusNoContent)
}

// order returns the incarnation and the sequence in the query of a request, zero if they
// are missing.
func order(now time.Time, r *http.Request) (incarnation int64, sequence uint64, err error) {
	q := r.URL.Query()
	if v := q.Get("Incarnation"); v != "" {
		incarnation, err = strconv.ParseInt(v, 10, 64)
		if err != nil || !ValidIncarnation(now, incarnation) {
			return 0, 0, errkind.New(errkind.BadRequest, "Incarnation %q; expected the start in milliseconds since 1970", v)
		}
	}
	if v := q.Get("Sequence"); v != "" {
		if sequence, err = strconv.ParseUint(v, 10, 64); err != nil {
			return 0, 0, errkind.New(errkind.BadRequest, "Sequence %q; expected a number from 0 on", v)
		}
	}
	return incarnation, sequence, nil
}

// ValidIncarnation reports whether i can be the start of an upstream on this VM.
func ValidIncarnation(now time.Time, i int64) bool {
	return i > 0 && time.UnixMilli(i).Sub(now) <= maxClockLead
}

// Expire removes the upstreams that did not renew in time.
func (a *Announcements) Expire(now time.Time) {
	a.notifyMu.Lock()
	defer a.notifyMu.Unlock()
	a.mu.Lock()
	l := a.history.expire(now)
	a.mu.Unlock()
	for _, n := range l {
		a.log.Info("upstream removed", "upstream", n, "reason", "not renewed in time")
	}
	if len(l) > 0 {
		a.subscriber.Set(a.List())
	}
}

// List returns all upstreams, sorted by name.
func (a *Announcements) List() []Announced {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history.announced()
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

package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// RenewWithin is the time within which an upstream must announce itself
	// again. Three renewals fit into a node's lease.
	RenewWithin = 5 * time.Second
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 16 << 10
	// maxUpstreams bounds the upstreams of one node.
	maxUpstreams = 64
	// settleTime bounds how long the answer to a Leaving upstream waits for the
	// requests that were already sent to it. A server that shuts down closes
	// connections on which it has not read a request yet.
	settleTime = 250 * time.Millisecond
)

// Announcement is the body with which an upstream announces itself.
type Announcement struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       wire.UpstreamState
	// Incarnation grows with each start of an upstream and Sequence with each of
	// its announcements, so that a late announcement is known as such. Both are
	// zero in the own interface, which has neither.
	Incarnation int64  `json:"-"`
	Sequence    uint64 `json:"-"`
}

// supersedes reports whether n is to be taken although o was.
func (n Announcement) supersedes(o Announcement) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	return n.Incarnation == 0 || n.Sequence > o.Sequence
}

// sameAs reports whether n says the same as o, for the fleet.
func (n Announcement) sameAs(o Announcement) bool {
	n.Sequence = o.Sequence
	return n == o
}

// Renewal answers an announcement.
type Renewal struct {
	RenewWithin string
}

// Announced is one announced upstream.
type Announced struct {
	Name string
	Announcement
	// Since is when the upstream entered its state.
	Since   time.Time
	expires time.Time
}

// Announcements keeps the upstreams that announced themselves to this node.
type Announcements struct {
	log    logr.Logger
	target Subscriber
	mu     sync.Mutex
	// notify orders the calls of Set.
	notify sync.Mutex
	names  map[string]Announced
	// ended holds the incarnations of upstreams that withdrew, oldest first, so
	// that a late announcement does not bring one back.
	ended []ending
}

type ending struct {
	name        string
	incarnation int64
}

// Subscriber follows the announcements.
type Subscriber interface {
	// Set takes all upstreams after each change.
	Set(l []Announced)
	// WaitIdle returns once no request is under way at an upstream.
	WaitIdle(ctx context.Context, name string)
}

// NewAnnouncements returns an empty Announcements that t follows.
func NewAnnouncements(l logr.Logger, t Subscriber) *Announcements {
	return &Announcements{log: l, target: t, names: map[string]Announced{}}
}

// Handler serves PUT, GET and DELETE of upstreams.
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
	if err := n.check(); err != nil {
		writeError(w, err)
		return
	}
	if err := a.Put(time.Now(), r.PathValue("name"), n); err != nil {
		writeError(w, err)
		return
	}
	if n.State == wire.Leaving {
		ctx, cancel := context.WithTimeout(r.Context(), settleTime)
		defer cancel()
		a.target.WaitIdle(ctx, r.PathValue("name"))
	}
	writeJSON(w, http.StatusOK, Renewal{RenewWithin: RenewWithin.String()})
}

func (n Announcement) check() error {
	if n.Service == "" {
		return errkind.New(errkind.BadRequest, "Service is missing; expected the name of a service")
	}
	if h, p, err := net.SplitHostPort(n.Address); err != nil || net.ParseIP(h) == nil || p == "" || p == "0" {
		return errkind.New(errkind.BadRequest, "Address %q; expected an IP address and a port", n.Address)
	}
	if n.Slots < 1 || n.Connections < n.Slots {
		return errkind.New(errkind.BadRequest, "Slots %d, Connections %d; expected at least 1 slot and as many connections", n.Slots, n.Connections)
	}
	switch n.State {
	case wire.Starting, wire.Serving, wire.Leaving:
		return nil
	}
	return errkind.New(errkind.BadRequest, "State %q; expected Starting, Serving or Leaving", n.State)
}

// Put stores an announcement.
func (a *Announcements) Put(now time.Time, name string, n Announcement) error {
	a.notify.Lock()
	defer a.notify.Unlock()
	a.mu.Lock()
	o, known := a.names[name]
	if reason := a.outdated(name, n); reason != "" {
		a.mu.Unlock()
		a.log.Info("announcement ignored", "upstream", name, "service", n.Service, "state", n.State, "address", n.Address,
			"incarnation", n.Incarnation, "sequence", n.Sequence, "reason", reason)
		return nil
	}
	if !known && len(a.names) >= maxUpstreams {
		a.mu.Unlock()
		return errkind.New(errkind.TooLarge, "%d upstreams are announced already", maxUpstreams)
	}
	replaced := a.dropAddress(name, n)
	e := Announced{Name: name, Announcement: n, Since: now, expires: now.Add(RenewWithin)}
	if known && o.State == n.State && o.Address == n.Address && o.Incarnation == n.Incarnation {
		e.Since = o.Since
	}
	a.names[name] = e
	a.mu.Unlock()
	if replaced != "" {
		a.log.Info("upstream removed", "upstream", replaced, "reason", "its address belongs to "+name)
	}
	if !known || !o.sameAs(n) {
		a.log.Info("upstream announced", "upstream", name, "service", n.Service, "state", n.State, "address", n.Address)
		a.target.Set(a.List())
	}
	return nil
}

// outdated returns why an announcement is older than what is known, or an empty
// string. The caller holds the lock.
func (a *Announcements) outdated(name string, n Announcement) string {
	if o, ok := a.names[name]; ok && !n.supersedes(o.Announcement) {
		return "a newer announcement of the upstream is known"
	}
	if n.Incarnation == 0 {
		return ""
	}
	for _, e := range a.ended {
		if e.name == name && n.Incarnation <= e.incarnation {
			return "the upstream has withdrawn"
		}
	}
	for k, o := range a.names {
		if k != name && o.Address == n.Address && o.Incarnation > n.Incarnation {
			return "upstream " + k + " started later at the same address"
		}
	}
	return ""
}

// dropAddress removes another upstream that had the address of n before, and
// returns its name. The caller holds the lock.
func (a *Announcements) dropAddress(name string, n Announcement) string {
	if n.Incarnation == 0 {
		return ""
	}
	for k, o := range a.names {
		if k != name && o.Address == n.Address {
			delete(a.names, k)
			return k
		}
	}
	return ""
}

// Withdraw remembers that an upstream withdrew in the given incarnation, and removes
// it unless a later one is known.
func (a *Announcements) Withdraw(name string, incarnation int64) {
	a.mu.Lock()
	o, ok := a.names[name]
	if incarnation == 0 {
		incarnation = o.Incarnation
	}
	if a.ended = append(a.ended, ending{name, incarnation}); len(a.ended) > maxUpstreams {
		a.ended = a.ended[1:]
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

// Remove withdraws an upstream.
func (a *Announcements) Remove(name, reason string) {
	a.notify.Lock()
	defer a.notify.Unlock()
	a.mu.Lock()
	_, ok := a.names[name]
	delete(a.names, name)
	a.mu.Unlock()
	if ok {
		a.log.Info("upstream removed", "upstream", name, "reason", reason)
		a.target.Set(a.List())
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

// List returns all upstreams by name.
func (a *Announcements) List() []Announced {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := make([]Announced, 0, len(a.names))
	for _, e := range a.names {
		l = append(l, e)
	}
	slices.SortFunc(l, func(x, y Announced) int { return strings.Compare(x.Name, y.Name) })
	return l
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client has gone
}

// problem is the body of an error answer.
type problem struct {
	Kind   errkind.Kind
	Reason string
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	writeJSON(w, e.Kind.Answer().HTTPStatus, problem{Kind: e.Kind, Reason: e.Error()})
}

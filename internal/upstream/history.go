package upstream

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxDelay is the longest time that a message of an upstream is expected to be on
	// its way. It decides where start times do not.
	maxDelay = 10 * time.Second
	// historyAge is how long an upstream that is no longer announced is remembered
	// after its last message.
	historyAge = time.Hour
	// maxHistory bounds the remembered names, announced or not.
	maxHistory = 1024
)

// history decides which messages of the upstreams on this VM are outdated. It remembers
// an upstream beyond its removal, from its first message on, and forgets it historyAge
// after its last one, or earlier if there are more than maxHistory names.
//
// Messages may be late, repeated and in any order. They are told apart as follows:
//
//   - A later incarnation replaces an earlier one, with the same name or address. The
//     earlier one stays outdated until maxDelay after the last message of the later one.
//     If it is still heard then, the clock of the VM was set back.
//   - Within an incarnation, the highest sequence counts, also after it has expired.
//   - An incarnation that has withdrawn does not return.
//   - A withdrawal that names no incarnation may be that of an earlier one, and be late.
//     It removes the upstream and all incarnations that started before it arrived. One
//     that is still heard maxDelay later has not withdrawn, and returns. If the known
//     incarnation was first heard more than maxDelay before, the withdrawal cannot be
//     that of an earlier one, and is final.
//
// Without incarnations, late messages cannot be detected. What a history remembers of the
// last maxDelay outlives the process, by way of the controls: see departures and restore.
//
// A history is not safe for concurrent use.
type history struct {
	byName map[string]*entry
	listed int // number of announced upstreams
}

// entry is what is remembered of the upstreams with one name.
type entry struct {
	// Announced holds the newest announcement. Its Incarnation is the latest one known,
	// or zero; it is known without an announcement if a withdrawal named it.
	Announced
	// listed is set while the upstream is announced: not expired, not withdrawn.
	listed bool
	// firstHeard is when the first message of the incarnation arrived, lastHeard when the
	// last message that counted did.
	firstHeard, lastHeard time.Time
	// withdrawn is set when the incarnation has withdrawn for certain.
	withdrawn bool
	// withdrawal is when a withdrawal that names no incarnation arrived; zero if none did.
	// latestSender is the latest incarnation that can have sent it: the one known then or
	// one that had started by then.
	withdrawal   time.Time
	latestSender int64
}

// outdates reports whether the incarnation of e is later than i and messages of i can
// still be on their way.
func (e *entry) outdates(now time.Time, i int64) bool {
	return e.Incarnation > i && (e.listed || now.Sub(e.lastHeard) <= maxDelay)
}

// mayHaveWithdrawn reports whether the incarnation of e may be the one of a withdrawal
// that named none, and has not been heard long enough after it to rule that out.
func (e *entry) mayHaveWithdrawn(now time.Time) bool {
	return e.Incarnation != 0 && !e.withdrawal.IsZero() && now.Sub(e.withdrawal) <= maxDelay && e.Incarnation <= e.latestSender
}

func newHistory() *history { return &history{byName: map[string]*entry{}} }

// get returns the announced upstream of a name.
func (h *history) get(name string) (Announced, bool) {
	e := h.byName[name]
	if e == nil || !e.listed {
		return Announced{}, false
	}
	return e.Announced, true
}

// outcome is what became of an announcement.
type outcome struct {
	// ignored is why the upstream is not announced by it, empty if it is.
	ignored string
	// changed is set if the announced upstreams or the departures have changed.
	changed bool
	// replaced is the upstream that had the address before, empty if none had.
	replaced string
}

// put stores an announcement and lists the upstream, unless it is outdated or the upstream
// may have withdrawn.
func (h *history) put(now time.Time, name string, n Announcement) (outcome, error) {
	if reason := h.outdated(now, name, n); reason != "" {
		return outcome{ignored: reason}, nil
	}
	o, known := h.get(name)
	if !known && h.listed >= maxUpstreams {
		return outcome{}, errkind.New(errkind.TooLarge, "%d upstreams are announced already", maxUpstreams)
	}
	e := h.entry(name)
	if n.Incarnation != e.Incarnation {
		e.firstHeard, e.withdrawn = now, false
	}
	e.lastHeard = now
	e.Announced = Announced{Name: name, Announcement: n, Since: now, expires: now.Add(RenewWithin)}
	if e.mayHaveWithdrawn(now) {
		return outcome{ignored: "the upstream may have withdrawn", changed: true}, nil
	}
	if known && o.State == n.State && o.Address == n.Address && o.Incarnation == n.Incarnation && o.Version == n.Version {
		e.Since = o.Since
	}
	h.list(e, true)
	return outcome{changed: !known || !o.equalExceptSequence(n), replaced: h.dropAddress(name, n)}, nil
}

// outdated returns why an announcement is outdated, or an empty string if it is not.
func (h *history) outdated(now time.Time, name string, n Announcement) string {
	e := h.byName[name]
	if e != nil && e.listed && !n.supersedes(e.Announcement) {
		return "a newer announcement of the upstream is known"
	}
	if n.Incarnation == 0 {
		return ""
	}
	if e != nil {
		switch {
		case e.outdates(now, n.Incarnation):
			return "the upstream has started again since"
		case n.Incarnation == e.Incarnation && n.Sequence <= e.Sequence:
			return "a newer announcement of the upstream is known"
		case n.Incarnation == e.Incarnation && e.withdrawn:
			return "the upstream has withdrawn"
		}
	}
	for k, o := range h.byName {
		if k != name && n.excludes(o.Announcement) && o.outdates(now, n.Incarnation) {
			return "upstream " + k + " started later at the same address"
		}
	}
	return ""
}

// dropAddress removes another upstream that was announced with the address of n, and
// returns its name.
func (h *history) dropAddress(name string, n Announcement) string {
	for k, o := range h.byName {
		if k != name && o.listed && n.excludes(o.Announcement) {
			h.list(o, false)
			return k
		}
	}
	return ""
}

// withdraw records a withdrawal, of the given incarnation or, if it is zero, of one that
// is not known. It reports whether the upstream was removed.
func (h *history) withdraw(now time.Time, name string, incarnation int64) bool {
	e := h.byName[name]
	if incarnation != 0 && e != nil && e.outdates(now, incarnation) {
		return false
	}
	if e == nil {
		e = h.entry(name)
	}
	switch {
	case incarnation == 0:
		e.withdrawal, e.latestSender = now, max(now.UnixMilli(), e.Incarnation)
		e.withdrawn = e.withdrawn || e.Incarnation != 0 && now.Sub(e.firstHeard) > maxDelay
	case incarnation != e.Incarnation:
		e.Announcement = Announcement{Incarnation: incarnation}
		e.firstHeard, e.withdrawn = now, true
	default:
		e.withdrawn = true
	}
	e.lastHeard = now
	return h.list(e, false)
}

// expire removes the upstreams that did not renew in time, and returns their names.
func (h *history) expire(now time.Time) []string {
	var l []string
	for k, e := range h.byName {
		switch {
		case e.listed && now.After(e.expires):
			h.list(e, false)
			l = append(l, k)
		case !e.listed && now.Sub(e.lastHeard) > historyAge:
			delete(h.byName, k)
		}
	}
	slices.Sort(l)
	return l
}

// list sets whether e is announced, and reports whether that changed.
func (h *history) list(e *entry, listed bool) bool {
	if e.listed == listed {
		return false
	}
	if e.listed = listed; listed {
		h.listed++
	} else {
		h.listed--
		e.Service, e.Version = "", "" // not needed, and possibly long
	}
	return true
}

// entry returns the entry of a name. It adds one if there is none, and drops another one
// if there are too many.
func (h *history) entry(name string) *entry {
	if e := h.byName[name]; e != nil {
		return e
	}
	if len(h.byName) >= maxHistory {
		delete(h.byName, h.leastNeeded())
	}
	e := &entry{Announced: Announced{Name: name}}
	h.byName[name] = e
	return e
}

// leastNeeded returns the name to forget first: one that was never announced, and of
// several the one that was heard last the longest ago. Announced upstreams are kept.
func (h *history) leastNeeded() string {
	var least *entry
	for _, e := range h.byName {
		if e.listed {
			continue
		}
		switch {
		case least == nil, e.everAnnounced() != least.everAnnounced() && !e.everAnnounced(),
			e.everAnnounced() == least.everAnnounced() && e.lastHeard.Before(least.lastHeard):
			least = e
		}
	}
	return least.Name
}

// everAnnounced reports whether an announcement of the incarnation arrived.
func (e *entry) everAnnounced() bool { return e.Address != "" }

// announced returns the announced upstreams, sorted by name.
func (h *history) announced() []Announced {
	l := make([]Announced, 0, h.listed)
	for _, e := range h.byName {
		if e.listed {
			l = append(l, e.Announced)
		}
	}
	slices.SortFunc(l, func(x, y Announced) int { return strings.Compare(x.Name, y.Name) })
	return l
}

// departures returns what a process that replaces this one has to remember, as long as
// messages can still be on their way: upstreams that leave or are not announced, and those
// that have just started, perhaps again. The newest ones come first.
func (h *history) departures(now time.Time) []wire.Departure {
	var l []wire.Departure
	for k, e := range h.byName {
		serves := e.listed && e.State != wire.Leaving
		if now.Sub(e.lastHeard) > maxDelay || serves && now.Sub(e.firstHeard) > maxDelay {
			continue
		}
		l = append(l, wire.Departure{
			Name: k, Address: e.Address, Incarnation: e.Incarnation, Sequence: e.Sequence, Withdrawn: e.withdrawn,
			FirstHeard: unixMilli(e.firstHeard), LastHeard: unixMilli(e.lastHeard),
			Withdrawal: unixMilli(e.withdrawal), LatestSender: e.latestSender,
		})
	}
	slices.SortFunc(l, func(x, y wire.Departure) int {
		return cmp.Or(cmp.Compare(y.LastHeard, x.LastHeard), cmp.Compare(x.Name, y.Name))
	})
	return l[:min(len(l), wire.MaxDepartures)]
}

// restore adds what the process before this one remembered.
func (h *history) restore(now time.Time, l []wire.Departure) {
	for _, d := range l {
		if now.Sub(time.UnixMilli(d.LastHeard)) > maxDelay || h.byName[d.Name] != nil {
			continue
		}
		e := h.entry(d.Name)
		e.Announcement = Announcement{Address: d.Address, Incarnation: d.Incarnation, Sequence: d.Sequence}
		e.firstHeard, e.lastHeard, e.withdrawal = fromUnixMilli(d.FirstHeard), fromUnixMilli(d.LastHeard), fromUnixMilli(d.Withdrawal)
		e.withdrawn, e.latestSender = d.Withdrawn, d.LatestSender
	}
}

// unixMilli returns t in milliseconds since 1970, or zero if t is zero.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

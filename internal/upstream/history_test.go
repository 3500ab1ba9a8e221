package upstream

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	scheduleLength    = 2 * time.Minute
)

// process is one start of an upstream.
type process struct {
	name, address string
	born          time.Time
	// leaves is set when the node has acknowledged that it is draining or withdrawn.
	leaves bool
	// newest is the highest sequence that arrived.
	newest uint64
}

func (p *process) announcement(state wire.UpstreamState, seq uint64) Announcement {
	return Announcement{
		Service: "levels", Address: p.address, Slots: 4, Connections: 4, State: state,
		Incarnation: p.born.UnixMilli(), Sequence: seq, ExclusiveAddress: true,
	}
}

// message is a heartbeat or a withdrawal of a process.
type message struct {
	from    *process
	arrives time.Time
	// state and seq are those of a heartbeat; a withdrawal has no state.
	state wire.UpstreamState
	seq   uint64
	// named is set in a withdrawal that names its incarnation.
	named bool
}

func (m message) String() string {
	return fmt.Sprintf("%s born %s: %q %d named %t", m.from.name, m.from.born.Format("04:05.000"), m.state, m.seq, m.named)
}

// schedule is a random sequence of processes, and their messages in the order of arrival.
type schedule struct {
	r        *rand.Rand
	messages []message
	late     int // percentage of messages that are late
}

func (s *schedule) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.r.Int64N(int64(b-a)))
}

func (s *schedule) send(m message, at time.Time) {
	d := s.between(0, 50*time.Millisecond)
	if s.r.IntN(100) < s.late {
		d = s.between(0, maxDelay)
	}
	m.arrives = at.Add(d)
	s.messages = append(s.messages, m)
}

// run adds the messages of one process and returns the time of its exit.
func (s *schedule) run(p *process) time.Time {
	at, seq := p.born, uint64(0)
	beat := func(state wire.UpstreamState, end time.Time) {
		for ; at.Before(end); at = at.Add(s.between(heartbeatInterval*9/10, heartbeatInterval*11/10)) {
			seq++
			s.send(message{from: p, state: state, seq: seq}, at)
		}
		at = end
	}
	beat(wire.Serving, at.Add(s.between(500*time.Millisecond, 25*time.Second)))
	if s.r.IntN(3) == 0 {
		return at // crash
	}
	if s.r.IntN(2) == 0 {
		beat(wire.Leaving, at.Add(s.between(2*time.Second, 8*time.Second)))
	}
	named := s.r.IntN(3) == 0
	for range 1 + s.r.IntN(2) {
		s.send(message{from: p, named: named}, at)
		at = at.Add(time.Second)
	}
	return at.Add(s.between(0, 5*time.Second))
}

// newSchedule returns the processes at two addresses, one after the other at each. They
// start again under their name, or under another one.
func newSchedule(seed uint64, start time.Time) *schedule {
	r := rand.New(rand.NewPCG(seed, 48))
	s := &schedule{r: r, late: 10 * r.IntN(7)}
	for i := range 2 {
		for at := start; at.Before(start.Add(scheduleLength)); at = at.Add(s.between(100*time.Millisecond, 4*time.Second)) {
			p := &process{name: fmt.Sprint("u", 2*i+r.IntN(2)), address: fmt.Sprint("10.0.0.1:", 80+i), born: at}
			at = s.run(p)
		}
	}
	slices.SortStableFunc(s.messages, func(a, b message) int { return a.arrives.Compare(b.arrives) })
	return s
}

// player delivers a schedule to a history.
type player struct {
	t       *testing.T
	h       *history
	now     time.Time
	heard   []*process
	unnamed map[string]time.Time // by name, when the last withdrawal that names no incarnation arrived
	// kept is what the controls keep for the next process of the node.
	kept []wire.Departure
}

// restart replaces the process of the node by one that knows what the controls kept.
func (y *player) restart() {
	y.h = newHistory()
	y.h.restore(y.now, y.kept)
}

func (y *player) serves(p *process) bool {
	a, ok := y.h.get(p.name)
	return ok && a.State == wire.Serving && a.Incarnation == p.born.UnixMilli()
}

func (y *player) deliver(m message) {
	for y.now.Add(100 * time.Millisecond).Before(m.arrives) {
		y.now = y.now.Add(100 * time.Millisecond)
		if len(y.h.expire(y.now)) > 0 {
			y.kept = y.h.departures(y.now)
		}
	}
	y.now = m.arrives
	if !slices.Contains(y.heard, m.from) {
		y.heard = append(y.heard, m.from)
	}
	p := m.from
	if m.state == "" {
		incarnation := int64(0)
		if m.named {
			incarnation = p.born.UnixMilli()
		} else {
			y.unnamed[p.name] = y.now
		}
		y.h.withdraw(y.now, p.name, incarnation)
		y.kept = y.h.departures(y.now)
		p.leaves = true
		return
	}
	o, err := y.h.put(y.now, p.name, p.announcement(m.state, m.seq))
	if err != nil {
		y.t.Fatal(err)
	}
	if o.changed {
		y.kept = y.h.departures(y.now)
	}
	p.leaves = p.leaves || m.state == wire.Leaving
	inOrder := m.seq > p.newest
	p.newest = max(p.newest, m.seq)
	if inOrder && m.state == wire.Serving && !p.leaves && y.newestOf(p) && !y.serves(p) {
		y.t.Errorf("%s: %v: got no announced upstream, want it announced", y.now.Format("04:05.000"), m)
	}
}

// newestOf reports whether p has to be announced: nothing is known of a later process with
// its name or address, and no withdrawal that arrived can be taken for its own.
func (y *player) newestOf(p *process) bool {
	for _, o := range y.heard {
		if (o.name == p.name || o.address == p.address) && o.born.After(p.born) {
			return false
		}
	}
	w, ok := y.unnamed[p.name]
	return !ok || w.UnixMilli() < p.born.UnixMilli() || y.now.Sub(w) > maxDelay
}

// Guards against an order of heartbeats, withdrawals, expiry, new starts and restarts of the
// node that brings back an upstream which has left, or keeps out one that serves.
func TestMessagesInAnyOrder(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for seed := range uint64(2000) {
		s := newSchedule(seed, start)
		y := &player{t: t, h: newHistory(), now: start, unnamed: map[string]time.Time{}}
		restarts := seed%2 == 1
		for _, m := range s.messages {
			if restarts && s.r.IntN(20) == 0 {
				y.restart()
			}
			y.deliver(m)
			for _, p := range y.heard {
				if p.leaves && y.serves(p) {
					t.Errorf("%s: %v brings back %s, which has left", y.now.Format("04:05.000"), m, p.name)
				}
			}
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
	}
}

// Guards against a history that grows without a bound, and against messages of made-up
// names that displace what is known of real ones.
func TestHistoryIsBounded(t *testing.T) {
	h, now := newHistory(), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := &process{name: "real", address: "10.0.0.1:80", born: now}
	if _, err := h.put(now, p.name, p.announcement(wire.Serving, 1)); err != nil {
		t.Fatal(err)
	}
	h.withdraw(now, p.name, p.born.UnixMilli())
	for i := range 3 * maxHistory {
		now = now.Add(time.Millisecond)
		h.withdraw(now, fmt.Sprint("other-", i), int64(i%2))
	}
	if got := len(h.byName); got > maxHistory {
		t.Errorf("got %d remembered names, want at most %d", got, maxHistory)
	}
	if o, _ := h.put(now, p.name, p.announcement(wire.Serving, 2)); o.ignored == "" {
		t.Error("a late announcement of an upstream that has withdrawn was accepted")
	}
	now = now.Add(historyAge + time.Second)
	h.expire(now)
	if got := len(h.byName); got != 0 {
		t.Errorf("got %d remembered names after %s, want none", got, cmp.Or(historyAge, 0))
	}
}

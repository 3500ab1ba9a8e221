package policybench

import "time"

// epoch is the arbitrary start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration // since epoch
	seq uint64
	run func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// loop is the event loop. It runs events in the order of virtual time, and events of
// the same time in the order in which they were scheduled.
type loop struct {
	now    time.Time
	seq    uint64
	events []event // binary heap
}

// at schedules run for time t, or for now if t has passed.
func (l *loop) at(t time.Time, run func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	l.events = append(l.events, event{t.Sub(epoch), l.seq, run})
	for i := len(l.events) - 1; i > 0; {
		p := (i - 1) / 2
		if !l.events[i].before(&l.events[p]) {
			break
		}
		l.events[i], l.events[p] = l.events[p], l.events[i]
		i = p
	}
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

func (l *loop) pop() event {
	first, n := l.events[0], len(l.events)-1
	l.events[0] = l.events[n]
	l.events[n] = event{}
	l.events = l.events[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && l.events[c+1].before(&l.events[c]) {
			c++
		}
		if !l.events[c].before(&l.events[i]) {
			break
		}
		l.events[i], l.events[c] = l.events[c], l.events[i]
		i = c
	}
	return first
}

// runUntil runs all events up to and including end.
func (l *loop) runUntil(end time.Time) {
	for len(l.events) > 0 && l.events[0].at <= end.Sub(epoch) {
		e := l.pop()
		l.now = epoch.Add(e.at)
		e.run()
	}
	l.now = end
}

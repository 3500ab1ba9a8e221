package link

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(0, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// order returns the IDs of the bodies in the order in which their pieces are granted.
func order(s *Scheduler, now time.Time, left map[uint64]int) string {
	var l []string
	for id := range left {
		s.Ask(id, s.PieceBytes())
	}
	for range 100 {
		t, ok := s.WakeTime(now)
		if !ok {
			break
		}
		if t.After(now) {
			now = t
		}
		id, ok := s.Next(now)
		if !ok {
			l = append(l, "no grant at the wake time")
			break
		}
		l = append(l, fmt.Sprint(id))
		if left[id]--; left[id] > 0 {
			s.Ask(id, s.PieceBytes())
		}
	}
	return strings.Join(l, " ")
}

// Guards the order of pieces: rank, then those that can meet their target, by target, then
// the others, by deadline; a body that has begun is not overtaken once it is late.
func TestOrderOfPieces(t *testing.T) {
	type body struct {
		order            int
		target, deadline time.Duration
		pieces           int
	}
	for _, tt := range []struct {
		name   string
		bodies []body
		want   string
	}{
		{"rank first", []body{{2, time.Second, 0, 2}, {1, 2 * time.Second, 0, 2}}, "2 2 1 1"},
		{"target within a rank", []body{{1, 2 * time.Second, 0, 2}, {1, time.Second, 0, 2}}, "2 2 1 1"},
		{"late ones last", []body{{1, time.Millisecond, time.Second, 2}, {1, time.Second, 2 * time.Second, 2}}, "2 2 1 1"},
		{"late ones by deadline", []body{{1, 0, 3 * time.Second, 1}, {1, time.Millisecond, 2 * time.Second, 1}, {1, time.Millisecond, time.Second, 1}}, "1 3 2"},
		{"begun ones are finished", []body{{1, 30 * time.Millisecond, time.Second, 3}, {1, 2 * time.Second, 3 * time.Second, 3}}, "1 1 1 2 2 2"},
		{"first come without any time", []body{{1, 0, 0, 1}, {1, 0, 0, 1}}, "1 2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, left := NewScheduler(18), map[uint64]int{}
			for i, b := range tt.bodies {
				id, c := uint64(i+1), Class{Order: b.order}
				if b.target > 0 {
					c.Target = at(b.target)
				}
				if b.deadline > 0 {
					c.Deadline = at(b.deadline)
				}
				s.Open(start, id, c, int64(b.pieces*s.PieceBytes()))
				left[id] = b.pieces
			}
			if got := order(s, start, left); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards that pieces are so small on a thin link that a small message waits for little.
func TestPieceBytes(t *testing.T) {
	for mbps, want := range map[float64]int{0.1: 4 << 10, 8.1: 7452, 18: 16 << 10, 1000: 16 << 10} {
		if got := NewScheduler(mbps).PieceBytes(); got != want {
			t.Errorf("%v Mbit/s: got %d, want %d", mbps, got, want)
		}
	}
}

// Guards that no more than two pieces are in the queue of the link, and that it never runs
// empty while a piece waits.
func TestQueueOfLink(t *testing.T) {
	s, now := NewScheduler(18), start
	s.Open(now, 1, Class{}, 1<<20)
	for range 60 {
		s.Ask(1, s.PieceBytes())
		now, _ = s.WakeTime(now)
		before := s.Backlog(now)
		if _, ok := s.Next(now); !ok {
			t.Fatal("no grant at the wake time")
		}
		atMost(t, "queue", s.Backlog(now), 2*pieceTime)
		if now.After(start) && before <= 0 {
			t.Error("queue: got empty, want a piece")
		}
	}
}

// Guards against a link that stands idle where the process is not scheduled in time, and
// against a longer queue once it is again, or beyond a third piece.
func TestLateProcess(t *testing.T) {
	run := func(s *Scheduler, now time.Time, late time.Duration) (end time.Time, sent int, queued time.Duration) {
		for ; now.Before(at(time.Minute)); sent += s.PieceBytes() {
			s.Ask(1, s.PieceBytes())
			wake, _ := s.WakeTime(now)
			isLate := wake.After(now)
			if isLate {
				now = wake.Add(late)
			}
			if _, ok := s.Next(now); !ok {
				t.Fatal("no grant at the wake time")
			}
			if isLate {
				s.Late(late)
			}
			queued = max(queued, s.Backlog(now))
			if now.After(at(30*time.Second)) && late > 0 {
				break
			}
		}
		return now, sent, queued
	}
	s := NewScheduler(18)
	s.Open(start, 1, Class{}, 1<<40)
	now, sent, queued := run(s, start, 12*time.Millisecond)
	atLeast(t, "bytes in 30 s", float64(sent), 0.97*30*s.rate)
	atMost(t, "queue", queued, 3*pieceTime)
	now, _, _ = run(s, now, 0)
	s.Ask(1, s.PieceBytes())
	wake, _ := s.WakeTime(now)
	atMost(t, "queue at a grant once it runs in time", s.Backlog(wake), pieceTime+time.Millisecond)
	for range 100 {
		s.Late(time.Second)
	}
	for range 10 {
		s.Ask(1, s.PieceBytes())
		wake, _ = s.WakeTime(wake)
		s.Next(wake)
	}
	atMost(t, "queue once it runs in time after seconds", s.Backlog(wake), 3*pieceTime)
}

// Guards that a peer that does not read delays only its own body, and does not count in
// the estimates for others once it has stalled.
func TestReaderThatStops(t *testing.T) {
	s, now := NewScheduler(18), start
	stopped := Class{Order: 1, Target: at(time.Second), Deadline: at(time.Minute)}
	s.Open(now, 1, stopped, 1<<20)
	s.Ask(1, s.PieceBytes())
	s.Next(now) // its write blocks: it asks for nothing further
	now = now.Add(stallTime + time.Millisecond)
	c := Class{Order: 2, Target: now.Add(time.Second), Deadline: now.Add(time.Second)}
	if e, ok := s.Admit(now, c, 90_000); !ok || e.Delay > 50*time.Millisecond {
		t.Errorf("body behind it: got %+v, %v, want nothing ahead", e, ok)
	}
	atMost(t, "delay", s.Delay(now), 0)
	s.Open(now, 2, c, int64(3*s.PieceBytes()))
	if got, want := order(s, now, map[uint64]int{2: 3}), "2 2 2"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards that a body is refused only if it cannot be sent by its deadline, that the bodies
// of less urgent ranks do not count, and that those that have ended give up their place.
func TestAdmit(t *testing.T) {
	s := NewScheduler(18)
	rate := 18e6 / 8 * usableShare
	urgent := Class{Order: 1, Target: at(500 * time.Millisecond), Deadline: at(time.Second)}
	ahead := Class{Order: 2, Target: at(time.Minute), Deadline: at(time.Minute)}
	own := seconds(90_000 / rate)
	admitted := func(name string, c Class, want bool, wantAhead, wantRetry time.Duration) {
		t.Helper()
		e, got := s.Admit(start, c, 90_000)
		if d := e.Delay - own - wantAhead; got != want || d.Abs() > time.Millisecond {
			t.Errorf("%s: got %v, %s ahead, want %v, %s", name, got, e.Delay-own, want, wantAhead)
		}
		if d := e.RetryAfter - wantRetry; d.Abs() > time.Millisecond {
			t.Errorf("%s: got %s until the target can be met, want %s", name, e.RetryAfter, wantRetry)
		}
	}
	admitted("idle link", Class{Order: 1, Deadline: at(time.Second)}, true, 0, 0)
	admitted("idle link and no time", Class{Order: 1, Deadline: at(time.Millisecond)}, true, 0, own-time.Millisecond)
	s.Open(start, 1, ahead, int64(10*rate))
	admitted("10 s of a less urgent rank ahead", urgent, true, 0, 0)
	s.Open(start, 2, urgent, int64(0.4*rate))
	admitted("0.4 s of its rank ahead", urgent, true, 400*time.Millisecond, 0)
	s.Open(start, 3, urgent, int64(0.4*rate))
	admitted("0.8 s of its rank ahead", urgent, true, 800*time.Millisecond, 300*time.Millisecond+own)
	s.Open(start, 4, urgent, int64(0.4*rate))
	admitted("1.2 s of its rank ahead", urgent, false, 1200*time.Millisecond, 700*time.Millisecond+own)
	s.Close(3)
	s.Close(4)
	admitted("two have ended", urgent, true, 400*time.Millisecond, 0)
}

// Guards that what passes a body counts in the estimate, not only what is ahead of it now:
// less urgent bodies would be accepted that more urgent ones then keep from the link.
func TestEstimateCountsWhatPasses(t *testing.T) {
	s, now := NewScheduler(18), start
	s.Open(now, 1, Class{Order: 1}, 1<<30)
	for now.Before(at(20 * time.Second)) { // takes half of the link
		s.Ask(1, s.PieceBytes())
		s.Next(now)
		now = now.Add(seconds(2 * float64(s.PieceBytes()) / s.rate))
	}
	s.Close(1)
	s.Open(now, 2, Class{Order: 2}, int64(s.rate))
	got := s.Estimate(now, Class{Order: 2}, 0).Delay
	if d := got - 2*time.Second; d.Abs() > 200*time.Millisecond {
		t.Errorf("1 s of its rank ahead, half of the link for urgent ones: got %s, want about 2s", got)
	}
}

// Guards against a fast link that is left idle between two pieces because timers fire late.
func TestFastLinkWithLateTimers(t *testing.T) {
	s, now, sent := NewScheduler(1000), start, 0
	s.Open(now, 1, Class{}, 1<<30)
	for ; now.Before(at(time.Second)); now = now.Add(time.Millisecond) {
		for s.Ask(1, s.PieceBytes()); ; s.Ask(1, s.PieceBytes()) {
			if _, ok := s.Next(now); !ok {
				break
			}
			sent += s.PieceBytes()
		}
	}
	atLeast(t, "bytes in a second", float64(sent), 0.99*s.rate)
	atMost(t, "queue", s.Backlog(now), queueTime+time.Millisecond)
}

// Guards against a body of which a part has been sent and that is passed by others of its
// rank, by many late ones or by each that is slightly more urgent.
func TestBegunBodyIsNotPassed(t *testing.T) {
	for _, tt := range []struct {
		name          string
		target, other time.Duration
		otherOrder    int
		want          string
	}{
		{"past its target", -time.Second, 10 * time.Millisecond, 2, "1 1 2 2"},
		{"slightly more urgent", time.Second, 800 * time.Millisecond, 2, "1 1 2 2"},
		{"far more urgent", time.Second, 500 * time.Millisecond, 2, "2 2 1 1"},
		{"more urgent rank", -time.Second, time.Second, 1, "2 2 1 1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, now := NewScheduler(18), at(10*time.Second)
			n := int64(2 * s.PieceBytes())
			s.Open(now, 1, Class{Order: 2, Target: now.Add(tt.target), Deadline: now.Add(3 * time.Second)}, n)
			s.Begin(1)
			s.Open(now, 2, Class{Order: tt.otherOrder, Target: now.Add(tt.other), Deadline: now.Add(2 * time.Second)}, n)
			if got := order(s, now, map[uint64]int{1: 2, 2: 2}); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a request that is admitted although the bodies that have begun take the
// link until its deadline.
func TestAdmitCountsBegunBodies(t *testing.T) {
	s, now := NewScheduler(18), at(10*time.Second)
	for id := range uint64(4) {
		s.Open(now, id, Class{Order: 1, Target: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}, 540_000)
		s.Begin(id)
	}
	c := Class{Order: 1, Target: now.Add(800 * time.Millisecond), Deadline: now.Add(time.Second)}
	if e, ok := s.Admit(now, c, 90_000); ok {
		t.Errorf("got the body admitted with a delay of %s, want it refused: the others take 1.04 s", e.Delay)
	}
}

// Guards against bodies that are sent in part or held although they cannot arrive by their
// deadline, and against the end of one that can, or that is alone on a link whose rate may
// be set wrong.
func TestUnfinishable(t *testing.T) {
	for _, tt := range []struct {
		name        string
		left        int64
		begun       bool
		estimated   bool
		alone, want bool
	}{
		{"fits", 90_000, false, false, false, false},
		{"does not fit", 250_000, false, false, false, true},
		{"begun and fits closely", 200_000, true, false, false, false},
		{"begun and does not fit", 250_000, true, false, false, true},
		{"not begun and fits closely", 200_000, false, false, false, true},
		{"of estimated size", 250_000, false, true, false, false},
		{"alone", 250_000, false, false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, c := NewScheduler(18), Class{Order: 1, Target: at(0), Deadline: at(100 * time.Millisecond)}
			if tt.estimated {
				s.Expect(start, 1, c, tt.left)
			} else {
				s.Open(start, 1, c, tt.left)
			}
			if tt.begun {
				s.Begin(1)
			}
			s.Ask(1, s.PieceBytes())
			if !tt.alone {
				s.Open(start, 2, Class{Order: 1}, 1000)
			}
			if _, got := s.Unfinishable(start); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

package replica_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// seatSchedules is the number of seeds, and seatEvents that of the events of
	// each.
	seatSchedules = 40
	seatEvents    = 10
	// seatLosses is how many members may be lost at the same time.
	seatLosses = 2
	// seatCatchUp is how long a member counts as lost after it is back.
	seatCatchUp = 4 * time.Second
)

// seats plays events on a cluster that is found by seeds.
type seats struct {
	seeded
	r     *rand.Rand
	names []string // that run or come back
	spare []string
	// lost holds when a member counts as present again, heals what ends its loss.
	lost  map[string]time.Time
	heals map[string]func()
	due   map[string]time.Time

	// answers guards acked.
	answers sync.Mutex
	acked   []string
	calls   sync.WaitGroup
}

// propose sends a command to the member that is named and notes it when it was
// acknowledged.
func (s *seats) propose(member, command string) {
	g := s.group(member)
	if g == nil {
		return
	}
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
		defer cancel()
		if _, err := g.Propose(ctx, []byte(command)); err == nil {
			s.answers.Lock()
			s.acked = append(s.acked, command)
			s.answers.Unlock()
		}
	})
}

func (s *seats) losses(now time.Time) int {
	n := 0
	for _, until := range s.lost {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// lose makes name lost until heal has run and it has caught up.
func (s *seats) lose(now time.Time, name string, heal func()) {
	d := time.Duration(s.r.IntN(5000)) * time.Millisecond
	s.heals[name], s.due[name] = heal, now.Add(d)
	s.lost[name] = now.Add(d + seatCatchUp)
}

// event plays one event that the losses allow.
func (s *seats) event(now time.Time) string {
	name := s.names[s.r.IntN(len(s.names))]
	if s.heals[name] != nil || s.losses(now) >= seatLosses {
		return ""
	}
	switch s.r.IntN(5) {
	case 0:
		s.stop(name)
		s.lose(now, name, func() { s.start(false, name) })
		return "restart " + name
	case 1:
		s.stop(name)
		s.wipe(name)
		s.lose(now, name, func() { s.start(false, name) })
		return "lose the disk of " + name
	case 2:
		s.cutOff(name, true)
		s.lose(now, name, func() { s.cutOff(name, false) })
		return "cut off " + name
	case 3:
		if len(s.spare) == 0 {
			return ""
		}
		next := s.spare[0]
		s.spare = s.spare[1:]
		s.stop(name)
		s.names[slices.Index(s.names, name)] = next
		s.seeds = slices.Clone(s.names[:3]) // settings name members that exist
		delete(s.lost, name)
		s.lose(now, next, func() { s.start(false, next) })
		return "replace " + name + " by " + next
	}
	if len(s.heals) > 0 {
		return ""
	}
	s.stop(s.names...)
	s.start(false, s.names...)
	for _, n := range s.names {
		s.lost[n] = now.Add(seatCatchUp)
	}
	return "restart all"
}

func (s *seats) cutOff(name string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[name] = cut
}

// heal runs what is due.
func (s *seats) heal(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(s.due)) {
		if f := s.heals[n]; f != nil && !now.Before(s.due[n]) {
			delete(s.heals, n)
			delete(s.due, n)
			f()
		}
	}
}

// play runs the schedule of a seed and returns its events.
func (s *seats) play() (log []string) {
	next := time.Now()
	for n := 0; len(log) < seatEvents || len(s.heals) > 0; n++ {
		now := time.Now()
		s.heal(now)
		if len(log) < seatEvents && now.After(next) {
			if e := s.event(now); e != "" {
				log = append(log, e)
			}
			next = now.Add(time.Duration(s.r.IntN(3000)) * time.Millisecond)
		}
		s.propose(s.names[s.r.IntN(len(s.names))], fmt.Sprint("c", n))
		time.Sleep(100 * time.Millisecond)
	}
	return log
}

// check waits until all seats are taken by the members that run, and compares
// what was acknowledged with what each of them holds.
func (s *seats) check() {
	time.Sleep(3 * seatCatchUp)
	s.calls.Wait()
	s.within(2*seatCatchUp, "all seats", slices.Sorted(slices.Values(s.names))...)
	for _, n := range s.names {
		if err := s.group(n).ReadBarrier(s.t.Context()); err != nil {
			s.t.Errorf("read at %s: %v", n, err)
		}
		held := map[string]int{}
		for _, c := range s.machines[n].list() {
			held[c]++
		}
		for _, c := range s.acked {
			if held[c] != 1 {
				s.t.Errorf("%s holds the acknowledged command %s %d times, want once", n, c, held[c])
			}
		}
	}
	if len(s.acked) < seatEvents {
		s.t.Errorf("got %d commands acknowledged", len(s.acked))
	}
}

// report logs what happened and what each member believes.
func (s *seats) report(seed uint64, events []string) {
	s.t.Logf("seed %d: %v", seed, events)
	for _, n := range s.names {
		if g := s.group(n); g != nil {
			x := g.Status()
			s.t.Logf("%s: %s %s, term %d, leader %q, commit %d, members %v", n, x.Role, x.Identity, x.Term, x.Leader.Name, x.Commit, x.Members)
		}
	}
}

// Members that restart, lose their disks, are cut off or are replaced, up to two
// at a time and any number one after the other, must not lose an acknowledged
// command or run it twice, and all seats must be taken again.
func TestSeatSchedules(t *testing.T) {
	for seed := range uint64(seatSchedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &seats{
					seeded: seeded{newCluster(t, 0)}, r: rand.New(rand.NewPCG(seed, 1)),
					names: []string{"a", "b", "c", "d", "e"}, spare: []string{"f", "g"},
					lost: map[string]time.Time{}, heals: map[string]func(){}, due: map[string]time.Time{},
				}
				defer s.stop("a", "b", "c", "d", "e", "f", "g")
				s.start(true, s.names...)
				s.within(5*time.Second, "first start", s.names...)
				log := s.play()
				defer func() {
					if t.Failed() {
						s.report(seed, log)
					}
				}()
				s.check()
			})
		})
	}
}

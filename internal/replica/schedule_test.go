package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// schedules is the number of seeds.
	schedules = 300
	// Faults start until faultTime, about 12 of them, and end before healTime.
	faultTime = 7 * time.Second
	healTime  = 10 * time.Second
)

// rareSeeds lead to states that few schedules reach: a stale leader that is asked
// for a read, a follower without space that gets back an entry of its own, and a
// vote during another's lease.
var rareSeeds = []uint64{986, 358, 2117}

// Several faults at once must not lose or fork what was committed, let a read miss
// it, run a command that was refused as not-run, or let two leaders hold a lease.
func TestFaultSchedules(t *testing.T) {
	const parts = 4
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			acked, reads := 0, 0
			for i := part; i < schedules+len(rareSeeds); i += parts {
				seed := uint64(i)
				if i >= schedules {
					seed = rareSeeds[i-schedules]
				}
				s := newSim(t, seed, 3, nil)
				s.schedule()
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
				acked, reads = acked+s.acked, reads+s.reads
			}
			t.Logf("%d commands and %d reads answered", acked, reads)
		})
	}
}

var (
	healthy = link{delay: 5 * time.Millisecond}
	lossy   = link{delay: 10 * time.Millisecond, loss: 2, double: 5, spoil: 5}
)

func (s *sim) schedule() {
	start := s.now
	s.clients(start + healTime + time.Second)
	s.faults(start + faultTime)
	s.run(start+healTime, nil)
	s.heal()
	if !s.run(s.now+20*time.Second, s.settled) {
		s.t.Errorf("members did not agree after the faults")
	}
	s.checkNotRun()
	if !s.run(s.now+20*time.Second, s.idle) {
		s.t.Errorf("calls got no answer")
	}
}

func (s *sim) idle() bool {
	return !slices.ContainsFunc(s.vms, func(v *vm) bool { return len(v.ops) > 0 })
}

func (s *sim) checkNotRun() {
	for _, a := range s.order {
		if s.notRun[a.command] {
			s.t.Errorf("%s was refused as not-run and committed at %d", a.command, a.index)
		}
	}
}

// clients propose and read at random members.
func (s *sim) clients(until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		v := s.vms[s.rand.IntN(3)]
		for range 1 + s.rand.IntN(4) {
			if n++; s.rand.IntN(3) == 0 {
				v.read(func(error) {})
			} else {
				v.propose(fmt.Sprint("command ", n), func(error) {})
			}
		}
		s.after(time.Duration(1+s.rand.IntN(150))*time.Millisecond, next)
	}
	next()
}

// faults starts faults at random times. Their effects may overlap.
func (s *sim) faults(until time.Duration) {
	s.setLinks(lossy)
	s.faultsEnd = until
	for at := s.now + time.Second; at < until; at += time.Duration(100+s.rand.IntN(900)) * time.Millisecond {
		s.after(at-s.now, s.fault)
	}
}

func (s *sim) setLinks(l link) {
	for i := range s.links {
		for j := range s.links {
			s.links[i][j] = l
		}
	}
}

func (s *sim) fault() {
	v, w := s.vms[s.rand.IntN(3)], s.vms[s.rand.IntN(3)]
	d := time.Duration(100+s.rand.IntN(3000)) * time.Millisecond
	switch s.rand.IntN(9) {
	case 0, 1: // at a sync point soon
		v.fs.crashAt = v.fs.syncs + 1 + s.rand.IntN(30)
	case 2:
		if v.e != nil {
			v.crash(d / 10)
		}
	case 3:
		s.loseDisk(v)
	case 4: // one way
		s.change(d, v, w, link{blocked: true})
	case 5: // both ways, silently
		for _, w := range s.vms {
			s.change(d, v, w, link{blocked: true})
			s.change(d, w, v, link{blocked: true})
		}
	case 6:
		s.change(d, v, w, link{delay: time.Second, double: 30, loss: 10})
	case 7:
		v.fs.allocation = allocation(s.rand.IntN(int(allocations)))
		v.fs.limit = v.fs.used() + s.rand.IntN(1000) - 100
		fs := v.fs
		s.after(d, func() { fs.limit = noLimit })
		if s.rand.IntN(3) == 0 {
			v.fs.crashAt = v.fs.syncs + 1 + s.rand.IntN(10)
		}
	case 8:
		v.pausedUntil = s.now + d/2
	}
}

// change sets a link for a while.
func (s *sim) change(d time.Duration, v, w *vm, to link) {
	s.links[v.number][w.number] = to
	s.after(d, func() { s.links[v.number][w.number] = lossy })
}

// loseDisk replaces the disk of v by an empty one, unless another disk was lost
// that is not replaced yet: losing a majority of the disks loses the group.
func (s *sim) loseDisk(v *vm) {
	if v.e == nil || !s.allVote() {
		return
	}
	v.fs.crashed = true
	v.e, v.ops, v.inbox, v.fs = nil, nil, nil, newMemFS(s.rand)
	s.after(100*time.Millisecond, v.start)
	if s.rand.IntN(2) == 0 {
		s.loseNext(s.vms[s.rand.IntN(3)])
	}
}

// loseNext loses the disk of v as soon as the lost one is replaced.
func (s *sim) loseNext(v *vm) {
	s.after(5*time.Millisecond, func() {
		switch {
		case s.now > s.faultsEnd:
		case s.allVote():
			s.loseDisk(v)
		default:
			s.loseNext(v)
		}
	})
}

// allVote reports whether the newest committed membership that is known anywhere
// consists of voters with their disks.
func (s *sim) allVote() bool {
	var newest *vm
	for _, v := range s.vms {
		if v.e == nil || v.e.node == nil {
			return false
		}
		if newest == nil || v.e.node.Status(0).Commit > newest.e.node.Status(0).Commit {
			newest = v
		}
	}
	ms := newest.e.node.MembershipAt(newest.e.node.Status(0).Commit).Members
	for _, m := range ms {
		if !m.Voter || s.vms[m.Name[0]-'a'].e.self.Identity != m.Identity {
			return false
		}
	}
	return len(ms) == len(s.vms)
}

// heal ends all faults.
func (s *sim) heal() {
	s.setLinks(healthy)
	for _, v := range s.vms {
		v.fs.limit, v.fs.crashAt, v.pausedUntil = noLimit, 0, 0
	}
}

// settled reports whether all members vote and applied everything.
func (s *sim) settled() bool {
	if !s.allVote() {
		return false
	}
	for _, v := range s.vms {
		if v.machine.n != len(s.order) {
			return false
		}
	}
	return true
}

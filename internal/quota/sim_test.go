package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simStep      = 5 * time.Millisecond
	simRenewal   = 500 * time.Millisecond
	simRoundTrip = 6 * simStep // with half of the interval between read barriers
)

// request is a request that was admitted: when it was sent and when it reached an upstream.
type request struct{ sent, arrived time.Duration }

// message is a call or its reply on the way.
type message struct {
	at    time.Duration
	reply bool
	node  int
	seq   uint64
	sent  time.Duration
	r     Report
	g     Grant
	take  bool
	// waiters are when the requests that wait for the reply were sent.
	waiters []time.Duration
	// confirmed is set once the grantor that got the call was known to lead after the
	// call had arrived.
	confirmed bool
	leader    int
}

// ask is a call for tokens.
type ask struct {
	seq   uint64
	until time.Duration
}

// simNode is a node of a simulation.
type simNode struct {
	h           *Holder
	name        string
	paused, cut time.Duration // until then
	next        time.Duration // renewal
	limits      int           // index of the limits in force at the node
	until       map[string]time.Duration
	// asking holds the call for an account that waits for its reply.
	asking  map[string]ask
	waiting map[string][]time.Duration
}

// sim runs a fleet against controls in virtual time. Faults are switched on by faulty.
type sim struct {
	*rand.Rand
	t         *testing.T
	now       time.Duration
	tolerance Tolerance
	nodes     []*simNode
	ledgers   []*Ledger
	frozen    []time.Duration // controls that are paused until then
	leader    int             // -1 while there is none
	epoch     uint64
	taken     []uint64 // the epoch in which each control took over
	messages  []message
	limits    []map[string]AccountLimit
	limitsAt  []time.Duration
	admitted  map[string][]request
	refused   map[string]int
	within    map[string]*Bucket // the limits as one bucket for all nodes
	calls     int
	takes     int
	items     int // in calls and replies
	faulty    bool
	clump     int // requests that arrive at a node at the same time
	incs      uint64
}

func newSim(t *testing.T, seed uint64, nodes int, limits map[string]AccountLimit) *sim {
	s := &sim{
		Rand: rand.New(rand.NewPCG(seed, 1)), clump: 3, t: t, now: time.Hour,
		tolerance: Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20},
		limits:    []map[string]AccountLimit{limits}, limitsAt: []time.Duration{0},
		admitted: map[string][]request{}, refused: map[string]int{}, within: map[string]*Bucket{},
		frozen: make([]time.Duration, 3), taken: make([]uint64, 3),
	}
	for range 3 {
		s.ledgers = append(s.ledgers, NewLedger(s.tolerance))
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%d", i), next: s.now + time.Duration(s.Int64N(int64(simRenewal)))}
		s.nodes = append(s.nodes, n)
		s.restart(n)
	}
	s.elect(0)
	return s
}

func (s *sim) restart(n *simNode) {
	s.incs++
	n.h = NewHolder(n.name, s.incs)
	n.until, n.asking, n.waiting = map[string]time.Duration{}, map[string]ask{}, map[string][]time.Duration{}
	n.limits = len(s.limits) - 1
	n.h.SetLimits(s.now, s.limits[n.limits])
}

// elect makes control i the leader. The control takes over once it gets a call.
func (s *sim) elect(i int) { s.leader, s.epoch = i, s.epoch+1 }

func (s *sim) newest() map[string]AccountLimit { return s.limits[len(s.limits)-1] }

func (s *sim) send(m message) {
	m.at = s.now + simRoundTrip/2
	if s.faulty {
		switch s.IntN(12) {
		case 0:
			return
		case 1:
			m.at += time.Duration(s.Int64N(int64(8 * time.Second)))
		case 2:
			d := m
			d.at += time.Duration(s.Int64N(int64(3 * time.Second)))
			s.messages = append(s.messages, d)
		}
	}
	s.messages = append(s.messages, m)
}

// call sends a report to the leader, or to any control while there are faults.
func (s *sim) call(i int, r Report, take bool, waiters []time.Duration) {
	s.calls++
	s.items += len(r.Items)
	if take {
		s.takes++
	}
	to := s.leader
	if to < 0 || s.faulty && s.IntN(10) == 0 {
		to = s.IntN(len(s.ledgers))
	}
	r.Known = true
	s.send(message{node: i, seq: r.Seq, sent: s.now, r: r, take: take, waiters: waiters, leader: to})
}

// step advances the time and handles what is due.
func (s *sim) step() {
	s.now += simStep
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.at > s.now || !s.deliver(m) {
			s.messages = append(s.messages, m)
		}
	}
	for i, n := range s.nodes {
		if n.paused > s.now {
			continue
		}
		s.dispatch(i, n)
	}
}

// dispatch lets a node send the calls that are due.
func (s *sim) dispatch(i int, n *simNode) {
	if s.now >= n.next {
		n.next = s.now + simRenewal
		s.call(i, n.h.Renewal(s.now), false, nil)
	}
	for _, k := range slices.Sorted(maps.Keys(n.waiting)) {
		l := n.waiting[k]
		if len(l) == 0 || n.asking[k].until > s.now {
			continue
		}
		if n.h.Has(k) {
			r := n.h.Want(s.now, k, len(l))
			n.asking[k] = ask{r.Seq, s.now + MaxTakeAge + simStep}
			s.call(i, r, true, l)
		}
		n.waiting[k] = nil
	}
}

// deliver handles a message and reports whether it is done with it.
func (s *sim) deliver(m message) bool {
	if m.reply {
		n := s.nodes[m.node]
		if n.paused > s.now {
			return false
		}
		if n.cut <= s.now {
			s.receive(n, m)
		}
		return true
	}
	c := m.leader
	if s.frozen[c] > s.now {
		return false
	}
	if !m.confirmed {
		if s.leader != c || s.nodes[m.node].cut > s.now {
			return true // the read barrier fails
		}
		m.confirmed = true
		if s.faulty && s.IntN(20) == 0 {
			// The control is suspended between the barrier and the decision.
			m.at = s.now + time.Duration(s.Int64N(int64(9*time.Second)))
			s.messages = append(s.messages, m)
			return true
		}
	}
	l := s.ledgers[c]
	if s.leader == c && s.taken[c] != s.epoch {
		var known []string
		for _, n := range s.nodes {
			known = append(known, n.name)
		}
		s.taken[c] = s.epoch
		l.Takeover(s.now, s.epoch, known)
	}
	x := map[string]Limit{}
	for k, v := range s.newest() {
		x[k] = s.tolerance.Limit(v.Rate, v.Burst)
	}
	l.SetLimits(s.now, x)
	if m.take {
		m.g = l.Take(s.now, m.r)
	} else {
		m.g = l.Renew(s.now, m.r)
	}
	s.items += len(m.g.Items)
	m.reply = true
	s.send(m)
	return true
}

// receive handles the reply to a call of a node.
func (s *sim) receive(n *simNode, m message) {
	if m.r.Incarnation != n.h.incarnation {
		return
	}
	if !m.take {
		if n.h.Apply(s.now, m.seq, m.g) {
			n.next = s.now + 30*time.Millisecond
		}
		return
	}
	k := m.r.Items[0].Account
	if n.asking[k].seq != m.seq {
		return // the call has timed out, or was answered before
	}
	n.asking[k] = ask{}
	granted, wait := n.h.Taken(s.now, m.sent, m.seq, k, m.g)
	for i, w := range m.waiters {
		if i < granted || n.h.Admit(s.now, k) {
			s.admitted[k] = append(s.admitted[k], request{w, s.now})
			continue
		}
		s.refused[k]++
		n.until[k] = s.now + wait
	}
}

// request offers a request of an account at a node.
func (s *sim) request(i int, account string) {
	n := s.nodes[i]
	if n.paused > s.now || !n.h.Has(account) {
		return
	}
	n.h.Offer(account)
	switch {
	case n.h.Admit(s.now, account):
		if s.faulty && s.IntN(10) == 0 {
			n.h.Refund(s.now, account, 0)
			return
		}
		s.admitted[account] = append(s.admitted[account], request{s.now, s.now})
	case n.until[account] > s.now:
		s.refused[account]++
	default:
		n.waiting[account] = append(n.waiting[account], s.now)
	}
}

// assertBound fails if any window exceeds the bound of the highest limit in force in it.
func (s *sim) assertBound(seed uint64) {
	s.t.Helper()
	const late = 10 * time.Second // until a node that was paused has applied a version
	for k, l := range s.admitted {
		slices.SortFunc(l, func(a, b request) int { return int(a.sent - b.sent) })
		for i, a := range l {
			end := a.sent + s.tolerance.Window
			got := 0
			for j := i; j < len(l) && l[j].sent <= end; j++ {
				if l[j].arrived <= end {
					got++
				}
			}
			r, b := s.highest(k, a.sent-late, end)
			want := (r*s.tolerance.Window.Seconds()+b)*(1+s.tolerance.Share) + s.tolerance.Requests
			if float64(got) > want {
				s.t.Fatalf("seed %d: %s: got %d requests in the window from %s, want at most %.0f", seed, k, got, a.sent, want)
			}
		}
	}
}

func (s *sim) highest(account string, from, to time.Duration) (rate, burst float64) {
	for i, l := range s.limits {
		if s.limitsAt[i] <= to && (i+1 == len(s.limits) || s.limitsAt[i+1] >= from) {
			rate, burst = max(rate, l[account].Rate), max(burst, l[account].Burst)
		}
	}
	return rate, burst
}

// assertTokens fails if all buckets together hold more tokens than the capacity. It can be
// used while no limit has changed.
func (s *sim) assertTokens(seed uint64) {
	s.t.Helper()
	for k, v := range s.newest() {
		got := 0.0
		for _, n := range s.nodes {
			if a := n.h.accounts[k]; s.now < n.h.lease {
				got += a.bucket.Tokens(s.now)
			}
		}
		if l := s.leader; l >= 0 && s.taken[l] == s.epoch && s.ledgers[l].accounts[k] != nil {
			got += s.ledgers[l].accounts[k].reserve.Tokens(s.now)
		}
		if want := s.tolerance.Limit(v.Rate, v.Burst).Capacity(); got > want+1e-6 {
			s.t.Fatalf("seed %d, %s: %s: got %f tokens, want at most %f", seed, s.now-time.Hour, k, got, want)
		}
	}
}

// assertShares fails if the shares that nodes may use and that of the grantor's reserve add
// up to more than the whole limit.
func (s *sim) assertShares(seed uint64) {
	s.t.Helper()
	for k := range s.newest() {
		var rate, burst uint64
		for _, n := range s.nodes {
			if h := n.h.Share(k); s.now < n.h.lease {
				rate, burst = rate+uint64(h.Rate), burst+uint64(h.Burst)
			}
		}
		if l := s.leader; l >= 0 && s.taken[l] == s.epoch && s.ledgers[l].accounts[k] != nil {
			r := s.ledgers[l].reserveShare(s.ledgers[l].accounts[k])
			rate, burst = rate+uint64(r.Rate), burst+uint64(r.Burst)
		}
		if rate > Whole || burst > Whole {
			s.t.Fatalf("seed %d, %s: %s: got shares of %d and %d, want at most %d", seed, s.now-time.Hour, k, rate, burst, Whole)
		}
	}
}

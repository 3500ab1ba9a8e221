package link

import (
	"math/rand/v2"
	"testing"
	"time"
)

// wireShare is the part of the link's rate that payload gets, beside headers.
const wireShare = 0.95

// load is what a simulated link is offered, and the urgency of its large bodies.
type load struct {
	trueMbps, setMbps  float64
	smallPerSecond     float64
	smallBytes         int
	largePerSecond     float64
	meanLarge          int64
	maxLarge           int64
	target, deadline   time.Duration
	lessUrgentEveryNth int
	// work is how long the upstream takes, in which the size of the body is expected to be
	// meanLarge.
	work time.Duration
	// sentBeforeEveryNth is how often the first part of a body has been sent as small
	// messages before it was known to be large.
	sentBeforeEveryNth int
}

// result is what the simulated callers got.
type result struct {
	// maxSmall is the longest time that a small message waited behind others.
	maxSmall time.Duration
	offered, refused, onTime, late,
	failed int
	// begunFailed is the number of those among failed of which a part had been sent, and
	// heldFailed that of those that were held until their deadline.
	begunFailed, heldFailed int
	// goodput and wasted are the bytes per second of the bodies that arrived by their
	// deadline, of parts of the others, and of what was offered.
	goodput, wasted, offeredBytes float64
	// lessUrgent is the number of bodies of the less urgent rank that arrived.
	lessUrgent int
}

// simulatedLink sends what it is given first come, first served.
type simulatedLink struct {
	rate float64 // payload, bytes per second
	free time.Time
}

// send returns when a message of n bytes has been sent, and how long it waited before.
func (l *simulatedLink) send(now time.Time, n int) (at time.Time, wait time.Duration) {
	if l.free.Before(now) {
		l.free = now
	}
	wait = l.free.Sub(now)
	l.free = l.free.Add(seconds(float64(n) / l.rate))
	return l.free, wait
}

// transfer is a large body of the simulation.
type transfer struct {
	Class
	left, bytes int64
	answerAt    time.Time
	id          uint64
}

// simulation plays a load on a Scheduler in virtual time.
type simulation struct {
	load
	random    *rand.Rand
	scheduler *Scheduler
	link      simulatedLink
	now       time.Time
	nextID    uint64
	transfers map[uint64]*transfer
	// answers are the bodies whose upstream still works, in the order in which it ends.
	answers []*transfer
	result
}

func newSimulation(l load, seed uint64) *simulation {
	return &simulation{
		load: l, random: rand.New(rand.NewPCG(seed, 1)), scheduler: NewScheduler(l.setMbps),
		link: simulatedLink{rate: l.trueMbps * 1e6 / 8 * wireShare}, now: time.Unix(0, 0), transfers: map[uint64]*transfer{},
	}
}

// run plays the load for d.
func (m *simulation) run(d time.Duration) result {
	end := m.now.Add(d)
	small, large := m.after(m.smallPerSecond), m.after(m.largePerSecond)
	for m.now.Before(end) {
		wake, ok := m.scheduler.WakeTime(m.now)
		m.now = small
		if large.Before(m.now) {
			m.now = large
		}
		if ok && wake.Before(m.now) {
			m.now = wake
		}
		if len(m.answers) > 0 && m.answers[0].answerAt.Before(m.now) {
			m.now = m.answers[0].answerAt
		}
		if !m.now.Before(small) {
			m.sendSmall()
			small = m.after(m.smallPerSecond)
		}
		if !m.now.Before(large) {
			m.openLarge()
			large = m.after(m.largePerSecond)
		}
		for len(m.answers) > 0 && !m.answers[0].answerAt.After(m.now) {
			m.answer(m.answers[0].id)
			m.answers = m.answers[1:]
		}
		m.expire()
		m.endUnfinishable()
		for id, ok := m.scheduler.Next(m.now); ok; id, ok = m.scheduler.Next(m.now) {
			m.sendPiece(id)
		}
	}
	m.goodput /= d.Seconds()
	m.wasted /= d.Seconds()
	m.offeredBytes /= d.Seconds()
	return m.result
}

// after returns the time of the next event of a Poisson process.
func (m *simulation) after(perSecond float64) time.Time {
	if perSecond <= 0 {
		return m.now.Add(time.Hour)
	}
	return m.now.Add(seconds(m.random.ExpFloat64() / perSecond))
}

func (m *simulation) sendSmall() {
	n := m.smallBytes + messageBytes
	m.scheduler.Small(m.now, n)
	_, wait := m.link.send(m.now, n)
	m.maxSmall = max(m.maxSmall, wait)
}

func (m *simulation) openLarge() {
	n := min(int64(float64(m.meanLarge)*(0.2+0.8*m.random.ExpFloat64())), m.maxLarge)
	c := Class{Order: 1, Target: m.now.Add(m.target), Deadline: m.now.Add(m.deadline)}
	m.nextID++
	if m.lessUrgentEveryNth > 0 && m.nextID%uint64(m.lessUrgentEveryNth) == 0 {
		c.Order = 2
	}
	m.offered++
	m.offeredBytes += float64(n)
	if _, ok := m.scheduler.Admit(m.now, c, m.meanLarge); !ok {
		m.refused++
		return
	}
	m.transfers[m.nextID] = &transfer{Class: c, left: n, bytes: n, answerAt: m.now.Add(m.work), id: m.nextID}
	m.scheduler.Expect(m.now, m.nextID, c, m.meanLarge)
	m.answers = append(m.answers, m.transfers[m.nextID])
}

// answer starts to send the body of a request whose upstream has answered.
func (m *simulation) answer(id uint64) {
	t := m.transfers[id]
	if t == nil {
		return // its caller has given up
	}
	if m.sentBeforeEveryNth > 0 && id%uint64(m.sentBeforeEveryNth) == 0 && t.left > SmallBytes {
		m.scheduler.Small(m.now, SmallBytes)
		m.link.send(m.now, SmallBytes)
		t.left -= SmallBytes
		m.scheduler.Begin(id)
	}
	m.scheduler.SetLeft(id, t.left)
	m.ask(id)
}

// endUnfinishable ends the bodies that cannot be finished by their deadline.
func (m *simulation) endUnfinishable() {
	for id, ok := m.scheduler.Unfinishable(m.now); ok; id, ok = m.scheduler.Unfinishable(m.now) {
		m.end(id)
	}
}

func (m *simulation) ask(id uint64) {
	t := m.transfers[id]
	m.scheduler.Ask(id, int(min(t.left, int64(m.scheduler.PieceBytes()))))
}

func (m *simulation) sendPiece(id uint64) {
	t := m.transfers[id]
	n := min(t.left, int64(m.scheduler.PieceBytes()))
	at, _ := m.link.send(m.now, int(n))
	if t.left -= n; t.left > 0 {
		m.ask(id)
		return
	}
	delete(m.transfers, id)
	m.scheduler.Close(id)
	switch {
	case at.After(t.Deadline):
		m.failed++
		m.wasted += float64(t.bytes)
		return
	case at.After(t.Target):
		m.late++
	default:
		m.onTime++
	}
	m.goodput += float64(t.bytes)
	if t.Order > 1 {
		m.lessUrgent++
	}
}

// expire closes the bodies whose callers have given up.
func (m *simulation) expire() {
	for id, t := range m.transfers {
		if m.now.After(t.Deadline) {
			m.heldFailed++
			m.end(id)
		}
	}
}

// end closes a body that has not been sent completely.
func (m *simulation) end(id uint64) {
	t := m.transfers[id]
	delete(m.transfers, id)
	m.scheduler.Close(id)
	m.failed++
	m.wasted += float64(t.bytes - t.left)
	if t.left < t.bytes {
		m.begunFailed++
	}
}

// downloads offers downloads of 90 KB and small calls of 1 KB that together demand a share
// of a link of 18 Mbit/s.
func downloads(share float64) load {
	small, rate := 300.0, 18e6/8*wireShare
	return load{
		trueMbps: 18, setMbps: 18, smallPerSecond: small, smallBytes: 1 << 10,
		meanLarge: 90_000, maxLarge: 540_000, largePerSecond: (share*rate - small*(1<<10+messageBytes)) / 90_000,
		target: time.Second, deadline: 4 * time.Second,
	}
}

// uploads offers uploads of 60 KB and small calls on a link of 8.1 Mbit/s.
func uploads(share float64) load {
	small, rate := 100.0, 8.1e6/8*wireShare
	return load{
		trueMbps: 8.1, setMbps: 8.1, smallPerSecond: small, smallBytes: 1 << 10,
		meanLarge: 60_000, maxLarge: 120_000, largePerSecond: (share*rate - small*(1<<10+messageBytes)) / 60_000,
		target: 800 * time.Millisecond, deadline: 2 * time.Second,
	}
}

// atMost and atLeast compare a result with a bound.
func atMost[T int | float64 | time.Duration](t *testing.T, name string, got, want T) {
	t.Helper()
	if got > want {
		t.Errorf("%s: got %v, want at most %v", name, got, want)
	}
}

func atLeast[T int | float64 | time.Duration](t *testing.T, name string, got, want T) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got %v, want at least %v", name, got, want)
	}
}

// Guards against small messages that wait behind large bodies, against a link that carries
// less than it could, and against bodies that are sent in part only to miss their
// deadline.
func TestSmallMessagesAmongLargeBodies(t *testing.T) {
	for _, tt := range []struct {
		name      string
		load      load
		onTime    float64 // of the offered bodies
		completed float64 // of what the link can carry, or of what is offered
		refused   float64
	}{
		{"downloads at 70%", downloads(0.7), 0.99, 0.98, 0.002},
		{"downloads at 100%", downloads(1), 0.9, 0.92, 0.06},
		{"downloads at 130%", downloads(1.3), 0.65, 0.94, 0.3},
		{"uploads at 70%", uploads(0.7), 0.98, 0.98, 0.002},
		{"uploads at 100%", uploads(1), 0.9, 0.92, 0.06},
		{"uploads at 130%", uploads(1.3), 0.7, 0.93, 0.24},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(3) {
				l := tt.load
				got := newSimulation(l, seed).run(time.Minute)
				link := l.trueMbps * 1e6 / 8 * wireShare
				small := l.smallPerSecond * float64(l.smallBytes+messageBytes)
				large := min(got.offeredBytes, link-small)
				piece := seconds(float64(NewScheduler(l.setMbps).PieceBytes()) / link)
				atMost(t, "wait of a small message", got.maxSmall, 2*piece+5*time.Millisecond)
				atLeast(t, "bodies by their target", float64(got.onTime)/float64(got.offered), tt.onTime)
				atLeast(t, "bytes of complete bodies", got.goodput, tt.completed*large)
				atMost(t, "bytes of parts", got.wasted, 0.03*link)
				atMost(t, "refused", float64(got.refused)/float64(got.offered), tt.refused)
			}
		})
	}
}

// Guards against a setting that stops large bodies, or that stops all but a few: one that
// is far below the link slows them, and one above it leaves the queue to the kernel.
func TestWrongRate(t *testing.T) {
	for _, tt := range []struct {
		name    string
		setMbps float64
		small   float64 // per second
		least   float64 // bytes per second of complete bodies
	}{
		{"ten times too high", 180, 300, 1.5e6},
		{"half", 9, 300, 0.4 * 9e6 / 8},
		{"half, and small messages take more", 9, 1000, 0.1 * 9e6 / 8},
		{"a tenth, and small messages take more", 1.8, 300, 0.1 * 1.8e6 / 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := downloads(0.9)
			l.setMbps, l.smallPerSecond, l.deadline = tt.setMbps, tt.small, time.Minute
			got := newSimulation(l, 1).run(2 * time.Minute)
			atLeast(t, "bytes of complete bodies", got.goodput, tt.least)
		})
	}
	t.Run("a thousandth", func(t *testing.T) {
		s, now, n := NewScheduler(0.018), time.Unix(0, 0), 0
		s.Open(now, 1, Class{}, 1<<20)
		for s.Ask(1, s.PieceBytes()); now.Before(time.Unix(10, 0)); now = now.Add(time.Millisecond) {
			s.Small(now, 1000)
			if _, ok := s.Next(now); ok {
				n++
				s.Ask(1, s.PieceBytes())
			}
		}
		atLeast(t, "pieces in 10 s", n, 95)
	})
}

// Guards against large bodies that stay slow after more small messages than the setting
// allows: they have been sent, so the setting is too low.
func TestRateAfterManySmallMessages(t *testing.T) {
	s, now, n := NewScheduler(1), time.Unix(0, 0), 0
	s.Small(now, 10_000_000)
	s.Open(now, 1, Class{}, 1<<20)
	for s.Ask(1, s.PieceBytes()); now.Before(time.Unix(2, 0)); now = now.Add(time.Millisecond) {
		if _, ok := s.Next(now); ok {
			n++
			s.Ask(1, s.PieceBytes())
		}
	}
	atLeast(t, "pieces in 2 s", n, 45)
}

// Guards against less urgent bodies that starve while more urgent ones take the whole
// link, and against urgent ones that notice the less urgent.
func TestLessUrgentBodiesAdvance(t *testing.T) {
	l := downloads(1.3)
	l.lessUrgentEveryNth = 5
	l.deadline = 10 * time.Second
	got := newSimulation(l, 1).run(time.Minute)
	atLeast(t, "less urgent bodies", got.lessUrgent, 60)
	atLeast(t, "bodies by their target", float64(got.onTime)/float64(got.offered), 0.55)
}

// Guards against bodies of which a part has been sent and that are then starved until their
// deadline by newcomers, and against late ones that are held although they cannot arrive.
func TestBegunBodiesAreFinished(t *testing.T) {
	for _, tt := range []struct {
		name   string
		share  float64
		onTime float64 // of the offered bodies
	}{{"100%", 1, 0.86}, {"130%", 1.3, 0.66}, {"160%", 1.6, 0.5}} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(3) {
				l := downloads(tt.share)
				l.target, l.deadline = 800*time.Millisecond, 5*time.Second
				l.work, l.sentBeforeEveryNth = 100*time.Millisecond, 4
				got := newSimulation(l, seed).run(time.Minute)
				t.Logf("offered %d, refused %d, on time %d, late %d, failed %d (begun %d, held %d), goodput %.0f, small %s", got.offered, got.refused,
					got.onTime, got.late, got.failed, got.begunFailed, got.heldFailed, got.goodput, got.maxSmall)
				link := l.trueMbps * 1e6 / 8 * wireShare
				small := l.smallPerSecond * float64(l.smallBytes+messageBytes)
				atMost(t, "bodies that were begun and cut", got.begunFailed, 1)
				atMost(t, "bodies that were held until their deadline", got.heldFailed, 1)
				atLeast(t, "bodies by their target", float64(got.onTime)/float64(got.offered), tt.onTime)
				atLeast(t, "bytes of complete bodies", got.goodput, 0.92*min(got.offeredBytes, link-small))
				atMost(t, "wait of a small message", got.maxSmall, 26*time.Millisecond)
			}
		})
	}
}

package replica

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/raft"
	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// sim simulates a group of up to three members in virtual time on one goroutine.
// The engines use the real packages raft and wal with in-memory disks and a lossy
// network. The same seed produces the same run.
type sim struct {
	t      *testing.T
	rand   *rand.Rand
	c      Config
	drift  float64 // bound on the difference between the rates of two clocks
	now    time.Duration
	events events
	seq    int
	vms    []*vm
	links  [3][3]link
	order  []applied // applied commands in order, with their indexes
	votes  map[string]string
	acked  int
	notRun map[string]bool
	// members holds the memberships by index.
	members map[uint64][]wire.RaftMember
	reads   int
	// faultsEnd is the time after which no disk is lost.
	faultsEnd time.Duration
}

type applied struct {
	index   uint64
	command string
}

type link struct {
	blocked                  bool
	delay                    time.Duration
	loss, duplicate, corrupt int // percent of the messages, or for corrupt of the snapshot chunks
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

// run handles events until the given time, or until done returns true, and returns
// the result of done.
func (s *sim) run(until time.Duration, done func() bool) bool {
	for len(s.events) > 0 && s.events[0].at <= until {
		if done != nil && done() {
			return true
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
	s.now = until
	return done != nil && done()
}

// vm is one member with its own disk and clock.
type vm struct {
	s       *sim
	number  int
	name    string
	offset  time.Duration
	rate    float64
	fs      *memFS
	e       *engine // nil while the VM is down
	machine *orderChecker
	timerID int // ID of the current timer; older ones are ignored
	calls   []*pendingCall
	inbox   []func(e *engine, now time.Duration)

	pausedUntil time.Duration // simulates a stopped process
}

// newSim starts n members. The function tune may change the sim before that.
func newSim(t *testing.T, seed uint64, n int, tune func(*sim)) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), drift: 0.09,
		votes: map[string]string{}, notRun: map[string]bool{}, members: map[uint64][]wire.RaftMember{},
	}
	if seed%2 == 0 {
		s.drift = 1.6 // too large for leases, but everything else must hold
	}
	s.c = Config{
		Group: "g", Log: logr.Discard(), Folder: "d", Peers: noPeers{}, ElectionTimeout: 500 * time.Millisecond,
		SnapshotEntries: 12, SnapshotBytes: 1500, chunkBytes: 256, batchBytes: 128,
	}
	for i, name := range []string{"a", "b", "c"}[:n] {
		s.c.Members = append(s.c.Members, Member{Name: name, Address: name + ":1"})
		s.vms = append(s.vms, &vm{
			s: s, number: i, name: name, fs: newMemFS(s.rand),
			offset: time.Duration(1+s.rand.IntN(1000)) * time.Second,
			rate:   1 + s.drift*(s.rand.Float64()-0.5),
		})
	}
	s.setLinks(healthy)
	if tune != nil {
		tune(s)
	}
	for _, v := range s.vms {
		v.start()
	}
	s.until("a group", s.allMembersVote)
	return s
}

// until runs events until done returns true, and fails the test after 30 s.
func (s *sim) until(what string, done func() bool) {
	s.t.Helper()
	if !s.run(s.now+30*time.Second, done) {
		s.t.Fatalf("no %s within 30 s", what)
	}
}

type noPeers struct{ Peers }

func (v *vm) clock() time.Duration { return v.offset + time.Duration(float64(v.s.now)*v.rate) }

// start opens the log on the disk and starts the member.
func (v *vm) start() {
	if v.e != nil {
		return
	}
	c := v.s.c
	c.Name, c.FS, c.Rand = v.name, v.fs, rand.New(rand.NewPCG(v.s.rand.Uint64(), 2))
	c, err := c.withDefaults()
	if err != nil {
		v.s.t.Fatal(err)
	}
	l, err := wal.Open(wal.Options{
		Folder: c.Folder, FS: v.fs, SegmentBytes: 2048,
		Identity: wal.Identity{Identity: randomID(c.Rand), Name: c.Name},
	})
	if err == nil {
		v.machine = &orderChecker{s: v.s, name: v.name}
		v.e, err = newEngine(c, l, v.machine, runtime{clock: v.clock, background: v.background, send: v})
	}
	switch {
	case v.fs.crashed:
		v.crash(100 * time.Millisecond)
	case errkind.Of(err) == errkind.DiskFull:
		v.e, v.fs.locked = nil, false
		v.s.after(500*time.Millisecond, v.start)
	case err != nil:
		v.s.t.Fatalf("%s does not start: %v", v.name, err)
	default:
		if v.e.node != nil {
			v.checkLog()
		} else {
			v.join(v.e)
		}
		v.afterEvent()
	}
}

// checkLog fails the test if entries of an earlier log reappeared after newer ones.
func (v *vm) checkLog() {
	st, term := v.e.node.Status(0), uint64(0)
	for i := st.FirstIndex; i <= st.LastIndex; i++ {
		t := v.e.node.TermAt(i)
		if t < term || t > st.Term {
			v.s.t.Fatalf("%s: entry %d of term %d follows term %d", v.name, i, t, term)
		}
		term = t
	}
}

// crash simulates a power loss of the VM and restarts it after a pause.
func (v *vm) crash(pause time.Duration) {
	v.fs.crashed = true
	v.e, v.calls, v.inbox = nil, nil, nil
	v.fs.restart()
	v.s.after(pause, v.start)
}

// post queues an event for the engine, which handles all queued events at once.
func (v *vm) post(f func(e *engine, now time.Duration)) {
	if v.e == nil {
		return
	}
	v.inbox = append(v.inbox, f)
	if len(v.inbox) > 1 {
		return
	}
	e, d := v.e, time.Duration(v.s.rand.IntN(3))*time.Millisecond
	v.s.after(max(d, v.pausedUntil-v.s.now), func() {
		if v.e == e {
			v.handle()
		}
	})
}

// handle processes the queued events as Group does.
func (v *vm) handle() {
	now := v.clock()
	for _, f := range v.inbox {
		f(v.e, now)
	}
	v.inbox = nil
	v.e.tick(now)
	v.e.flush(now)
	v.afterEvent()
}

// afterEvent completes calls, checks invariants and sets the next timer.
func (v *vm) afterEvent() {
	v.calls = slices.DeleteFunc(v.calls, (*pendingCall).poll)
	if v.fs.crashed {
		v.crash(time.Duration(50+v.s.rand.IntN(1500)) * time.Millisecond)
		return
	}
	if v.e.failure != nil {
		v.s.t.Fatalf("%s stopped: %v", v.name, v.e.failure)
	}
	v.s.checkLeases()
	v.checkMembership()
	v.timerID++
	w, d := v.timerID, v.e.deadline()
	if d != never {
		v.s.after(max(0, time.Duration(float64(d-v.clock())/v.rate))+time.Microsecond, func() {
			if w == v.timerID {
				v.post(func(*engine, time.Duration) {})
			}
		})
	}
}

func (v *vm) background(f func()) {
	e, d := v.e, v.s.rand.IntN(100)
	if d < 10 {
		d = v.s.rand.IntN(5000)
	}
	v.s.after(time.Duration(d)*time.Millisecond, func() {
		if v.e == e {
			f()
			v.post(func(e *engine, now time.Duration) { e.finishSnapshot(now, <-e.written) })
		}
	})
}

// Send implements Transport.
func (v *vm) Send(to string, m wire.RaftMessage) {
	s := v.s
	s.checkVote(m)
	dst := s.vms[to[0]-'a']
	l := s.links[v.number][dst.number]
	if len(m.Data) > 0 && s.rand.IntN(100) < l.corrupt {
		m.Data = slices.Clone(m.Data)
		m.Data[s.rand.IntN(len(m.Data))]++
	}
	copies := 1
	if s.rand.IntN(100) < l.duplicate {
		copies = 2
	}
	for range copies {
		if l.blocked || s.rand.IntN(100) < l.loss {
			continue
		}
		d := time.Millisecond + time.Duration(s.rand.Int64N(int64(l.delay)+1))
		s.after(d, func() { dst.post(func(e *engine, now time.Duration) { e.step(now, m) }) })
	}
}

// join bootstraps or joins the group, as bootstrapper does.
func (v *vm) join(e *engine) {
	if v.e != e || e.node != nil {
		return
	}
	s := v.s
	s.after(200*time.Millisecond, func() { v.join(e) })
	if v.number == 0 && s.bootstrap() || len(s.vms) == 1 {
		return
	}
	dst := s.vms[(v.number+1+s.rand.IntN(2))%3]
	if dst.e == nil || s.links[v.number][dst.number].blocked {
		return
	}
	if i := dst.e.self.Initial; slices.ContainsFunc(i, func(m wire.RaftMember) bool { return m.Identity == e.self.Identity }) {
		v.post(func(e *engine, now time.Duration) { _ = e.bootstrap(now, "lineage", i, false) })
		return
	}
	p := newProposal()
	dst.calls = append(dst.calls, &pendingCall{p: p, then: func(err error) {
		if err != nil || s.links[dst.number][v.number].blocked {
			return
		}
		s.after(time.Millisecond, func() {
			if v.e == e {
				v.post(func(e *engine, now time.Duration) { _ = e.admit(now, "lineage") })
			}
		})
	}})
	dst.post(func(d *engine, now time.Duration) {
		d.join(now, p, &wire.JoinRequest{Group: "g", Identity: e.self.Identity, Name: v.name, Address: v.name + ":1"})
	})
}

// bootstrap creates the group if all members run and all disks are empty. It
// reports whether it did.
func (s *sim) bootstrap() bool {
	var initial []wire.RaftMember
	for _, v := range s.vms {
		if v.e == nil || v.e.self.Lineage != "" {
			return false
		}
		initial = append(initial, wire.RaftMember{Identity: v.e.self.Identity, Name: v.name, Address: v.name + ":1", Voter: true})
	}
	s.vms[0].post(func(e *engine, now time.Duration) { _ = e.bootstrap(now, "lineage", initial, true) })
	return true
}

// pendingCall is a proposal or a read that waits for its result.
type pendingCall struct {
	p    *proposal
	r    *readRequest
	then func(error)
}

// poll reports whether the call has ended, and passes its error to then.
func (o *pendingCall) poll() bool {
	if o.p != nil {
		select {
		case r := <-o.p.done:
			o.then(r.err)
			return true
		default:
			return false
		}
	}
	select {
	case err := <-o.r.done:
		o.then(err)
		return true
	default:
		return false
	}
}

// propose proposes a command, checks its result and passes the error to then.
func (v *vm) propose(command string, then func(error)) {
	if v.e == nil {
		return
	}
	p, s := newProposal(), v.s
	v.calls = append(v.calls, &pendingCall{p: p, then: func(err error) {
		switch {
		case err == nil:
			s.acked++
			if !slices.ContainsFunc(s.order, func(a applied) bool { return a.command == command }) {
				s.t.Fatalf("%s answered %s, which is not committed", v.name, command)
			}
		case errkind.From(err).Execution == errkind.NotRun:
			s.notRun[command] = true
		}
		then(err)
	}})
	v.post(func(e *engine, now time.Duration) { e.propose(now, p, []byte(command)) })
}

// read starts a read barrier and passes its error to then. The read must cover
// everything that any member knows to be committed when it starts.
func (v *vm) read(then func(error)) {
	if v.e == nil {
		return
	}
	floor, s := lastIndex(v.s.order), v.s
	for _, w := range s.vms {
		if w.e != nil && w.e.node != nil {
			floor = max(floor, w.e.node.Status(w.clock()).Commit)
		}
	}
	e, r := v.e, &readRequest{done: make(chan error, 1)}
	v.calls = append(v.calls, &pendingCall{r: r, then: func(err error) {
		if then(err); err != nil {
			return
		}
		s.reads++
		if r.index < floor || e.applied < floor {
			s.t.Fatalf("%s read up to %d of %d; %d was committed before", v.name, r.index, e.applied, floor)
		}
	}})
	v.post(func(e *engine, now time.Duration) { e.read(now, r) })
}

func lastIndex(order []applied) uint64 {
	if len(order) == 0 {
		return 0
	}
	return order[len(order)-1].index
}

// checkLeases fails the test if two leaders hold a lease at the same time.
func (s *sim) checkLeases() {
	n := 0
	for _, v := range s.vms {
		if v.e == nil || v.e.node == nil {
			continue
		}
		if st := v.e.node.Status(v.clock()); st.Role == raft.Leader && v.clock() < st.CurrentUntil {
			n++
		}
	}
	if n > 1 && s.drift < 0.1 {
		s.t.Fatalf("%d leaders hold a lease", n)
	}
}

// checkMembership fails the test if two members have different memberships at the
// same index.
func (v *vm) checkMembership() {
	if v.e.node == nil || v.e.applied == 0 {
		return
	}
	i := v.e.applied
	got := v.e.node.MembershipAt(i).Members
	if want, ok := v.s.members[i]; ok && !slices.Equal(got, want) {
		v.s.t.Fatalf("%s: members %v at %d, another member has %v", v.name, got, i, want)
	}
	v.s.members[i] = got
}

// checkVote fails the test if an identity votes for two members in one term.
func (s *sim) checkVote(m wire.RaftMessage) {
	var of string
	switch {
	case m.Type == wire.RaftVote:
		of = m.From
	case m.Type == wire.RaftVoteResponse && !m.Reject:
		of = m.To
	default:
		return
	}
	k := fmt.Sprint(m.From, m.Term)
	if old := s.votes[k]; old != "" && old != of {
		s.t.Fatalf("%s voted twice in term %d", m.FromName, m.Term)
	}
	s.votes[k] = of
}

// snapshotPadding makes a snapshot larger than 20 chunks.
const snapshotPadding = 5000

// orderChecker is a state machine that checks that all members apply the same
// commands in the same order.
type orderChecker struct {
	s    *sim
	name string
	n    int // commands applied
	last uint64
}

func (k *orderChecker) Apply(index uint64, command []byte) any {
	a := applied{index, string(command)}
	if index <= k.last {
		k.s.t.Fatalf("%s applies %d after %d", k.name, index, k.last)
	}
	if k.n == len(k.s.order) {
		k.s.order = append(k.s.order, a)
	}
	if got := k.s.order[k.n]; got != a {
		k.s.t.Fatalf("%s applies %v, another member applied %v", k.name, a, got)
	}
	k.n, k.last = k.n+1, index
	return nil
}

func (k *orderChecker) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(k.n)), k.last)
	return append(b, bytes.Repeat([]byte{byte(k.n)}, snapshotPadding)...), nil
}

func (k *orderChecker) Restore(b []byte) error {
	n, last := int(binary.BigEndian.Uint64(b)), binary.BigEndian.Uint64(b[8:])
	if n < k.n || n > len(k.s.order) || n > 0 && k.s.order[n-1].index != last ||
		!bytes.Equal(b[16:], bytes.Repeat([]byte{byte(n)}, snapshotPadding)) {
		k.s.t.Fatalf("%s at %d restores %d commands up to %d", k.name, k.n, n, last)
	}
	k.n, k.last = n, last
	return nil
}

package link

import (
	"cmp"
	"math"
	"time"
)

const (
	// usableShare is the part of the link's rate that payload may use. TCP, IP and
	// Ethernet headers take about 5%; the rest is a margin, without which the queue of
	// the link would not empty.
	usableShare = 0.92
	// maxPieceBytes and minPieceBytes bound a piece.
	maxPieceBytes = 16 << 10
	minPieceBytes = 4 << 10
	// pieceTime is how long the link should need for a piece.
	pieceTime = 8 * time.Millisecond
	// queueTime is how much may be queued on the link when a piece is granted, if that is
	// more than a piece. Timers fire up to 1 ms late, in which a fast link sends many pieces.
	queueTime = 4 * time.Millisecond
	// reservedShare is the fraction of the rate that large bodies get, whatever small
	// messages take.
	reservedShare = 8
	// maxPieceWait is the longest wait for the next piece of any body. It keeps bodies
	// moving if the setting is far below the rate of the link.
	maxPieceWait = 100 * time.Millisecond
	// maxModelBacklog bounds the modeled queue of the link. A longer one means that the
	// setting is too low, and would delay large bodies long after the small messages.
	maxModelBacklog = 250 * time.Millisecond
	// maxLateTime bounds how much more is queued because the process runs late.
	maxLateTime = 8 * time.Millisecond
	// behindShare is the fraction of the bytes that goes to less urgent ranks while more
	// urgent ones could take the whole link.
	behindShare = 10
	// smallWindow and largeWindow are the windows of the rates of small messages and of
	// large bodies. The latter decide whether others are refused, and over a second each
	// burst would look like an overload.
	smallWindow = time.Second
	largeWindow = 5 * time.Second
	// stallTime is how long a body may ask for nothing before it no longer counts as
	// ahead of others: its peer does not read, or its sender is slow.
	stallTime = 250 * time.Millisecond
	// headStart is how much earlier the target of a body must be for it to pass one that has
	// begun. A body of 540 KB takes 240 ms at 18 Mbit/s.
	headStart = 250 * time.Millisecond
	// beginMargin is how much time before its deadline a body must leave when it begins, for
	// small messages and timers that come late.
	beginMargin = 50 * time.Millisecond
)

// Class is the urgency of a body.
type Class struct {
	// Order is the order of the rank: 1 for the most urgent.
	Order int
	// Target and Deadline are the times at which the caller wants the body and at which it
	// gives up. Zero means none.
	Target, Deadline time.Time
}

// flow is a large body.
type flow struct {
	Class
	id uint64
	// left is the number of bytes, as far as known, that have not been granted.
	left int64
	// sized is set if left is known exactly, not expected from other bodies.
	sized bool
	// want is the size of the piece that waits, or zero.
	want int
	// begun is set once a piece has been granted, or if a part was sent before.
	begun bool
	// granted is the time of the latest grant, or when the body was opened.
	granted time.Time
}

// Scheduler decides which piece of which body is sent next. It is not safe for concurrent
// use.
type Scheduler struct {
	rate    float64 // payload, bytes per second
	piece   int
	room    float64 // bytes that may be queued when a piece is granted
	late    float64 // seconds by which grants come late
	at      time.Time
	backlog float64 // modeled queue of the link, bytes
	granted time.Time
	flows   map[uint64]*flow
	small   movingRate
	orders  map[int]*orderRates
	// passedOver is the number of bytes granted since behindShare was last used.
	passedOver int
}

// NewScheduler returns a Scheduler for a link of the given rate in Mbit/s, which must be
// above zero.
func NewScheduler(mbps float64) *Scheduler {
	r := mbps * 1e6 / 8 * usableShare
	p := min(max(r*pieceTime.Seconds(), minPieceBytes), maxPieceBytes)
	return &Scheduler{
		rate: r, piece: int(p), room: max(p, r*queueTime.Seconds()), flows: map[uint64]*flow{},
		small: movingRate{window: smallWindow.Seconds()}, orders: map[int]*orderRates{},
	}
}

// PieceBytes returns the size of the largest piece.
func (s *Scheduler) PieceBytes() int { return s.piece }

// Small records a message of n bytes that is sent at once.
func (s *Scheduler) Small(now time.Time, n int) {
	s.advance(now)
	s.add(n)
	s.small.add(now, n)
}

// Open adds a body of about n bytes. A negative n means that the size is unknown.
func (s *Scheduler) Open(now time.Time, id uint64, c Class, n int64) {
	s.flows[id] = &flow{Class: c, id: id, left: max(n, 0), sized: n >= 0, granted: now}
}

// Expect adds a body that is expected to have n bytes. SetLeft states its size once it is
// known.
func (s *Scheduler) Expect(now time.Time, id uint64, c Class, n int64) {
	s.flows[id] = &flow{Class: c, id: id, left: max(n, 0), granted: now}
}

// Begin records that a part of a body has already been sent in another way.
func (s *Scheduler) Begin(id uint64) {
	if f := s.flows[id]; f != nil {
		f.begun = true
	}
}

// SetLeft sets how many bytes of a body are still to be sent, besides a piece that waits.
func (s *Scheduler) SetLeft(id uint64, n int64) {
	if f := s.flows[id]; f != nil {
		f.left, f.sized = max(n, 0)+int64(f.want), true
	}
}

// Close removes a body, and the piece of it that waits.
func (s *Scheduler) Close(id uint64) { delete(s.flows, id) }

// Ask records that a piece of n bytes of a body is ready. Next grants it. IDs of bodies
// grow in the order in which they were opened.
func (s *Scheduler) Ask(id uint64, n int) {
	if f := s.flows[id]; f != nil {
		f.want = max(n, 1)
		f.left = max(f.left, int64(n))
	}
}

// Withdraw takes back the piece of a body that waits, and returns its size.
func (s *Scheduler) Withdraw(id uint64) int {
	f := s.flows[id]
	if f == nil {
		return 0
	}
	n := f.want
	f.want = 0
	return n
}

// Return takes back a granted piece of n bytes that is not sent.
func (s *Scheduler) Return(now time.Time, n int) {
	s.advance(now)
	s.backlog = max(0, s.backlog-float64(n))
}

// Next grants the next piece, if the link has room for one, and returns the ID of its
// body.
func (s *Scheduler) Next(now time.Time) (uint64, bool) {
	s.advance(now)
	f, behind := s.pick(now)
	if f == nil || now.Before(s.roomAt(now, f.want)) {
		return 0, false
	}
	switch {
	case f == behind:
		s.passedOver = 0
	case behind != nil:
		s.passedOver += f.want
	}
	s.recordRate(f, now)
	s.add(f.want)
	s.granted = now
	f.left, f.want, f.begun, f.granted = max(0, f.left-int64(f.want)), 0, true, now
	return f.id, true
}

// WakeTime returns when Next is to be called again; false if no piece waits.
func (s *Scheduler) WakeTime(now time.Time) (time.Time, bool) {
	s.advance(now)
	f, _ := s.pick(now)
	if f == nil {
		return time.Time{}, false
	}
	return s.roomAt(now, f.want), true
}

// roomAt returns when the link has room for a piece of n bytes.
func (s *Scheduler) roomAt(now time.Time, n int) time.Time {
	over := s.backlog - s.room - min(s.late, maxLateTime.Seconds())*s.rate
	if over <= 0 {
		return now
	}
	reserved := s.granted.Add(min(seconds(float64(n)*reservedShare/s.rate), maxPieceWait))
	return now.Add(max(0, min(seconds(over/s.rate), reserved.Sub(now))))
}

// Late records that Next was called d after its wake time. Where this is usual, more is
// queued on the link, so that it does not stand idle in the meantime.
func (s *Scheduler) Late(d time.Duration) {
	weight := 1.0 / 32
	if d.Seconds() > s.late {
		weight = 1.0 / 4
	}
	s.late += (d.Seconds() - s.late) * weight
}

// pick returns the body whose piece is next, or nil, and the first of those of less urgent
// ranks.
func (s *Scheduler) pick(now time.Time) (next, behind *flow) {
	for _, f := range s.flows {
		if f.want > 0 && (next == nil || s.before(f, next, now)) {
			next = f
		}
	}
	if next == nil {
		return nil, nil
	}
	for _, f := range s.flows {
		if f.want > 0 && f.Order > next.Order && (behind == nil || s.beforeBehind(f, behind, now)) {
			behind = f
		}
	}
	if behind != nil && s.passedOver >= (behindShare-1)*s.piece {
		return behind, behind
	}
	return next, behind
}

// beforeBehind reports whether f is before g in the use of behindShare. A body that has
// begun is finished first, and one that cannot be sent by its deadline with that share
// comes last: a part of a body is worth nothing.
func (s *Scheduler) beforeBehind(f, g *flow, now time.Time) bool {
	a, b := s.hopeless(f, now), s.hopeless(g, now)
	switch {
	case a != b:
		return b
	case f.begun != g.begun:
		return f.begun
	}
	return f.id < g.id
}

func (s *Scheduler) hopeless(f *flow, now time.Time) bool {
	return !f.Deadline.IsZero() && now.Add(seconds(float64(f.left)*behindShare/s.rate)).After(f.Deadline)
}

// before reports whether f is sent before g.
func (s *Scheduler) before(f, g *flow, now time.Time) bool {
	if f.Order != g.Order {
		return f.Order < g.Order
	}
	a, b := s.isLate(f, now), s.isLate(g, now)
	if a != b {
		return b
	}
	return cmp.Or(f.due(a).Compare(g.due(b)), cmp.Compare(f.id, g.id)) < 0
}

// isLate reports whether f has not begun and cannot meet its target, even alone on the
// link. Such bodies come after all others of their order.
func (s *Scheduler) isLate(f *flow, now time.Time) bool {
	return !f.begun && !f.Target.IsZero() && now.Add(s.timeAlone(f)).After(f.Target)
}

// timeAlone returns how long the rest of f takes alone on the link.
func (s *Scheduler) timeAlone(f *flow) time.Duration { return seconds(float64(f.left) / s.rate) }

// due returns the time by which bodies of the same order are sorted.
func (f *flow) due(late bool) time.Time {
	t := f.Target
	if !f.Deadline.IsZero() && (late || t.IsZero()) {
		t = f.Deadline
	}
	switch {
	case t.IsZero() && f.begun:
		return time.Unix(math.MaxInt32-1, 0)
	case t.IsZero():
		return time.Unix(math.MaxInt32, 0)
	case f.begun:
		return t.Add(-headStart)
	}
	return t
}

// Unfinishable returns a body whose piece waits and that cannot be sent by its deadline any
// more, even before all others: a part of it would be worth nothing. Bodies of unknown size
// are not returned, nor is one alone on the link, since the setting may be wrong.
func (s *Scheduler) Unfinishable(now time.Time) (uint64, bool) {
	if len(s.flows) == 1 {
		return 0, false
	}
	for id, f := range s.flows {
		if f.want > 0 && s.unfinishable(f, now) {
			return id, true
		}
	}
	return 0, false
}

func (s *Scheduler) unfinishable(f *flow, now time.Time) bool {
	if !f.sized || f.Deadline.IsZero() {
		return false
	}
	if f.begun {
		return now.Add(s.timeAlone(f)).After(f.Deadline)
	}
	return now.Add(beginMargin + seconds((s.backlog+float64(f.left))/s.largeRate(now))).After(f.Deadline)
}

// advance drains the modeled queue until now.
func (s *Scheduler) advance(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		s.backlog = max(0, s.backlog-d.Seconds()*s.rate)
		s.at = now
	}
}

func (s *Scheduler) add(n int) {
	s.backlog = min(s.backlog+float64(n), max(s.rate*maxModelBacklog.Seconds(), 2*s.room))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// SmallBytes is the size of the largest body that counts as small.
	SmallBytes = 16 << 10
	// messageBytes is what a message takes beside its body: heads, framing, TCP and IP
	// headers.
	messageBytes = 500
	// minRetryAfter is the shortest delay before a refused body is tried again.
	minRetryAfter = 50 * time.Millisecond
)

// Link schedules the bodies that a node sends. It is safe for concurrent use. A nil
// *Link neither delays nor refuses anything.
type Link struct {
	mu      sync.Mutex // guards everything below
	s       *Scheduler
	nextID  uint64
	waiting map[uint64]chan error
	// timer grants the next piece when the link has room again, at wake.
	timer *time.Timer
	wake  time.Time
	stats Stats
}

// Stats are counters and the current state of a Link.
type Stats struct {
	SmallBytes, LargeBytes int64
	// Refusals is the number of bodies that were refused.
	Refusals int64
	// Ended is the number of bodies that were ended since they could not be sent by their
	// deadline any more.
	Ended int64
	// Bodies is the number of large bodies that are being sent or expected, and Waiting the
	// number of their pieces that wait.
	Bodies, Waiting int
	// Backlog is the modeled queue of the link.
	Backlog time.Duration
}

// BusyError states that a body cannot be sent by its deadline.
type BusyError struct {
	// Delay is the expected time until it would have been sent.
	Delay time.Duration
	// RetryAfter is when the link is expected to have time for it.
	RetryAfter time.Duration
}

// ErrTooLate states that a body can no longer be sent by its deadline.
var ErrTooLate = errors.New("the link cannot send the body by its deadline any more")

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("the link is busy with large bodies, and it would be sent in %s", e.Delay.Round(time.Millisecond))
}

// New returns a Link of the given rate in Mbit/s, or nil if the rate is zero, which means
// unknown.
func New(mbps float64) *Link {
	if mbps <= 0 {
		return nil
	}
	l := &Link{s: NewScheduler(mbps), waiting: map[uint64]chan error{}}
	l.timer = time.AfterFunc(time.Hour, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wakeUp(time.Now())
	})
	l.timer.Stop()
	return l
}

// PieceBytes returns the size of the largest piece, and n for a nil Link.
func (l *Link) PieceBytes(n int) int {
	if l == nil {
		return n
	}
	return l.s.PieceBytes()
}

// Small records a message with a body of n bytes that is sent at once.
func (l *Link) Small(n int) {
	if l == nil {
		return
	}
	n += messageBytes
	l.mu.Lock()
	defer l.mu.Unlock()
	l.s.Small(time.Now(), n)
	l.stats.SmallBytes += int64(n)
}

// Open adds a body of about n bytes that is sent whatever the backlog is. A negative n
// means that the size is unknown. It returns nil for a nil Link.
func (l *Link) Open(c Class, n int64) *Flow {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open(time.Now(), c, n)
}

// Admit is like Open, but returns a *BusyError if the body cannot be sent by its deadline.
func (l *Link) Admit(c Class, n int64) (*Flow, error) {
	if l == nil {
		return nil, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	e, ok := l.s.Admit(now, c, n)
	if !ok {
		l.stats.Refusals++
		return nil, &BusyError{Delay: e.Delay, RetryAfter: max(e.RetryAfter, minRetryAfter)}
	}
	l.nextID++
	l.s.Expect(now, l.nextID, c, n)
	return &Flow{link: l, id: l.nextID}, nil
}

func (l *Link) open(now time.Time, c Class, n int64) *Flow {
	l.nextID++
	l.s.Open(now, l.nextID, c, n)
	return &Flow{link: l, id: l.nextID}
}

// Delay returns how long a further large body would wait for others if it were the least
// urgent.
func (l *Link) Delay() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.s.Delay(time.Now())
}

// Stats returns the counters and the current state.
func (l *Link) Stats() Stats {
	if l == nil {
		return Stats{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.stats
	t.Bodies, t.Waiting, t.Backlog = l.s.Bodies(), l.s.Waiting(), l.s.Backlog(time.Now())
	return t
}

// wakeUp grants the piece for which the timer was set. The room that it was set for must
// not change before.
func (l *Link) wakeUp(now time.Time) {
	l.grant(now)
	if late := now.Sub(l.wake); late >= 0 {
		l.s.Late(late)
	}
	l.dispatch(now)
}

// dispatch grants pieces while the link has room, and sets the timer for the next one.
// The caller holds the lock.
func (l *Link) dispatch(now time.Time) {
	l.grant(now)
	if at, ok := l.s.WakeTime(now); ok {
		l.wake = at
		l.timer.Reset(max(at.Sub(now), time.Microsecond))
	}
}

func (l *Link) grant(now time.Time) {
	if len(l.waiting) == 0 {
		return
	}
	for id, ok := l.s.Unfinishable(now); ok; id, ok = l.s.Unfinishable(now) {
		l.stats.LargeBytes -= int64(l.s.Withdraw(id))
		l.waiting[id] <- ErrTooLate
		delete(l.waiting, id)
		l.stats.Ended++
	}
	for id, ok := l.s.Next(now); ok; id, ok = l.s.Next(now) {
		l.waiting[id] <- nil
		delete(l.waiting, id)
	}
}

// Flow is a large body that is being sent. A nil *Flow is never delayed.
type Flow struct {
	link *Link
	id   uint64
}

// SetLeft sets how many bytes are still to be sent.
func (f *Flow) SetLeft(n int64) {
	if f == nil {
		return
	}
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	f.link.s.SetLeft(f.id, n)
}

// Begin records that a part of the body has already been sent in another way.
func (f *Flow) Begin() {
	if f == nil {
		return
	}
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	f.link.s.Begin(f.id)
}

// Acquire returns once a piece of n bytes may be sent, with ErrTooLate if the body cannot
// be sent by its deadline any more, or with the error of ctx.
func (f *Flow) Acquire(ctx context.Context, n int) error {
	if f == nil {
		return nil
	}
	c := f.ask(n)
	if c == nil {
		return nil
	}
	select {
	case err := <-c:
		return err
	case <-ctx.Done():
		f.withdraw(c, n)
		return ctx.Err()
	}
}

// ask returns nil if the piece may be sent at once, and otherwise a channel that is closed
// when it may be sent.
func (f *Flow) ask(n int) chan error {
	l, now := f.link, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.LargeBytes += int64(n)
	l.s.Ask(f.id, n)
	if _, tooLate := l.s.Unfinishable(now); len(l.waiting) == 0 && !tooLate {
		if _, ok := l.s.Next(now); ok {
			return nil
		}
	}
	c := make(chan error, 1)
	l.waiting[f.id] = c
	l.dispatch(now)
	return c
}

// withdraw takes back a piece, which may have been granted in the meantime.
func (f *Flow) withdraw(c chan error, n int) {
	l, now := f.link, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.LargeBytes -= int64(n)
	select {
	case err := <-c:
		if err != nil {
			l.stats.LargeBytes += int64(n) // already subtracted
			break
		}
		l.s.Return(now, n)
	default:
		delete(l.waiting, f.id)
		l.s.Withdraw(f.id)
	}
	l.dispatch(now)
}

// Close gives up the place of the body. An Acquire in progress returns.
func (f *Flow) Close() {
	if f == nil {
		return
	}
	l := f.link
	l.mu.Lock()
	defer l.mu.Unlock()
	l.s.Close(f.id)
	if c := l.waiting[f.id]; c != nil {
		close(c)
		delete(l.waiting, f.id)
	}
}

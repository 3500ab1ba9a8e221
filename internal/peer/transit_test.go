package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
)

// delayLink carries the bytes of the connections that it wraps after a delay.
type delayLink struct {
	delay atomic.Int64 // nanoseconds
	sent  atomic.Int64 // bytes
}

// wrap returns c with its writes carried by l.
func (l *delayLink) wrap(c net.Conn) net.Conn {
	k := &linkConn{Conn: c, link: l, parts: make(chan linkPart, 64), closing: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(k.done)
		defer k.Conn.Close()
		for {
			select {
			case p := <-k.parts:
				k.carry(p)
				continue
			case <-k.closing:
			}
			for len(k.parts) > 0 {
				k.carry(<-k.parts)
			}
			return
		}
	}()
	return k
}

type linkPart struct {
	at   time.Time
	data []byte
}

type linkConn struct {
	net.Conn
	link  *delayLink
	parts chan linkPart
	once  sync.Once
	// closing is closed by Close. The channel of the parts stays open, since drpc may write
	// and close at the same time.
	closing chan struct{}
	done    chan struct{}
}

func (c *linkConn) carry(p linkPart) {
	time.Sleep(time.Until(p.at))
	c.Conn.Write(p.data)
}

func (c *linkConn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	case c.parts <- linkPart{time.Now().Add(time.Duration(c.link.delay.Load())), slices.Clone(b)}:
		c.link.sent.Add(int64(len(b)))
		return len(b), nil
	}
}

// Close closes the connection behind the bytes that are on their way.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	return nil
}

// startServerOverLink is like startServer with l between the nodes.
func startServerOverLink(t *testing.T, l *delayLink, f transportFunc) *Client {
	n := standin.NewNetwork()
	n.Wrap = func(_ string, c net.Conn) net.Conn { return l.wrap(c) }
	c, _ := startServerOn(t, n, f)
	return c
}

// Guards against requests that are passed on after their deadline: they were on the way
// for so long that their caller has left, and the cancellation is still behind them.
func TestTimeOnTheWayCounts(t *testing.T) {
	for _, tt := range []struct {
		name          string
		delay         time.Duration
		wantPassedOn  bool
		wantRemaining time.Duration
	}{
		{"usual time", 0, true, time.Second - maxDeadlineMargin},
		{"delayed", 400 * time.Millisecond, true, 600*time.Millisecond - maxDeadlineMargin},
		{"delayed beyond the deadline", 1500 * time.Millisecond, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &delayLink{}
				l.delay.Store(int64(time.Millisecond))
				var passedOn []*call.Request
				c := startServerOverLink(t, l, func(_ context.Context, r *call.Request) (*call.Response, error) {
					passedOn = append(passedOn, r)
					return newResponse(r.RequestID, 2, zeros(2)), nil
				})
				if _, err := do(c, "first", nil); err != nil {
					t.Fatal(err)
				}
				l.delay.Add(int64(tt.delay))
				_, err := do(c, "second", nil)
				time.Sleep(2 * time.Second)
				if got := len(passedOn) == 2; got != tt.wantPassedOn {
					t.Fatalf("passed on: got %v, want %v; the caller got %v", got, tt.wantPassedOn, err)
				}
				if !tt.wantPassedOn {
					return
				}
				if got := passedOn[1].Remaining; got != tt.wantRemaining {
					t.Errorf("remaining time: got %s, want %s", got, tt.wantRemaining)
				}
				if got := passedOn[1].Waited; got != tt.delay {
					t.Errorf("time waited: got %s, want %s", got, tt.delay)
				}
			})
		})
	}
}

// Guards that the delay is estimated from the fastest request of a sender, whatever its
// clock shows, and that it follows a clock that stood still.
func TestTransitEstimator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTransitEstimator()
		observe := func(name string, id uint64, at, want time.Duration) {
			t.Helper()
			if got := e.observe(time.Now(), id, at); got != want {
				t.Errorf("%s: got %s, want %s", name, got, want)
			}
		}
		observe("first request", 1, time.Hour, 0)
		observe("another sender", 2, 0, 0)
		observe("no clock", 0, 0, 0)
		time.Sleep(time.Second)
		observe("delayed", 1, time.Hour+time.Second-300*time.Millisecond, 300*time.Millisecond)
		observe("faster than the first one", 1, time.Hour+time.Second+2*time.Millisecond, 0)
		observe("as usual", 1, time.Hour+time.Second, 2*time.Millisecond)
		time.Sleep(2 * transitWindow)
		observe("first in a new window", 1, time.Hour, time.Second+2*transitWindow+2*time.Millisecond)
		time.Sleep(transitWindow)
		observe("clock stood still two windows ago", 1, time.Hour+transitWindow, 0)
	})
}

// Guards that a sender whose VM was suspended does not look delayed from then on: its
// steady clock stood still, so it is another clock to the receivers.
func TestSendClockAfterSuspension(t *testing.T) {
	for _, tt := range []struct {
		name              string
		steady, timeOfDay time.Duration // since the first stamp
		wantSame          bool
	}{
		{"both clocks run", time.Second, time.Second, true},
		{"time of day is corrected slowly", time.Second, time.Second + 5*time.Millisecond, true},
		{"steady clock stood still", time.Second, 4 * time.Second, false},
		{"time of day was set back", time.Second, -time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var c sendClock
			day := time.Unix(1, 0)
			first, _ := c.stamp(time.Minute, day)
			id, at := c.stamp(time.Minute+tt.steady, day.Add(tt.timeOfDay))
			if got := id == first; got != tt.wantSame {
				t.Errorf("same clock: got %v, want %v", got, tt.wantSame)
			}
			if want := tt.steady; tt.wantSame && at != want {
				t.Errorf("time: got %s, want %s", at, want)
			}
		})
	}
}

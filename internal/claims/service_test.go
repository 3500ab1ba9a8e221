package claims_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/claims"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// fakeLog is a claims.Group that applies one entry at a time, each after a
// simulated fsync.
type fakeLog struct {
	mu      sync.Mutex
	machine *claims.StateMachine
	entries int
	fault   error
	sync    func()
}

func (l *fakeLog) ReadBarrier(context.Context) error { return nil }

func (l *fakeLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != nil {
		return nil, l.fault
	}
	l.sync()
	l.entries++
	return l.machine.Apply(uint64(l.entries), command), nil
}

func newFakeLog(syncTime time.Duration) *fakeLog {
	return &fakeLog{machine: claims.NewStateMachine(), sync: func() { time.Sleep(syncTime) }}
}

// Claims that wait at the same time must share a log entry: with an entry for each
// claim, each would need its own fsync.
func TestServiceBatchesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(time.Millisecond)
		s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{l}})
		defer s.Close()
		var g sync.WaitGroup
		for i := range 500 {
			g.Go(func() {
				a, err := s.Claim(t.Context(), claim(fmt.Sprint(i), "a", "d").Claim)
				if err != nil || a.State != wire.Granted {
					t.Errorf("got %+v and %v, want Granted", a, err)
				}
			})
		}
		g.Wait()
		if got, want := l.entries, 2; got > want {
			t.Errorf("got %d log entries, want at most %d", got, want)
		}
	})
}

// The error must contain the leader's name, or a control cannot forward the claim.
func TestServiceReturnsLeaderName(t *testing.T) {
	l := newFakeLog(0)
	l.fault = errkind.New(errkind.NotLeader, "leader is c2")
	s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{l}, Leader: func(int) string { return "c2" }})
	defer s.Close()
	_, err := s.Claim(t.Context(), claim("k", "a", "d").Claim)
	var e *claims.NotLeaderError
	if !errors.As(err, &e) || e.Leader != "c2" {
		t.Fatalf("got %v, want a NotLeaderError with leader c2", err)
	}
	if got := errkind.From(err); got.Kind != errkind.NotLeader || got.Execution != errkind.NotRun {
		t.Errorf("got %s %s, want NotLeader not-run", got.Kind, got.Execution)
	}
}

// After a timeout, a command that was proposed may still take effect; one that was
// still waiting must not.
func TestServiceTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(3 * time.Second)
		s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{l}})
		defer s.Close()
		var g sync.WaitGroup
		for key, want := range map[string]errkind.Execution{"proposed": errkind.Unknown, "waiting": errkind.NotRun} {
			g.Go(func() {
				if key == "waiting" {
					time.Sleep(time.Millisecond)
				}
				_, err := s.Claim(t.Context(), claim(key, "a", "d").Claim)
				if got := errkind.From(err); got == nil || got.Execution != want {
					t.Errorf("%s: got %+v, want execution %s", key, got, want)
				}
			})
		}
		g.Wait()
		time.Sleep(time.Minute)
		if got, want := l.machine.Stats().Records, 1; got != want {
			t.Errorf("got %d records, want %d", got, want)
		}
	})
}

// Close must answer every call and must not report a proposed command as not-run.
func TestServiceClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(time.Second)
		s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{l}})
		var g sync.WaitGroup
		g.Go(func() {
			if _, err := s.Claim(t.Context(), claim("k", "a", "d").Claim); err != nil {
				t.Errorf("got %v for a proposed claim, want none", err)
			}
		})
		synctest.Wait()
		for key := range 2 {
			g.Go(func() {
				_, err := s.Claim(t.Context(), claim(fmt.Sprint(key), "a", "d").Claim)
				if got := errkind.From(err); got == nil || got.Kind != errkind.Leaving {
					t.Errorf("got %+v, want Leaving", got)
				}
			})
		}
		synctest.Wait()
		s.Close()
		g.Wait()
	})
}

package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// quotaTestSource is a config group without limits, whose leadership the test sets.
type quotaTestSource struct {
	*versions.StateMachine
	mu       sync.Mutex
	term     uint64
	leads    bool
	barriers int
	// during is called while a barrier runs; it may be nil.
	during func()
	// beforeAppend is called before a command is appended to the log; it may be nil.
	beforeAppend func()
}

func (s *quotaTestSource) leadership() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.leads
}

func (s *quotaTestSource) ReadBarrier(ctx context.Context) error {
	s.mu.Lock()
	s.barriers++
	leads, f := s.leads, s.during
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	if f != nil {
		f()
	}
	if !leads {
		<-ctx.Done()
		return errkind.New(errkind.NotCurrent, "no majority")
	}
	return nil
}

func (s *quotaTestSource) proposeAsLeader(_ context.Context, term uint64, command []byte) error {
	if s.beforeAppend != nil {
		s.beforeAppend()
	}
	if t, leads := s.leadership(); !leads || t != term {
		return errkind.New(errkind.NotLeader, "not the leader")
	}
	_, err := s.Apply(1, command).(versions.Result).Outcome()
	return err
}

func runGrantor(t *testing.T, f func(t *testing.T, s *quotaTestSource, g *grantor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, start := &quotaTestSource{StateMachine: versions.New(), term: 3, leads: true}, time.Now()
		g := newGrantor(s, settings.LimitTolerance{}, func() time.Duration { return time.Hour + time.Since(start) }, metrics.NewRegistry(), logr.Discard())
		f(t, s, g)
	})
}

func renewAt(t *testing.T, g *grantor) (*wire.ShareResponse, error) {
	t.Helper()
	return g.handle(t.Context(), &wire.ShareRequest{Node: "n", Incarnation: 1, Seq: 1, Full: true}, (*quota.Ledger).Renew)
}

func assertKind(t *testing.T, what string, err error, want errkind.Kind) {
	t.Helper()
	if got := errkind.Of(err); got != want {
		t.Errorf("%s: got %q (%v), want %q", what, got, err, want)
	}
}

// Guards against two controls that grant the same shares: one may grant only in a term in
// which a majority confirmed it after the request had arrived.
func TestGrantsOnlyWhileLeading(t *testing.T) {
	runGrantor(t, func(t *testing.T, s *quotaTestSource, g *grantor) {
		a, err := renewAt(t, g)
		assertKind(t, "leader", err, "")
		if a.Epoch != 3 {
			t.Errorf("got epoch %d, want the term 3", a.Epoch)
		}
		s.during = func() { s.mu.Lock(); s.term = 4; s.mu.Unlock() }
		_, err = renewAt(t, g)
		assertKind(t, "leader of another term after the barrier", err, errkind.NotLeader)
		s.during = func() { s.mu.Lock(); s.leads = false; s.mu.Unlock() }
		_, err = renewAt(t, g)
		assertKind(t, "no leader after the barrier", err, errkind.NotLeader)
		s.during = nil
		_, err = renewAt(t, g)
		assertKind(t, "no leader", err, errkind.NotLeader)
	})
}

// Guards against a leader that is cut off and keeps its callers waiting.
func TestGrantorWithoutMajority(t *testing.T) {
	runGrantor(t, func(t *testing.T, s *quotaTestSource, g *grantor) {
		g.barrier.read = func(ctx context.Context) error {
			<-ctx.Done()
			return errkind.New(errkind.NotCurrent, "no majority")
		}
		start := time.Now()
		_, err := renewAt(t, g)
		assertKind(t, "cut off", err, errkind.NotCurrent)
		if d := time.Since(start); d > time.Second {
			t.Errorf("got an answer after %s, want at most 1s", d)
		}
	})
}

// Guards against a barrier for each request, which would cost eight messages each, and
// against requests that join a barrier that started before they arrived.
func TestSharedBarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var starts []time.Time
		b := &sharedBarrier{read: func(context.Context) error {
			mu.Lock()
			starts = append(starts, time.Now())
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			return nil
		}}
		var g sync.WaitGroup
		begin := time.Now()
		for i := range 1000 { // one request each millisecond
			g.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				arrived := time.Now()
				if err := b.wait(t.Context()); err != nil {
					t.Error(err)
				}
				confirmed := time.Now().Add(-5 * time.Millisecond)
				if confirmed.Before(arrived) {
					t.Errorf("got a barrier that started %s before the request", arrived.Sub(confirmed))
				}
			})
		}
		g.Wait()
		if got, most := len(starts), int(time.Since(begin)/barrierInterval)+2; got > most {
			t.Errorf("got %d barriers, want at most %d", got, most)
		}
	})
}

// Guards against a new leader that withholds the limits for seconds, because it waits for
// nodes that were replaced long ago, and against one that does not wait for a node that may
// still hold a share.
func TestLeaseHolders(t *testing.T) {
	runGrantor(t, func(t *testing.T, s *quotaTestSource, g *grantor) {
		report := func(node string, seq uint64) {
			t.Helper()
			if _, err := g.handle(t.Context(), &wire.ShareRequest{Node: node, Incarnation: 1, Seq: seq, Full: true, Epoch: 3}, (*quota.Ledger).Renew); err != nil {
				t.Fatal(err)
			}
		}
		assertHolders := func(what string, want ...string) {
			t.Helper()
			if got := s.LeaseHolders(); !slices.Equal(got, want) {
				t.Errorf("%s: got %v, want %v", what, got, want)
			}
		}
		report("a", 1)
		report("b", 1)
		if g.holders.mayHold("a") {
			t.Error("a node may hold shares before the controls have agreed on it")
		}
		g.updateHolders(t.Context())
		assertHolders("after the first reports", "a", "b")
		time.Sleep(holderSilence - time.Second)
		report("b", 2)
		g.updateHolders(t.Context())
		assertHolders("while a lease may last", "a", "b")
		time.Sleep(2 * time.Second)
		report("b", 3)
		s.leads = false
		g.updateHolders(t.Context())
		assertHolders("without leadership", "a", "b")
		s.leads = true
		g.updateHolders(t.Context())
		assertHolders("after a long silence", "b")
		if _, err := g.handle(t.Context(), &wire.ShareRequest{Node: "c", Incarnation: 1, Seq: 1, Full: true, Epoch: 3}, (*quota.Ledger).Renew); err != nil {
			t.Fatal(err)
		}
		g.updateHolders(t.Context())
		assertHolders("after another node has come", "b", "c")
		if _, err := g.handle(t.Context(), &wire.ShareRequest{Node: "c", Incarnation: 1, Seq: 2, Full: true, Epoch: 3, Leaving: true}, (*quota.Ledger).Renew); err != nil {
			t.Fatal(err)
		}
		g.updateHolders(t.Context())
		assertHolders("after it has left", "b")
		s.term = 4
		report("b", 4)
		if !g.ledger.Complete() && !g.holders.mayHold("b") {
			t.Error("the next leader does not know the holder")
		}
	})
}

// Guards against a share that is granted while the removal of its node may be in the log.
func TestRemovalIsNotOvertaken(t *testing.T) {
	h := newLeaseHolders([]string{"a"})
	if c := h.change(time.Hour, true); len(c.Remove) != 1 {
		t.Fatalf("got %+v, want the removal of a silent node", c)
	}
	h.reported(time.Hour, "a") // the outcome of the removal is not known
	if h.mayHold("a") {
		t.Error("a node that is being removed gets shares")
	}
	c := h.change(time.Hour, true)
	if len(c.Add) != 1 || len(c.Remove) != 0 {
		t.Errorf("got %+v, want to add the node again", c)
	}
	h.changed(c)
	if !h.mayHold("a") {
		t.Error("a node that was added again gets no shares")
	}
}

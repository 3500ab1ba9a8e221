package link

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards that pieces are granted at the rate of the link without anyone calling again, and
// at once on an idle link.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(18)
		f := l.Open(Class{}, -1)
		defer f.Close()
		start := time.Now()
		for i := range 100 {
			if err := f.Acquire(t.Context(), l.PieceBytes(0)); err != nil {
				t.Fatal(err)
			}
			if i < 2 && time.Since(start) > 0 {
				t.Errorf("piece %d: got a wait of %s on an idle link, want none", i, time.Since(start))
			}
		}
		if got, want := time.Since(start), seconds(98*16384/(18e6/8*usableShare)); (got - want).Abs() > time.Millisecond {
			t.Errorf("100 pieces: got %s, want %s", got, want)
		}
	})
}

// Guards that many bodies at a time are all granted their pieces, with the most urgent done
// first, and that nothing is left behind once they have ended.
func TestConcurrentBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(18)
		var mu sync.Mutex
		var ended []int
		var g sync.WaitGroup
		for order := 3; order > 0; order-- {
			for range 5 {
				g.Go(func() {
					f := l.Open(Class{Order: order}, 10*16384)
					defer f.Close()
					for range 10 {
						if err := f.Acquire(t.Context(), 16384); err != nil {
							t.Error(err)
						}
					}
					mu.Lock()
					defer mu.Unlock()
					ended = append(ended, order)
				})
			}
		}
		g.Wait()
		for i, o := range ended[:5] {
			if o != 1 {
				t.Errorf("body %d: got rank %d, want the most urgent first: %v", i, o, ended)
			}
		}
		assertEmpty(t, l)
	})
}

// assertEmpty checks that no body is left on l.
func assertEmpty(t *testing.T, l *Link) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) > 0 || len(l.s.flows) > 0 {
		t.Errorf("left behind: got %d waiting pieces and %d bodies, want none", len(l.waiting), len(l.s.flows))
	}
}

// Guards that a request that ends while its piece waits gives up its place, and that the
// pieces behind it are granted.
func TestCanceledAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1)
		ctx, cancel := context.WithCancel(t.Context())
		first, second := l.Open(Class{Order: 1}, -1), l.Open(Class{Order: 2}, -1)
		for range 3 {
			first.Acquire(ctx, 4096)
		}
		canceled, granted := make(chan error, 1), make(chan error, 1)
		go func() { canceled <- first.Acquire(ctx, 1<<20) }()
		synctest.Wait()
		go func() { granted <- second.Acquire(t.Context(), 4096) }()
		synctest.Wait()
		cancel()
		if err := <-canceled; !errors.Is(err, context.Canceled) {
			t.Errorf("canceled: got %v, want context.Canceled", err)
		}
		if got := l.Stats().Waiting; got != 1 {
			t.Errorf("pieces waiting after the cancellation: got %d, want 1", got)
		}
		first.Close()
		if err := <-granted; err != nil {
			t.Error(err)
		}
		second.Close()
		assertEmpty(t, l)
		if got, want := l.Stats().LargeBytes, int64(4*4096); got != want {
			t.Errorf("bytes sent: got %d, want %d", got, want)
		}
	})
}

// Guards that a refusal says when to come back, and that it is counted.
func TestAdmitRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(8)
		f := l.Open(Class{Order: 1, Deadline: time.Now().Add(time.Minute)}, 2_000_000)
		_, err := l.Admit(Class{Order: 2, Deadline: time.Now().Add(time.Second)}, 90_000)
		var b *BusyError
		if !errors.As(err, &b) || b.RetryAfter.Round(100*time.Millisecond) != 1300*time.Millisecond || b.Delay <= b.RetryAfter {
			t.Errorf("got %#v, want a BusyError with about 1.3 s", err)
		}
		if got := l.Stats().Refusals; got != 1 {
			t.Errorf("refusals: got %d, want 1", got)
		}
		if got := l.Delay().Round(100 * time.Millisecond); got != 2200*time.Millisecond {
			t.Errorf("delay: got %s, want 2.2s", got)
		}
		f.Close()
		if _, err := l.Admit(Class{Order: 2, Deadline: time.Now().Add(time.Second)}, 90_000); err != nil {
			t.Errorf("after the end of the other: got %v, want none", err)
		}
	})
}

// Guards that nothing is delayed or refused where the rate of the link is unknown.
func TestUnknownRate(t *testing.T) {
	l := New(0)
	l.Small(1 << 20)
	f, err := l.Admit(Class{Deadline: time.Now()}, 1<<30)
	if err != nil || f.Acquire(t.Context(), 1<<30) != nil || l.Delay() != 0 || l.PieceBytes(7) != 7 || l.Stats() != (Stats{}) {
		t.Errorf("got %v, %v, want nothing to be delayed", f, err)
	}
	f.SetLeft(1)
	f.Close()
}

// BenchmarkSmall measures what a small message costs beside n large bodies.
func BenchmarkSmall(b *testing.B) {
	for _, n := range []int{0, 100} {
		b.Run(map[int]string{0: "idle", 100: "100 bodies"}[n], func(b *testing.B) {
			l := New(18)
			for range n {
				l.Open(Class{Order: 1}, 1<<20)
			}
			for b.Loop() {
				l.Small(1024)
				l.Delay()
			}
		})
	}
}

// BenchmarkAcquire measures a piece on a link that is far from busy.
func BenchmarkAcquire(b *testing.B) {
	l := New(1e9)
	f := l.Open(Class{Order: 1}, -1)
	for b.Loop() {
		f.Acquire(b.Context(), 16384)
	}
}

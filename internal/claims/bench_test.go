package claims_test

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/claims"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// batches encodes n commands as log entries with 64 commands each.
func batches(b *testing.B, n int, f func(i int) claims.Command) [][]byte {
	const size = 64
	var entries [][]byte
	for i := 0; i < n; i += size {
		c := claims.Command{Stamp: epoch.UnixMilli()}
		for k := range size {
			c.Batch = append(c.Batch, cbor.RawMessage(encode(b, f(i+k))))
		}
		entries = append(entries, encode(b, c))
	}
	return entries
}

func newClaim(i int) claims.Command {
	return claim(fmt.Sprintf("key-%032d", i), fmt.Sprintf("claim-%020d", i), "0123456789abcdef0123456789abcdef")
}

func newOutcome(i int) claims.Command {
	return complete(fmt.Sprintf("key-%032d", i), fmt.Sprintf("claim-%020d", i),
		wire.Outcome{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 150)})
}

func BenchmarkApplyClaim(b *testing.B) {
	entries, m := batches(b, b.N, newClaim), claims.NewStateMachine()
	b.ResetTimer()
	for _, e := range entries {
		m.Apply(1, e)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// heapAfter applies entries and returns the size of the heap after a collection.
func heapAfter(m *claims.StateMachine, entries [][]byte) float64 {
	for _, e := range entries {
		m.Apply(1, e)
	}
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// BenchmarkRecordBytes reports the heap bytes of a record without an outcome, and
// the bytes that an outcome with a body of 150 bytes adds.
func BenchmarkRecordBytes(b *testing.B) {
	const n = 500_000
	claimed, completed := batches(b, n, newClaim), batches(b, n, newOutcome)
	for b.Loop() {
		m := claims.NewStateMachine()
		h0, h1, h2 := heapAfter(m, nil), heapAfter(m, claimed), heapAfter(m, completed)
		b.ReportMetric((h1-h0)/float64(m.Stats().Records), "B/record")
		b.ReportMetric((h2-h1)/float64(m.Stats().Records), "B/outcome")
	}
}

func BenchmarkSnapshot100k(b *testing.B) {
	m := claims.NewStateMachine()
	for _, f := range []func(int) claims.Command{newClaim, newOutcome} {
		for _, e := range batches(b, 100_000, f) {
			m.Apply(1, e)
		}
	}
	s, _ := m.Snapshot()
	b.Run("Snapshot", func(b *testing.B) {
		for b.Loop() {
			m.Snapshot()
		}
		b.ReportMetric(float64(len(s)), "bytes")
	})
	b.Run("Restore", func(b *testing.B) {
		for b.Loop() {
			claims.NewStateMachine().Restore(s)
		}
	})
}

// BenchmarkGroupCommit compares batching with one log entry per claim, for about
// 64 callers and a log whose fsync takes 0.1 ms.
func BenchmarkGroupCommit(b *testing.B) {
	for _, batch := range []bool{true, false} {
		b.Run(map[bool]string{true: "Batch", false: "Single"}[batch], func(b *testing.B) {
			l := newFakeLog(0)
			l.sync = func() { // busy-wait: time.Sleep(0.1 ms) would take longer
				for t := time.Now(); time.Since(t) < 100*time.Microsecond; {
					runtime.Gosched()
				}
			}
			s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{l}})
			defer s.Close()
			var n atomic.Int64
			b.SetParallelism(64 / runtime.GOMAXPROCS(0))
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if c := newClaim(int(n.Add(1))); batch {
						s.Claim(b.Context(), c.Claim)
					} else {
						l.Propose(b.Context(), encode(b, c))
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(b.N)/float64(l.entries), "claims/entry")
		})
	}
}

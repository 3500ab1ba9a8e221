package contract_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/control"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// startControls starts three controls in this process that communicate over
// loopback and keep their data on disk.
func startControls(b *testing.B) []string {
	b.Helper()
	const members = 3
	base := reservePorts(b)
	address := func(i, port int) string { return fmt.Sprintf("127.0.0.1:%d", base+3*i+port) }
	var m []settings.Member
	var peers []string
	for i := range members {
		m = append(m, settings.Member{Name: fmt.Sprint("control-", i), Address: address(i, 1)})
		peers = append(peers, address(i, 1))
	}
	ctx, cancel := context.WithCancel(b.Context())
	var g sync.WaitGroup
	b.Cleanup(func() { cancel(); g.Wait() })
	for i := range members {
		c, err := control.New(control.Config{Log: logr.Discard(), Settings: settings.Control{
			Name: m[i].Name, AvailabilityZone: "a", Listen: address(i, 0), PeerListen: address(i, 1), AdminListen: address(i, 2),
			Members: m, DataFolder: b.TempDir(), ClaimGroups: settings.DefaultClaimGroups,
			ClaimRetention: settings.DefaultClaimRetention, StopLimit: time.Second,
		}})
		if err != nil {
			b.Fatal(err)
		}
		g.Go(func() {
			if err := c.Run(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	return peers
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func claim(ctx context.Context, p *wire.Pool, address, key string) error {
	_, err := wire.PoolCall[wire.ClaimRequest, wire.ClaimResponse](ctx, p, address, wire.MethodClaim, &wire.ClaimRequest{
		Customer: "pichler", Key: key, Digest: []byte(key), ClaimID: key, Node: "n", Remaining: time.Second,
	})
	return err
}

// BenchmarkClaims measures claims of new keys at three controls with synced logs:
// rate, latency, and CPU time of callers and controls together.
func BenchmarkClaims(b *testing.B) {
	peers := startControls(b)
	p := wire.NewPool(wire.DialTCP)
	defer p.Close()
	for i := range 32 { // enough keys to reach all claim groups
		for claim(b.Context(), p, peers[0], fmt.Sprint("ready-", i)) != nil {
			time.Sleep(pollInterval)
		}
	}
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			var next atomic.Int64
			var mu sync.Mutex
			h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			cpu := cpuTime(b)
			b.ResetTimer()
			var g sync.WaitGroup
			for c := range callers {
				g.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						start := time.Now()
						if err := claim(b.Context(), p, peers[c%len(peers)], fmt.Sprintf("%s-%d-%d", b.Name(), b.N, i)); err != nil {
							b.Error(err)
							return
						}
						mu.Lock()
						_ = h.RecordValue(time.Since(start).Microseconds()) // the value is within the range
						mu.Unlock()
					}
				})
			}
			g.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-µs/claim")
		})
	}
}

package contract_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/examples"
	"github.com/gooseberrypick/gooseberrypick/internal/control"
	"github.com/gooseberrypick/gooseberrypick/internal/logging"
	"github.com/gooseberrypick/gooseberrypick/internal/node"
	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	responseBytes = 1 << 10
	roundDuration = 3 * time.Second
	rounds        = 3
	senders       = 64
)

// hopMesh is one control and two nodes in this process. Callers send to the first
// node; the upstream is announced to the second.
type hopMesh struct{ entry, upstream string }

func startHopMesh(b *testing.B) hopMesh {
	b.Helper()
	base := reservePorts(b)
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	ctx, cancel := context.WithCancel(b.Context())
	var g sync.WaitGroup
	b.Cleanup(func() { cancel(); g.Wait() })
	k, err := control.New(control.Config{Log: logr.Discard(), Settings: settings.Control{
		Name: "control", AvailabilityZone: "a", Listen: address(0), PeerListen: address(1), AdminListen: address(2),
		Members: []settings.Member{{Name: "control", Address: address(1)}}, DataFolder: b.TempDir(),
		ClaimGroups: 1, ClaimRetention: settings.DefaultClaimRetention, StopLimit: time.Second,
	}})
	if err != nil {
		b.Fatal(err)
	}
	g.Go(func() { _ = k.Run(ctx) })
	// Log lines are formatted as in production, but discarded.
	l, w, err := logging.New(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { w.Close() })
	for i := range 2 {
		n, err := node.New(node.Config{Log: l, Settings: settings.Node{
			Name: fmt.Sprint("node-", i), AvailabilityZone: "a", Control: []string{address(1)}, StopLimit: time.Second,
			Listen: address(10 + 4*i), UpstreamListen: address(11 + 4*i), PeerListen: address(12 + 4*i), AdminListen: address(13 + 4*i),
		}})
		if err != nil {
			b.Fatal(err)
		}
		g.Go(func() { _ = n.Run(ctx) })
	}
	body := strings.Repeat("x", responseBytes)
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	b.Cleanup(u.Close)
	m := hopMesh{entry: address(10), upstream: strings.TrimPrefix(u.URL, "http://")}
	a := announce.New(announce.Config{Node: address(15), Name: "u", Service: "level-display", Address: m.upstream, Slots: 100, Connections: 100})
	g.Go(func() { a.Run(ctx) })
	acceptExample(b, address(0))
	for call(b, m.entry) != nil {
		time.Sleep(pollInterval)
	}
	return m
}

func acceptExample(b *testing.B, address string) {
	b.Helper()
	c, err := operator.NewClient(operator.ClientConfig{Control: []string{address}})
	if err != nil {
		b.Fatal(err)
	}
	for {
		_, err := c.Accept(b.Context(), operator.AcceptRequest{RequestID: "bench", FileName: examples.PichlerFile, File: string(examples.Pichler)})
		if err == nil {
			return
		}
		time.Sleep(pollInterval)
	}
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * senders}}

func call(b *testing.B, address string) error {
	q, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+address+"/levels/17", nil)
	if err != nil {
		return err
	}
	q.Host = levelsHost
	r, err := benchClient.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	n, err := io.Copy(io.Discard, r.Body)
	if err == nil && (r.StatusCode != http.StatusOK || n != responseBytes) {
		err = fmt.Errorf("status %d with %d bytes", r.StatusCode, n)
	}
	return err
}

// callStats is the cost of the calls over one path.
type callStats struct {
	latency *hdrhistogram.Histogram
	cpu     time.Duration
	mallocs uint64
	calls   int
}

// round sends calls at a fixed rate for roundDuration and adds their cost to s.
func (s *callStats) round(b *testing.B, address string, rate int) {
	due := make(chan struct{}, rate)
	var g sync.WaitGroup
	var mu sync.Mutex
	for range senders {
		g.Go(func() {
			for range due {
				start := time.Now()
				if err := call(b, address); err != nil {
					b.Error(err)
				}
				took := time.Since(start)
				mu.Lock()
				_ = s.latency.RecordValue(took.Microseconds()) // the value is within the range
				mu.Unlock()
			}
		})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, start := cpuTime(b), time.Now()
	n := int(roundDuration.Seconds() * float64(rate))
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		due <- struct{}{}
	}
	close(due)
	g.Wait()
	s.cpu += cpuTime(b) - cpu
	runtime.ReadMemStats(&after)
	s.mallocs += after.Mallocs - before.Mallocs
	s.calls += n
}

// BenchmarkHop compares direct calls with calls through two nodes, in alternating
// rounds, with callers, nodes and upstream in one process.
func BenchmarkHop(b *testing.B) {
	m := startHopMesh(b)
	for _, rate := range []int{200, 2000} {
		b.Run(fmt.Sprint("rate=", rate), func(b *testing.B) {
			direct := &callStats{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
			mesh := &callStats{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
			for range rounds {
				direct.round(b, m.upstream, rate)
				mesh.round(b, m.entry, rate)
			}
			for _, q := range []float64{50, 99} {
				d, t := direct.latency.ValueAtQuantile(q), mesh.latency.ValueAtQuantile(q)
				b.ReportMetric(float64(d), fmt.Sprintf("direct-p%v-µs", q))
				b.ReportMetric(float64(t-d), fmt.Sprintf("added-p%v-µs", q))
			}
			b.ReportMetric(float64((mesh.cpu-direct.cpu).Microseconds())/float64(mesh.calls), "added-cpu-µs/call")
			b.ReportMetric(float64(mesh.mallocs)/float64(mesh.calls)-float64(direct.mallocs)/float64(direct.calls), "added-allocs/call")
			b.ReportMetric(0, "ns/op")
		})
	}
}

package contract_test

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/examples"
	"github.com/gooseberrypick/gooseberrypick/internal/control"
	"github.com/gooseberrypick/gooseberrypick/internal/distribution"
	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// countedConn counts the bytes that a node receives and sends.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchFleet is one control and the subscriptions of many nodes to it over loopback,
// all in this process.
type benchFleet struct {
	operator string
	bytes    atomic.Int64
	mu       sync.Mutex
	started  time.Time
	version  uint64
	applied  int
	latency  *hdrhistogram.Histogram
	done     chan struct{}
	nodes    int
}

func startFleet(b *testing.B, nodes int) *benchFleet {
	b.Helper()
	base := reservePorts(b)
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	f := &benchFleet{operator: address(0), nodes: nodes, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
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
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := wire.DialTCP(ctx, address)
		return countedConn{c, &f.bytes}, err
	}
	var clients []*distribution.Client
	for i := range nodes {
		c := distribution.New(distribution.Config{
			Node: fmt.Sprintf("node-%d", i), AvailabilityZone: "a", PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			Incarnation: uint64(time.Now().UnixNano()), Controls: []string{address(1)}, Dial: dial,
			Registry: registry.New(), Log: logr.Discard(), Seed: uint64(i), OnApplied: f.onApplied,
		})
		clients = append(clients, c)
		g.Go(func() { c.Run(ctx) })
	}
	f.acceptChange(b, 0)
	for _, c := range clients {
		for c.Ready() != nil {
			time.Sleep(pollInterval)
		}
	}
	return f
}

// onApplied records that a version is in force on one more node.
func (f *benchFleet) onApplied(t *table.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Version() != f.version || f.done == nil {
		return
	}
	_ = f.latency.RecordValue(time.Since(f.started).Microseconds()) // the value is within the range
	f.applied++
	if f.applied == f.nodes {
		close(f.done)
		f.done = nil
	}
}

// acceptChange accepts a changed parameter and waits until all nodes have it. With
// base 0, it retries until the control accepts the first version, and does not wait for
// the nodes.
func (f *benchFleet) acceptChange(b *testing.B, base uint64) {
	b.Helper()
	c, err := operator.NewClient(operator.ClientConfig{Control: []string{f.operator}})
	if err != nil {
		b.Fatal(err)
	}
	file := strings.Replace(string(examples.Pichler), `"Value": "100ms"`, fmt.Sprintf(`"Value": "%dms"`, 100+base), 1)
	done := make(chan struct{})
	f.mu.Lock()
	f.version, f.applied, f.started = base+1, 0, time.Now()
	if base > 0 {
		f.done = done
	}
	f.mu.Unlock()
	q := operator.AcceptRequest{Base: base, RequestID: fmt.Sprint("bench-", base), FileName: "customer.jsonc", File: file}
	for {
		if _, err = c.Accept(b.Context(), q); err == nil {
			break
		}
		if base > 0 {
			b.Fatal(err)
		}
		time.Sleep(pollInterval)
	}
	if base > 0 {
		<-done
	}
}

// BenchmarkInForce measures the time from the start of an accept until the version
// is in force on each node, and the traffic and CPU time of an idle stream.
func BenchmarkInForce(b *testing.B) {
	const changes, idle = 20, 5 * time.Second
	for _, nodes := range []int{10, 100, 300, 1000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := startFleet(b, nodes)
			time.Sleep(time.Second) // until the last records have reached all nodes
			runtime.GC()
			runtime.ReadMemStats(&after)
			sent, cpu := f.bytes.Load(), cpuTime(b)
			time.Sleep(idle)
			seconds := idle.Seconds() * float64(nodes)
			b.ReportMetric(float64(f.bytes.Load()-sent)/seconds, "idle-B/node/s")
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/seconds, "idle-cpu-µs/node/s")
			sent, cpu = f.bytes.Load(), cpuTime(b)
			for i := range uint64(changes) {
				f.acceptChange(b, i+1)
			}
			total := float64(changes * nodes)
			b.ReportMetric(float64(f.bytes.Load()-sent)/total, "B/node/change")
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/total, "cpu-µs/node/change")
			b.ReportMetric(float64(f.latency.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(f.latency.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(nodes)/1024, "KiB/node")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Size of the target fleet.
const (
	targetNodes    = 37000
	targetServices = 2300
)

func targetRecord(i int) wire.NodeRecord {
	n := fmt.Sprintf("node-%05d.zone-%02d", i, i%11)
	return wire.NodeRecord{
		Node: n, AvailabilityZone: fmt.Sprintf("zone-%02d", i%11), PeerAddress: fmt.Sprintf("10.%d.%d.%d:7003", i%11, i/250, i%250),
		Incarnation: 1_700_000_000_000_000_000, Sequence: 3, Home: fmt.Sprintf("control-%02d", i%51),
		Upstreams: []wire.Upstream{{
			Name: n, Service: fmt.Sprintf("service-%04d", i%targetServices), State: wire.Serving,
			Slots: 20, Connections: 100, Since: time.Unix(1_700_000_000, 0),
		}},
	}
}

func targetConfigs() []*customer.Config {
	var l []*customer.Config
	for c := range targetServices / 10 {
		k := customer.NewConfig(fmt.Sprintf("customer-%03d", c)).WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second, Worth: 10, Floor: 0.5})
		for i := range 10 {
			s := fmt.Sprintf("service-%04d", c*10+i)
			k = k.WithService(customer.Service{Name: s, Slots: 20, Connections: 100, ColdStart: time.Second})
			for _, m := range []string{"GET", "POST"} {
				k = k.WithRoute(customer.Route{
					Host: s + ".example", Method: m, Path: "/", Service: s, Rank: "urgent", Deadline: time.Second, Execution: customer.Idempotent,
				})
			}
		}
		l = append(l, k)
	}
	return l
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTargetSize measures the memory that a node needs at the size of the
// target fleet, and the cost of one change and one snapshot.
func BenchmarkTargetSize(b *testing.B) {
	start := liveHeap()
	configs := targetConfigs()
	t, err := table.Empty.With(1, configs)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("table", func(b *testing.B) {
		size := liveHeap() - start
		u := wire.ConfigUpdate{To: 1}
		for _, c := range configs {
			u.Changes = append(u.Changes, customer.Diff(nil, c))
		}
		c := configs[7].WithRank(customer.Rank{Name: "urgent", Order: 1, Target: 2 * time.Second, Worth: 10, Floor: 0.5})
		for b.Loop() {
			if _, err := t.With(2, []*customer.Config{c}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size)/(1<<20), "MiB-with-configs")
		reportEncoded(b, &u)
	})
	start = liveHeap()
	r := registry.New()
	records := make([]wire.NodeRecord, targetNodes)
	for i := range records {
		records[i] = targetRecord(i)
	}
	r.Put(time.Now(), records)
	clear(records)
	b.Run("registry", func(b *testing.B) {
		size := liveHeap() - start
		e := wire.Endpoints{Records: r.Records()}
		n := targetRecord(5)
		for b.Loop() {
			n.Sequence++
			r.Put(time.Now(), []wire.NodeRecord{n})
		}
		b.ReportMetric(float64(size)/(1<<20), "MiB")
		reportEncoded(b, &e)
	})
	runtime.KeepAlive(t)
	runtime.KeepAlive(r)
}

func reportEncoded(b *testing.B, m any) {
	b.Helper()
	start := time.Now()
	d, err := wire.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	var p bytes.Buffer
	w, _ := flate.NewWriter(&p, flate.BestSpeed) // the level is valid
	_, _ = w.Write(d)
	w.Close()
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "encode-ms")
	b.ReportMetric(float64(len(d))/(1<<20), "MiB-encoded")
	b.ReportMetric(float64(p.Len())/(1<<20), "MiB-packed")
}

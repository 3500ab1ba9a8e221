package control

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/distribution"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// benchNodesEnv is an environment variable that makes the test binary run the nodes of a
// benchmark. In a process of their own, their memory and CPU time are not counted with
// those of the control.
const benchNodesEnv = "GOOSEBERRYPICK_BENCH_NODES"

func TestMain(m *testing.M) {
	if s := os.Getenv(benchNodesEnv); s != "" {
		runBenchNodes(s)
		return
	}
	os.Exit(m.Run())
}

// usage holds the resources that a process of a benchmark has used, and when versions and
// states of an upstream reached each of its nodes.
type usage struct {
	CPU     time.Duration
	Bytes   int64
	Memory  uint64 // bytes of heap and stacks
	Ready   time.Duration
	Applied map[uint64][]int64 // times by version
	Seen    map[int][]int64    // times by slots of the changing upstream
}

// measureUsage returns the CPU time and the memory of this process.
func measureUsage() usage {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{CPU: time.Duration(r.Utime.Nano() + r.Stime.Nano()), Memory: m.HeapAlloc + m.StackInuse}
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// runBenchNodes runs nodes until standard input ends. It answers each input line with the
// usage of the process.
func runBenchNodes(s string) {
	var count int
	var address string
	fmt.Sscan(s, &address, &count)
	var bytes atomic.Int64
	var mu sync.Mutex
	applied, seen := map[uint64][]int64{}, map[int][]int64{}
	start := time.Now()
	var ready time.Duration
	var clients []*distribution.Client
	var registries []*registry.Registry
	for i := range count {
		r := registry.New()
		c := distribution.New(distribution.Config{
			Node: fmt.Sprintf("node-%05d.zone-%02d", i, i%11), AvailabilityZone: "zone", PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			Incarnation: uint64(start.UnixNano()), Controls: []string{address}, Registry: r, Log: logr.Discard(), Seed: uint64(i),
			Dial: func(ctx context.Context, a string) (net.Conn, error) {
				c, err := wire.DialTCP(ctx, a)
				return countedConn{c, &bytes}, err
			},
			OnApplied: func(t *table.Table) {
				mu.Lock()
				defer mu.Unlock()
				applied[t.Version()] = append(applied[t.Version()], time.Now().UnixNano())
			},
		})
		clients, registries = append(clients, c), append(registries, r)
		go c.Run(context.Background())
	}
	for _, c := range clients {
		for c.Ready() != nil {
			time.Sleep(time.Millisecond)
		}
	}
	ready = time.Since(start)
	go func() { // each endpoint change sets another number of slots
		last := make([]int, count)
		for ; ; time.Sleep(time.Millisecond) {
			for i, r := range registries {
				if l := r.Candidates("churn"); len(l) > 0 && l[0].Upstream.Slots != last[i] {
					last[i] = l[0].Upstream.Slots
					mu.Lock()
					seen[last[i]] = append(seen[last[i]], time.Now().UnixNano())
					mu.Unlock()
				}
			}
		}
	}()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		u := measureUsage()
		mu.Lock()
		u.Bytes, u.Ready, u.Applied, u.Seen = bytes.Load(), ready, applied, seen
		b, _ := json.Marshal(u)
		mu.Unlock()
		fmt.Println(string(b))
	}
}

// bench is a control on loopback with its nodes in another process.
type bench struct {
	*testing.B
	*fleet
	source     *testSource
	queryUsage func() usage
}

func startBench(b *testing.B, nodes int, prepare func(*bench)) *bench {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	k := &bench{B: b, source: &testSource{StateMachine: versions.New(), cluster: &testCluster{}}}
	k.source.lineage.Store("L")
	k.source.current.Store(true)
	members := []settings.Member{{Name: "a", Address: l.Addr().String()}}
	k.fleet = newFleet(fleetConfig{Control: "a", Directory: newDirectory(settings.Control{Name: "a", Members: members}), Source: k.source, Names: k.source, Pool: wire.NewPool(wire.DialTCP), Log: logr.Discard()})
	m := wire.NewMux()
	k.register(m)
	ctx, cancel := context.WithCancel(b.Context())
	var g sync.WaitGroup
	g.Go(func() { _ = wire.Serve(ctx, l, m, wire.ServeOptions{Log: logr.Discard()}) })
	g.Go(func() { k.run(ctx) })
	prepare(k)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", benchNodesEnv, l.Addr(), nodes))
	c.Stderr = os.Stderr
	in, _ := c.StdinPipe()
	out, _ := c.StdoutPipe()
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		in.Close()
		_ = c.Wait()
		cancel()
		g.Wait()
	})
	s := bufio.NewReaderSize(out, 1<<20)
	k.queryUsage = func() (u usage) {
		fmt.Fprintln(in)
		line, err := s.ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, &u)
		}
		if err != nil {
			b.Fatal(err)
		}
		return u
	}
	k.queryUsage()
	return k
}

// report reports quantiles of the delays from each start to the arrivals at the nodes.
func (b *bench) report(name string, starts map[int]int64, arrivals map[int][]int64) {
	var l []float64
	for k, s := range starts {
		for _, a := range arrivals[k] {
			l = append(l, float64(a-s)/1e6)
		}
	}
	slices.Sort(l)
	if len(l) > 0 {
		b.ReportMetric(l[len(l)/2], name+"-p50-ms")
		b.ReportMetric(l[len(l)*99/100], name+"-p99-ms")
	}
}

// services returns customers with ten services and twenty routes each.
func services(n int) []*customer.Config {
	var l []*customer.Config
	for c := range n / 10 {
		k := customer.NewConfig(fmt.Sprintf("customer-%03d", c)).WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second, Worth: 10, Floor: 0.5})
		for i := range 10 {
			s := fmt.Sprintf("service-%04d", c*10+i)
			k = k.WithService(customer.Service{Name: s, Slots: 20, Connections: 100, ColdStart: time.Second})
			for _, m := range []string{"GET", "POST"} {
				k = k.WithRoute(customer.Route{Host: s + ".example", Method: m, Path: "/", Service: s, Rank: "urgent", Deadline: time.Second, Execution: customer.Idempotent})
			}
		}
		l = append(l, k)
	}
	return l
}

func (b *bench) acceptAll(n int) {
	for _, c := range services(n) {
		acceptAt(b, b.source.StateMachine, c)
	}
}

// changedCustomer returns the first customer of services with another rank target.
func changedCustomer(i int) *customer.Config {
	return services(10)[0].WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second + time.Duration(i), Worth: 10, Floor: 0.5})
}

// BenchmarkSpread measures how versions, sent as deltas or as full states, and endpoint
// changes propagate from a control to nodes in another process, and the cost of idle
// streams.
func BenchmarkSpread(b *testing.B) {
	const changes, idle = 20, 5 * time.Second
	for _, nodes := range []int{10, 100, 300, 1000} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/full=%t", nodes, full), func(b *testing.B) {
				before := measureUsage()
				k := startBench(b, nodes, func(k *bench) {
					k.acceptAll(230)
					if full {
						k.streams.updates.encode = func(v *versions.View, lineage string, _ uint64) (*encodedUpdate, error) {
							u, err := encodeUpdate(v, lineage, 0)
							u.full = false // do not limit them like snapshots
							return u, err
						}
					}
				})
				time.Sleep(time.Second)
				c, n := measureUsage(), k.queryUsage()
				k.ReportMetric(float64(c.Memory-before.Memory)/float64(nodes)/1024, "control-KiB/node")
				per := func(name string, count float64, f func()) {
					c, n := measureUsage(), k.queryUsage()
					f()
					d, m := measureUsage(), k.queryUsage()
					count *= float64(nodes)
					k.ReportMetric(float64(m.Bytes-n.Bytes)/count, name+"-B/node")
					k.ReportMetric(float64((d.CPU-c.CPU).Microseconds())/count, name+"-control-µs/node")
					k.ReportMetric(float64((m.CPU-n.CPU).Microseconds())/count, name+"-node-µs/node")
				}
				_ = n
				per("idle", idle.Seconds(), func() { time.Sleep(idle) })
				starts := map[int]int64{}
				per("version", changes, func() {
					for i := range changes {
						starts[int(k.source.Current().Version())+1] = time.Now().UnixNano()
						acceptAt(b, k.source.StateMachine, changedCustomer(i))
						time.Sleep(200 * time.Millisecond)
					}
					time.Sleep(time.Second)
				})
				arrivals := map[int][]int64{}
				for v, l := range k.queryUsage().Applied {
					arrivals[int(v)] = l
				}
				k.report("version", starts, arrivals)
				if !full {
					starts = map[int]int64{}
					per("endpoint", changes, func() {
						for i := range changes {
							starts[i+1] = time.Now().UnixNano()
							k.streams.put([]wire.NodeRecord{changedRecord(i + 1)})
							time.Sleep(200 * time.Millisecond)
						}
						time.Sleep(time.Second)
					})
					k.report("endpoint", starts, k.queryUsage().Seen)
				}
				k.ReportMetric(0, "ns/op")
			})
		}
	}
}

// changedRecord returns change i of the record whose upstream has the service churn.
func changedRecord(i int) wire.NodeRecord {
	r := targetRecord(0, "a")
	r.Node, r.Sequence = "churn", uint64(i)
	r.Upstreams[0].Service, r.Upstreams[0].Slots = "churn", i
	return r
}

const targetNodes = 37_000

// targetRecord returns the record of node i in a fleet of the target size.
func targetRecord(i int, home string) wire.NodeRecord {
	n := fmt.Sprintf("node-%05d.zone-%02d", i, i%11)
	return wire.NodeRecord{
		Node: n, AvailabilityZone: fmt.Sprintf("zone-%02d", i%11), PeerAddress: fmt.Sprintf("10.%d.%d.%d:7003", i%11, i/250, i%250),
		Incarnation: 1_700_000_000_000_000_000 + uint64(i)*7919, Sequence: 3, Home: home,
		Upstreams: []wire.Upstream{{
			Name: n, Service: fmt.Sprintf("service-%04d", i%2300), State: wire.Serving, Slots: 20, Connections: 100,
			Since: time.Unix(1_700_000_000+int64(i)*7, 0),
		}},
	}
}

// BenchmarkStart measures the start of new nodes in a fleet of the target size.
func BenchmarkStart(b *testing.B) {
	for _, nodes := range []int{1, 32} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			var c usage
			k := startBench(b, nodes, func(k *bench) {
				k.acceptAll(2300)
				l := make([]wire.NodeRecord, targetNodes)
				for i := range l {
					l[i] = targetRecord(i, fmt.Sprintf("control-%02d", i%51))
				}
				k.registry.Put(time.Now(), l)
				c = measureUsage()
			})
			n, d := k.queryUsage(), measureUsage()
			k.ReportMetric(float64(n.Ready.Milliseconds()), "ready-ms")
			k.ReportMetric(float64(n.Bytes)/float64(nodes)/(1<<20), "MiB/node")
			k.ReportMetric(float64(n.Memory)/float64(nodes)/(1<<20), "memory-MiB/node")
			k.ReportMetric(float64(n.CPU.Milliseconds())/float64(nodes), "cpu-ms/node")
			k.ReportMetric(float64((d.CPU-c.CPU).Milliseconds())/float64(nodes), "control-cpu-ms/node")
			k.ReportMetric(0, "ns/op")
		})
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all machines, as on the platform. Each machine has a loopback
// address of its own.
const (
	controlPort  = 8620
	inboundPort  = 8624
	readyPort    = 8625
	workerPort   = 8628
	outboundPort = 8629
	innerPort    = 7600
)

// machine is one machine of the deployment with the process of the system on it.
type machine struct {
	s       *system
	name    string
	role    string // control or node
	ip      string
	zone    string
	service string
	dataDir string
	first   bool
	cmd     *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// system is a small deployment on loopback addresses.
type system struct {
	dir      string
	program  string
	record   *record
	seeds    []string
	controls []*machine
	nodes    []*machine
	workers  []*worker
	net      byte
	// tolerateMachines is Tolerate.Machines of the settings.
	tolerateMachines int
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var bounds = map[string]any{
	"SeedLagS": 3, "ReuseAfterS": 2, "StabilityWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6,
	"LostSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "SkewMaxMs": 5000, "BudgetRatio": 0.2, "BudgetWindowS": 10,
	"BudgetSlack": 58, "RecoverS": 15,
}

// newSystem prepares a deployment of controls and of one node for each service name.
func newSystem(root, out string, controls int, services []string) (*system, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(out)
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, program: filepath.Join(root, "target/gooseberrypick"), tolerateMachines: 2, record: &record{w: f, start: time.Now()}}
	if s.net, err = freeNet(); err != nil {
		return nil, err
	}
	zones := []string{"bilbao", "oviedo", "santander"}
	for i := range controls {
		m := &machine{s: s, role: "control", name: fmt.Sprintf("core-%s-%d", zones[i%3], i/3+1), ip: s.ip(1, i+1), zone: zones[i%3], first: true}
		m.dataDir = filepath.Join(dir, m.name)
		s.controls = append(s.controls, m)
		if i < 3 {
			s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
		}
	}
	for i, v := range services {
		m := &machine{s: s, role: "node", name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), ip: s.ip(2, i+1), zone: zones[i%3], service: v, first: true}
		s.nodes = append(s.nodes, m)
	}
	return s, nil
}

func (s *system) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, group, n) }

// freeNet returns the second byte of loopback addresses that nobody uses.
func freeNet() (byte, error) {
	for n := byte(60 + os.Getpid()%100); n < 250; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, controlPort))
		if err == nil {
			l.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// settings fills in the template of the role like the platform.
func (m *machine) settings(root string) (string, error) {
	t, err := os.ReadFile(filepath.Join(root, "deploy", m.role+".jsonc"))
	if err != nil {
		return "", err
	}
	limits := map[string]any{"CpuShare": 0.32, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 256}
	b := map[string]any{}
	for k, v := range bounds {
		b[k] = v
	}
	fields := map[string]any{
		"Node": m.name, "Zone": m.zone, "Ip": m.ip, "Service": m.service, "Seeds": m.s.seeds, "Bootstrap": m.first, "DataDir": m.dataDir,
		"Limits": limits, "Bounds": b, "Tolerate.Machines": m.s.tolerateMachines, "Bounds.GraceS": 6, "Limits.LinkMbps": 1000,
		"InternalPortRange.0": innerPort, "InternalPortRange.1": innerPort + 15,
		"Listen.Control": fmt.Sprintf("%s:%d", m.ip, controlPort), "Listen.Outbound": fmt.Sprintf("%s:%d", m.ip, outboundPort),
		"Listen.Inbound": fmt.Sprintf("%s:%d", m.ip, inboundPort), "Listen.Ready": fmt.Sprintf("%s:%d", m.ip, readyPort),
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(t), func(p string) string {
		g := placeholder.FindStringSubmatch(p)
		v, ok := fields[g[1]]
		if !ok {
			missing = fmt.Errorf("placeholder %s", p)
		}
		if x, ok := v.(string); ok && g[2] == "" {
			return x
		}
		j, _ := json.Marshal(v)
		return string(j)
	})
	return out, missing
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	root := filepath.Dir(filepath.Dir(m.s.program))
	text, err := m.settings(root)
	if err != nil {
		return err
	}
	file := filepath.Join(m.s.dir, m.name+".settings")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(m.s.dir, m.name+".log")); err != nil {
			return err
		}
	}
	m.cmd = exec.Command(m.s.program, m.role)
	m.cmd.Dir = root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GOOSEBERRYPICK_BOOT=" + file}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.first = false
	m.done = make(chan struct{})
	c, d := m.cmd, m.done
	go func() { _ = c.Wait(); close(d) }()
	m.s.record.log("%s started as process %d", m.name, c.Process.Pid)
	return nil
}

func (m *machine) signal(g syscall.Signal) {
	m.s.record.log("%s gets signal %v", m.name, g)
	_ = m.cmd.Process.Signal(g)
}

// kill ends the process and waits for it.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

func (m *machine) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// startAll starts all processes and waits until the nodes that follow are reachable.
func (s *system) startAll() error {
	for _, m := range append(append([]*machine{}, s.controls...), s.nodes...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes that were started.
func (s *system) stopAll() {
	for _, m := range append(append([]*machine{}, s.controls...), s.nodes...) {
		if m.cmd != nil && !m.ended() {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", s.dir)
	}
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/api/readyz", m.ip, readyPort))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func waitUntil(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// call sends a request of the operator or a worker and returns status and body; the status
// is 0 if no answer came.
func call(method, url string, body any, timeout time.Duration) (int, []byte) {
	var b []byte
	switch v := body.(type) {
	case nil:
	case []byte:
		b = v
	default:
		b, _ = json.Marshal(v)
	}
	q, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return nil }}
	r, err := c.Do(q)
	if err != nil {
		return 0, nil
	}
	defer r.Body.Close()
	a, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, a
}

func (m *machine) controlURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path)
}

// route is one route of a configuration.
type route struct {
	Name, Prefix, Kind, Service string
	TimeoutMs, SloMs, Priority  int
	Attempts                    int
}

func serviceList(names ...string) []any {
	var l []any
	for _, n := range names {
		l = append(l, map[string]any{"Name": n, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false})
	}
	return l
}

// config returns the body of a configuration for the host app.example.
func config(version, base uint64, services []any, routes ...route) []byte {
	b, _ := json.Marshal(map[string]any{
		"Version": version, "BaseVersion": base, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Vhosts": []any{map[string]any{"Host": "app.example", "Paths": routes}},
	})
	return b
}

// put sends a configuration like the operator until it is acknowledged or refused.
func (s *system) put(body []byte, limit time.Duration) int {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		m := s.controls[i%len(s.controls)]
		status, _ := call("PUT", m.controlURL("/api/config"), body, time.Second)
		s.record.log("operator sends a configuration to %s: %d", m.name, status)
		if status >= 200 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// worker is a stand-in for a worker. It sends heartbeats to the node on its machine.
type worker struct {
	s       *system
	m       *machine
	id      string
	service string
	addr    string
	slots   int
	born    int64
	// handle answers a request; nil means an ordinary answer after work.
	handle func(w *worker, c net.Conn, q *request) bool
	work   time.Duration
	l      net.Listener
	mu     sync.Mutex
	state  string
	seq    int
	beats  bool
	runs   map[string]int
	stop   chan struct{}
	// onRun is called with the ID of each request that reaches the worker; it may be nil.
	onRun func(id string)
	// headFirst is whether a request counts from its head on, before its body has arrived.
	headFirst bool
	conns     map[net.Conn]bool
	ended     bool
}

// exit ends the worker: its connections close, and requests at which it works are lost.
func (w *worker) exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.beats = true, false
	w.l.Close()
	close(w.stop)
	for c := range w.conns {
		c.Close()
	}
	w.s.record.log("worker %s exits", w.id)
}

// request is a request as it reached a worker.
type request struct {
	head   []byte
	first  string
	header map[string][]string
	body   []byte
	at     time.Time
}

func (q *request) get(k string) string {
	if l := q.header[strings.ToLower(k)]; len(l) > 0 {
		return l[0]
	}
	return ""
}

// newWorker starts a worker beside the node of m.
func (s *system) newWorker(m *machine, id string, port int) (*worker, error) {
	w := &worker{
		s: s, m: m, id: id, service: m.service, addr: fmt.Sprintf("%s:%d", m.ip, port), slots: 6, born: time.Now().UnixMilli(),
		state: "ready", beats: true, runs: map[string]int{}, conns: map[net.Conn]bool{}, stop: make(chan struct{}), work: 50 * time.Millisecond,
	}
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return nil, err
	}
	w.l = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	go func() {
		for {
			w.beat()
			select {
			case <-w.stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	s.workers = append(s.workers, w)
	return w, nil
}

func (w *worker) heartbeat(state string, seq int) map[string]any {
	return map[string]any{
		"Addr": w.addr, "born": w.born, "Info": map[string]any{"Service": w.service, "Version": "v1", "Zone": w.m.zone, "Slots": w.slots},
		"Status": map[string]any{"State": state, "Seq": seq, "ColdLeftMs": 0},
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) beat() bool {
	w.mu.Lock()
	if !w.beats {
		w.mu.Unlock()
		return false
	}
	w.seq++
	b, state := w.heartbeat(w.state, w.seq), w.state
	w.mu.Unlock()
	status, _ := call("PUT", w.m.controlURL("/api/instances/"+w.id), b, time.Second)
	if state != "ready" {
		w.s.record.log("worker %s says that it is %s: %d", w.id, state, status)
	}
	return status/100 == 2
}

func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

func (w *worker) setBeats(b bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats = b
}

// serve handles the requests of one connection.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c)
	}()
	r := newReader(c)
	for {
		q, err := r.request()
		if err != nil {
			return
		}
		if q.get("X-Expect-Instance") != "" && q.get("X-Expect-Instance") != w.id {
			w.s.record.log("worker %s rejects %s, which is meant for %s", w.id, q.get("X-Request-Id"), q.get("X-Expect-Instance"))
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", q.get("X-Request-Id"))
			continue
		}
		if q.first == "GET /healthz HTTP/1.1" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if w.handle != nil {
			if !w.handle(w, c, q) {
				return
			}
			continue
		}
		if w.headFirst {
			w.run(q)
		}
		if r.body(q) != nil {
			return
		}
		if !w.headFirst {
			w.run(q)
		}
		time.Sleep(w.work)
		w.mu.Lock()
		ended := w.ended
		w.mu.Unlock()
		if ended {
			return
		}
		answer(c, w, q, 200, "answer to "+q.get("X-Request-Id"))
	}
}

// run records that the worker runs q.
func (w *worker) run(q *request) {
	id := q.get("X-Request-Id")
	w.mu.Lock()
	w.runs[id]++
	n, f := w.runs[id], w.onRun
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
	w.s.record.log("worker %s runs %s (run %d): %s, caller %s, %d bytes of body", w.id, id, n, q.first, q.get("X-Caller"), len(q.body))
}

// runsOf returns how often the workers ran a request.
func (s *system) runsOf(id string) int {
	n := 0
	for _, w := range s.workers {
		w.mu.Lock()
		n += w.runs[id]
		w.mu.Unlock()
	}
	return n
}

func stamp(w *worker, q *request) string { return w.id + "." + q.get("X-Request-Id") }

func answer(c net.Conn, w *worker, q *request, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), q.get("X-Request-Id"), stamp(w, q), len(body), body)
}

package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

var (
	seeds = flag.Uint64("seeds", 1, "number of seeds to run")
	from  = flag.Uint64("from", 1, "first seed")
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{}

const (
	faultTime = 8 * time.Second
	// healTime bounds the return of the whole fleet to the newest version after
	// the last fault.
	healTime   = 30 * time.Second
	callers    = 6
	largeBytes = 100 << 10
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	d, err := os.MkdirTemp("", "gooseberrypick-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(d, "gooseberrypick")
	c := exec.Command("go", "build", "-o", binary, "../..")
	if out, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(d)
	os.Exit(code)
}

// Overlapping faults must not break what callers, upstreams and operators were
// promised: work without a key runs once at most, a refusal as not-run is true, an
// answer is whole and belongs to its request, a process never returns to an older
// version, and an accepted version is in force everywhere once the faults end.
func TestSoak(t *testing.T) {
	l := append([]uint64{}, regressions...)
	for i := range *seeds {
		l = append(l, *from+i)
	}
	for _, seed := range l {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// soak is one run.
type soak struct {
	*Fleet
	t     *testing.T
	r     *rand.Rand
	stop  chan struct{}
	g     sync.WaitGroup
	mu    sync.Mutex
	acked uint64
	// events are the faults, for the report of a failed run.
	events []string
}

func run(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	folder := t.TempDir()
	f, err := NewFleet(folder, binary, r)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s := &soak{Fleet: f, t: t, r: r, stop: make(chan struct{})}
	s.within("first version in force", func() error { return s.accept(0) })
	s.within("first version everywhere", s.converged)
	for i := range callers {
		s.g.Go(func() { s.call(i) })
	}
	s.g.Go(s.operate)
	for i := range f.nodes {
		s.g.Go(func() { s.watch(i) })
	}
	s.faults()
	s.within("newest version everywhere", s.converged)
	close(s.stop)
	s.g.Wait()
	for _, b := range f.ledger.Broken(func(id string) bool { return strings.HasPrefix(id, "once") }) {
		t.Error(b)
	}
	a := f.ledger.Answers()
	t.Logf("seed %d: version %d, answers %v, faults %v", seed, s.newest(), a, s.events)
	if a["200 "] == 0 {
		t.Error("no request was served")
	}
	if t.Failed() {
		s.keepLogs(seed)
	}
}

// keepLogs copies the logs of a failed run out of its folder.
func (s *soak) keepLogs(seed uint64) {
	to := filepath.Join(os.TempDir(), fmt.Sprint("gooseberrypick-soak-failed-", seed))
	if err := os.CopyFS(to, os.DirFS(s.folder)); err != nil {
		s.t.Logf("logs not kept: %v", err)
		return
	}
	s.t.Logf("logs are in %s", to)
}

func (s *soak) within(what string, f func() error) {
	s.t.Helper()
	var err error
	for end := time.Now().Add(healTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	s.t.Errorf("%s: %v", what, err)
}

func (s *soak) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

// accept makes a new version at one of the controls.
func (s *soak) accept(n int) error {
	c, err := operator.NewClient(operator.ClientConfig{Control: s.operators, Timeout: 3 * time.Second})
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	file := fmt.Sprintf(`{"Customer": "c",
		"Services": [{"Name": "work", "Slots": %d, "Connections": %d}],
		"Ranks": [{"Name": "r", "Order": 1, "Target": "500ms", "Worth": 1, "Floor": 0}],
		"Routes": [{"Host": "h", "Method": "GET", "Path": "/read", "Service": "work", "Rank": "r", "Deadline": "%dms", "Execution": "Idempotent"},
			{"Host": "h", "Method": "POST", "Path": "/once", "Service": "work", "Rank": "r", "Deadline": "2s", "Execution": "Once"}]}`, slots, 2*slots, 1000+n)
	p, err := c.Plan(ctx, operator.PlanRequest{FileName: "c.jsonc", File: file})
	if err != nil {
		return err
	}
	v, err := c.Accept(ctx, operator.AcceptRequest{Base: p.Base, RequestID: fmt.Sprint("accept-", n), FileName: "c.jsonc", File: file})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = max(s.acked, v.Version)
	return nil
}

// operate accepts versions until the soak ends. What fails is not tried again.
func (s *soak) operate() {
	for n := 1; s.pause(300 * time.Millisecond); n++ {
		if err := s.accept(n); err != nil && errkind.Of(err) == errkind.Corrupt {
			s.t.Error(err)
		}
	}
}

// pause waits and reports whether the soak goes on.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// converged reports whether all nodes have the newest acknowledged version.
func (s *soak) converged() error {
	want := s.newest()
	for i, p := range s.nodes {
		v, err := s.Version(i)
		if err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
		if v < want {
			return fmt.Errorf("%s has version %d, want %d", p.Name, v, want)
		}
	}
	return nil
}

// watch checks that a process never returns to an older version.
func (s *soak) watch(i int) {
	before, process := uint64(0), 0
	for s.pause(50 * time.Millisecond) {
		n := s.nodes[i].Started()
		v, err := s.Version(i)
		if err != nil || n != s.nodes[i].Started() {
			continue
		}
		if n == process && v < before {
			s.t.Errorf("%s went from version %d to %d", s.nodes[i].Name, before, v)
		}
		before, process = v, n
	}
}

// call sends requests over connections that stay open as long as they work.
func (s *soak) call(i int) {
	c := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer c.CloseIdleConnections()
	large := bytes.Repeat([]byte("x"), largeBytes)
	for n := 0; s.pause(10 * time.Millisecond); n++ {
		kind, method, path, body := "read", http.MethodGet, "/read", []byte(nil)
		if n%2 == 0 {
			kind, method, path, body = "once", http.MethodPost, "/once", fmt.Append(nil, "body ", n)
			if n%20 == 0 {
				body = large
			}
		}
		id := fmt.Sprint(kind, "-", i, "-", n)
		q, err := http.NewRequest(method, "http://"+s.callers[(i+n/7)%nodes]+path, bytes.NewReader(body))
		if err != nil {
			s.t.Error(err)
			return
		}
		q.Host = "h"
		q.Header.Set("Gooseberrypick-Request-Id", id)
		status, execution, answer := 0, "", ""
		if a, err := c.Do(q); err == nil {
			b, e := io.ReadAll(a.Body)
			a.Body.Close()
			if e == nil {
				status, execution, answer = a.StatusCode, a.Header.Get("Gooseberrypick-Execution"), string(b)
			}
		}
		s.ledger.Told(id, path, body, status, execution, answer)
	}
}

// faults plays overlapping faults and ends them all.
func (s *soak) faults() {
	var g sync.WaitGroup
	var control sync.Mutex // at most one control at a time, as three members bear
	for end := time.Now().Add(faultTime); time.Now().Before(end); time.Sleep(time.Duration(s.r.IntN(600)) * time.Millisecond) {
		d := time.Duration(200+s.r.IntN(2500)) * time.Millisecond
		if s.r.IntN(2) == 0 {
			w, f := s.ways[s.r.IntN(len(s.ways))], Fault(1+s.r.IntN(4))
			s.events = append(s.events, fmt.Sprintf("way %s fault %d for %s", w.target, f, d))
			g.Go(func() { disturb(w, f, d) })
			continue
		}
		k := s.r.IntN(5)
		if s.r.IntN(3) == 0 {
			p := s.controls[s.r.IntN(len(s.controls))]
			if control.TryLock() {
				s.events = append(s.events, fmt.Sprintf("%s fault %d for %s", p.Name, k, d))
				g.Go(func() { defer control.Unlock(); s.hit(p, k, d); time.Sleep(time.Second) })
			}
			continue
		}
		p := s.nodes[s.r.IntN(len(s.nodes))]
		s.events = append(s.events, fmt.Sprintf("%s fault %d for %s", p.Name, k, d))
		g.Go(func() { s.hit(p, min(k, 3), d) })
	}
	g.Wait()
}

func disturb(w *Proxy, f Fault, d time.Duration) {
	if f > OneWay {
		w.Reset()
		return
	}
	w.Set(f)
	time.Sleep(d)
	w.Set(Healthy)
}

// hit pauses, kills, stops or wipes a process. Faults of one process follow each
// other.
func (s *soak) hit(p *Process, k int, d time.Duration) {
	p.Faults.Lock()
	defer p.Faults.Unlock()
	switch k {
	case 0, 1:
		p.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.Signal(syscall.SIGCONT)
		return
	case 2:
		p.Stop(syscall.SIGTERM)
	default:
		p.Stop(syscall.SIGKILL)
		time.Sleep(d)
	}
	if k == 4 {
		if err := s.LoseDisk(p); err != nil {
			s.t.Error(err)
		}
	}
	if err := p.Start(); err != nil {
		s.t.Error(err)
	}
}

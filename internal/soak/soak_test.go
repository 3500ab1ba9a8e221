package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

var (
	seeds = flag.Uint64("seeds", 1, "number of seeds to run")
	from  = flag.Uint64("from", 1, "first seed")
	// faults is short by default, so that a run of one seed takes less than 15 s.
	faults = flag.Duration("faults", 5*time.Second, "time during which faults are injected")
)

// regressions lists seeds that failed in the past, each with its cause.
var regressions = []uint64{
	4818, // a node that was restarted twice took back an upstream that had withdrawn
	1,    // the HTTP client of the test sent a GET again after a closed connection
}

const (
	// recoveryTimeout bounds the time until the whole fleet has the newest version
	// after the last fault.
	recoveryTimeout = 30 * time.Second
	callers         = 6
	largeBytes      = 100 << 10
	// withdrawalTimeout bounds the time until a withdrawn key is refused.
	withdrawalTimeout = 2 * time.Second
	excessCallers     = 4 * nodes
	excessPause       = 2 * time.Second
)

// Keys of the accounts. Each version of the configuration has the newest two keys of
// the rotating account.
const (
	steadyKey  = keyPrefix + "steady"
	limitedKey = keyPrefix + "limited"
)

func rotatingKey(k int) string { return fmt.Sprint(keyPrefix, "rotating-", k) }

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

// Overlapping faults must not violate the guarantees given to callers, upstreams and
// operators: a request on a Once route, which has no idempotency key, runs at most
// once, a request refused as not-run did not run, a response is complete and belongs
// to its request, a process never returns to an older version, and an accepted version
// is in force on all nodes once the faults end. Keys that are unknown or withdrawn open
// no protected route, no key reaches an upstream, upstreams get the right account name,
// and an account stays within its limit over all nodes. An upstream whose leaving was
// acknowledged gets no new work, though its earlier announcements still arrive.
func TestSoak(t *testing.T) {
	l := append([]uint64{}, regressions...)
	for i := range *seeds {
		if !slices.Contains(regressions, *from+i) {
			l = append(l, *from+i)
		}
	}
	for _, seed := range l {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// soak is the state of one run.
type soak struct {
	*Fleet
	t     *testing.T
	r     *rand.Rand
	stop  chan struct{}
	g     sync.WaitGroup
	mu    sync.Mutex
	acked uint64 // newest accepted version
	// events lists the injected faults, for the log of the run.
	events []string
	// departures lists the upstreams that left, for the log of the run.
	departures []string
	// key is the newest key that a control was asked to accept.
	key           int
	withdrawals   []withdrawal // in the order of their versions
	withdrawnSent int          // requests with keys that were surely withdrawn
}

// withdrawal is an accepted version that has no key older than oldest.
type withdrawal struct {
	oldest  int
	version uint64
	at      time.Time
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
	s.eventually("first version in force", func() error { return s.accept(0) })
	s.eventually("first version on all nodes", s.converged)
	for i := range callers {
		s.g.Go(func() { s.sendRequests(i) })
	}
	for i := range excessCallers {
		s.g.Go(func() { s.sendExcess(i) })
	}
	s.g.Go(s.acceptVersions)
	for i := range f.nodes {
		s.g.Go(func() { s.sendKeys(i) })
		s.g.Go(func() { s.watchVersion(i) })
	}
	s.g.Go(func() { s.leaveAndReturn(rand.New(rand.NewPCG(seed, 11))) })
	s.injectFaults()
	s.eventually("newest version on all nodes", s.converged)
	close(s.stop)
	s.g.Wait()
	for _, b := range f.ledger.Violations(func(id string) bool { return strings.HasPrefix(id, "once") }) {
		t.Error(b)
	}
	most, limit := f.ledger.Largest(limitedAccount, limitWindow), limitRate*limitWindow.Seconds()+limitBurst
	if float64(most) > limit*(1+limitShare)+limitRequests {
		t.Errorf("%d requests of an account with a limit within %s, want at most %v", most, limitWindow, limit*(1+limitShare)+limitRequests)
	}
	a := f.ledger.Answers()
	t.Logf("seed %d: version %d, %d requests with withdrawn keys, at most %d limited requests within %s, answers %v, faults %v, departures %v",
		seed, s.newest(), s.withdrawnSent, most, limitWindow, a, s.events, s.departures)
	if a["200 "] == 0 {
		t.Error("no request was served")
	}
	if t.Failed() {
		s.keepLogs(seed)
	}
}

// keepLogs copies the logs of a failed run out of its temporary folder.
func (s *soak) keepLogs(seed uint64) {
	to := filepath.Join(os.TempDir(), fmt.Sprint("gooseberrypick-soak-failed-", seed))
	if err := os.CopyFS(to, os.DirFS(s.folder)); err != nil {
		s.t.Logf("logs not kept: %v", err)
		return
	}
	s.t.Logf("logs are in %s", to)
}

func (s *soak) eventually(what string, f func() error) {
	s.t.Helper()
	var err error
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
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

// accept accepts a new version through one of the controls.
func (s *soak) accept(n int) error {
	o := slices.Concat(s.operators[n%controls:], s.operators[:n%controls])
	c, err := operator.NewClient(operator.ClientConfig{Control: o, Timeout: time.Second})
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	file := configuration(n)
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
	s.withdrawals = append(s.withdrawals, withdrawal{n - 1, v.Version, time.Now()})
	return nil
}

// configuration returns the nth version. It has keys n-1 and n of the rotating account.
func configuration(n int) string {
	account := func(name string, rate, burst int, keys ...string) string {
		var l []string
		for _, k := range keys {
			l = append(l, fmt.Sprintf(`"%x"`, sha256.Sum256([]byte(k))))
		}
		return fmt.Sprintf(`{"Name": %q, "KeyHashes": [%s], "RatePerSecond": %d, "Burst": %d}`, name, strings.Join(l, ", "), rate, burst)
	}
	return fmt.Sprintf(`{"Customer": "c",
		"Accounts": [%s, %s, %s],
		"Services": [{"Name": "work", "Slots": %d, "Connections": %d}],
		"Ranks": [{"Name": "r", "Order": 1, "Target": "500ms", "Worth": 1, "Floor": 0}],
		"Routes": [{"Host": "h", "Method": "GET", "Path": "/read", "Service": "work", "Rank": "r", "Deadline": "%dms", "Execution": "Idempotent"},
			{"Host": "h", "Method": "GET", "Path": "/public", "Service": "work", "Rank": "r", "Deadline": "1s", "Execution": "Idempotent", "Public": true},
			{"Host": "h", "Method": "POST", "Path": "/once", "Service": "work", "Rank": "r", "Deadline": "2s", "Execution": "Once"}]}`,
		account(steadyAccount, 0, 0, steadyKey), account(limitedAccount, limitRate, limitBurst, limitedKey),
		account(rotatingAccount, 0, 0, rotatingKey(n-1), rotatingKey(n)), slots, 2*slots, 1000+n)
}

// acceptVersions accepts versions until the run ends. A failed accept is not retried.
func (s *soak) acceptVersions() {
	for n := 1; s.pause(300 * time.Millisecond); n++ {
		s.mu.Lock()
		s.key = n
		s.mu.Unlock()
		if err := s.accept(n); err != nil && errkind.Of(err) == errkind.Corrupt {
			s.t.Error(err)
		}
	}
}

// leaveAndReturn lets upstreams leave, one at a time, while their late announcements still
// arrive, and start again. It ends with a whole turn.
func (s *soak) leaveAndReturn(r *rand.Rand) {
	for s.pause(time.Duration(r.IntN(1000)) * time.Millisecond) {
		u := s.upstreams[r.IntN(len(s.upstreams))]
		acknowledged := u.Leave(r.IntN(2) == 0)
		s.mu.Lock()
		s.departures = append(s.departures, fmt.Sprintf("%s acknowledged %t", u.name, acknowledged))
		s.mu.Unlock()
		for end := time.Now().Add(drainTimeout + 2*time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(200+r.IntN(1000)) * time.Millisecond)
			u.AnnounceLate()
		}
		u.Start()
	}
}

// pause waits for d and returns true, or false as soon as the run ends.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// converged returns an error unless all nodes have the newest accepted version.
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

// watchVersion checks that a process never returns to an older version.
func (s *soak) watchVersion(i int) {
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

// request is one request of a caller.
type request struct {
	id, method, path string
	body             []byte
	node             int
	key, account     string
}

// send sends a request once and records it and its response. It cancels the resending
// by the HTTP client after a closed connection: a response to that says nothing about
// the first request.
func (s *soak) send(c *http.Client, r request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conns := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if conns++; conns > 1 {
			cancel()
		}
	}})
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.callers[r.node]+r.path, bytes.NewReader(r.body))
	if err != nil {
		s.t.Error(err)
		return
	}
	q.Host = "h"
	q.Header.Set("Gooseberrypick-Request-Id", r.id)
	q.Header.Set(dialect.HeaderAccount, "forged")
	if r.key != "" {
		q.Header.Set(dialect.HeaderKey, r.key)
	}
	s.ledger.RecordSending(r.id, r.account)
	status, execution, answer := 0, "", ""
	if a, err := c.Do(q); err == nil {
		b, e := io.ReadAll(a.Body)
		a.Body.Close()
		if e == nil && conns == 1 {
			status, execution, answer = a.StatusCode, a.Header.Get("Gooseberrypick-Execution"), string(b)
		}
	}
	s.ledger.RecordResponse(r.id, r.path, r.body, status, execution, answer)
}

// newCaller returns a client that reuses connections as long as they work.
func newCaller() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// sendRequests sends requests of an account without a limit, and some without a key.
func (s *soak) sendRequests(i int) {
	c := newCaller()
	defer c.CloseIdleConnections()
	large := bytes.Repeat([]byte("x"), largeBytes)
	for n := 0; s.pause(10 * time.Millisecond); n++ {
		r := request{method: http.MethodGet, path: "/read", node: (i + n/7) % nodes, key: steadyKey, account: steadyAccount}
		kind := "read"
		switch {
		case n%2 == 0:
			kind, r.method, r.path, r.body = "once", http.MethodPost, "/once", fmt.Append(nil, "body ", n)
			if n%20 == 0 {
				r.body = large
			}
		case n%15 == 0:
			kind, r.path, r.key, r.account = "public", "/public", "", ""
		}
		r.id = fmt.Sprint(kind, "-", i, "-", n)
		s.send(c, r)
	}
}

// sendExcess sends far more requests to a node than the limit of the account allows,
// with pauses in which the token buckets fill.
func (s *soak) sendExcess(i int) {
	c := newCaller()
	defer c.CloseIdleConnections()
	start := time.Now()
	for n := 0; s.pause(20 * time.Millisecond); n++ {
		if time.Since(start)%(excessPause+limitWindow) < excessPause {
			continue
		}
		s.send(c, request{id: fmt.Sprint("excess-", i, "-", n), method: http.MethodGet, path: "/read", node: i % nodes, key: limitedKey, account: limitedAccount})
	}
}

// sendKeys sends requests with keys that accepted versions add and withdraw, with
// unknown keys and without a key to a node, over connections that stay open.
func (s *soak) sendKeys(i int) {
	c := newCaller()
	defer c.CloseIdleConnections()
	for n := 0; s.pause(20 * time.Millisecond); n++ {
		r := request{id: fmt.Sprint("key-", i, "-", n), method: http.MethodGet, path: "/read", node: i}
		if n%4 == 0 {
			if n%8 == 0 {
				r.key = keyPrefix + "unknown"
			}
			s.ledger.Forbid(r.id, "it had no key of any version")
			s.send(c, r)
			continue
		}
		// Of the last keys, the first is the newest and most of the others are withdrawn.
		k := s.newestKey() - n%4*(n%5)
		r.key, r.account = rotatingKey(k), rotatingAccount
		w, withdrawn := s.withdrawal(k)
		process := s.nodes[i].Started()
		v, err := s.Version(i)
		sent := time.Now()
		s.send(c, r)
		if withdrawn && err == nil && v >= w.version && sent.Sub(w.at) > withdrawalTimeout && s.nodes[i].Started() == process {
			s.mu.Lock()
			s.withdrawnSent++
			s.mu.Unlock()
			s.ledger.Forbid(r.id, fmt.Sprintf("%s was at version %d, and version %d without its key was accepted %s before", s.nodes[i].Name, v, w.version, sent.Sub(w.at)))
		}
	}
}

// newestKey returns the number of the newest key of the rotating account.
func (s *soak) newestKey() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
}

// withdrawal returns the first accepted version without a key that had been in one.
func (s *soak) withdrawal(k int) (withdrawal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.withdrawals {
		if k < w.oldest {
			return w, true
		}
	}
	return withdrawal{}, false
}

// injectFaults injects overlapping faults and returns when all of them have ended.
func (s *soak) injectFaults() {
	var g sync.WaitGroup
	var control sync.Mutex // one control at a time: three members tolerate one failure
	for end := time.Now().Add(*faults); time.Now().Before(end); time.Sleep(time.Duration(s.r.IntN(600)) * time.Millisecond) {
		d := time.Duration(200+s.r.IntN(2500)) * time.Millisecond
		if s.r.IntN(2) == 0 {
			w, f := s.proxies[s.r.IntN(len(s.proxies))], Fault(1+s.r.IntN(4))
			s.events = append(s.events, fmt.Sprintf("proxy to %s fault %d for %s", w.target, f, d))
			g.Go(func() { injectProxyFault(w, f, d) })
			continue
		}
		k := s.r.IntN(5)
		if s.r.IntN(3) == 0 {
			p := s.controls[s.r.IntN(len(s.controls))]
			if control.TryLock() {
				s.events = append(s.events, fmt.Sprintf("%s fault %d for %s", p.Name, k, d))
				g.Go(func() { defer control.Unlock(); s.injectProcessFault(p, k, d); time.Sleep(time.Second) })
			}
			continue
		}
		p := s.nodes[s.r.IntN(len(s.nodes))]
		s.events = append(s.events, fmt.Sprintf("%s fault %d for %s", p.Name, k, d))
		g.Go(func() { s.injectProcessFault(p, min(k, 3), d) })
	}
	g.Wait()
}

func injectProxyFault(w *Proxy, f Fault, d time.Duration) {
	if f > OneWay {
		w.Reset()
		return
	}
	w.SetFault(f)
	time.Sleep(d)
	w.SetFault(Healthy)
}

// injectProcessFault pauses, stops or kills a process, or kills it and removes its
// data. Faults of the same process run one after the other.
func (s *soak) injectProcessFault(p *Process, k int, d time.Duration) {
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

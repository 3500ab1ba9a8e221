package idempotency_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberrypick/gooseberrypick/internal/claims"
	"github.com/gooseberrypick/gooseberrypick/internal/idempotency"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// A fixed seed gives the same result on every run.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "30")
}

const (
	controls     = 3
	callers      = 6
	faultPeriod  = 40 * time.Second
	recoveryTime = 10 * time.Minute
)

// world simulates a claim group, controls, nodes and upstreams, and the network between
// them, which loses, delays, repeats and reorders messages.
type world struct {
	mu         sync.Mutex
	random     *rand.Rand
	machine    *claims.StateMachine
	executed   map[string]string // response body by key
	blockable  map[string]bool   // keys whose claim may be held by a crashed node
	attempts   []*attempt
	violations []string

	faults      int // percentage of messages and steps that fail
	faultsEnded atomic.Bool
	leader      atomic.Int32
	services    []*claims.Service
	running     sync.WaitGroup
}

// attempt is one request of a caller.
type attempt struct {
	key     string
	node    *node
	sent    atomic.Bool
	refused bool // the caller got not-run
}

type node struct {
	*idempotency.Client
	dead atomic.Bool
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) fails() bool { return !w.faultsEnded.Load() && w.draw(100) < w.faults }

// duration returns a random time up to d. It must be drawn before a goroutine starts, so
// that a seed gives the same values on every run.
func (w *world) duration(d time.Duration) time.Duration { return time.Duration(w.draw(int(d)) + 1) }

func (w *world) delay(d time.Duration) { time.Sleep(w.duration(d)) }

func (w *world) reportViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// replica is the claim group's replica at one control.
type replica struct {
	w *world
	n int32
}

func (r replica) ReadBarrier(context.Context) error { return nil }

func (r replica) Propose(_ context.Context, command []byte) (any, error) {
	w := r.w
	if w.leader.Load() != r.n {
		return nil, errkind.New(errkind.NotLeader, "leader is %d", w.leader.Load())
	}
	w.delay(5 * time.Millisecond)
	if !w.fails() {
		return w.apply(command), nil
	}
	switch d := w.duration(20 * time.Second); w.draw(3) {
	case 0:
		return nil, errkind.New(errkind.NoQuorum, "no majority")
	case 1:
		w.running.Go(func() { time.Sleep(d); w.apply(command) })
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "leadership lost")
}

func (w *world) apply(command []byte) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Apply(1, command)
}

// transport returns the connection of n to a control.
func (w *world) transport(n *node) transport {
	return func(ctx context.Context, _ string, call func(context.Context) (any, error)) (any, error) {
		type result struct {
			a   any
			err error
		}
		answers := make(chan result, 2)
		deliver := func(d time.Duration) {
			requestDelay, responseDelay := w.duration(d), w.duration(20*time.Millisecond)
			w.running.Go(func() {
				time.Sleep(requestDelay)
				a, err := call(context.Background())
				time.Sleep(responseDelay)
				answers <- result{a, err}
			})
		}
		repeated, received := w.fails(), answers
		if repeated {
			deliver(30 * time.Second)
		}
		if !w.fails() && !n.dead.Load() {
			deliver(20 * time.Millisecond)
			if w.fails() {
				received = nil
			}
		}
		select {
		case r := <-received:
			if repeated && r.err != nil { // the repeated call can still take effect
				r.err = errkind.From(r.err).WithExecution(errkind.Unknown)
			}
			return r.a, r.err
		case <-ctx.Done():
			return nil, errkind.Wrap(ctx.Err(), errkind.Unreachable, "call control")
		}
	}
}

func (w *world) newNode() *node {
	n := &node{}
	n.Client = newClient(w.transport(n), w.duration, w.services...)
	return n
}

// execute simulates the upstream and the network to it.
func (w *world) execute(ctx context.Context, a *attempt) (*idempotency.Response, error) {
	w.delay(50 * time.Millisecond)
	body := fmt.Sprintf("%p", a)
	switch {
	case w.fails():
		return nil, errkind.New(errkind.NoUpstream, "no upstream")
	case w.fails():
		w.killNode(a)
		return nil, errkind.New(errkind.NoUpstream, "node died")
	}
	a.sent.Store(true)
	if w.fails() { // the request reaches the upstream late
		d := w.duration(10 * time.Second)
		w.running.Go(func() { time.Sleep(d); w.recordExecution(a, body) })
		<-ctx.Done()
		return nil, errkind.New(errkind.DeadlineExceeded, "no answer in time")
	}
	w.recordExecution(a, body)
	if w.fails() {
		return nil, errkind.New(errkind.UpstreamFailed, "answer lost")
	}
	if w.fails() {
		w.killNode(a)
	}
	return &idempotency.Response{Status: 200, Body: []byte(body)}, nil
}

func (w *world) killNode(a *attempt) {
	a.node.dead.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.attempts {
		w.blockable[o.key] = w.blockable[o.key] || o.node == a.node
	}
}

func (w *world) recordExecution(a *attempt, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.executed[a.key] != "" {
		w.violations = append(w.violations, "second execution of key "+a.key)
	}
	w.executed[a.key] = body
}

// call sends one request through n and checks the response.
func (w *world) call(n *node, key, digest string, limit time.Duration) (*idempotency.Response, error) {
	a := &attempt{key: key, node: n}
	w.mu.Lock()
	w.attempts = append(w.attempts, a)
	w.blockable[key] = w.blockable[key] || n.dead.Load()
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q := idempotency.Request{Customer: "pichler", Key: key, Digest: []byte(digest)}
	r, err := n.Run(ctx, q, func(ctx context.Context) (*idempotency.Response, error) { return w.execute(ctx, a) })
	if n.dead.Load() {
		return nil, errkind.New(errkind.Unreachable, "connection lost")
	}
	a.refused = err != nil && errkind.From(err).Execution == errkind.NotRun
	w.mu.Lock()
	want := w.executed[key]
	w.mu.Unlock()
	if r != nil && string(r.Body) != want {
		w.reportViolation("answer for %s: got %q, want %q", key, r.Body, want)
	}
	return r, err
}

// caller sends and resends requests through random nodes during faultPeriod, and
// replaces crashed ones.
func (w *world) caller(nodes []atomic.Pointer[node], keys int) {
	for start := time.Now(); time.Since(start) < faultPeriod; w.delay(2 * time.Second) {
		i := w.draw(len(nodes))
		if n := nodes[i].Load(); n.dead.Load() && nodes[i].CompareAndSwap(n, w.newNode()) {
			w.running.Go(func() { w.close(n) })
		}
		digest := []string{"d", "d", "d", "e"}[w.draw(4)]
		w.call(nodes[i].Load(), fmt.Sprint(w.draw(keys)), digest, 50*time.Millisecond+w.duration(3*time.Second))
	}
}

func (w *world) close(n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.Close(ctx)
}

func (w *world) run(nodes []atomic.Pointer[node], keys int) {
	for i := range nodes {
		nodes[i].Store(w.newNode())
	}
	var active sync.WaitGroup
	for range callers {
		d := w.duration(time.Second)
		active.Go(func() { time.Sleep(d); w.caller(nodes, keys) })
	}
	for start := time.Now(); time.Since(start) < faultPeriod; w.delay(5 * time.Second) {
		w.leader.Store(int32(w.draw(controls)))
	}
	active.Wait()
	w.faultsEnded.Store(true)
	time.Sleep(recoveryTime)
	w.check(keys)
	for i := range nodes {
		w.close(nodes[i].Load())
	}
	w.running.Wait()
	for _, a := range w.attempts {
		if a.refused && a.sent.Load() {
			w.reportViolation("key %s was sent although it was refused as not-run", a.key)
		}
	}
}

// check resends each key and reports keys that are blocked without reason.
func (w *world) check(keys int) {
	n := w.newNode()
	defer w.close(n)
	for i := range keys {
		key := fmt.Sprint(i)
		w.mu.Lock()
		ran, blockable := w.executed[key] != "", w.blockable[key]
		w.mu.Unlock()
		r, err := w.call(n, key, "d", 5*time.Second)
		if !ran && !blockable && (r == nil || r.Replayed) {
			w.reportViolation("key %s never ran but is blocked: %v", key, err)
		}
	}
}

// Guards that no request runs twice, that no request refused as not-run was sent, that
// no response is replayed for another request, and that released keys can be used again,
// while nodes, controls and messages fail in random order.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := &world{executed: map[string]string{}, blockable: map[string]bool{}, machine: claims.NewStateMachine()}
		w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		w.faults = rapid.IntRange(0, 30).Draw(r, "faults")
		nodes := make([]atomic.Pointer[node], rapid.IntRange(1, 4).Draw(r, "nodes"))
		keys := rapid.IntRange(1, 60).Draw(r, "keys")
		synctest.Test(t, func(*testing.T) {
			for i := range int32(controls) {
				s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{replica{w, i}}})
				defer s.Close()
				w.services = append(w.services, s)
			}
			w.run(nodes, keys)
		})
		if len(w.violations) > 0 {
			r.Fatalf("%d violations, first: %s", len(w.violations), w.violations[0])
		}
	})
}

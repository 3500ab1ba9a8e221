package idempotency_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/claims"
	"github.com/gooseberrypick/gooseberrypick/internal/idempotency"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// transport sends a call to a control, or fails.
type transport func(ctx context.Context, method string, call func(context.Context) (any, error)) (any, error)

// remoteControl is a client of a control that uses a transport.
type remoteControl struct {
	s    *claims.Service
	send transport
}

func send[Q, A any](ctx context.Context, r remoteControl, method string, f func(context.Context, *Q) (*A, error), q *Q) (*A, error) {
	a, err := r.send(ctx, method, func(ctx context.Context) (any, error) { return f(ctx, q) })
	if err != nil {
		return nil, err
	}
	return a.(*A), nil
}

func (r remoteControl) Claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return send(ctx, r, "claim", r.s.Claim, q)
}

func (r remoteControl) Complete(ctx context.Context, q *wire.CompleteRequest) (*wire.Empty, error) {
	return send(ctx, r, "complete", r.s.Complete, q)
}

func (r remoteControl) Release(ctx context.Context, q *wire.ReleaseRequest) (*wire.Empty, error) {
	return send(ctx, r, "release", r.s.Release, q)
}

func newClient(t transport, jitter func(time.Duration) time.Duration, services ...*claims.Service) *idempotency.Client {
	var c []idempotency.Control
	for _, s := range services {
		c = append(c, remoteControl{s, t})
	}
	return idempotency.New(idempotency.Config{
		Log: logr.Discard(), Jitter: jitter, Controls: func() []idempotency.Control { return c },
	})
}

// memoryLog is a replicated log that applies each command at once.
type memoryLog struct {
	mu      sync.Mutex
	machine *claims.StateMachine
}

func (l *memoryLog) ReadBarrier(context.Context) error { return nil }

func (l *memoryLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Apply(1, command), nil
}

// script holds one letter for each call of a method; the last one is repeated:
// '.' succeeds, 'r' loses the request, 'a' loses the response, 's' returns the response
// only when the call's context ends, 'n' is not the leader, 'f' is full.
type script map[string]string

func (s script) next(method string) byte {
	letter := (s[method] + ".")[0]
	if len(s[method]) > 1 {
		s[method] = s[method][1:]
	}
	return letter
}

func runStep(ctx context.Context, letter byte, call func(context.Context) (any, error)) (any, error) {
	switch letter {
	case 'n':
		return nil, errkind.New(errkind.NotLeader, "leader is not known")
	case 'f':
		return nil, errkind.New(errkind.QueueFull, "claim group is full")
	case '.':
		return call(ctx)
	}
	var a any
	if letter != 'r' {
		a, _ = call(ctx)
	}
	<-ctx.Done()
	if letter == 's' {
		return a, nil
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.Unreachable, "call control")
}

// describe formats a response as its body, marked if replayed, and an error as its kind
// and execution.
func describe(r *idempotency.Response, err error) string {
	if err != nil {
		e := errkind.From(err)
		return string(e.Kind) + " " + string(e.Execution)
	}
	s := string(r.Body)
	if r.Header.Get(idempotency.ReplayedHeader) == "true" {
		s += " replayed"
	}
	return s
}

type runCase struct {
	control script
	body    string // of the upstream's response
	err     error  // of the first execution
	cancel  bool   // the caller cancels before the claim is answered
	want    string // response to the first request
	runs    int    // executions by the first request
	resend  string // response to an immediate resend
	later   string // response to a resend after ten minutes
}

// Guards against a second execution, a wrong not-run, and a key that is blocked although
// its request never ran. Each case loses a message of the sequence or ends it early.
func TestRun(t *testing.T) {
	notRun := errkind.New(errkind.NoUpstream, "no upstream")
	failed := errkind.New(errkind.UpstreamFailed, "connection reset")
	large := strings.Repeat("x", wire.MaxOutcomeBody+1)
	for name, c := range map[string]runCase{
		"no fault":                      {want: "ok", runs: 1, resend: "ok replayed", later: "ok replayed"},
		"claim lost":                    {control: script{"claim": "r."}, want: "ok", runs: 1, resend: "ok replayed", later: "ok replayed"},
		"answer to claim lost":          {control: script{"claim": "a."}, want: "ok", runs: 1, resend: "ok replayed", later: "ok replayed"},
		"leader changes":                {control: script{"claim": "nna.", "complete": "n."}, want: "ok", runs: 1, resend: "ok replayed", later: "ok replayed"},
		"all answers to the claim lost": {control: script{"claim": "aaaaaaaaa."}, want: "NoQuorum not-run", resend: "ok", later: "ok replayed"},
		"claim never answered":          {control: script{"claim": "n"}, want: "NoQuorum not-run", resend: "NoQuorum not-run", later: "NoQuorum not-run"},
		"group full":                    {control: script{"claim": "f."}, want: "QueueFull not-run", resend: "ok", later: "ok replayed"},
		"caller leaves":                 {control: script{"claim": "a."}, cancel: true, want: "Canceled not-run", resend: "ok", later: "ok replayed"},
		"claim granted too late":        {control: script{"claim": "s."}, cancel: true, want: "Canceled not-run", resend: "ok", later: "ok replayed"},
		"proven not-run":                {err: notRun, want: "NoUpstream not-run", resend: "ok", later: "ok replayed"},
		"release lost":                  {control: script{"release": "r."}, err: notRun, want: "NoUpstream not-run", resend: "ok", later: "ok replayed"},
		"release lost for long":         {control: script{"release": "rrrrrrrrr."}, err: notRun, want: "NoUpstream not-run", resend: "InProgress unknown", later: "ok"},
		"outcome lost":                  {control: script{"complete": "ra."}, want: "ok", runs: 1, resend: "ok replayed", later: "ok replayed"},
		"outcome lost for long":         {control: script{"complete": "rrrrrrrrr."}, want: "ok", runs: 1, resend: "InProgress unknown", later: "ok replayed"},
		"outcome lost for good":         {control: script{"complete": "r"}, want: "ok", runs: 1, resend: "InProgress unknown", later: "OutcomeUnknown unknown"},
		"upstream fails":                {err: failed, want: "UpstreamFailed unknown", runs: 1, resend: "InProgress unknown", later: "OutcomeUnknown unknown"},
		"error without a kind":          {err: context.DeadlineExceeded, want: "Internal unknown", runs: 1, resend: "InProgress unknown", later: "OutcomeUnknown unknown"},
		"body too large to be recorded": {body: large, want: large, runs: 1, resend: "AnswerNotKept unknown", later: "AnswerNotKept unknown"},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c runCase) run(t *testing.T) {
	s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{&memoryLog{machine: claims.NewStateMachine()}}})
	defer s.Close()
	var mu sync.Mutex
	k := newClient(func(ctx context.Context, method string, call func(context.Context) (any, error)) (any, error) {
		mu.Lock()
		letter := c.control.next(method)
		mu.Unlock()
		return runStep(ctx, letter, call)
	}, nil, s)
	defer func() { k.Close(t.Context()) }()
	runs, failure, body := 0, c.err, c.body
	if body == "" {
		body = "ok"
	}
	execute := func(context.Context) (*idempotency.Response, error) {
		if failure == nil || errkind.From(failure).Execution == errkind.Unknown {
			runs++
		}
		return &idempotency.Response{Status: 200, Body: []byte(body)}, failure
	}
	q := idempotency.Request{Customer: "pichler", Key: "k", Digest: idempotency.Digest("POST", "/ack", nil)}
	send := func(leaveAfter time.Duration) string {
		ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
		defer stop()
		if c.cancel {
			time.AfterFunc(leaveAfter, stop)
		}
		return describe(k.Run(ctx, q, execute))
	}
	if got := send(time.Millisecond); got != c.want || runs != c.runs {
		t.Errorf("got %.40s after %d runs, want %.40s after %d", got, runs, c.want, c.runs)
	}
	failure = nil
	time.Sleep(time.Millisecond)
	if got := send(time.Hour); got != c.resend {
		t.Errorf("resend: got %s, want %s", got, c.resend)
	}
	time.Sleep(10 * time.Minute)
	if got := send(time.Hour); got != c.later {
		t.Errorf("resend later: got %s, want %s", got, c.later)
	}
	if runs > 1 {
		t.Errorf("got %d executions, want at most 1", runs)
	}
}

// Guards that the digest separates its parts: otherwise the response to another request
// could be replayed.
func TestDigestSeparatesParts(t *testing.T) {
	a, b := idempotency.Digest("POST", "/a", []byte("b")), idempotency.Digest("POST", "/ab", nil)
	if bytes.Equal(a, b) {
		t.Errorf("got %x for both requests", a)
	}
}

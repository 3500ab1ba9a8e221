package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// countingLimits admits up to left requests.
type countingLimits struct{ left, refunds int }

func (l *countingLimits) Admit(context.Context, time.Time, table.Match) error {
	if l.left == 0 {
		return &call.LoadError{Err: errkind.New(errkind.LimitExceeded, "limit"), After: 1700 * time.Millisecond}
	}
	l.left--
	return nil
}

func (l *countingLimits) Refund(table.Match, time.Duration) { l.refunds++ }

// failingRouter fails with err.
type failingRouter struct{ err error }

func (r *failingRouter) Route(context.Context, table.Match, *call.Request) (*call.Response, error) {
	return nil, r.err
}

// Guards against requests over the limit that are passed on or read, a status that does not
// promise that they have not run, and admissions that are lost with refused requests or
// given back after requests that may have run.
func TestAccountLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := customer.Account{Name: "big", Keys: []customer.KeyDigest{customer.DigestKey("k1")}, RatePerSecond: 5, Burst: 5}
		c := customer.NewConfig("pichler").WithService(customer.Service{Name: "levels"}).WithAccount(a).
			WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second}).
			WithRoute(customer.Route{Host: "h", Method: "POST", Path: "/", Service: "levels", Rank: "urgent", Deadline: time.Minute, Execution: customer.Once, KeyRequired: true})
		b, err := table.New(1, map[string]*customer.Config{"pichler": c})
		if err != nil {
			t.Fatal(err)
		}
		l, r := &countingLimits{left: 2}, &failingRouter{err: errkind.New(errkind.QueueFull, "full")}
		n := standin.NewNetwork()
		h := New(Config{Table: func() *table.Table { return b }, Router: r, Limits: l, Log: logr.Discard()})
		s := NewServer(h)
		k, _ := n.Listen("node:1")
		done := make(chan error)
		go func() { done <- s.Serve(NewListener(k, 10, h)) }()
		defer func() { s.Close(); <-done }()
		send := func(request string) *http.Response {
			t.Helper()
			x, err := n.Dial(t.Context(), "node:1")
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			io.WriteString(x, request)
			a, err := http.ReadResponse(bufio.NewReader(x), nil)
			if err != nil {
				t.Fatal(err)
			}
			return a
		}
		const whole = "POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Key: k1\r\nContent-Length: 2\r\n\r\nhi"
		assertStatus(t, "without a key", send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi").StatusCode, http.StatusUnauthorized)
		assertCounts(t, "after a refusal before the check", l, 2, 0)
		assertStatus(t, "refused, has not run", send(whole).StatusCode, http.StatusServiceUnavailable)
		assertCounts(t, "after a request that has not run", l, 1, 1)
		r.err = errkind.New(errkind.UpstreamFailed, "broken")
		assertStatus(t, "may have run", send(whole).StatusCode, http.StatusBadGateway)
		assertCounts(t, "after a request that may have run", l, 0, 1)
		// The body of this one never arrives.
		x := send("POST / HTTP/1.1\r\nHost: h\r\nGooseberrypick-Key: k1\r\nContent-Length: 200000\r\n\r\n")
		assertStatus(t, "over the limit", x.StatusCode, http.StatusTooManyRequests)
		assertCounts(t, "after a request over the limit", l, 0, 1)
		for name, want := range map[string]string{"Retry-After": "2", HeaderExecution: string(errkind.NotRun)} {
			if got := x.Header.Get(name); got != want {
				t.Errorf("%s: got %q, want %q", name, got, want)
			}
		}
	})
}

func assertCounts(t *testing.T, what string, l *countingLimits, left, refunds int) {
	t.Helper()
	if l.left != left || l.refunds != refunds {
		t.Errorf("%s: got %d left, %d refunded; want %d and %d", what, l.left, l.refunds, left, refunds)
	}
}

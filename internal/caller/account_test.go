package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// recordingRouter records the requests that are passed on.
type recordingRouter struct{ requests []wire.RequestHead }

func (r *recordingRouter) Route(_ context.Context, _ table.Match, q *call.Request) (*call.Response, error) {
	r.requests = append(r.requests, q.RequestHead)
	return &call.Response{
		Head:    wire.ResponseHead{RequestID: q.RequestID, Status: 200, ContentLength: 2},
		Body:    io.NopCloser(strings.NewReader("ok")),
		Trailer: func() map[string][]string { return nil },
	}, nil
}

// accountTable returns a table with one route that needs a key of the account "big".
func accountTable(t *testing.T, version uint64, keys ...string) *table.Table {
	a := customer.Account{Name: "big"}
	for _, k := range keys {
		a.Keys = append(a.Keys, customer.DigestKey(k))
	}
	c := customer.NewConfig("pichler").WithService(customer.Service{Name: "levels"}).WithAccount(a).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second}).
		WithRoute(customer.Route{Host: "h", Method: "POST", Path: "/", Service: "levels", Rank: "urgent", Deadline: time.Minute, Execution: customer.Once, KeyRequired: true})
	b, err := table.New(version, map[string]*customer.Config{"pichler": c})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against requests that run without a valid key, also on a connection that was
// opened while the key was valid, and against a key that is passed on.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := standin.NewNetwork(), &recordingRouter{}
		b := accountTable(t, 1, "k1")
		h := New(Config{Table: func() *table.Table { return b }, Router: r, Log: logr.Discard()})
		s := NewServer(h)
		l, _ := n.Listen("node:1")
		done := make(chan error)
		go func() { done <- s.Serve(NewListener(l, 1, h)) }()
		t.Cleanup(func() { s.Close(); <-done })
		c, err := n.Dial(t.Context(), "node:1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		in := bufio.NewReader(c)
		send := func(header string) int {
			io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"+header+"\r\nhi")
			a, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			return a.StatusCode
		}
		assertStatus(t, "valid key", send("Gooseberrypick-Key: k1\r\nGooseberrypick-Account: forged\r\n"), http.StatusOK)
		assertStatus(t, "no key", send(""), http.StatusUnauthorized)
		assertStatus(t, "unknown key", send("Gooseberrypick-Key: k2\r\n"), http.StatusUnauthorized)
		assertStatus(t, "two keys", send("Gooseberrypick-Key: k1\r\nGooseberrypick-Key: k1\r\n"), http.StatusUnauthorized)
		synctest.Wait() // until the node has looked at its table after the last response
		b = accountTable(t, 2)
		assertStatus(t, "withdrawn key", send("Gooseberrypick-Key: k1\r\n"), http.StatusUnauthorized)
		synctest.Wait()
		b = table.Empty
		assertStatus(t, "no configuration", send("Gooseberrypick-Key: k1\r\n"), http.StatusServiceUnavailable)
		if len(r.requests) != 1 {
			t.Fatalf("got %d requests passed on, want 1", len(r.requests))
		}
		q := r.requests[0]
		if q.Account != "big" || q.Caller != "big" {
			t.Errorf("got account %q, flow %q; want big", q.Account, q.Caller)
		}
		for k, v := range q.Header {
			if k == "Gooseberrypick-Key" || k == "Gooseberrypick-Account" {
				t.Errorf("%s: %s was passed on", k, v)
			}
		}
	})
}

func assertStatus(t *testing.T, name string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got status %d, want %d", name, got, want)
	}
}

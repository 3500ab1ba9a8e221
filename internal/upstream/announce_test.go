package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
)

// states is a Subscriber that holds the state of each announced upstream.
type states map[string]wire.UpstreamState

func (s states) Set(l []Announced) {
	clear(s)
	for _, a := range l {
		s[a.Name] = a.State
	}
}

func (s states) WaitIdle(context.Context, string) {}

// recorder is an HTTP transport to the API that keeps the requests, so that a test can
// deliver them again.
type recorder struct {
	h    http.Handler
	sent []*http.Request
	body [][]byte
}

func (r *recorder) RoundTrip(q *http.Request) (*http.Response, error) {
	var b bytes.Buffer
	if _, err := b.ReadFrom(q.Body); err != nil {
		return nil, err
	}
	r.sent, r.body = append(r.sent, q), append(r.body, b.Bytes())
	return r.deliver(len(r.sent) - 1), nil
}

// deliver delivers a request, for the first time or once more.
func (r *recorder) deliver(i int) *http.Response {
	w := httptest.NewRecorder()
	r.h.ServeHTTP(w, httptest.NewRequest(r.sent[i].Method, r.sent[i].URL.RequestURI(), bytes.NewReader(r.body[i])))
	return w.Result()
}

func newRecorder(s states) *recorder {
	return &recorder{h: NewAnnouncements(logr.Discard(), s).Handler()}
}

func (r *recorder) announcer(name string) *announce.Announcer {
	return announce.New(announce.Config{
		Node: "node", Name: name, Service: "levels", Address: "10.0.0.1:80", Slots: 4, Connections: 4,
		Client: &http.Client{Transport: r},
	})
}

func wantState(t *testing.T, when string, s states, name string, want wire.UpstreamState) {
	t.Helper()
	if got := s[name]; got != want {
		t.Errorf("%s: got state %q of %s, want %q", when, got, name, want)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against an upstream that announces itself by the package announce, has left, and
// is announced again by its own late announcement; and against a late withdrawal that ends
// a new start.
func TestLateMessagesOfAnnouncers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := states{}
		r := newRecorder(s)
		announceOnce := func(a *announce.Announcer) {
			t.Helper()
			_, err := a.Announce(t.Context())
			must(t, err)
		}
		first := r.announcer("u")
		announceOnce(first)
		must(t, first.Leave(t.Context()))
		r.deliver(0)
		wantState(t, "late announcement after Leave", s, "u", wire.Leaving)
		must(t, first.Withdraw(t.Context()))
		withdrawal := len(r.sent) - 1
		r.deliver(0)
		wantState(t, "late announcement after the withdrawal", s, "u", "")
		if _, err := first.Announce(t.Context()); err == nil || !strings.Contains(err.Error(), "withdrawn") {
			t.Errorf("Announce after Withdraw: got error %v, want one that says so", err)
		}
		time.Sleep(time.Second)
		second := r.announcer("u")
		announceOnce(second)
		wantState(t, "new start", s, "u", wire.Serving)
		r.deliver(withdrawal)
		wantState(t, "late withdrawal of the earlier start", s, "u", wire.Serving)
		announceOnce(r.announcer("u2"))
		wantState(t, "another upstream at the same address", s, "u", wire.Serving)
		wantState(t, "another upstream at the same address", s, "u2", wire.Serving)
	})
}

// Guards against announcements without an order, of earlier versions of the package or by
// hand, that are refused, and against an order that cannot be read and counts as none.
func TestOrderInQuery(t *testing.T) {
	const body = `{"Service":"levels","Address":"10.0.0.1:80","Slots":4,"Connections":4,"State":"Serving"}`
	now := time.Now().UnixMilli()
	for _, c := range []struct {
		query string
		want  int
	}{
		{"", http.StatusOK},
		{fmt.Sprintf("?Incarnation=%d&Sequence=1", now), http.StatusOK},
		{fmt.Sprintf("?Incarnation=%d", now), http.StatusOK},
		{"?Incarnation=soon&Sequence=1", http.StatusBadRequest},
		{"?Incarnation=-1&Sequence=1", http.StatusBadRequest},
		{fmt.Sprintf("?Incarnation=%d&Sequence=-1", now), http.StatusBadRequest},
		{fmt.Sprintf("?Incarnation=%d&Sequence=1", now+2*time.Hour.Milliseconds()), http.StatusBadRequest},
	} {
		h := newRecorder(states{}).h
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("PUT", "/v1/upstreams/u"+c.query, strings.NewReader(body)))
		if w.Code != c.want {
			t.Errorf("PUT %q: got status %d (%s), want %d", c.query, w.Code, w.Body, c.want)
		}
	}
	s := states{}
	h := newRecorder(s).h
	for _, m := range []string{"PUT", "PUT", "DELETE", "PUT"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(m, "/v1/upstreams/u", strings.NewReader(body)))
		if !slices.Contains([]int{http.StatusOK, http.StatusNoContent}, w.Code) {
			t.Errorf("%s without an order: got status %d", m, w.Code)
		}
	}
	wantState(t, "announced again without an order", s, "u", wire.Serving)
}

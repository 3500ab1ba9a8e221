package caller

import (
	"context"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// matchRouter records the route of each request, and the path that the upstream gets.
type matchRouter struct{ route, sent string }

func (r *matchRouter) Route(_ context.Context, m table.Match, q *call.Request) (*call.Response, error) {
	r.route, r.sent = m.Route.Path, q.Path
	return nil, errkind.New(errkind.NoUpstream, "no upstream")
}

func (r *matchRouter) Run(ctx context.Context, m table.Match, _ string, q *call.Request) (*call.Response, error) {
	return r.Route(ctx, m, q)
}

// Guards against a request that is matched to the route of another path, because an
// encoded slash was taken for a slash: work that must run once was sent a second time.
func TestRouteOfEncodedPath(t *testing.T) {
	k := customer.NewConfig("pichler").
		WithService(customer.Service{Name: "swaps", Slots: 1, Connections: 1}).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second})
	for path, x := range map[string]customer.Execution{
		"/swap/": customer.Once, "/swap/search/": customer.Idempotent, "/größe/": customer.Idempotent, "/a%2Fb/": customer.Once,
	} {
		k = k.WithRoute(customer.Route{Host: "h", Method: "POST", Path: path, Service: "swaps", Rank: "urgent", Deadline: time.Minute, Execution: x})
	}
	b, err := table.New(1, map[string]*customer.Config{"pichler": k})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/swap/17":               "/swap/",
		"/swap/search/17":        "/swap/search/",
		"/swap/search%2F17":      "/swap/",
		"/swap/search%2f17":      "/swap/",
		"/swap/search%252F17":    "/swap/",
		"/swap/se%61rch/17":      "/swap/search/",
		"/swap/se%61rch%2F17/x":  "/swap/",
		"/swap/se%61rch/a%2Fb":   "/swap/search/",
		"/swap%2Fsearch/17":      "",
		"/gr%C3%B6%C3%9Fe/17":    "/größe/",
		"/gr%C3%B6%C3%9Fe/x%2Fy": "/größe/",
		"/a%2Fb/17":              "/a%2Fb/",
		"/a/b/17":                "",
		"/swap/search%2":         "malformed",
	} {
		t.Run(path, func(t *testing.T) {
			if want == "malformed" {
				if _, err := url.Parse(path); err == nil {
					t.Error("a malformed path was parsed")
				}
				return
			}
			r := &matchRouter{}
			h := New(Config{Table: func() *table.Table { return b }, Log: logr.Discard(), Router: r})
			q := httptest.NewRequest("POST", path, nil)
			q.Host = "h"
			q.Header.Set(dialect.HeaderRequestID, "id-1")
			h.ServeHTTP(httptest.NewRecorder(), q)
			if r.route != want {
				t.Errorf("got route %q, want %q", r.route, want)
			}
			if want != "" && r.sent != path {
				t.Errorf("the upstream gets path %q, want %q", r.sent, path)
			}
		})
	}
}

// Guards against a decoder that loses or adds bytes, and against an encoded slash that
// becomes a slash.
func FuzzRoutePath(f *testing.F) {
	for _, s := range []string{"/", "/a%2Fb", "/%252f", "/%25252F%2F", "/%", "/%2", "/é%c3%a9", "/%2F%2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		u, err := url.ParseRequestURI(s)
		if err != nil {
			return
		}
		p := routePath(u)
		if got, err := url.PathUnescape(p); containsEncodedSlash(u.EscapedPath()) && !containsEncodedSlash(p) {
			t.Errorf("%q: got %q (%q, %v), without its encoded slash", s, p, got, err)
		}
		if !containsEncodedSlash(u.EscapedPath()) && p != u.Path {
			t.Errorf("%q: got %q, want %q", s, p, u.Path)
		}
	})
}

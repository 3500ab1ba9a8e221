package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
)

// malformedUpstream answers /status with a status of zero and otherwise like slowUpstream.
type malformedUpstream struct{ *slowUpstream }

func (u malformedUpstream) Route(ctx context.Context, m table.Match, q *call.Request) (*call.Response, error) {
	a, err := u.slowUpstream.Route(ctx, m, q)
	if err == nil && strings.HasPrefix(q.Path, "/status") {
		a.Head.Status = 0
	}
	return a, err
}

// Guards against a malformed response that reaches the caller as a response of its own:
// a status of 000 is answered with 502, also on a pipelined connection, whose other
// requests are answered.
func TestStatusZero(t *testing.T) {
	for name, requests := range map[string][]string{
		"alone":           {"GET /status/0s"},
		"pipelined first": {"GET /status/1ms", "GET /b/0s", "GET /c/0s"},
		"pipelined later": {"GET /a/1ms", "GET /status/0s", "GET /c/0s"},
		"upload":          {"POST /status/0s"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &slowUpstream{}
				c := pipeliningConfig(t, u)
				c.Router = malformedUpstream{u}
				p := startPipelining(t, u, c)
				p.send(requests...)
				for _, r := range requests {
					_, path, _ := strings.Cut(r, " ")
					if !strings.HasPrefix(path, "/status") {
						p.wantAnswer(path)
						continue
					}
					a, err := http.ReadResponse(p.r, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, a.Body)
					if got := a.Header.Get(HeaderExecution); a.StatusCode != http.StatusBadGateway || got != "unknown" {
						t.Errorf("got status %d, execution %q, want 502, unknown", a.StatusCode, got)
					}
				}
			})
		})
	}
}

// Guards against a part of a response that an HTTP/1.0 caller takes for a complete one,
// since the close of the connection ends its responses: nothing is passed on for it, alone
// or behind another request.
func TestHTTP10CallerGetsNoResponseOfAnUpstream(t *testing.T) {
	const old = "GET /old/0s HTTP/1.0\r\nHost: h\r\n\r\n"
	for name, tt := range map[string]struct{ sent, want string }{
		"alone":     {old, ""},
		"pipelined": {"GET /a/1ms HTTP/1.1\r\nHost: h\r\n\r\n" + old, "/a/1ms"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &slowUpstream{}
				p := newPipelining(t, u, 0)
				go io.WriteString(p.c, tt.sent)
				if tt.want != "" {
					a, err := http.ReadResponse(p.r, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, a.Body)
				}
				p.wantStatus("", http.StatusBadRequest)
				if got := u.startedPaths(); got != tt.want {
					t.Errorf("started %q, want %q", got, tt.want)
				}
			})
		})
	}
}

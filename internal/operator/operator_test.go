package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// backend answers accepts with a function and counts them.
type backend struct {
	operator.Backend
	accept  func(author string, r operator.AcceptRequest) (operator.Accepted, error)
	status  operator.Status
	accepts int
}

func (b *backend) Accept(_ context.Context, author string, r operator.AcceptRequest) (operator.Accepted, error) {
	b.accepts++
	if b.accept == nil {
		return operator.Accepted{Customer: author}, nil
	}
	return b.accept(author, r)
}

func (b *backend) Status(context.Context) (operator.Status, error) { return b.status, nil }

func newHandler(t *testing.T, b operator.Backend, o ...operator.Operator) http.Handler {
	t.Helper()
	h, err := operator.NewHandler(operator.HandlerConfig{Backend: b, Operators: o, Log: logr.Discard(), MaxConcurrent: 1})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func serve(h http.Handler, remote, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = remote
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const (
	loopback = "127.0.0.1:4000"
	valid    = `{"Base":1,"RequestId":"r1","FileName":"f","File":"{}"}`
)

// A request must pass only with an operator's token, or from loopback if there are
// no operators, and must be recorded under the right author. Otherwise anybody on
// the network could change the mesh, and the wrong operator would be blamed.
func TestAuthorization(t *testing.T) {
	hash := sha256.Sum256([]byte("secret"))
	operators := []operator.Operator{
		{Name: "anna", TokenHash: hex.EncodeToString(hash[:])},
		{Name: "ben", TokenHash: strings.Repeat("00", 32)},
	}
	for name, tc := range map[string]struct {
		operators  []operator.Operator
		remote     string
		header     []string
		wantAuthor string
	}{
		"token":                        {operators, "10.0.0.9:1", []string{"Authorization", "Bearer secret"}, "anna"},
		"no token":                     {operators, loopback, nil, ""},
		"wrong token":                  {operators, loopback, []string{"Authorization", "Bearer secre"}, ""},
		"hash as token":                {operators, loopback, []string{"Authorization", "Bearer " + operators[0].TokenHash}, ""},
		"other scheme":                 {operators, loopback, []string{"Authorization", "Basic secret"}, ""},
		"loopback without operators":   {nil, loopback, []string{"Author", "mallory"}, "loopback"},
		"IPv6 loopback":                {nil, "[::1]:4000", nil, "loopback"},
		"other without operators":      {nil, "10.0.0.9:1", []string{"X-Forwarded-For", "127.0.0.1"}, ""},
		"no address without operators": {nil, "", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := &backend{}
			w := serve(newHandler(t, b, tc.operators...), tc.remote, "POST", "/v1/accept", valid, tc.header...)
			var got operator.Accepted
			_ = json.Unmarshal(w.Body.Bytes(), &got)
			wantStatus := http.StatusOK
			if tc.wantAuthor == "" {
				wantStatus = http.StatusUnauthorized
			}
			if w.Code != wantStatus || got.Customer != tc.wantAuthor || (b.accepts == 1) != (tc.wantAuthor != "") {
				t.Errorf("got %d %q, want %d %q", w.Code, w.Body, wantStatus, tc.wantAuthor)
			}
		})
	}
	if _, err := operator.NewHandler(operator.HandlerConfig{Operators: []operator.Operator{{Name: "anna", TokenHash: "secret"}}}); err == nil {
		t.Error("an operator with a plain token was taken")
	}
}

// Malformed and oversized requests must be refused before they reach the backend.
// A misread request could change a customer in an unintended way; an unbounded one
// could exhaust the control's memory.
func TestRequestChecks(t *testing.T) {
	large := `{"Base":1,"RequestId":"r1","FileName":"f","File":"` + strings.Repeat("x", operator.MaxBodyBytes) + `"}`
	for name, tc := range map[string]struct {
		method, path, body string
		header             []string
		want               errkind.Kind
	}{
		"method":             {"GET", "/v1/accept", "", nil, errkind.BadRequest},
		"read by POST":       {"POST", "/v1/status", valid, nil, errkind.BadRequest},
		"path":               {"GET", "/v2/status", "", nil, errkind.NotFound},
		"content type":       {"POST", "/v1/accept", valid, []string{"Content-Type", "text/plain"}, errkind.BadRequest},
		"body too large":     {"POST", "/v1/accept", large, nil, errkind.TooLarge},
		"unknown key":        {"POST", "/v1/accept", strings.Replace(valid, "Base", "Bas", 1), nil, errkind.BadRequest},
		"second value":       {"POST", "/v1/accept", valid + valid, nil, errkind.BadRequest},
		"not UTF-8":          {"POST", "/v1/accept", strings.Replace(valid, "{}", "\xff", 1), nil, errkind.BadRequest},
		"no request ID":      {"POST", "/v1/accept", `{"Base":1,"File":"{}"}`, nil, errkind.BadRequest},
		"no file":            {"POST", "/v1/plan", `{"FileName":"f"}`, nil, errkind.BadRequest},
		"no node to forget":  {"POST", "/v1/forget", `{}`, nil, errkind.BadRequest},
		"many to forget":     {"POST", "/v1/forget", `{"Nodes":["n"` + strings.Repeat(`,"n"`, operator.MaxForget) + `]}`, nil, errkind.BadRequest},
		"negative base":      {"POST", "/v1/accept", strings.Replace(valid, "1", "-1", 1), nil, errkind.BadRequest},
		"version zero":       {"GET", "/v1/versions/0", "", nil, errkind.BadRequest},
		"history limit":      {"GET", "/v1/history?Limit=1001", "", nil, errkind.BadRequest},
		"unknown query key":  {"GET", "/v1/history?limit=1", "", nil, errkind.BadRequest},
		"customer of number": {"GET", "/v1/versions/1?Customer=p", "", nil, errkind.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			b := &backend{}
			w := serve(newHandler(t, b), loopback, tc.method, tc.path, tc.body, append(tc.header, operator.HeaderRequestID, "id")...)
			var got operator.Fault
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if got.Kind != string(tc.want) || w.Code != tc.want.Answer().HTTPStatus || got.Reason == "" || got.RequestID != "id" {
				t.Errorf("got %d %+v, want %s", w.Code, got, tc.want)
			}
			if h := w.Header().Get(operator.HeaderExecution); got.Execution != "not-run" || h != "not-run" || b.accepts != 0 {
				t.Errorf("got execution %q, header %q and %d accepts, want not-run", got.Execution, h, b.accepts)
			}
		})
	}
}

// Requests beyond the concurrency limit must be refused: without a limit, slow
// requests would accumulate in the control.
func TestConcurrentRequestsAreBounded(t *testing.T) {
	entered, release, done := make(chan bool), make(chan bool), make(chan int)
	b := &backend{accept: func(string, operator.AcceptRequest) (operator.Accepted, error) {
		entered <- true
		<-release
		return operator.Accepted{}, nil
	}}
	h := newHandler(t, b)
	go func() { done <- serve(h, loopback, "POST", "/v1/accept", valid).Code }()
	<-entered
	w := serve(h, loopback, "GET", "/v1/status", "")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" || !strings.Contains(w.Body.String(), `"QueueFull"`) {
		t.Errorf("got %d %v %s, want QueueFull", w.Code, w.Header(), w.Body)
	}
	release <- true
	if got, want := <-done, http.StatusOK; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	if got, want := serve(h, loopback, "GET", "/v1/status", "").Code, http.StatusOK; got != want {
		t.Errorf("after release: got %d, want %d", got, want)
	}
}

// pipeListener is a listener of in-memory connections: synctest cannot wait for
// network connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type loopbackConn struct{ net.Conn }

func (loopbackConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 4000}
}

// newClient returns a client of stand-in controls whose behavior is given by the
// comma-separated names.
func newClient(t *testing.T, names string) *operator.Client {
	t.Helper()
	config, controls := operator.ClientConfig{}, map[string]pipeListener{}
	for i, n := range strings.Split(names, ",") {
		a := fmt.Sprintf("control:%d", i)
		config.Control, controls[a] = append(config.Control, a), control(t, n)
	}
	config.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
		if controls[address] == nil {
			return nil, errors.New("connection refused")
		}
		c, s := net.Pipe()
		controls[address] <- loopbackConn{s}
		return c, nil
	}
	c, err := operator.NewClient(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// control starts a stand-in control with the named behavior.
func control(t *testing.T, name string) pipeListener {
	t.Helper()
	if name == "down" {
		return nil
	}
	b := &backend{status: operator.Status{Control: name, Current: name == "current"}}
	h, stop := newHandler(t, b), make(chan bool)
	switch name {
	case "ok":
		b.accept = func(_ string, r operator.AcceptRequest) (operator.Accepted, error) {
			return operator.Accepted{Version: 8, RequestID: r.RequestID}, nil
		}
	case "cut": // the connection ends after the request arrived
		h = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			c.Close()
		})
	case "silent":
		h = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop })
	case "other server":
		h = http.NotFoundHandler()
	case "broken answer":
		h = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{") })
	default:
		err := errkind.New(errkind.Kind(name), "%s", name)
		b.accept = func(string, operator.AcceptRequest) (operator.Accepted, error) { return operator.Accepted{}, err }
	}
	l, s := make(pipeListener), operator.NewServer(h)
	go s.Serve(l)
	t.Cleanup(func() {
		close(stop)
		close(l)
		s.Close()
	})
	return l
}

// The client must not report an accept as refused that took effect, nor one as
// accepted that did not: the operator would assume the wrong configuration.
func TestAcceptTriesControlsInTurn(t *testing.T) {
	for name, tc := range map[string]struct {
		controls  string
		kind      errkind.Kind
		execution errkind.Execution
	}{
		"first answers":               {"ok,Internal", "", ""},
		"down":                        {"down,ok", "", ""},
		"not the leader":              {"NotLeader,NoQuorum,NotCurrent,ConnectFailed,ok", "", ""},
		"answer lost, then accepted":  {"cut,ok", "", ""},
		"no answer, then accepted":    {"silent,ok", "", ""},
		"refused":                     {"Conflict,ok", errkind.Conflict, errkind.NotRun},
		"invalid":                     {"down,InvalidFile,ok", errkind.InvalidFile, errkind.NotRun},
		"all down":                    {"down,down", errkind.Unreachable, errkind.NotRun},
		"no quorum":                   {"down,NoQuorum", errkind.NoQuorum, errkind.NotRun},
		"answer lost":                 {"cut,down", errkind.OutcomeUnknown, errkind.Unknown},
		"no answer":                   {"silent,NotLeader", errkind.OutcomeUnknown, errkind.Unknown},
		"broken answer":               {"broken answer", errkind.OutcomeUnknown, errkind.Unknown},
		"other server":                {"other server", errkind.OutcomeUnknown, errkind.Unknown},
		"control does not know":       {"Internal,NoQuorum", errkind.OutcomeUnknown, errkind.Unknown},
		"answer lost, then conflict":  {"cut,Conflict", errkind.Conflict, errkind.NotRun},
		"answer lost, then key known": {"cut,KeyReused", errkind.KeyReused, errkind.NotRun},
		"answer lost, then no access": {"cut,Unauthorized", errkind.OutcomeUnknown, errkind.Unknown},
		"answer lost, then invalid":   {"cut,InvalidFile", errkind.OutcomeUnknown, errkind.Unknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			got, err := newClient(t, tc.controls).Accept(t.Context(), operator.AcceptRequest{Base: 7, RequestID: "r1", File: "{}"})
			if tc.kind == "" {
				if err != nil || got.Version != 8 || got.RequestID != "r1" {
					t.Errorf("%s: got %+v, %v, want version 8", name, got, err)
				}
				return
			}
			if e := errkind.From(err); e == nil || e.Kind != tc.kind || e.Execution != tc.execution {
				t.Errorf("%s: got %+v, want %s %s", name, e, tc.kind, tc.execution)
			}
		})
	}
}

// The status of a current control must be preferred: a control without contact to
// the majority shows an old version as the newest.
func TestStatusPrefersCurrent(t *testing.T) {
	for controls, want := range map[string]string{"old,down,current": "current", "down,old": "old", "silent,old": "old"} {
		synctest.Test(t, func(t *testing.T) {
			got, err := newClient(t, controls).Status(t.Context())
			if err != nil || got.Control != want {
				t.Errorf("%s: got %q, %v, want %q", controls, got.Control, err, want)
			}
		})
	}
}

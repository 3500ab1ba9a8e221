package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// DefaultTimeout bounds one attempt at one control. It is longer than an
	// election, so that an accept sent during one gets its answer.
	DefaultTimeout = 10 * time.Second
	// dialTimeout is short because an unreachable VM sends no reply.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes fits the status of a fleet of three times the target size.
	maxAnswerBytes = 64 << 20
)

// ClientConfig configures a client.
type ClientConfig struct {
	// Control lists the operator addresses of controls as HOST:PORT, tried in this
	// order.
	Control []string
	// Token is the bearer token. It is empty for a control without operators, which
	// serves only loopback.
	Token string
	// Authority, if set, makes the client use TLS and trust only controls whose
	// certificate was issued by one of these authorities.
	Authority *x509.CertPool
	// Timeout bounds one attempt at one control; zero means DefaultTimeout.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to the controls, trying them one after the other.
type Client struct {
	config ClientConfig
	scheme string
	http   *http.Client
}

// NewClient validates c and returns a client.
func NewClient(c ClientConfig) (*Client, error) {
	if len(c.Control) == 0 {
		return nil, errkind.New(errkind.Usage, "no control address; pass --control HOST:PORT,... or --settings FILE")
	}
	for _, a := range c.Control {
		if h, p, err := net.SplitHostPort(a); err != nil || h == "" || p == "" {
			return nil, errkind.New(errkind.Usage, "control address %q is not HOST:PORT, such as 127.0.0.1:7000", a)
		}
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	t := &http.Transport{DialContext: c.Dial, IdleConnTimeout: idleTimeout, TLSHandshakeTimeout: dialTimeout}
	scheme := "http://"
	if c.Authority != nil {
		t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: c.Authority}
		scheme = "https://"
	}
	return &Client{config: c, scheme: scheme, http: &http.Client{
		// No proxy: controls are reached by address within the mesh.
		Transport: t,
		// A redirect would carry the token to an address nobody configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Plan compares a file with the current configuration.
func (c *Client) Plan(ctx context.Context, r PlanRequest) (Plan, error) {
	return request(ctx, c, query[Plan]{path: PathPlan, body: r})
}

// Accept proposes a file. After an attempt without an answer it tries the next
// control with the same request ID, which is safe because at most one version is
// made per request ID. An error with execution unknown means that the version may
// exist or may still be made.
func (c *Client) Accept(ctx context.Context, r AcceptRequest) (Accepted, error) {
	return request(ctx, c, query[Accepted]{path: PathAccept, body: r, mutates: true, definitive: definitiveRefusals})
}

// Forget removes nodes that no longer exist from the status list. It is
// idempotent; an error with execution unknown means that they may be removed.
func (c *Client) Forget(ctx context.Context, r ForgetRequest) (Forgotten, error) {
	return request(ctx, c, query[Forgotten]{path: PathForget, body: r, mutates: true})
}

// Status returns the status of the first control that is current, or of the
// first that answers if none is.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return request(ctx, c, query[Status]{path: PathStatus, prefer: func(s Status) bool { return s.Current }})
}

// Report returns the report of the first control that is current, or of the
// first that answers if none is.
func (c *Client) Report(ctx context.Context, r ReportRequest) (Report, error) {
	path := PathReport
	if r.Customer != "" {
		path += "?" + url.Values{"Customer": {r.Customer}}.Encode()
	}
	return request(ctx, c, query[Report]{path: path, prefer: func(r Report) bool { return r.Current }})
}

// History lists versions, newest first.
func (c *Client) History(ctx context.Context, r HistoryRequest) (History, error) {
	q := url.Values{"Limit": {strconv.Itoa(r.Limit)}}
	if r.Customer != "" {
		q.Set("Customer", r.Customer)
	}
	return request(ctx, c, query[History]{path: PathHistory + "?" + q.Encode()})
}

// Version returns one version.
func (c *Client) Version(ctx context.Context, r VersionRequest) (Version, error) {
	path := PathVersions + Latest
	if r.Number != 0 {
		path = PathVersions + strconv.FormatUint(r.Number, 10)
	}
	if r.Customer != "" {
		path += "?" + url.Values{"Customer": {r.Customer}}.Encode()
	}
	return request(ctx, c, query[Version]{path: path})
}

// query is one request that can be sent to any control.
type query[T any] struct {
	path string
	// body is nil for GET.
	body any
	// mutates is set if the request changes state, so that an attempt without an
	// answer may have taken effect.
	mutates bool
	// definitive lists the kinds of refusal that hold for all attempts at this request.
	definitive []errkind.Kind
	// prefer, if set, reports whether an answer is good enough to skip the remaining
	// controls.
	prefer func(T) bool
}

// nextControlKinds are the kinds of refusal after which another control may
// succeed.
var nextControlKinds = []errkind.Kind{
	errkind.NotLeader, errkind.NoQuorum, errkind.NotCurrent, errkind.NotReady,
	errkind.Leaving, errkind.QueueFull, errkind.DiskFull, errkind.Unreachable,
	errkind.ConnectFailed, // the control could not reach the leader
}

// definitiveRefusals are the refusals of an accept by the state machine. They hold
// for every attempt with the same request ID, also for one that is still in flight.
var definitiveRefusals = []errkind.Kind{errkind.Conflict, errkind.KeyReused}

func request[T any](ctx context.Context, c *Client, q query[T]) (T, error) {
	var (
		zero     T
		fallback *T
		faults   attempts
	)
	body, err := encodeBody(q.body)
	if err != nil {
		return zero, err
	}
	for _, a := range c.config.Control {
		var answer T
		err := c.attempt(ctx, a, q.path, body, &answer)
		if err == nil && (q.prefer == nil || q.prefer(answer)) {
			return answer, nil
		}
		if err == nil {
			if fallback == nil {
				fallback = &answer
			}
			continue
		}
		final := err.Execution == errkind.NotRun && !slices.Contains(nextControlKinds, err.Kind)
		if final && (!faults.mayHaveRun || !q.mutates || slices.Contains(q.definitive, err.Kind)) {
			return zero, err
		}
		faults.add(a, err)
		if ctx.Err() != nil {
			break
		}
	}
	if fallback != nil {
		return *fallback, nil
	}
	return zero, faults.err(q.mutates)
}

func encodeBody(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // escaping would enlarge the body, whose size is limited
	if err := e.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode body")
	}
	if b.Len() > MaxBodyBytes {
		return nil, errkind.New(errkind.TooLarge, "the request takes %d bytes, at most %d are allowed; shorten the file, for example with parameters", b.Len(), MaxBodyBytes)
	}
	return b.Bytes(), nil
}

// attempt sends the request to one control.
func (c *Client) attempt(ctx context.Context, address, path string, body []byte, answer any) *errkind.Error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	// Without a connection, nothing can have been sent.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, c.scheme+address+path, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "control address %q", address)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.config.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	w, err := c.http.Do(r)
	if err != nil {
		e := unreachable(err)
		if !sent.Load() {
			e = e.WithExecution(errkind.NotRun)
		}
		return e
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes+1))
	if err != nil {
		return errkind.New(errkind.Unreachable, "the answer broke off: %v", err)
	}
	return decodeAnswer(w.StatusCode, b, answer)
}

func unreachable(err error) *errkind.Error {
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err // the caller adds the address to the error
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.New(errkind.Unreachable, "no answer in time")
	}
	return errkind.New(errkind.Unreachable, "%v", err)
}

func decodeAnswer(status int, b []byte, answer any) *errkind.Error {
	if len(b) > maxAnswerBytes {
		return errkind.New(errkind.Unreachable, "the answer exceeds %d bytes", maxAnswerBytes)
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(b, answer); err != nil {
			return errkind.New(errkind.Unreachable, "the answer is not that of a control: %v", err)
		}
		return nil
	}
	if status == http.StatusBadRequest && strings.Contains(string(b), "HTTPS server") { // written by net/http before any handler runs
		return errkind.New(errkind.Unreachable, "the control uses TLS; pass --authority FILE").WithExecution(errkind.NotRun)
	}
	var f Fault
	if err := json.Unmarshal(b, &f); err != nil || f.Kind == "" {
		return errkind.New(errkind.Unreachable, "status %d without a fault; is this the Listen address of a control?", status)
	}
	e := errkind.New(errkind.Kind(f.Kind), "%s", f.Reason).WithExecution(errkind.Unknown)
	if f.Execution == string(errkind.NotRun) {
		e = e.WithExecution(errkind.NotRun)
	}
	return e
}

// attempts collects the errors of the controls that gave no usable answer.
type attempts struct {
	lines []string
	// mayHaveRun is set when at least one attempt may have taken effect.
	mayHaveRun bool
	// refusal is the last refusal by a control that answered.
	refusal *errkind.Error
}

func (a *attempts) add(address string, e *errkind.Error) {
	a.lines = append(a.lines, fmt.Sprintf("%s: %s", address, e.Reason))
	if e.Execution != errkind.NotRun {
		a.mayHaveRun = true
	}
	if e.Kind != errkind.Unreachable {
		a.refusal = e
	}
}

func (a *attempts) err(mutates bool) error {
	l := strings.Join(a.lines, "; ")
	switch {
	case mutates && a.mayHaveRun:
		return errkind.New(errkind.OutcomeUnknown, "the outcome is unknown (%s)", l)
	case a.refusal != nil && a.refusal.Execution == errkind.NotRun:
		return errkind.New(a.refusal.Kind, "no control can answer now (%s)", l)
	}
	return errkind.New(errkind.Unreachable, "no control answered (%s)", l).WithExecution(errkind.NotRun)
}

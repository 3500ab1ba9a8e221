// Package caller serves the HTTP requests of callers: it matches the route,
// checks deadline and idempotency key, hands the request to the router and
// returns the whole answer or an error.
//
// # Usage
//
//	h := caller.New(caller.Config{Table: tables.Load, Router: r, Once: o, Log: l})
//	s := caller.NewServer(h)
//	err := s.Serve(listener)
//
// Every answer that the system makes itself carries Gooseberrypick-Execution
// and a JSON body.
package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// HeaderIdempotencyKey is required on AtMostOnce routes.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExecution states whether a request can have run.
	HeaderExecution = "Gooseberrypick-Execution"

	// AtMostOnceBodyBytes bounds bodies on AtMostOnce routes, which are kept
	// whole because their digest is part of the claim.
	AtMostOnceBodyBytes = 1 << 20
	maxKeyBytes         = 256
	maxRequestIDBytes   = 128
	maxHeaderBytes      = 64 << 10
	headerTimeout       = 10 * time.Second
	idleTimeout         = 5 * time.Minute
)

// Router carries a matched request to an upstream.
type Router interface {
	Route(ctx context.Context, m table.Match, r *call.Request) (*call.Response, error)
}

// OnceRunner runs a request at most once for its key.
type OnceRunner interface {
	Run(ctx context.Context, m table.Match, key string, r *call.Request) (*call.Response, error)
}

// Config holds what a Handler needs.
type Config struct {
	Table  func() *table.Table
	Router Router
	Once   OnceRunner
	Log    logr.Logger
	// Observe is called after each request.
	Observe func(m table.Match, status int, kind errkind.Kind, took time.Duration)
}

// Handler implements http.Handler for callers.
type Handler struct{ c Config }

// New returns a Handler.
func New(c Config) *Handler {
	if c.Observe == nil {
		c.Observe = func(table.Match, int, errkind.Kind, time.Duration) {}
	}
	return &Handler{c: c}
}

// NewServer returns an HTTP server for h that speaks HTTP/1.1 and clear-text
// HTTP/2.
func NewServer(h http.Handler) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := requestID(r)
	w.Header().Set(upstream.HeaderRequestID, id)
	t := h.c.Table()
	m, ok := t.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		h.fail(w, m, id, start, noRoute(t, r))
		return
	}
	d, err := deadline(r, m)
	if err != nil {
		h.fail(w, m, id, start, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	defer cancel()
	rc := http.NewResponseController(w)
	// An upload that stalls must not outlive the request's deadline.
	_ = rc.SetReadDeadline(start.Add(d)) // unsupported only by test writers
	q, err := newRequest(r, m, id, t.Version())
	if err != nil {
		h.fail(w, m, id, start, err)
		return
	}
	defer func() {
		if q.Stream != nil {
			// Ends a read of the body that may still go on in the background.
			_ = rc.SetReadDeadline(start)
		}
	}()
	a, err := h.run(ctx, r, m, q)
	if err != nil {
		h.fail(w, m, id, start, err)
		return
	}
	defer a.Body.Close()
	h.answer(w, m, a, id, start)
	if q.Stream == nil {
		_ = rc.SetReadDeadline(time.Time{}) // the connection serves further requests
	}
}

func (h *Handler) run(ctx context.Context, r *http.Request, m table.Match, q *call.Request) (*call.Response, error) {
	if m.Route.Execution != customer.AtMostOnce {
		return h.c.Router.Route(ctx, m, q)
	}
	k := r.Header.Get(HeaderIdempotencyKey)
	if k == "" || len(k) > maxKeyBytes {
		return nil, errkind.New(errkind.KeyRequired, "route %q runs at most once and needs an %s header of 1 to %d bytes", m.Name, HeaderIdempotencyKey, maxKeyBytes)
	}
	return h.c.Once.Run(ctx, m, k, q)
}

func noRoute(t *table.Table, r *http.Request) error {
	if t.Version() == 0 {
		return errkind.New(errkind.NotReady, "this node has no configuration yet")
	}
	return errkind.New(errkind.NoRoute, "no route matches %s %s%s in version %d", r.Method, r.Host, r.URL.Path, t.Version())
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(upstream.HeaderRequestID); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	var b [12]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(b[:])
}

// deadline returns the time left for r: the shorter of the route's deadline and
// the caller's header.
func deadline(r *http.Request, m table.Match) (time.Duration, error) {
	v := r.Header.Get(upstream.HeaderDeadline)
	if v == "" {
		return m.Route.Deadline, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, errkind.New(errkind.BadRequest, "%s %q; expected a duration such as 750ms", upstream.HeaderDeadline, v)
	}
	if d <= 0 {
		return 0, errkind.New(errkind.DeadlineTooShort, "no time is left: %s is %s", upstream.HeaderDeadline, v)
	}
	return min(d, m.Route.Deadline), nil
}

func newRequest(r *http.Request, m table.Match, id string, version uint64) (*call.Request, error) {
	q := &call.Request{RequestHead: wire.RequestHead{
		RequestID:     id,
		Customer:      m.Customer,
		Service:       m.Route.Service,
		Rank:          m.Rank.Name,
		Caller:        remoteHost(r),
		Attempt:       inboundAttempt(r),
		Version:       version,
		Execution:     string(m.Route.Execution),
		Method:        r.Method,
		Host:          r.Host,
		Path:          r.URL.RequestURI(),
		Header:        r.Header,
		ContentLength: r.ContentLength,
		Route:         m.Name,
	}}
	return q, readBody(r, m, q)
}

// readBody keeps a small body whole, so that it can be sent again, and leaves a
// larger one in the connection until an owner node admits the request.
func readBody(r *http.Request, m table.Match, q *call.Request) error {
	q.WholeBody = true
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := int64(call.WholeBodyBytes)
	if m.Route.Execution == customer.AtMostOnce {
		limit = AtMostOnceBodyBytes
	}
	if r.ContentLength > limit {
		return stream(r, m, q, r.Body)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "request body broke off")
	}
	if int64(len(b)) > limit {
		return stream(r, m, q, io.MultiReader(bytes.NewReader(b), r.Body))
	}
	q.Body, q.ContentLength = b, int64(len(b))
	return nil
}

func stream(r *http.Request, m table.Match, q *call.Request, b io.Reader) error {
	if m.Route.Execution == customer.AtMostOnce {
		return errkind.New(errkind.TooLarge, "the body exceeds %d bytes, the limit on routes that run at most once", AtMostOnceBodyBytes)
	}
	q.WholeBody, q.Stream, q.ContentLength = false, b, r.ContentLength
	return nil
}

func remoteHost(r *http.Request) string {
	h, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return h
}

func inboundAttempt(r *http.Request) int {
	if n, err := strconv.Atoi(r.Header.Get(upstream.HeaderAttempt)); err == nil && n > 1 {
		return n
	}
	return 1
}

// answer passes the upstream's answer on. An answer that breaks off aborts the
// connection, so that the caller cannot take a part for the whole.
func (h *Handler) answer(w http.ResponseWriter, m table.Match, a *call.Response, id string, start time.Time) {
	for k, v := range a.Head.Header {
		w.Header()[k] = v
	}
	w.Header().Set(upstream.HeaderRequestID, id)
	w.WriteHeader(a.Head.Status)
	err := copyBody(w, a.Body, a.Head.ContentLength < 0)
	if err != nil {
		h.c.Log.Info("answer aborted", "requestId", id, "route", m.Name, "rank", m.Rank.Name, "reason", err.Error())
		h.c.Observe(m, a.Head.Status, errkind.Of(err), time.Since(start))
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.Trailer() {
		w.Header()[http.TrailerPrefix+k] = v
	}
	h.c.Observe(m, a.Head.Status, "", time.Since(start))
}

// copyBody copies b to w and, where the length is not known, flushes each piece,
// since it may be a stream of events.
func copyBody(w http.ResponseWriter, b io.Reader, flush bool) error {
	p := make([]byte, call.ChunkBytes)
	f, _ := w.(http.Flusher)
	for {
		n, err := b.Read(p)
		if n > 0 {
			if _, e := w.Write(p[:n]); e != nil {
				return errkind.Wrap(e, errkind.Canceled, "caller went away")
			}
			if flush && f != nil && err == nil {
				f.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fail answers with an error of the system.
func (h *Handler) fail(w http.ResponseWriter, m table.Match, id string, start time.Time, err error) {
	e := errkind.From(err)
	status := WriteError(w, id, err)
	h.c.Log.Info("request refused", "requestId", id, "route", m.Name, "rank", m.Rank.Name,
		"kind", e.Kind, "execution", e.Execution, "reason", e.Error())
	h.c.Observe(m, status, e.Kind, time.Since(start))
}

// Problem is the body of an answer that the system makes itself.
type Problem struct {
	Kind      errkind.Kind
	Reason    string
	RequestId string //nolint:revive // the name is part of the outer contract
	Execution errkind.Execution
}

// retryAfterer is an error that knows when waiting helps.
type retryAfterer interface{ RetryAfter() time.Duration }

// WriteError writes the answer for err and returns its status.
func WriteError(w http.ResponseWriter, id string, err error) int {
	e := errkind.From(err)
	a := e.Kind.Answer()
	wait := a.RetryAfter
	var r retryAfterer
	if errors.As(err, &r) && r.RetryAfter() > 0 {
		wait = r.RetryAfter()
	}
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, (wait+time.Second-1)/time.Second))))
	}
	w.Header().Set(HeaderExecution, string(e.Execution))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.HTTPStatus)
	_ = json.NewEncoder(w).Encode(Problem{Kind: e.Kind, Reason: e.Error(), RequestId: id, Execution: e.Execution}) // the caller has gone
	return a.HTTPStatus
}

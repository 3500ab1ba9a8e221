// Package caller serves the HTTP requests of callers: it matches the route,
// checks deadline and idempotency key, hands the request to the router and
// returns the whole answer or an error.
//
// # Usage
//
//	h := caller.New(caller.Config{Table: tables.Load, Router: r, Once: o, Log: l})
//	s := caller.NewServer(h)
//	err := s.Serve(caller.Listen(listener, caller.MaxConnections))
//
// Every answer that the system makes itself carries Gooseberrypick-Execution
// and a JSON body. The exceptions are the answers that net/http gives to
// messages that are not HTTP and to headers above 64 KiB.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/priorwait"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// HeaderIdempotencyKey is required on AtMostOnce routes.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExecution states whether a request can have run.
	HeaderExecution = dialect.HeaderExecution

	// MaxRequests bounds the requests under way at one node.
	MaxRequests = 8192
	// MaxBodyBytes bounds the memory for request bodies that are kept whole,
	// to half of the 64 MB that a node may use.
	MaxBodyBytes = 32 << 20
	// writeGrace is the time after the deadline in which the answer that says
	// so can be written to a caller that reads slowly.
	writeGrace = time.Second
	// discardTime is how long a body that is not wanted may take to arrive for
	// the connection to be used again.
	discardTime = time.Second
)

// Router carries a matched request to an upstream.
type Router interface {
	Route(ctx context.Context, m table.Match, r *call.Request) (*call.Response, error)
}

// AtMostOnceRunner runs a request at most once for its key.
type AtMostOnceRunner interface {
	Run(ctx context.Context, m table.Match, key string, r *call.Request) (*call.Response, error)
}

// Config holds what a Handler needs.
type Config struct {
	Table      func() *table.Table
	Router     Router
	AtMostOnce AtMostOnceRunner
	Log        logr.Logger
	// Observe is called after each request with the time since its caller first
	// asked.
	Observe func(m table.Match, status int, kind errkind.Kind, x errkind.Execution, took time.Duration)
	// Dialect is spoken with callers; nil means the own one.
	Dialect *dialect.Dialect
	// Origin is the service of the VM that the callers run on.
	Origin string
	// MaxRequests and MaxBodyBytes replace the constants where they are above
	// zero.
	MaxRequests  int64
	MaxBodyBytes int64
}

// Handler implements http.Handler for callers.
type Handler struct {
	c        Config
	requests atomic.Int64
	bodies   atomic.Int64
	leaving  atomic.Pointer[time.Time]    // nil while the process goes on
	waited   *priorwait.Estimator[string] // by route
	// ending is done when the process is about to end.
	ending context.Context
	end    context.CancelCauseFunc
}

// New returns a Handler.
func New(c Config) *Handler {
	if c.Observe == nil {
		c.Observe = func(table.Match, int, errkind.Kind, errkind.Execution, time.Duration) {}
	}
	if c.MaxRequests <= 0 {
		c.MaxRequests = MaxRequests
	}
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = MaxBodyBytes
	}
	if c.Dialect == nil {
		c.Dialect = dialect.Default()
	}
	h := &Handler{c: c, waited: priorwait.New[string]()}
	h.ending, h.end = context.WithCancelCause(context.Background())
	return h
}

// StartDraining asks callers with each answer to use another connection, so that few
// connections are open when the server shuts down: a request that crosses with
// the close of an idle connection is lost. Requests that come from now on have
// until end at most.
func (h *Handler) StartDraining(end time.Time) { h.leaving.Store(&end) }

// errEnding is why requests end that are under way when the process has to stop.
var errEnding = errors.New("this node stops")

// CancelRequests ends the requests under way with an answer, while there is time to write it:
// those that were not sent to another process learn that they have not run. It
// returns their number.
func (h *Handler) CancelRequests() int64 {
	h.end(errEnding)
	return h.InFlight()
}

// exchange is one request of a caller and its answer.
type exchange struct {
	*Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time
	// asked is when the caller first asked, as far as that is known.
	asked time.Time
	match table.Match
	// version is that of the table that the request was matched by.
	version uint64
	// upload is the body, or nil for a request without one.
	upload *upload
	// reserved is the part of Handler.bodies that this request holds.
	reserved int64
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	x := &exchange{Handler: h, w: w, r: r, id: requestID(r, h.c.Dialect), start: now, asked: now}
	w.Header().Set(h.c.Dialect.RequestID, x.id)
	if h.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	defer h.requests.Add(-1)
	if n := h.requests.Add(1); n > h.c.MaxRequests {
		x.fail(errkind.New(errkind.QueueFull, "%d requests are under way at this node", n))
		return
	}
	t := h.c.Table()
	x.version = t.Version()
	m, ok := t.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		x.fail(noRoute(t, r))
		return
	}
	x.match = m
	d, err := x.check()
	if err != nil {
		x.fail(err)
		return
	}
	x.serve(d)
}

func noRoute(t *table.Table, r *http.Request) error {
	if t.Version() == 0 {
		return errkind.New(errkind.NotReady, "this node has no configuration yet")
	}
	return errkind.New(errkind.NoRoute, "no route matches %s %s%s in version %d", r.Method, r.Host, r.URL.Path, t.Version())
}

// serve answers a checked request within d.
func (x *exchange) serve(d time.Duration) {
	if end := x.leaving.Load(); end != nil {
		d = min(d, time.Until(*end))
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), d)
	defer cancel()
	defer context.AfterFunc(x.ending, cancel)()
	// Ends the writing to a caller that does not read.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.start.Add(d + writeGrace)) // unsupported only by test writers
	q := x.newRequest()
	if hasBody(x.r) {
		u := newUpload(x.w, x.r)
		x.upload = u
		// A body that stalls ends with the deadline.
		stop := context.AfterFunc(ctx, func() { _ = u.Close() }) // never fails
		defer func() {
			stop()
			u.finish()
		}()
	}
	defer x.release()
	if err := x.readBody(ctx, q); err != nil {
		x.fail(err)
		return
	}
	a, err := x.run(ctx, q)
	if err != nil {
		x.fail(err)
		return
	}
	defer a.Body.Close()
	x.answer(a)
}

func (x *exchange) run(ctx context.Context, q *call.Request) (*call.Response, error) {
	if x.match.Route.Execution != customer.AtMostOnce {
		return x.c.Router.Route(ctx, x.match, q)
	}
	return x.c.AtMostOnce.Run(ctx, x.match, x.r.Header.Get(HeaderIdempotencyKey), q)
}

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int64 { return h.requests.Load() }

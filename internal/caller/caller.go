// Package caller serves the HTTP requests of callers: it matches the route, checks
// deadline and idempotency key, passes the request to the router and returns the
// complete response or an error.
//
// # Usage
//
//	h := caller.New(caller.Config{Table: tables.Load, Router: r, AtMostOnce: o, Log: l})
//	s := caller.NewServer(h)
//	err := s.Serve(caller.NewListener(listener, 4096, h))
//
// Idempotent requests without a body that a caller sends on one HTTP/1.1 connection before
// the first is answered run at the same time, up to 16 for each connection and MaxPipelined
// for the node; see conn for the rule and its reason.
//
// A request is withdrawn once its caller closes the connection or its sending side. To see
// that, a large body is read ahead while the request waits for an owner node; where that
// does not reach the end of the body, the kernel is asked for the close.
//
// Every error response that the node itself sends has the header
// Gooseberrypick-Execution and a JSON body. The exceptions are the responses of
// net/http to messages that are not HTTP and to headers above 64 KiB.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/priorwait"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// HeaderIdempotencyKey is required on AtMostOnce routes.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExecution states whether a request may have run.
	HeaderExecution = dialect.HeaderExecution

	// MaxRequests bounds the requests in flight at one node.
	MaxRequests = 8192
	// MaxBodyBytes bounds the memory for buffered request bodies to half of the
	// 64 MB that a node may use.
	MaxBodyBytes = 32 << 20
	// writeGrace is the time after the deadline in which the response that reports
	// it can be written to a caller that reads slowly.
	writeGrace = time.Second
	// MaxPipelined bounds the requests in progress at one node that were started ahead of
	// an unanswered one of the same connection.
	MaxPipelined = 1024
	// pipelinedPoll is the interval at which WaitPipelined looks.
	pipelinedPoll = 10 * time.Millisecond
	// discardTime is how long the body of a refused request may take to arrive, so
	// that the connection can be reused.
	discardTime = time.Second
)

// Router sends a matched request to an upstream.
type Router interface {
	Route(ctx context.Context, m table.Match, r *call.Request) (*call.Response, error)
}

// AtMostOnceRunner runs a request at most once per idempotency key.
type AtMostOnceRunner interface {
	Run(ctx context.Context, m table.Match, key string, r *call.Request) (*call.Response, error)
}

// Limits limits the requests of accounts over all nodes.
type Limits interface {
	// Admit returns nil if the account of m may send one more request now, or an error
	// with a retry delay. It may wait for the decision, at most until end.
	Admit(ctx context.Context, end time.Time, m table.Match) error
	// Refund takes back the admission, of the given age, of a request that has not run.
	Refund(m table.Match, age time.Duration)
}

// Config configures a Handler.
type Config struct {
	Table      func() *table.Table
	Router     Router
	AtMostOnce AtMostOnceRunner
	// Limits is nil if accounts have no limits.
	Limits Limits
	Log    logr.Logger
	// Observe is called after each request with the time since the caller first sent
	// it.
	Observe func(m table.Match, status int, kind errkind.Kind, x errkind.Execution, took time.Duration)
	// Dialect is used with callers; nil means the default dialect.
	Dialect *dialect.Dialect
	// Origin is the service of the VM that the callers run on.
	Origin string
	// MaxRequests and MaxBodyBytes replace the constants of the same name if they are
	// above zero.
	MaxRequests  int64
	MaxBodyBytes int64
	// Budget bounds what the connections of callers hold together; nil means a budget of
	// DefaultBudgetBytes.
	Budget *budget.Budget
}

// Handler implements http.Handler for callers.
type Handler struct {
	c             Config
	inFlight      atomic.Int64
	bufferedBytes atomic.Int64
	// pipelined is the number of requests in progress that were started ahead of an
	// unanswered one.
	pipelined atomic.Int64
	drain     atomic.Pointer[drain]        // nil until the node drains
	priorWait *priorwait.Estimator[string] // by route
	// stopCtx is canceled by CancelRequests.
	stopCtx context.Context
	stop    context.CancelCauseFunc

	refusals *refusals
	// limitsTable returns the table in force, whose limits are in limitsInForce once they
	// have been used.
	limitsTable   func() *table.Table
	limitsInForce atomic.Pointer[tableLimits]
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
	c.Budget = newBudget(c.Budget)
	h := &Handler{c: c, priorWait: priorwait.New[string](), refusals: newRefusals(), limitsTable: c.Table}
	h.stopCtx, h.stop = context.WithCancelCause(context.Background())
	return h
}

// StartDraining asks callers with each response to use another connection, so that few
// connections are open when the server shuts down: a request that arrives while an idle
// connection is being closed is lost. The deadline of new requests is a margin before end,
// when CancelRequests is called.
func (h *Handler) StartDraining(end time.Time) { h.drain.Store(&drain{time.Now(), end}) }

// errStopping is the cause with which CancelRequests cancels requests.
var errStopping = errors.New("this node is stopping")

// CancelRequests cancels the requests in flight and returns their number. It is called
// while there is still time to write their error responses: these state not-run for
// requests that were not sent to another process.
func (h *Handler) CancelRequests() int64 {
	h.stop(errStopping)
	return h.InFlight()
}

// exchange is one request of a caller and its response.
type exchange struct {
	*Handler
	w    http.ResponseWriter
	r    *http.Request
	conn requestConn // nil if the listener is not one of NewListener
	id   string
	// start is when the request had arrived, which is before it was served if earlier
	// requests of its connection had to be answered first.
	start time.Time
	// firstSent is when the caller first sent the request, as far as that is known.
	firstSent time.Time
	match     table.Match
	// version is the version of the routing table that matched the request.
	version uint64
	// cancel ends the context of the request.
	cancel func()
	// upload is the request body, or nil for a request without one.
	upload *upload
	// admitted says that the request was admitted by Limits, at admittedAt.
	admitted   bool
	admittedAt time.Time
	// reserved is the part of Handler.bufferedBytes that this request holds.
	reserved int64
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	k, _ := r.Context().Value(connKey{}).(requestConn)
	if k != nil && r.ProtoMajor == 1 {
		now = k.received()
	}
	x := &exchange{Handler: h, w: w, r: r, conn: k, id: requestID(r, h.c.Dialect), start: now, firstSent: now}
	w.Header().Set(h.c.Dialect.RequestID, x.id)
	defer h.inFlight.Add(-1)
	if n := h.inFlight.Add(1); n > h.c.MaxRequests {
		x.fail(errkind.New(errkind.QueueFull, "%d requests are under way at this node", n))
		return
	}
	t := h.c.Table()
	x.version = t.Version()
	m, ok := t.Match(r.Host, r.Method, routePath(r.URL))
	if !ok {
		x.fail(noRoute(t, r))
		return
	}
	x.match = m
	if k != nil && k.callerLeft() {
		x.fail(errkind.New(errkind.Canceled, "caller closed the connection before the request was read").WithExecution(errkind.NotRun))
		return
	}
	release, err := x.admitHead()
	defer release()
	if err != nil {
		x.fail(err)
		return
	}
	x.pipeline()
	if err := x.authenticate(t); err != nil {
		x.fail(err)
		return
	}
	d, err := x.validate()
	if err == nil {
		err = x.admit(d)
	}
	if err != nil {
		x.fail(err)
		return
	}
	x.serve(d)
}

// pipeline lets requests behind an idempotent one start. One that was started ahead waits
// for its turn if the route has become one that may run only once since then.
func (x *exchange) pipeline() {
	idempotent := x.match.Route.Execution == customer.Idempotent
	switch c := x.conn.(type) {
	case *conn:
		if idempotent && x.r.ProtoMajor == 1 && !x.r.Close && !hasBody(x.r) {
			c.allowAhead()
		}
	case *pipelinedConn:
		if !idempotent {
			c.waitTurn()
		}
	}
}

func noRoute(t *table.Table, r *http.Request) error {
	if t.Version() == 0 {
		return errkind.New(errkind.NotReady, "this node has no configuration yet")
	}
	return errkind.New(errkind.NoRoute, "no route matches %s %s%s in version %d", r.Method, r.Host, r.URL.Path, t.Version())
}

// mayRunAhead reports whether the request, which has no body, may be started while an
// earlier one of its connection has not been answered. Only idempotent ones may, because a
// response that closes the connection tells the caller that all behind it were not read.
func (h *Handler) mayRunAhead(r *http.Request) bool {
	if h.drain.Load() != nil || h.pipelined.Load() >= MaxPipelined || !r.ProtoAtLeast(1, 1) || r.Close || r.Header.Get("Expect") != "" {
		return false
	}
	m, ok := h.c.Table().Match(r.Host, r.Method, routePath(r.URL))
	return ok && m.Route.Execution == customer.Idempotent
}

// reserveResponse counts n bytes of a response that waits for earlier ones, if the limit
// allows.
func (h *Handler) reserveResponse(n int64) bool {
	if h.bufferedBytes.Add(n) <= h.c.MaxBodyBytes {
		return true
	}
	h.bufferedBytes.Add(-n)
	return false
}

// WaitPipelined waits until no request is in progress that was started ahead of an
// unanswered one. Once draining has started, none is started any more. It is called
// before http.Server.Shutdown, which closes connections with each response.
func (h *Handler) WaitPipelined(ctx context.Context) {
	t := time.NewTicker(pipelinedPoll)
	defer t.Stop()
	for h.pipelined.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// serve handles a valid request within d of its start.
func (x *exchange) serve(d time.Duration) {
	reserve := time.Duration(0)
	if k := x.drain.Load(); k != nil {
		if left := k.timeFor(x.start); left < d {
			d, reserve = left, answerReserve
		}
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.start.Add(d))
	defer cancel()
	x.cancel = cancel
	defer context.AfterFunc(x.stopCtx, cancel)()
	// Stops writing to a caller that does not read.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.start.Add(d + writeGrace)) // unsupported only by test writers
	q := x.newRequest()
	q.Reserve = reserve
	if hasBody(x.r) {
		u := newUpload(x.w, x.r)
		x.upload = u
		// At the deadline, a stalled body is closed.
		stop := context.AfterFunc(ctx, func() { _ = u.Close() }) // never fails
		defer func() {
			stop()
			u.finish()
		}()
	}
	defer x.watchCaller()()
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
	x.respond(a)
}

// admit checks the limit of the account before anything of the body is read. It waits at
// most for d from the start of the request.
func (x *exchange) admit(d time.Duration) error {
	if x.c.Limits == nil || x.match.Account.RatePerSecond <= 0 {
		return nil
	}
	err := x.c.Limits.Admit(x.r.Context(), x.start.Add(d), x.match)
	x.admitted, x.admittedAt = err == nil, time.Now()
	return err
}

// refund takes back the admission of a request that was refused without having run.
func (x *exchange) refund(e *errkind.Error) {
	if x.admitted && e.Execution == errkind.NotRun {
		x.admitted = false
		x.c.Limits.Refund(x.match, time.Since(x.admittedAt))
	}
}

// watchCaller withdraws the request once the caller has closed the connection, until the
// returned function is called. net/http does so only from the end of the request body on,
// which is not read while a large body waits to be admitted.
func (x *exchange) watchCaller() (stop func()) {
	if x.upload == nil || x.conn == nil {
		return func() {}
	}
	return wire.WatchPeerClosed(x.conn, func() { x.withdraw("connection was closed", nil) })
}

// withdraw cancels the request of a caller that has left.
func (x *exchange) withdraw(reason string, err error) {
	v := []any{"requestId", x.id, "route", x.match.Name, "tookMicros", time.Since(x.start).Microseconds(), "reason", reason}
	if err != nil {
		v = append(v, "cause", err.Error())
	}
	x.c.Log.Info("caller left", v...)
	x.cancel()
}

func (x *exchange) run(ctx context.Context, q *call.Request) (*call.Response, error) {
	if x.match.Route.Execution != customer.AtMostOnce {
		return x.c.Router.Route(ctx, x.match, q)
	}
	return x.c.AtMostOnce.Run(ctx, x.match, x.r.Header.Get(HeaderIdempotencyKey), q)
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

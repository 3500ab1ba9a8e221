package router

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// dispatch holds the state of one request over all its tries.
type dispatch struct {
	*Router
	ctx     context.Context
	service *service
	match   table.Match
	request *call.Request
	// inboundAttempt is the attempt number that the caller sent.
	inboundAttempt int
	// admitted states that the owner node may have read part of a streamed body.
	admitted bool
	tries    int
	// staleChoices counts the choices of an upstream that was leaving.
	staleChoices int
	// skippedNodes counts the nodes that rejected the request before it reached
	// their upstream, or that could not be reached.
	skippedNodes int
	tried        map[string]bool
	// lastErr is the error of the latest try.
	lastErr error
	// failedResponse is a complete response with status 500. It is returned if no
	// later try succeeds.
	failedResponse *call.Response
}

func newDispatch(ctx context.Context, r *Router, s *service, m table.Match, q *call.Request) *dispatch {
	p := &dispatch{
		Router: r, ctx: ctx, service: s, match: m, request: q, inboundAttempt: q.Attempt,
		lastErr: errkind.New(errkind.NoUpstream, "no upstream of service %q is serving", m.Route.Service),
	}
	if q.Stream != nil {
		q.OnAdmitted = func() error { p.admitted = true; return nil }
	}
	return p
}

// run tries upstreams until one answers or another try is not allowed.
func (p *dispatch) run() (*call.Response, error) {
	for {
		t, ok := p.service.choose(p.c, p.match, p.query(p.ctx, p.match, p.request, p.tried))
		if !ok {
			p.c.Log.Info("no upstream left", "requestId", p.request.RequestID, "route", p.match.Name, "rank", p.match.Rank.Name,
				"tries", p.tries, "reason", p.lastErr.Error())
			return p.result()
		}
		p.tries++
		p.request.Attempt = p.inboundAttempt + p.tries - 1
		p.logChoice(p.ctx, p.match, p.request, t)
		p.countZone(p.match.Route.Service, t)
		a, err := p.call(p.ctx, p.service, p.match, p.request, t)
		if err == nil {
			if !p.shouldRetry(a) {
				return a, nil
			}
			err = p.bufferResponse(a)
		}
		if !p.recordFailure(t, err) {
			return p.result()
		}
	}
}

// recordFailure records a failed try and reports whether another one follows.
func (p *dispatch) recordFailure(t try, err error) bool {
	if !hasRetryDelay(p.lastErr) || !isStaleChoice(err) && !isUnreachable(err) {
		p.lastErr = mergeErrors(p.lastErr, err)
	}
	if p.tried == nil {
		p.tried = map[string]bool{}
	}
	p.tried[t.name] = true
	if !p.admitted && p.freeRetry(err) {
		p.tries--
		p.c.Log.Info("choose again", "requestId", p.request.RequestID, "route", p.match.Name, "rank", p.match.Rank.Name,
			"upstream", t.name, "reason", err.Error())
		return true
	}
	d := p.service.retry(p.match, p.request, err, p.inboundAttempt, p.tries, remaining(p.ctx), p.admitted)
	p.c.Log.Info("try failed", "requestId", p.request.RequestID, "route", p.match.Name, "rank", p.match.Rank.Name,
		"upstream", t.name, "kind", errkind.Of(err), "retry", d.Retry, "reason", d.Reason, "cause", err.Error())
	if d.Retry {
		p.c.Retried(p.match.Route.Service)
	}
	return d.Retry
}

// freeRetry reports whether another upstream may be tried without taking from the
// retry budget, because the failed try put no load on any upstream. It counts these
// tries, whose number is bounded.
func (p *dispatch) freeRetry(err error) bool {
	switch {
	case isStaleChoice(err) && p.staleChoices < maxStaleChoices:
		p.staleChoices++
	case (isNodeBusy(err) || isUnreachable(err)) && p.skippedNodes < maxSkippedNodes:
		p.skippedNodes++
	default:
		return false
	}
	return true
}

// result returns the outcome of all tries: the response of an upstream is preferred
// over an error of this system.
func (p *dispatch) result() (*call.Response, error) {
	if p.failedResponse != nil {
		return p.failedResponse, nil
	}
	return nil, p.lastErr
}

// shouldRetry reports whether another try follows a complete response by which the
// upstream reports its own failure.
func (p *dispatch) shouldRetry(a *call.Response) bool {
	if !p.c.RetryFailures || a.Head.Status != http.StatusInternalServerError || a.Head.ContentLength > maxBufferedResponse || !retryable(p.match, p.request) {
		return false
	}
	failed := errkind.New(errkind.UpstreamFailed, "the upstream answered 500")
	return p.service.hasOtherUpstream(p.c, p.request) && p.service.wouldRetry(p.match, p.request, failed, p.inboundAttempt, p.tries, remaining(p.ctx))
}

// maxBufferedResponse bounds the size of a failed response that is buffered while
// another try is made.
const maxBufferedResponse = 64 << 10

// bufferResponse buffers a response that a later try may replace, and returns it as
// an error.
func (p *dispatch) bufferResponse(a *call.Response) error {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedResponse+1))
	a.Body.Close()
	if err != nil {
		return errkind.Wrap(err, errkind.UpstreamFailed, "the answer of the upstream with status %d was cut off", a.Head.Status)
	}
	if len(b) <= maxBufferedResponse {
		n := *a
		n.Body = io.NopCloser(bytes.NewReader(b))
		p.failedResponse = &n
	}
	return errkind.New(errkind.UpstreamFailed, "the upstream answered %d", a.Head.Status)
}

// maxStaleChoices bounds the free tries after choosing an upstream that has just left.
const maxStaleChoices = 3

// isStaleChoice reports whether err only means that the choice was out of date: the
// upstream is leaving, and nothing was sent to it. Another try takes nothing from
// the retry budget, since this one put no load on any upstream and callers must not
// notice when upstreams come and go.
func isStaleChoice(err error) bool {
	e := errkind.From(err)
	return e.Kind == errkind.Leaving && e.Execution == errkind.NotRun
}

// maxSkippedNodes bounds the free tries after a busy or unreachable node. When the
// whole service is overloaded, more of them cost work and find no free slot.
const maxSkippedNodes = 2

// isNodeBusy reports whether err means that a node had no slot for the request in
// time. Another try takes nothing from the retry budget, since nothing was sent to
// the upstream.
func isNodeBusy(err error) bool {
	var l *call.LoadError
	e := errkind.From(err)
	return errors.As(err, &l) && !l.Arrived && e.Execution == errkind.NotRun &&
		(e.Kind == errkind.QueueFull || e.Kind == errkind.DeadlineTooShort)
}

// isUnreachable reports whether err means that no connection to the chosen node was
// made, which put no load on its upstream either.
func isUnreachable(err error) bool {
	var l *call.LoadError
	e := errkind.From(err)
	return e.Kind == errkind.ConnectFailed && e.Execution == errkind.NotRun && !errors.As(err, &l)
}

// hasRetryDelay reports whether err states when a slot is likely to be free. The absence of
// another upstream does not replace it: callers would return before there is a slot.
func hasRetryDelay(err error) bool {
	var l *call.LoadError
	return errors.As(err, &l) && l.After > 0
}

// mergeErrors returns the error of a request whose latest try failed with err. Once
// a try may have run, the request may have run, whatever the result of later tries.
func mergeErrors(last, err error) error {
	if errkind.From(last).Execution != errkind.NotRun {
		return withExecution(err, errkind.Unknown)
	}
	return err
}

// withExecution returns err with execution x, and keeps the load report and the
// retry delay that it carries.
func withExecution(err error, x errkind.Execution) error {
	e := errkind.From(err).WithExecution(x)
	var l *call.LoadError
	if errors.As(err, &l) {
		return &call.LoadError{Load: l.Load, After: l.After, Arrived: l.Arrived, Err: e}
	}
	return e
}

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

// pursuit is the course of one request through its tries.
type pursuit struct {
	*Router
	ctx     context.Context
	service *service
	match   table.Match
	request *call.Request
	// inbound is the attempt number that the request came with.
	inbound int
	// admitted says that the owner node may have read a part of a streamed body.
	admitted  bool
	tries     int
	redirects int
	// elsewhere counts the nodes that turned the request away before it reached
	// their upstream, or that could not be reached.
	elsewhere int
	tried     map[string]bool
	// last is the error of the latest try.
	last error
	// failed is a whole answer by which an upstream failed. It is returned where
	// no later try brings a better one.
	failed *call.Response
}

func newPursuit(ctx context.Context, r *Router, s *service, m table.Match, q *call.Request) *pursuit {
	p := &pursuit{
		Router: r, ctx: ctx, service: s, match: m, request: q, inbound: q.Attempt,
		last: errkind.New(errkind.NoUpstream, "no upstream of service %q is serving", m.Route.Service),
	}
	if q.Stream != nil {
		q.OnAdmitted = func() error { p.admitted = true; return nil }
	}
	return p
}

// run tries upstreams until one answers or another try is not allowed.
func (p *pursuit) run() (*call.Response, error) {
	for {
		t, ok := p.service.choose(p.c, p.match, isLarge(p.request), p.tried)
		if !ok {
			p.c.Log.Info("no upstream left", "requestId", p.request.RequestID, "route", p.match.Name, "rank", p.match.Rank.Name,
				"tries", p.tries, "reason", p.last.Error())
			return p.end()
		}
		p.tries++
		p.request.Attempt = p.inbound + p.tries - 1
		p.logChoice(p.ctx, p.match, p.request, t)
		p.c.Tried(p.match.Route.Service, t.candidate.AvailabilityZone == p.c.Zone)
		a, err := p.call(p.ctx, p.service, p.match, p.request, t)
		if err == nil {
			if !p.againAfter(a) {
				return a, nil
			}
			err = p.keep(a)
		}
		if !p.again(t, err) {
			return p.end()
		}
	}
}

// again notes that a try failed and decides about another one.
func (p *pursuit) again(t try, err error) bool {
	p.last = afterTry(p.last, err)
	if p.tried == nil {
		p.tried = map[string]bool{}
	}
	p.tried[t.name] = true
	if !p.admitted && p.choosesAgain(err) {
		p.tries--
		p.c.Log.Info("choose again", "requestId", p.request.RequestID, "route", p.match.Name, "rank", p.match.Rank.Name,
			"upstream", t.name, "reason", err.Error())
		return true
	}
	d := p.service.retry(p.match, p.request, err, p.inbound, p.tries, remaining(p.ctx), p.admitted)
	p.c.Log.Info("try failed", "requestId", p.request.RequestID, "route", p.match.Name, "rank", p.match.Rank.Name,
		"upstream", t.name, "kind", errkind.Of(err), "retry", d.Retry, "reason", d.Reason, "cause", err.Error())
	if d.Retry {
		p.c.Retried(p.match.Route.Service)
	}
	return d.Retry
}

// choosesAgain reports whether a choice that put no load on any upstream is
// followed by another one at no cost, and counts it.
func (p *pursuit) choosesAgain(err error) bool {
	switch {
	case isRedirect(err) && p.redirects < maxRedirects:
		p.redirects++
	case (isTurnedAway(err) || isUnreached(err)) && p.elsewhere < maxElsewhere:
		p.elsewhere++
	default:
		return false
	}
	return true
}

// end returns what the tries have brought: an upstream's own answer goes before
// an error of the system.
func (p *pursuit) end() (*call.Response, error) {
	if p.failed != nil {
		return p.failed, nil
	}
	return nil, p.last
}

// againAfter reports whether a complete answer that says that the upstream
// failed is followed by another try.
func (p *pursuit) againAfter(a *call.Response) bool {
	if !p.c.RetryFailures || a.Head.Status != http.StatusInternalServerError || a.Head.ContentLength > maxKept || !retryable(p.match, p.request) {
		return false
	}
	failed := errkind.New(errkind.UpstreamFailed, "the upstream answered 500")
	return p.service.others(p.c, p.request) && p.service.mayRetry(p.match, p.request, failed, p.inbound, p.tries, remaining(p.ctx))
}

// maxKept bounds what is kept of an answer that another try may replace.
const maxKept = 64 << 10

// keep reads an answer that another try may replace, and returns the failure
// that it stands for.
func (p *pursuit) keep(a *call.Response) error {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxKept+1))
	a.Body.Close()
	if err != nil {
		return errkind.Wrap(err, errkind.UpstreamFailed, "the upstream answered %d and broke off", a.Head.Status)
	}
	if len(b) <= maxKept {
		n := *a
		n.Body = io.NopCloser(bytes.NewReader(b))
		p.failed = &n
	}
	return errkind.New(errkind.UpstreamFailed, "the upstream answered %d", a.Head.Status)
}

// maxRedirects bounds the choices that met an upstream which has just left.
const maxRedirects = 3

// isRedirect reports whether err only says that the choice was out of date: the
// upstream leaves, and nothing was sent to it. Such a choice takes nothing out of
// the retry budget, since it put no load on any upstream and callers must not
// notice when upstreams come and go.
func isRedirect(err error) bool {
	e := errkind.From(err)
	return e.Kind == errkind.Leaving && e.Execution == errkind.NotRun
}

// maxElsewhere bounds the choices that a busy node turned away, or that found no
// way to the node. In a flood of the whole service, more of them cost work and find
// nothing.
const maxElsewhere = 2

// isTurnedAway reports whether err says that a node had no slot for the request
// in time. It takes nothing out of the retry budget, since the upstream got
// nothing.
func isTurnedAway(err error) bool {
	var l *call.LoadError
	e := errkind.From(err)
	return errors.As(err, &l) && !l.Arrived && e.Execution == errkind.NotRun &&
		(e.Kind == errkind.QueueFull || e.Kind == errkind.DeadlineTooShort)
}

// isUnreached reports whether err says that no connection to the chosen node was
// made, which has put no load on its upstream either.
func isUnreached(err error) bool {
	var l *call.LoadError
	e := errkind.From(err)
	return e.Kind == errkind.ConnectFailed && e.Execution == errkind.NotRun && !errors.As(err, &l)
}

// afterTry returns the error of a request whose latest try ended in err. Once a
// try may have run, so may have the request, whatever became of later tries.
func afterTry(last, err error) error {
	if errkind.From(last).Execution != errkind.NotRun {
		return withExecution(err, errkind.Unknown)
	}
	return err
}

// withExecution returns err stating x, with the load report and the time to come
// back that it carries.
func withExecution(err error, x errkind.Execution) error {
	e := errkind.From(err).WithExecution(x)
	var l *call.LoadError
	if errors.As(err, &l) {
		return &call.LoadError{Load: l.Load, After: l.After, Arrived: l.Arrived, Err: e}
	}
	return e
}

package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Headers of the default dialect that a node sets on requests to an upstream.
const (
	HeaderDeadline  = dialect.HeaderDeadline
	HeaderRequestID = dialect.HeaderRequestID
	HeaderAttempt   = dialect.HeaderAttempt
)

// Client sends requests to one upstream over HTTP/1.1 with keep-alive. It does not
// bound the number of concurrent requests; the queue does.
type Client struct {
	pool    connectionPool
	dialect *dialect.Dialect
}

// NewClient returns a Client for the upstream at address that connects with d and
// uses the dialect s; nil means the default dialect.
func NewClient(address string, d wire.Dialer, s *dialect.Dialect) *Client {
	if s == nil {
		s = dialect.Default()
	}
	return &Client{pool: connectionPool{address: address, dial: d, keepAlive: true}, dialect: s}
}

// SetKeepAlive sets whether connections are kept for further requests, and closes the
// idle ones if not: a server that shuts down closes its idle connections itself, even
// if a request is just arriving on one.
func (c *Client) SetKeepAlive(keepAlive bool) { c.pool.setKeepAlive(keepAlive) }

// Expire closes the connections that have been idle for longer than idleTimeout.
func (c *Client) Expire(now time.Time) { c.pool.expire(now, false) }

// Do sends r at most once. An error states not-run only if no byte of r was written to
// the network, or if the upstream answered that it did not run r.
func (c *Client) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	for {
		q, err := c.newRequest(ctx, r)
		if err != nil {
			return nil, err
		}
		k, err := c.pool.get(ctx)
		if err != nil {
			return nil, errkind.Wrap(err, call.ContextErrorKind(ctx, errkind.ConnectFailed), "connect to upstream").WithExecution(errkind.NotRun)
		}
		x := &exchange{ctx: ctx, connection: k, pool: &c.pool, stream: r.Stream, dialect: c.dialect, requestID: r.RequestID}
		x.mayPause = r.Stream != nil || len(r.Body) > call.InlineBodyBytes
		err = x.start(q)
		switch {
		case err == nil:
			if err := x.refusal(); err != nil {
				return nil, err
			}
			return x.response(r), nil
		case k.sent:
			return nil, errkind.From(err).WithExecution(errkind.Unknown)
		case !k.reused || r.Stream != nil || ctx.Err() != nil:
			return nil, errkind.From(err).WithExecution(errkind.NotRun)
		}
		// The upstream has closed an idle connection; another one may work.
	}
}

func (x *exchange) response(r *call.Request) *call.Response {
	return &call.Response{
		Head: wire.ResponseHead{
			RequestID:     r.RequestID,
			Status:        x.answer.StatusCode,
			Header:        endToEnd(x.answer.Header, x.dialect.ReservedPrefix),
			ContentLength: x.answer.ContentLength,
		},
		Body:    x,
		Trailer: func() map[string][]string { return x.answer.Trailer },
		Load:    func() *wire.Load { return nil },
	}
}

func (c *Client) newRequest(ctx context.Context, r *call.Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil || u.Host != "" {
		return nil, errkind.New(errkind.BadRequest, "invalid path %q", r.Path)
	}
	if strings.ContainsAny(r.Method, " \t\r\n") {
		return nil, errkind.New(errkind.BadRequest, "invalid method %q", r.Method)
	}
	u.Scheme, u.Host = "http", c.pool.address
	h := endToEnd(r.Header, "")
	for _, name := range []string{c.dialect.Credential, c.dialect.Account} {
		delete(h, name)
	}
	if c.dialect.Account != "" && r.Account != "" {
		h[c.dialect.Account] = []string{r.Account}
	}
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d) - r.Reserve
		if left <= 0 && r.Reserve > 0 {
			return nil, errkind.New(errkind.DeadlineTooShort, "no time is left to call the upstream")
		}
		h[c.dialect.Deadline] = []string{c.dialect.FormatDeadline(left)}
	}
	for name, v := range map[string]string{
		c.dialect.RequestID:        r.RequestID,
		c.dialect.Attempt:          strconv.Itoa(r.Attempt),
		c.dialect.ExpectedInstance: r.Upstream,
		c.dialect.Caller:           r.Origin,
	} {
		if name != "" {
			h[name] = []string{v}
		}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	q := &http.Request{
		Method:        r.Method,
		URL:           u,
		Host:          r.Host,
		Header:        h,
		ContentLength: r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if r.Stream == nil {
		q.ContentLength = int64(len(r.Body))
		if len(r.Body) > 0 {
			q.Body = io.NopCloser(bytes.NewReader(r.Body))
		}
	}
	return q, nil
}

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without hop-by-hop headers, and without those that
// begin with the reserved prefix, if it is not empty. An upstream that is itself a
// caller may pass on a response that includes this system's headers, which describe
// another request.
func endToEnd(h http.Header, reserved string) http.Header {
	n := make(http.Header, len(h)+4)
	for k, v := range h {
		// net/http canonicalizes all names and does not recognize others.
		if http.CanonicalHeaderKey(k) == k && (reserved == "" || !strings.HasPrefix(k, reserved)) {
			n[k] = v
		}
	}
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			n.Del(strings.TrimSpace(f))
		}
	}
	for _, f := range hopByHop {
		delete(n, f)
	}
	return n
}

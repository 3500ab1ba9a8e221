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
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Headers that a node sets towards an upstream.
const (
	HeaderDeadline  = "Gooseberrypick-Deadline"
	HeaderRequestID = "Gooseberrypick-Request-Id"
	HeaderAttempt   = "Gooseberrypick-Attempt"

	// reserved is the prefix of the system's own headers. An upstream that is
	// itself a caller may pass on an answer with them, whose statements concern
	// another request.
	reserved = "Gooseberrypick-"
)

// Client sends requests to one upstream over HTTP/1.1 and keeps its connections
// open. The queue bounds the number of requests at the same time.
type Client struct{ pool connections }

// NewClient returns a Client for the upstream at address that connects with d.
func NewClient(address string, d wire.Dialer) *Client {
	return &Client{connections{address: address, dial: d, keep: true}}
}

// SetKeep says whether connections are kept for further requests. Those that
// are not are closed: a server that shuts down closes idle connections itself,
// also when a request is just arriving.
func (c *Client) SetKeep(keep bool) { c.pool.setKeep(keep) }

// Expire closes the connections that were idle for long.
func (c *Client) Expire(now time.Time) { c.pool.expire(now, false) }

// Do sends r, at most once. An error states not-run only if no byte of r was
// handed to the network.
func (c *Client) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	for {
		q, err := c.newRequest(ctx, r)
		if err != nil {
			return nil, err
		}
		k, err := c.pool.get(ctx)
		if err != nil {
			return nil, errkind.Wrap(err, call.EndKind(ctx, errkind.ConnectFailed), "connect to upstream").WithExecution(errkind.NotRun)
		}
		x := &exchange{ctx: ctx, connection: k, pool: &c.pool, stream: r.Stream}
		err = x.start(q)
		switch {
		case err == nil:
			return x.response(r), nil
		case k.sent:
			return nil, errkind.From(err).WithExecution(errkind.Unknown)
		case !k.reused || r.Stream != nil || ctx.Err() != nil:
			return nil, errkind.From(err).WithExecution(errkind.NotRun)
		}
		// The upstream closed an idle connection; another one may work.
	}
}

func (x *exchange) response(r *call.Request) *call.Response {
	return &call.Response{
		Head: wire.ResponseHead{
			RequestID:     r.RequestID,
			Status:        x.answer.StatusCode,
			Header:        endToEnd(x.answer.Header, true),
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
		return nil, errkind.New(errkind.BadRequest, "path %q", r.Path)
	}
	if strings.ContainsAny(r.Method, " \t\r\n") {
		return nil, errkind.New(errkind.BadRequest, "method %q", r.Method)
	}
	u.Scheme, u.Host = "http", c.pool.address
	h := endToEnd(r.Header, false)
	if d, ok := ctx.Deadline(); ok {
		h[HeaderDeadline] = []string{strconv.FormatInt(max(time.Until(d).Milliseconds(), 1), 10) + "ms"}
	}
	h[HeaderRequestID] = []string{r.RequestID}
	h[HeaderAttempt] = []string{strconv.Itoa(r.Attempt)}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
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

// hopByHop headers concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without headers that concern one connection, and
// of an answer without the system's own headers.
func endToEnd(h http.Header, answer bool) http.Header {
	n := make(http.Header, len(h)+4)
	for k, v := range h {
		// net/http makes all names canonical; it does not recognize others.
		if http.CanonicalHeaderKey(k) == k && (!answer || !strings.HasPrefix(k, reserved)) {
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

package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Headers that a node sets towards an upstream.
const (
	HeaderDeadline  = "Gooseberrypick-Deadline"
	HeaderRequestID = "Gooseberrypick-Request-Id"
	HeaderAttempt   = "Gooseberrypick-Attempt"
)

const (
	// idempotencyKey in its canonical and its lower-case spelling. The
	// transport of net/http repeats a request by itself when it finds the
	// canonical spelling, which must not happen on routes that run once.
	idempotencyKey      = "Idempotency-Key"
	idempotencyKeyLower = "idempotency-key"

	connectTimeout    = 2 * time.Second
	idleTimeout       = 2 * time.Minute
	maxResponseHeader = 256 << 10
)

// Client sends requests to one upstream over HTTP/1.1 and keeps its connections
// open.
type Client struct {
	address   string
	transport *http.Transport
}

// NewClient returns a Client for an upstream that takes up to connections
// connections.
func NewClient(address string, connections int) *Client {
	d := net.Dialer{Timeout: connectTimeout}
	return &Client{
		address: address,
		transport: &http.Transport{
			DialContext:            d.DialContext,
			MaxConnsPerHost:        connections,
			MaxIdleConns:           connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeader,
			DisableCompression:     true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends r. An error states not-run only if no connection had been handed to
// the request, so that no byte of it can have reached the upstream.
func (c *Client) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	q := c.newRequest(ctx, r)
	a, err := c.transport.RoundTrip(q)
	if err != nil {
		return nil, failure(ctx, err, connected.Load())
	}
	return &call.Response{
		Head: wire.ResponseHead{
			RequestID:     r.RequestID,
			Status:        a.StatusCode,
			Header:        endToEnd(a.Header),
			ContentLength: a.ContentLength,
		},
		Body:    &body{ReadCloser: a.Body},
		Trailer: func() map[string][]string { return a.Trailer },
		Load:    func() *wire.Load { return nil },
	}, nil
}

func (c *Client) newRequest(ctx context.Context, r *call.Request) *http.Request {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		u = &url.URL{Path: r.Path}
	}
	u.Scheme, u.Host = "http", c.address
	q := &http.Request{
		Method:        r.Method,
		URL:           u,
		Host:          r.Host,
		Header:        endToEnd(r.Header),
		ContentLength: r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	switch {
	case r.Stream != nil:
		q.Body = io.NopCloser(r.Stream)
	case len(r.Body) > 0:
		q.Body = io.NopCloser(bytes.NewReader(r.Body))
		q.ContentLength = int64(len(r.Body))
	}
	if r.Execution != string(customer.Idempotent) {
		preventReplay(q)
	}
	if d, ok := ctx.Deadline(); ok {
		q.Header.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(d).Milliseconds(), 1), 10)+"ms")
	}
	q.Header.Set(HeaderRequestID, r.RequestID)
	q.Header.Set(HeaderAttempt, strconv.Itoa(r.Attempt))
	return q.WithContext(ctx)
}

// preventReplay keeps the transport from sending q a second time on another
// connection after the first one broke. The transport repeats requests without
// a body whose method is safe or which carry an Idempotency-Key header in its
// canonical spelling; header names have no case on the wire.
func preventReplay(q *http.Request) {
	if k, ok := q.Header[idempotencyKey]; ok {
		delete(q.Header, idempotencyKey)
		q.Header[idempotencyKeyLower] = k
	}
	if k, ok := q.Header["X-Idempotency-Key"]; ok {
		delete(q.Header, "X-Idempotency-Key")
		q.Header["x-idempotency-key"] = k
	}
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if q.Body == nil {
			q.Body = io.NopCloser(bytes.NewReader(nil))
		}
	}
}

func failure(ctx context.Context, err error, connected bool) error {
	k := errkind.UpstreamFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		k = errkind.DeadlineExceeded
	case errors.Is(ctx.Err(), context.Canceled):
		k = errkind.Canceled
	case !connected:
		k = errkind.ConnectFailed
	}
	e := errkind.Wrap(err, k, "request to upstream")
	if connected {
		return e.WithExecution(errkind.Unknown)
	}
	return e.WithExecution(errkind.NotRun)
}

// body turns any early end of an answer into an AnswerIncomplete error.
type body struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // only the bare value is the end
		err = errkind.Wrap(err, errkind.AnswerIncomplete, "answer of the upstream broke off")
	}
	return n, err
}

// hopByHop headers concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without headers that concern one connection.
func endToEnd(h http.Header) http.Header {
	n := h.Clone()
	if n == nil {
		return http.Header{}
	}
	for _, v := range h["Connection"] {
		for _, f := range splitList(v) {
			n.Del(f)
		}
	}
	for _, f := range hopByHop {
		n.Del(f)
	}
	return n
}

func splitList(v string) []string {
	var l []string
	for _, f := range bytes.Split([]byte(v), []byte(",")) {
		if s := textproto.TrimString(string(f)); s != "" {
			l = append(l, s)
		}
	}
	return l
}

package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// AtMostOnceBodyBytes bounds bodies on AtMostOnce routes, which are buffered
	// because their digest is part of the claim.
	AtMostOnceBodyBytes = 1 << 20
	maxKeyBytes         = 256
	maxRequestIDBytes   = 128
)

func requestID(r *http.Request, d *dialect.Dialect) string {
	if id := r.Header.Get(d.RequestID); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	if d.NeedsRequestID {
		return "" // refused by validate
	}
	var b [12]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(b[:])
}

// validate does all checks that are possible before the body is read, and returns the
// time left for the request.
func (x *exchange) validate() (time.Duration, error) {
	r, m := x.r, x.match
	if !r.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 caller treats the close of the connection as the end of the
		// response, so that a cut-off response would look complete.
		return 0, errkind.New(errkind.BadRequest, "%s; expected HTTP/1.1 or HTTP/2", r.Proto)
	}
	if hasDotSegments(r.URL.Path) {
		// The upstream may resolve them and serve the path of another route.
		return 0, errkind.New(errkind.BadRequest, "path %q has dot segments", r.URL.Path)
	}
	if k := r.Header.Get(HeaderIdempotencyKey); m.Route.Execution == customer.AtMostOnce && (k == "" || len(k) > maxKeyBytes) {
		return 0, errkind.New(errkind.KeyRequired, "route %q runs at most once and needs an %s header of 1 to %d bytes", m.Name, HeaderIdempotencyKey, maxKeyBytes)
	}
	if x.id == "" {
		return 0, errkind.New(errkind.BadRequest, "the request has no %s header of 1 to %d bytes", x.c.Dialect.RequestID, maxRequestIDBytes)
	}
	return x.deadline()
}

// authenticate finds the account of the caller's API key. The key is removed from the
// request, so that it ends at this node. More than one key counts as an unknown one.
func (x *exchange) authenticate(t *table.Table) error {
	h, name := x.r.Header, x.c.Dialect.Credential
	key := ""
	if l := h[name]; len(l) == 1 {
		key = l[0]
	}
	delete(h, name)
	delete(h, x.c.Dialect.Account)
	m, ok := t.Authenticate(x.match, key)
	if !ok {
		return errkind.New(errkind.Unauthorized, "route %q needs the API key of an account in %s", m.Name, name)
	}
	x.match = m
	return nil
}

func hasDotSegments(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for s := range strings.SplitSeq(path, "/") {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}

// deadline returns the time left for the request: the shorter of the route's deadline
// and that in the caller's header. From the header it also estimates how long the caller
// has waited already.
func (x *exchange) deadline() (time.Duration, error) {
	s, m := x.c.Dialect, x.match
	v := x.r.Header.Get(s.Deadline)
	if v == "" {
		return m.Route.Deadline, nil
	}
	d, err := s.ParseDeadline(v)
	if err != nil {
		return 0, errkind.New(errkind.BadRequest, "%s %v", s.Deadline, err)
	}
	if d <= 0 {
		return 0, errkind.New(errkind.DeadlineTooShort, "no time is left: %s is %s", s.Deadline, v)
	}
	x.firstSent = x.start.Add(-x.priorWait.Observe(m.Name, d))
	if time.Since(x.start) >= d {
		return 0, errkind.New(errkind.DeadlineTooShort, "no time is left: the request waited for earlier ones of its connection")
	}
	return min(d, m.Route.Deadline), nil
}

func (x *exchange) newRequest() *call.Request {
	r, m := x.r, x.match
	flow := remoteHost(r)
	if m.Account.Name != "" {
		flow = m.Account.Name
	}
	return &call.Request{FirstSent: x.firstSent, RequestHead: wire.RequestHead{
		RequestID:     x.id,
		Origin:        x.c.Origin,
		Customer:      m.Customer,
		Service:       m.Route.Service,
		Rank:          m.Rank.Name,
		Caller:        flow,
		Weight:        m.Weight,
		Account:       m.Account.Name,
		Attempt:       inboundAttempt(r, x.c.Dialect),
		Version:       x.version,
		Execution:     string(m.Route.Execution),
		Method:        r.Method,
		Host:          r.Host,
		Path:          r.URL.RequestURI(),
		Header:        r.Header,
		ContentLength: r.ContentLength,
		Route:         m.Name,
		WholeBody:     true,
	}}
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// readBody buffers a small body, so that it can be sent again, and leaves a larger one
// unread until an owner node admits the request.
func (x *exchange) readBody(ctx context.Context, q *call.Request) error {
	u := x.upload
	if u == nil {
		return nil
	}
	if err := x.limitBody(u); err != nil {
		return err
	}
	atMostOnce := x.match.Route.Execution == customer.AtMostOnce
	limit := int64(call.WholeBodyBytes)
	if atMostOnce {
		limit = AtMostOnceBodyBytes
	}
	size := x.r.ContentLength
	if size <= limit {
		b, err := x.bufferBody(ctx, u, limit)
		if err != nil {
			return err
		}
		if int64(len(b)) <= limit {
			q.Body, q.ContentLength = b, int64(len(b))
			return nil
		}
		u.body = io.MultiReader(bytes.NewReader(b), u.body)
	}
	if atMostOnce {
		return errkind.New(errkind.TooLarge, "the body exceeds %d bytes, the limit on routes that run at most once", AtMostOnceBodyBytes)
	}
	q.WholeBody, q.Stream, q.ContentLength = false, u, size
	x.readAhead(u, size)
	return nil
}

// readAhead lets u, which has size bytes or an unknown number, be read while the request
// waits for an owner node, if the memory for bodies allows. A caller that waits for 100
// Continue sends nothing before.
func (x *exchange) readAhead(u *upload, size int64) {
	n := int64(maxReadAhead)
	if size >= 0 {
		n = min(n, size)
	}
	if x.conn == nil || x.r.ProtoMajor != 1 || x.r.Header.Get("Expect") != "" || !x.reserveAhead(n) {
		return
	}
	u.startReadAhead(int(n), func(err error) { x.withdraw("request body was cut off", err) })
}

// bufferBody reads up to limit+1 bytes, so that readBody can detect a longer body.
func (x *exchange) bufferBody(ctx context.Context, u *upload, limit int64) ([]byte, error) {
	size, capacity := x.r.ContentLength, x.r.ContentLength
	if size < 0 {
		size, capacity = limit, 0
	}
	if !x.reserve(size) {
		return nil, errkind.New(errkind.QueueFull, "the bodies of other requests use up this node's buffer of %d bytes", x.c.MaxBodyBytes)
	}
	b := bytes.NewBuffer(make([]byte, 0, capacity+bytes.MinRead))
	_, err := b.ReadFrom(io.LimitReader(u, limit+1))
	switch {
	case err == nil:
		return b.Bytes(), nil
	case errkind.Of(err) == errkind.TooLarge:
		return nil, errkind.From(err).WithExecution(errkind.NotRun)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, errkind.New(errkind.DeadlineExceeded, "the deadline passed before the body had arrived").WithExecution(errkind.NotRun)
	case ctx.Err() != nil:
		return nil, errkind.Wrap(err, errkind.Canceled, "caller went away").WithExecution(errkind.NotRun)
	}
	return nil, errkind.Wrap(err, errkind.BadRequest, "read request body")
}

// reserve counts n bytes of buffer memory for a body, and reports whether they are
// within the limit. release frees them in either case.
func (x *exchange) reserve(n int64) bool {
	x.reserved = n
	return x.bufferedBytes.Add(n) <= x.c.MaxBodyBytes
}

// reserveAhead counts another n bytes that are read ahead, if they leave half of the limit
// for bodies that have to be buffered.
func (x *exchange) reserveAhead(n int64) bool {
	if x.bufferedBytes.Add(n) > x.c.MaxBodyBytes/2 {
		x.bufferedBytes.Add(-n)
		return false
	}
	x.reserved += n
	return true
}

func (x *exchange) release() { x.bufferedBytes.Add(-x.reserved) }

func remoteHost(r *http.Request) string {
	h, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return h
}

func inboundAttempt(r *http.Request, d *dialect.Dialect) int {
	if d.Attempt == "" {
		return 1
	}
	if n, err := strconv.Atoi(r.Header.Get(d.Attempt)); err == nil && n > 1 {
		return n
	}
	return 1
}

package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// DefaultBudgetBytes is the memory for what callers' connections hold, unless Config
	// has a Budget.
	DefaultBudgetBytes = 40 << 20
	// maxConfiguredHeaderBytes bounds customer.Limits.HeaderBytes.
	maxConfiguredHeaderBytes = 256 << 10
)

// limits are the limits for callers that are in force. Zero bodyBytes means no limit.
type limits struct {
	headerBytes                                  int
	bodyBytes                                    int64
	headerTimeout, idleTimeout, firstByteTimeout time.Duration
}

// tableLimits are the limits that a table has.
type tableLimits struct {
	table *table.Table
	limits
}

// limits returns the limits of the table in force. Where several customers have limits, the
// widest counts, since the customer is not known before the head has been read.
func (h *Handler) limits() limits {
	t := h.limitsTable()
	if k := h.limitsInForce.Load(); k != nil && k.table == t {
		return k.limits
	}
	l := limitsOf(t)
	h.limitsInForce.Store(&tableLimits{t, l})
	return l
}

func limitsOf(t *table.Table) limits {
	var l limits
	set := false
	for _, c := range t.Configs() {
		k := c.Limits()
		if k.BodyBytes == 0 && set || !set {
			l.bodyBytes = k.BodyBytes
		} else if l.bodyBytes != 0 {
			l.bodyBytes = max(l.bodyBytes, k.BodyBytes)
		}
		set = true
		l.headerBytes = max(l.headerBytes, orDefault(k.HeaderBytes, maxHeaderBytes))
		l.headerTimeout = max(l.headerTimeout, orDefault(k.HeaderTimeout, headerTimeout))
		l.idleTimeout = max(l.idleTimeout, orDefault(k.IdleTimeout, idleTimeout))
		if k.IdleTimeout > 0 {
			l.firstByteTimeout = max(l.firstByteTimeout, k.IdleTimeout)
		}
	}
	l.headerBytes = min(orDefault(l.headerBytes, maxHeaderBytes), maxConfiguredHeaderBytes)
	l.headerTimeout = orDefault(l.headerTimeout, headerTimeout)
	l.idleTimeout = orDefault(l.idleTimeout, idleTimeout)
	l.firstByteTimeout = max(l.firstByteTimeout, headerTimeout)
	return l
}

func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// admitHead checks the head of an HTTP/2 request, which has been parsed already, and
// returns a function that releases its memory. Those of HTTP/1 were checked by conn.
func (x *exchange) admitHead() (release func(), err error) {
	release = func() {}
	if x.r.ProtoMajor == 1 {
		return release, nil
	}
	n, lines := headSize(x.r.Header)
	if l := x.limits().headerBytes; lines > wire.MaxHeaderLines || n > l+wire.HeadAllowance {
		x.refusals.count(reasonHeaderLines)
		return release, errkind.New(errkind.HeadTooLarge, "the head has %d lines of %d bytes", lines, n)
	}
	cost := wire.CountedBytes(wire.HeadCost(n, lines))
	if cost == 0 {
		return release, nil
	}
	k := x.c.Budget.Open(func() {})
	k.Protect(true) // from now on, the request may be passed on
	if !k.Set(cost) {
		x.refusals.count(reasonBudget)
		return release, errkind.New(errkind.QueueFull, "the memory for callers of this node is used up")
	}
	return k.Close, nil
}

func headSize(h http.Header) (n, lines int) {
	for k, l := range h {
		for _, v := range l {
			n += len(k) + len(v)
			lines++
		}
	}
	return n, lines
}

// limitedBody ends a body of unknown length with an error beyond left bytes.
type limitedBody struct {
	io.Reader
	left int64
	h    *Handler
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.left -= int64(n); b.left < 0 {
		b.h.refusals.count(reasonBodyBytes)
		return 0, errkind.New(errkind.TooLarge, "the body exceeds the limit").WithExecution(errkind.Unknown)
	}
	return n, err
}

// limitBody refuses a body that is known to exceed the limit, and bounds one of unknown
// length.
func (x *exchange) limitBody(u *upload) error {
	l := x.limits().bodyBytes
	switch {
	case l == 0:
		return nil
	case x.r.ContentLength > l:
		x.refusals.count(reasonBodyBytes)
		return errkind.New(errkind.TooLarge, "the body of %d bytes exceeds the limit of %d", x.r.ContentLength, l)
	case x.r.ContentLength < 0:
		u.body = &limitedBody{u.body, l, x.Handler}
	}
	return nil
}

// newBudget returns b or a budget of the default size.
func newBudget(b *budget.Budget) *budget.Budget {
	if b == nil {
		return budget.New(DefaultBudgetBytes)
	}
	return b
}

package peer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// responseSmoothing is the weight of a new response in the mean size of a route's
	// responses.
	responseSmoothing = 0.1
	// maxRoutes bounds the routes whose response sizes are kept.
	maxRoutes = 1024
	// idlePoll is how often WaitSent checks.
	idlePoll = 2 * time.Millisecond
)

// OutletConfig configures an Outlet.
type OutletConfig struct {
	// Link is the link of this VM, or nil if its rate is unknown.
	Link *link.Link
	// Rank returns the order and target of a rank of a customer. Without it, all bodies
	// are equally urgent.
	Rank func(customer, rank string) (order int, target time.Duration)
}

// Outlet sends bodies over the link of this node: responses to other nodes and to
// callers, and request bodies. One Outlet serves all parts of a node. Without a link, it
// sends each body at once.
type Outlet struct {
	c      OutletConfig
	budget *aheadBudget
	mu     sync.RWMutex
	means  map[string]float64 // size of the responses of a route
}

// NewOutlet returns an Outlet.
func NewOutlet(c OutletConfig) *Outlet {
	if c.Rank == nil {
		c.Rank = func(string, string) (int, time.Duration) { return 0, 0 }
	}
	return &Outlet{c: c, budget: newAheadBudget(maxAheadBytes), means: map[string]float64{}}
}

// AheadBytes returns the memory that holds responses that were read ahead.
func (o *Outlet) AheadBytes() int64 { return o.budget.used.Load() }

// LinkStats returns the state of the link.
func (o *Outlet) LinkStats() link.Stats { return o.c.Link.Stats() }

// WaitSent returns once no response of an upstream that is read ahead is being sent, or
// when ctx ends.
func (o *Outlet) WaitSent(ctx context.Context) {
	for o.budget.responses.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(idlePoll):
		}
	}
}

// class returns the urgency of the bodies of r, which is about to be sent. Without a link,
// all are equally urgent.
func (o *Outlet) class(r *call.Request) link.Class {
	if o.c.Link == nil {
		return link.Class{}
	}
	now := time.Now()
	order, target := o.c.Rank(r.Customer, r.Rank)
	c := link.Class{Order: order}
	if target > 0 {
		c.Target = now.Add(target - r.Waited)
	}
	if r.Remaining > 0 {
		c.Deadline = now.Add(r.Remaining)
	}
	return c
}

// meanSize returns the mean size of the responses of a route, or zero if unknown.
func (o *Outlet) meanSize(route string) float64 {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.means[route]
}

// recordSize updates the mean size with a complete response of n bytes.
func (o *Outlet) recordSize(route string, n int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, ok := o.means[route]
	if !ok && len(o.means) >= maxRoutes {
		clear(o.means)
	}
	if !ok {
		m = float64(n)
	}
	o.means[route] = m + (float64(n)-m)*responseSmoothing
}

// delivery is the response to one request on its way out. It is nil without a link.
type delivery struct {
	outlet  *Outlet
	request *call.Request
	class   link.Class
	// flow is set while the response is expected or known to be large.
	flow *link.Flow
	// length is the stated length of the response, or -1.
	length int64
	sent   int64
	// relayed is set if another node has sent the response over its link already.
	relayed bool
	// ahead is the response as far as it has been read ahead, or nil.
	ahead *readAhead
}

// admit returns a delivery for the response to r, or refuses r if a large response is
// expected that the link cannot carry by the deadline. close must be called.
func (o *Outlet) admit(r *call.Request) (*delivery, error) {
	if o.c.Link == nil {
		return nil, nil
	}
	d := &delivery{outlet: o, request: r, class: o.class(r), length: -1}
	n := int64(o.meanSize(r.Route))
	if n <= link.SmallBytes || r.Method == http.MethodHead {
		return d, nil
	}
	f, err := o.c.Link.Admit(d.class, n)
	var b *link.BusyError
	if errors.As(err, &b) {
		return nil, &call.LoadError{Err: errkind.Wrap(err, errkind.QueueFull, "response of about %d bytes", n).WithExecution(errkind.NotRun), After: b.RetryAfter}
	}
	d.flow = f
	return d, nil
}

// start prepares the delivery of a, whose head has arrived.
func (d *delivery) start(a *call.Response) {
	if d.length = a.Head.ContentLength; d.request.Method == http.MethodHead || a.Head.Status == http.StatusNotModified {
		d.length = 0
	}
	switch {
	case d.length < 0:
		return
	case d.length <= link.SmallBytes:
		d.flow.Close()
		d.flow = nil
	case d.flow == nil:
		d.flow = d.outlet.c.Link.Open(d.class, d.length)
	default:
		d.flow.SetLeft(d.length)
	}
	if d.relayed {
		d.flow.Begin()
	}
}

// unsizedFlow returns the place on the link of a response of unknown length, and otherwise
// nil: a stated length is already known there.
func (d *delivery) unsizedFlow() *link.Flow {
	if d.length >= 0 {
		return nil
	}
	return d.flow
}

// paceHead returns once the head of a response of unknown length may be sent, if a large
// one is expected. The head of such a response reaches the caller before the body, and
// the caller gets nothing if the body then does not arrive by the deadline. That of another
// is sent at once.
func (d *delivery) paceHead(ctx context.Context) error {
	if d == nil || d.flow == nil || d.length >= 0 {
		return nil
	}
	return d.acquire(ctx, 1)
}

// pace returns once n bytes of the response may be sent. Of a response of unknown length,
// the first link.SmallBytes count as small, unless the route's responses are large.
func (d *delivery) pace(ctx context.Context, n int) error {
	if d == nil || n == 0 {
		return nil
	}
	d.sent += int64(n)
	if d.flow == nil && d.length <= link.SmallBytes && d.sent <= link.SmallBytes {
		d.outlet.c.Link.Small(n)
		return nil
	}
	if d.flow == nil {
		d.flow = d.outlet.c.Link.Open(d.class, -1)
		d.flow.Begin()
	}
	return d.acquire(ctx, n)
}

// acquire returns once the next n bytes of a large response may be sent.
func (d *delivery) acquire(ctx context.Context, n int) error {
	if d.length < 0 && d.ahead != nil {
		if rest, ok := d.ahead.rest(); ok {
			d.flow.SetLeft(rest + int64(n))
		}
	}
	err := d.flow.Acquire(ctx, n)
	if err == nil {
		return nil
	}
	k := call.ContextErrorKind(ctx, errkind.Canceled)
	if errors.Is(err, link.ErrTooLate) {
		k = errkind.DeadlineExceeded
	}
	return errkind.Wrap(err, k, "response waited for the link").WithExecution(errkind.Unknown)
}

// complete records that the whole response has been sent.
func (d *delivery) complete(status int) {
	if d != nil && status/100 == 2 && d.request.Method != http.MethodHead {
		d.outlet.recordSize(d.request.Route, d.sent)
	}
}

// close gives up the place on the link.
func (d *delivery) close() {
	if d != nil {
		d.flow.Close()
	}
}

// load returns l with the wait of a large body for the link.
func (o *Outlet) load(l *wire.Load) *wire.Load {
	wait := o.c.Link.Delay().Milliseconds()
	if l == nil || wait == 0 {
		return l
	}
	n := *l
	n.LinkDelayMillis = int(wait)
	return &n
}

// isLarge reports whether the response is large or of unknown length.
func isLarge(a *call.Response) bool {
	return a.Head.ContentLength < 0 || a.Head.ContentLength > link.SmallBytes
}

// ToCallers returns a Transport that sends the responses of t on to callers over the link.
// The wait for the link is part of reading the response.
func (o *Outlet) ToCallers(t call.Transport) call.Transport {
	if o.c.Link == nil {
		return t
	}
	return &toCallers{t, o}
}

type toCallers struct {
	call.Transport
	outlet *Outlet
}

// Call implements call.Transport.
func (t *toCallers) Call(ctx context.Context, r *call.Request) (*call.Response, error) {
	d, err := t.outlet.admit(r)
	if err != nil {
		return nil, withLoad(err, t.Transport, t.outlet, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	a, err := t.Transport.Call(ctx, r)
	if err != nil {
		cancel()
		d.close()
		return nil, err
	}
	d.start(a)
	n := *a
	if isLarge(a) {
		d.ahead = newReadAhead(a.Body, t.outlet.budget, cancel, d.unsizedFlow())
		n.Body = d.ahead
	}
	n.Body = &pacedBody{ReadCloser: n.Body, ctx: ctx, delivery: d, status: a.Head.Status, piece: t.outlet.c.Link.PieceBytes(0), close: func() { cancel(); d.close() }}
	if err := d.paceHead(ctx); err != nil {
		n.Body.Close()
		return nil, err
	}
	n.Load = func() *wire.Load { return t.outlet.load(a.Load()) }
	return &n, nil
}

// paceToCaller returns a with its body sent on to a caller over the link.
func (o *Outlet) paceToCaller(ctx context.Context, c link.Class, r *call.Request, a *call.Response) *call.Response {
	if o.c.Link == nil {
		return a
	}
	d := &delivery{outlet: o, request: r, class: c, relayed: true}
	d.start(a)
	n := *a
	n.Body = &pacedBody{ReadCloser: a.Body, ctx: ctx, delivery: d, piece: o.c.Link.PieceBytes(0), close: d.close}
	return &n
}

// pacedBody is a response body that is read as the link allows.
type pacedBody struct {
	io.ReadCloser
	ctx      context.Context
	delivery *delivery
	// status is that of a response whose size is still to be recorded, or zero.
	status int
	piece  int
	close  func()
	// err is the error of a piece that was not sent. The body is then incomplete.
	err error
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.piece)])
	if b.err = b.delivery.pace(b.ctx, n); b.err != nil {
		return 0, b.err
	}
	if call.IsEOF(err) {
		b.delivery.complete(b.status)
		b.status = 0
	}
	return n, err
}

// Close implements io.Closer.
func (b *pacedBody) Close() error {
	err := b.ReadCloser.Close()
	b.close()
	return err
}

// withLoad returns a refusal with the load of the upstream of r, if t knows it.
func withLoad(err error, t call.Transport, o *Outlet, r *call.Request) error {
	var l *call.LoadError
	if k, ok := t.(interface {
		Load(r *call.Request) *wire.Load
	}); ok && errors.As(err, &l) && l.Load == nil {
		l.Load = o.load(k.Load(r))
	}
	return err
}

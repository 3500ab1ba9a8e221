package peer

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// The owner node gets 1/deadlineMarginShare less time than remains, but at most
	// maxDeadlineMargin less, so that its refusal arrives before the entry node gives
	// up: a connection on which a call timed out is closed.
	deadlineMarginShare = 20
	maxDeadlineMargin   = 3 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Dial wire.Dialer
	// TCPUserTimeout is the time within which a node must acknowledge sent data.
	TCPUserTimeout time.Duration
	// Outlet sends the request bodies, and the responses on to callers; nil means that
	// the rate of the link is unknown.
	Outlet *Outlet
}

// Client calls other nodes.
type Client struct {
	c     ClientConfig
	pool  *wire.Pool
	clock *sendClock
}

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	if c.Outlet == nil {
		c.Outlet = NewOutlet(OutletConfig{})
	}
	return &Client{c: c, pool: wire.NewPool(wire.WithTCPUserTimeout(c.Dial, c.TCPUserTimeout)), clock: newSendClock()}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call sends r to the owner node at address. An error states not-run only if the
// owner node stated it, or cannot have sent anything to its upstream.
func (c *Client) Call(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	conn, err := c.pool.Get(ctx, address)
	if err != nil {
		e := errkind.From(err)
		return nil, errkind.Wrap(err, call.ContextErrorKind(ctx, e.Kind), "connect to node").WithExecution(errkind.NotRun)
	}
	x := &exchange{
		ctx: ctx, request: r, head: r.RequestHead, body: r.Stream,
		conn: conn, clock: c.clock, tcpUserTimeout: c.c.TCPUserTimeout, outlet: c.c.Outlet, class: c.c.Outlet.class(r), release: func(reusable bool) { c.pool.Put(address, conn, reusable) },
	}
	x.head.Remaining -= min(x.head.Remaining/deadlineMarginShare, maxDeadlineMargin)
	if len(r.Body) > call.InlineBodyBytes {
		x.head.Body, x.head.WholeBody, x.body = nil, false, io.NopCloser(bytes.NewReader(r.Body))
	}
	a, err := x.start()
	if err != nil {
		x.finish()
		return nil, err
	}
	return c.c.Outlet.paceToCaller(ctx, x.class, r, a), nil
}

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
	// The owner node gets a little less time than is left, so that its refusal
	// arrives before the entry node gives up: a connection on which a call was
	// given up is closed.
	marginShare = 20
	maxMargin   = 3 * time.Millisecond
)

// Client calls other nodes.
type Client struct {
	pool    *wire.Pool
	silence time.Duration
}

// NewClient returns a Client that connects with d, and whose connections fail
// when a node is silent for the given time.
func NewClient(d wire.Dialer, silence time.Duration) *Client {
	return &Client{pool: wire.NewPool(wire.WithTCPUserTimeout(d, silence)), silence: silence}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call sends r to the owner node at address. An error states not-run only if
// the owner node said so, or if it cannot have sent anything to its upstream.
func (c *Client) Call(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	conn, err := c.pool.Get(ctx, address)
	if err != nil {
		e := errkind.From(err)
		return nil, errkind.Wrap(err, call.ContextErrorKind(ctx, e.Kind), "connect to node").WithExecution(errkind.NotRun)
	}
	x := &exchange{
		ctx: ctx, request: r, head: r.RequestHead, body: r.Stream,
		conn: conn, silence: c.silence, release: func(clean bool) { c.pool.Put(address, conn, clean) },
	}
	x.head.Remaining -= min(x.head.Remaining/marginShare, maxMargin)
	if len(r.Body) > call.InlineBodyBytes {
		x.head.Body, x.head.WholeBody, x.body = nil, false, io.NopCloser(bytes.NewReader(r.Body))
	}
	a, err := x.start()
	if err != nil {
		x.finish()
		return nil, err
	}
	return a, nil
}

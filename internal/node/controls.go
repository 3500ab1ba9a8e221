package node

import (
	"context"
	"slices"

	"github.com/gooseberrypick/gooseberrypick/internal/idempotency"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// controls provides clients of the controls for the requests about claims.
type controls struct {
	pool      *wire.Pool
	addresses []string
	// preferred returns the address of the control that the node is connected
	// to, or an empty string.
	preferred func() string
}

// list returns a client of each control, the preferred control first.
func (c *controls) list() []idempotency.Control {
	l := slices.Clone(c.addresses)
	if i := slices.Index(l, c.preferred()); i > 0 {
		l[0], l[i] = l[i], l[0]
	}
	r := make([]idempotency.Control, 0, len(l))
	for _, a := range l {
		r = append(r, &controlClient{pool: c.pool, address: a})
	}
	return r
}

// controlClient calls one control. It implements idempotency.Control.
type controlClient struct {
	pool    *wire.Pool
	address string
}

// Claim implements idempotency.Control.
func (c *controlClient) Claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return wire.PoolCall[wire.ClaimRequest, wire.ClaimResponse](ctx, c.pool, c.address, wire.MethodClaim, q)
}

// Complete implements idempotency.Control.
func (c *controlClient) Complete(ctx context.Context, q *wire.CompleteRequest) (*wire.Empty, error) {
	return wire.PoolCall[wire.CompleteRequest, wire.Empty](ctx, c.pool, c.address, wire.MethodComplete, q)
}

// Release implements idempotency.Control.
func (c *controlClient) Release(ctx context.Context, q *wire.ReleaseRequest) (*wire.Empty, error) {
	return wire.PoolCall[wire.ReleaseRequest, wire.Empty](ctx, c.pool, c.address, wire.MethodRelease, q)
}

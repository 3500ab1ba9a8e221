package peer

import (
	"context"
	"io"
	"sync"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// upstreamBody is the body of an upstream's response. Read blocks at the end until end is
// closed, and then returns err.
type upstreamBody struct {
	io.Reader
	ctx context.Context
	end chan struct{}
	err error

	mu       sync.Mutex
	read     int
	ended    bool
	canceled bool // the request had ended when the body was closed
}

// newUpstreamBody returns a body of n bytes that ends as soon as it has been read.
func newUpstreamBody(ctx context.Context, n int) *upstreamBody {
	b := &upstreamBody{Reader: zeros(n), ctx: ctx, end: make(chan struct{}), err: io.EOF}
	close(b.end)
	return b
}

func (b *upstreamBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.mu.Lock()
	b.read += n
	b.mu.Unlock()
	if err == nil {
		return n, nil
	}
	select {
	case <-b.end:
		err = b.err
	case <-b.ctx.Done():
		err = b.ctx.Err()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return n, err
}

func (b *upstreamBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.canceled = b.ctx.Err() != nil
	return nil
}

// state returns the bytes read, and whether the end has been read.
func (b *upstreamBody) state() (read int, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read, b.ended
}

// bodyTransport answers each request with the next body.
type bodyTransport struct {
	mu     sync.Mutex
	bodies []*upstreamBody
	// body returns the body of a response.
	body func(ctx context.Context) *upstreamBody
	// length is the stated length.
	length int64
}

func (u *bodyTransport) call(ctx context.Context, r *call.Request) (*call.Response, error) {
	if r.OnAdmitted != nil {
		if err := r.OnAdmitted(); err != nil {
			return nil, err
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	b := u.body(ctx)
	u.bodies = append(u.bodies, b)
	a := newResponse(r.RequestID, u.length, b)
	a.Body = b
	a.Load = func() *wire.Load { return &wire.Load{Limit: 4} }
	return a, nil
}

func (u *bodyTransport) calls() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.bodies)
}

// first returns the first body.
func (u *bodyTransport) first() *upstreamBody {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bodies[0]
}

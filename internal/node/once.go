package node

import (
	"bytes"
	"context"
	"io"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/caller"
	"github.com/gooseberrypick/gooseberrypick/internal/idempotency"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxOnceAnswerBytes bounds the answers on AtMostOnce routes, which are held in
// memory until their outcome is recorded.
const maxOnceAnswerBytes = 4 << 20

// onceRunner runs requests of AtMostOnce routes under a claim of their key.
type onceRunner struct {
	client *idempotency.Client
	router caller.Router
}

// Run implements caller.OnceRunner.
func (o *onceRunner) Run(ctx context.Context, m table.Match, key string, q *call.Request) (*call.Response, error) {
	k := idempotency.Request{
		Customer: m.Customer,
		Key:      key,
		Digest:   idempotency.Digest(q.Method, q.Host+q.Path, q.Body),
	}
	a, err := o.client.Run(ctx, k, func(ctx context.Context) (*idempotency.Response, error) {
		return o.execute(ctx, m, q)
	})
	if err != nil {
		return nil, err
	}
	return &call.Response{
		Head: wire.ResponseHead{
			RequestID: q.RequestID, Status: a.Status, Header: a.Header, ContentLength: int64(len(a.Body)),
		},
		Body:    io.NopCloser(bytes.NewReader(a.Body)),
		Trailer: func() map[string][]string { return nil },
		Load:    func() *wire.Load { return nil },
	}, nil
}

// execute reads the whole answer, since an outcome is recorded only when it is
// complete.
func (o *onceRunner) execute(ctx context.Context, m table.Match, q *call.Request) (*idempotency.Response, error) {
	a, err := o.router.Route(ctx, m, q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxOnceAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxOnceAnswerBytes {
		return nil, errkind.New(errkind.AnswerIncomplete, "the answer exceeds %d bytes, the limit on routes that run at most once", maxOnceAnswerBytes)
	}
	return &idempotency.Response{Status: a.Head.Status, Header: a.Head.Header, Body: b}, nil
}

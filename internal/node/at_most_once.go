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
)

// maxRecordedBodyBytes bounds the response body on an AtMostOnce route that is read
// before the outcome is recorded. Larger bodies are not recorded.
const maxRecordedBodyBytes = call.WholeBodyBytes

// atMostOnceRunner runs each request of an AtMostOnce route under a claim on its
// idempotency key.
type atMostOnceRunner struct {
	client *idempotency.Client
	router caller.Router
}

// Run implements caller.AtMostOnceRunner.
func (o *atMostOnceRunner) Run(ctx context.Context, m table.Match, key string, q *call.Request) (*call.Response, error) {
	k := idempotency.Request{
		Customer: m.Customer,
		Key:      key,
		Digest:   idempotency.Digest(q.Method, q.Host+q.Path, q.Body),
	}
	var ran *call.Response
	a, err := o.client.Run(ctx, k, func(ctx context.Context) (r *idempotency.Response, err error) {
		ran, r, err = o.execute(ctx, m, q)
		return r, err
	})
	if err != nil {
		return nil, err
	}
	if ran != nil && !a.Replayed {
		return ran, nil
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

// execute routes the request and reads a small response to its end, because its outcome
// is recorded only if it is complete. The rest of a larger response is streamed to the
// caller, and its outcome is recorded without the body.
func (o *atMostOnceRunner) execute(ctx context.Context, m table.Match, q *call.Request) (*call.Response, *idempotency.Response, error) {
	a, err := o.router.Route(ctx, m, q)
	if err != nil {
		return nil, nil, err
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxRecordedBodyBytes+1))
	if err != nil {
		a.Body.Close()
		return nil, nil, err
	}
	r := &idempotency.Response{Status: a.Head.Status, Header: a.Head.Header, Body: b, Partial: len(b) > maxRecordedBodyBytes}
	n := *a
	n.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(b), a.Body), Closer: a.Body}
	return &n, r, nil
}

// prefixedBody is a response body whose beginning was already read into memory.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// Package idempotency is the node side of at-most-once execution. It claims the
// idempotency key of a request at a control, runs the request once, and records the
// outcome.
//
// # Usage
//
// A node creates one Client over its connections to the controls, and runs
// each request of an AtMostOnce route through it:
//
//	c := idempotency.New(idempotency.Config{Node: name, Controls: reachable, Log: log})
//	q := idempotency.Request{Customer: customer, Key: key, Digest: idempotency.Digest(method, path, body)}
//	a, err := c.Run(ctx, q, func(ctx context.Context) (*idempotency.Response, error) {
//		return forward(ctx) // an error may state not-run only if that is certain
//	})
//
// # Responses
//
// A request that runs gets the response of its upstream. A resend of it gets the
// recorded response with the header Gooseberrypick-Replayed: true, or an error of kind
// AnswerNotKept with the status in its reason if the response was too large to record.
//
// In all other cases the result is an errkind error. Execution not-run refers to the
// current request: it was not sent to an upstream. An earlier request with the same key
// may have run.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// ReplayedHeader marks a replayed response.
const ReplayedHeader = "Gooseberrypick-Replayed"

// Request identifies one request of an AtMostOnce route.
type Request struct {
	Customer string
	// Key is the caller's Idempotency-Key.
	Key    string
	Digest []byte
}

// Digest returns the digest of a request, which distinguishes a resend from a different
// request with the same key. Path includes the query.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return h.Sum(nil)
}

// Response is the response of an upstream, complete or with only the start of its body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Partial states that Body is only the start of the body, and that the rest is sent
	// to the caller separately. Such a body is not recorded.
	Partial bool
	// Replayed marks the response to an earlier request with the same key.
	Replayed bool
}

func (r *Response) outcome() wire.Outcome {
	o := wire.Outcome{Status: r.Status, Header: r.Header, Body: r.Body}
	if r.Partial {
		o = o.WithoutBody()
	}
	return o.Bounded()
}

// replay returns a recorded response. If that was too large to record, it returns an
// error: a response without its body could look complete.
func replay(o *wire.Outcome) (*Response, error) {
	if o.Truncated {
		return nil, errkind.New(errkind.AnswerNotKept, "a request with this Idempotency-Key ran and was answered with status %d; its answer was too large to be kept", o.Status)
	}
	r := &Response{Status: o.Status, Header: http.Header{}, Body: o.Body, Replayed: true}
	for name, values := range o.Header {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	r.Header.Set(ReplayedHeader, "true")
	return r, nil
}

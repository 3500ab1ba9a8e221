// Package call holds the request and response that travel between the parts of
// a node, whether the chosen upstream is local or beside another node.
//
// # Usage
//
//	a, err := t.Call(ctx, &call.Request{RequestHead: head, Body: body})
//	if err != nil {
//		return err // an errkind error that says whether the request may have run
//	}
//	defer a.Body.Close()
//	_, err = io.Copy(w, a.Body) // io.EOF only after the whole answer
package call

import (
	"context"
	"io"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Sizes on the request path.
const (
	// WholeBodyBytes is the largest body that travels with the head, before
	// admission, and can be sent again.
	WholeBodyBytes = 64 << 10
	// ChunkBytes is the size of one piece of a streamed body.
	ChunkBytes = 32 << 10
)

// Request is a request on its way to an upstream.
type Request struct {
	wire.RequestHead
	// Stream is the body when WholeBody is false. It is read only after the
	// owner node admitted the request.
	Stream io.Reader
	// Admitted, when set, is called once before Stream is read.
	Admitted func() error
}

// Response is an upstream's answer.
type Response struct {
	Head wire.ResponseHead
	// Body returns io.EOF only when the whole answer arrived.
	Body io.ReadCloser
	// Trailer and Load are valid after Body returned io.EOF.
	Trailer func() map[string][]string
	Load    func() *wire.Load
}

// Transport carries a request to the upstream that its head names. The context
// must stay valid until the response's body is closed.
type Transport interface {
	Call(ctx context.Context, r *Request) (*Response, error)
}

// LoadError is an error that came with the owner node's view of its load.
type LoadError struct {
	Load *wire.Load
	Err  error
}

// Error implements error.
func (e *LoadError) Error() string { return e.Err.Error() }

// Unwrap returns the error itself.
func (e *LoadError) Unwrap() error { return e.Err }

// Package call defines the request and response that the packages of a node pass
// to each other, whether the chosen upstream is attached to this node or to
// another one.
//
// # Usage
//
//	a, err := t.Call(ctx, &call.Request{RequestHead: head, Body: body})
//	if err != nil {
//		return err // an errkind error that states whether the request may have run
//	}
//	defer a.Body.Close()
//	_, err = io.Copy(w, a.Body) // io.EOF only after the complete response
package call

import (
	"context"
	"io"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Body sizes.
const (
	// WholeBodyBytes is the size of the largest body that is buffered in memory,
	// so that it can be sent again.
	WholeBodyBytes = 64 << 10
	// InlineBodyBytes is the size of the largest body that is sent along with the
	// request head, before the owner node has admitted the request. Nodes that refuse a
	// request have received such a body for nothing.
	InlineBodyBytes = 16 << 10
	// ChunkBytes is the size of one chunk of a streamed body.
	ChunkBytes = 32 << 10
)

// Request is a request on its way to an upstream.
type Request struct {
	wire.RequestHead
	// FirstSent is when the caller first sent the request, as far as that is known.
	FirstSent time.Time
	// Stream is the body if WholeBody is false. It is read only after the owner
	// node has admitted the request. Close unblocks a pending Read and may be
	// called at any time.
	Stream io.ReadCloser
	// OnAdmitted, if set, is called once before Stream is read.
	OnAdmitted func() error
}

// Response is the response of an upstream.
type Response struct {
	Head wire.ResponseHead
	// Body returns io.EOF itself only once the complete response has arrived. Any
	// other error, even one that wraps io.EOF, means that it is incomplete.
	Body io.ReadCloser
	// Trailer and Load are valid once Body has returned io.EOF.
	Trailer func() map[string][]string
	Load    func() *wire.Load
}

// Transport sends a request to the upstream named in its head. The context must
// stay valid until the response body is closed.
type Transport interface {
	Call(ctx context.Context, r *Request) (*Response, error)
}

// IsEOF reports whether err marks the end of a body. An error that merely wraps
// io.EOF comes from a broken connection, so errors.Is must not be used.
func IsEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // see above
}

// Fill reads until b is full, or r ends or fails, and returns r's error unchanged.
// With io.ReadFull, the end of r could not be told from a body that was cut off
// with io.ErrUnexpectedEOF.
func Fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var k int
		k, err = r.Read(b[n:])
		n += k
	}
	return n, err
}

// ContextErrorKind returns the kind of ctx's error if ctx has ended, since that is
// then the cause of a failure, and k otherwise.
func ContextErrorKind(ctx context.Context, k errkind.Kind) errkind.Kind {
	switch ctx.Err() {
	case nil:
		return k
	case context.DeadlineExceeded:
		return errkind.DeadlineExceeded
	}
	return errkind.Canceled
}

// LoadError is an error with the load of the upstream as its owner node reported it.
type LoadError struct {
	Load *wire.Load
	// After is the time until a slot is likely to be free, or zero if unknown.
	After time.Duration
	// Arrived states that the request was sent to the upstream, or may have been. A
	// request that did not arrive has put no load on the upstream.
	Arrived bool
	Err     error
}

// Error implements error.
func (e *LoadError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *LoadError) Unwrap() error { return e.Err }

// RetryAfter returns After.
func (e *LoadError) RetryAfter() time.Duration { return e.After }

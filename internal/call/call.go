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
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Sizes on the request path.
const (
	// WholeBodyBytes is the largest body that is kept whole and can be sent again.
	WholeBodyBytes = 64 << 10
	// InlineBodyBytes is the largest body that travels with the head, before the
	// owner node admitted the request.
	InlineBodyBytes = 32 << 10
	// ChunkBytes is the size of one piece of a streamed body.
	ChunkBytes = 32 << 10
)

// Request is a request on its way to an upstream.
type Request struct {
	wire.RequestHead
	// FirstSent is when the caller first asked, as far as that is known.
	FirstSent time.Time
	// Stream is the body when WholeBody is false. It is read only after the
	// owner node admitted the request. Close ends a Read that is under way; it
	// may be called at any time.
	Stream io.ReadCloser
	// OnAdmitted, when set, is called once before Stream is read.
	OnAdmitted func() error
}

// Response is an upstream's answer.
type Response struct {
	Head wire.ResponseHead
	// Body returns io.EOF itself only when the whole answer arrived. Any other
	// error, even one that wraps io.EOF, means that the answer is a part.
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

// IsEOF reports whether err is the end of a body. An error that merely wraps
// io.EOF comes from a connection that broke, so errors.Is must not be used.
func IsEOF(err error) bool {
	return err == io.EOF //nolint:errorlint // see above
}

// Fill reads until b is full or r ends or fails, and returns r's error as it is.
// io.ReadFull would make no difference between the end of r and a body that
// broke off with io.ErrUnexpectedEOF.
func Fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var k int
		k, err = r.Read(b[n:])
		n += k
	}
	return n, err
}

// ContextErrorKind returns the kind of an error: that of the end of ctx where ctx has
// ended, since this is then the cause, and k otherwise.
func ContextErrorKind(ctx context.Context, k errkind.Kind) errkind.Kind {
	switch ctx.Err() {
	case nil:
		return k
	case context.DeadlineExceeded:
		return errkind.DeadlineExceeded
	}
	return errkind.Canceled
}

// LoadError is an error that came with the owner node's view of its load.
type LoadError struct {
	Load *wire.Load
	// After is when a slot is likely to be free, or zero.
	After time.Duration
	// Arrived says that the request was sent to the upstream, or may have been. A
	// request that did not arrive has put no load on it.
	Arrived bool
	Err     error
}

// Error implements error.
func (e *LoadError) Error() string { return e.Err.Error() }

// Unwrap returns the error itself.
func (e *LoadError) Unwrap() error { return e.Err }

// RetryAfter returns After.
func (e *LoadError) RetryAfter() time.Duration { return e.After }

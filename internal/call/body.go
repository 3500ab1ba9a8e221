package call

import (
	"io"
	"sync"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// observedBody calls ended once with the outcome of a response body.
type observedBody struct {
	io.ReadCloser
	once  sync.Once
	ended func(err error)
}

// ObserveBody wraps b so that ended is called once: with nil after the complete
// body, with the error that cut it off, or with an error of kind Canceled if it is
// closed before its end, which says nothing about the upstream.
func ObserveBody(b io.ReadCloser, ended func(err error)) io.ReadCloser {
	return &observedBody{ReadCloser: b, ended: ended}
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case IsEOF(err):
		b.once.Do(func() { b.ended(nil) })
	case err != nil:
		b.once.Do(func() { b.ended(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.ended(errkind.New(errkind.Canceled, "response body closed before its end")) })
	return err
}

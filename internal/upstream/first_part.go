package upstream

import (
	"context"
	"io"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// firstPartBytes is the size of the part of a body that is read before the head is sent.
const firstPartBytes = 4 << 10

// sending allows requests to be sent to an upstream until it leaves.
type sending struct {
	ctx context.Context
	end context.CancelFunc
	// timer ends ctx; it is nil while the upstream serves.
	timer *time.Timer
}

func newSending() *sending {
	s := &sending{}
	s.ctx, s.end = context.WithCancel(context.Background())
	return s
}

// set allows or ends sending. What can be sent within idleWaitLimit still is, since the
// upstream waits that long for the answer to its announcement.
func (s *sending) set(serving bool) {
	switch {
	case !serving && s.timer == nil:
		s.timer = time.AfterFunc(idleWaitLimit, s.end)
	case serving && s.timer != nil:
		if s.timer.Stop() {
			s.timer = nil
		} else {
			*s = *newSending()
		}
	}
}

// awaitBody waits for the first part of a body that is streamed, which may come much
// later than the head, and gives up if the upstream leaves meanwhile. The head is sent
// together with that part.
func (w *worker) awaitBody(ctx context.Context, r *call.Request) error {
	w.mu.Lock()
	s := w.sending.ctx
	w.mu.Unlock()
	body := r.Stream
	stopContext := context.AfterFunc(ctx, func() { body.Close() })
	stopSending := context.AfterFunc(s, func() { body.Close() })
	b := make([]byte, firstPartBytes)
	n, err := 0, error(nil)
	for n == 0 && err == nil {
		n, err = body.Read(b)
	}
	stopContext()
	stopSending()
	switch { // a body that may have been closed is not sent
	case s.Err() != nil:
		return errkind.New(errkind.Leaving, "upstream %q left before the body of the request arrived", r.Upstream).WithExecution(errkind.NotRun)
	case err != nil && !call.IsEOF(err):
		return errkind.Wrap(err, call.ContextErrorKind(ctx, errkind.Canceled), "entry node did not send the body").WithExecution(errkind.NotRun)
	}
	r.Stream = &firstPart{first: b[:n], err: err, rest: body}
	return nil
}

// firstPart is a body of which the first part has been read.
type firstPart struct {
	first []byte
	err   error // of the read of the first part
	rest  io.ReadCloser
}

// Read implements io.Reader. Like the body itself, it returns io.EOF together with the last
// bytes.
func (p *firstPart) Read(b []byte) (int, error) {
	if len(p.first) == 0 && p.err == nil {
		return p.rest.Read(b)
	}
	n := copy(b, p.first)
	p.first = p.first[n:]
	if len(p.first) > 0 {
		return n, nil
	}
	return n, p.err
}

// Close implements io.Closer.
func (p *firstPart) Close() error { return p.rest.Close() }

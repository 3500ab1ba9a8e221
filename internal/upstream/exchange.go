package upstream

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxInterim bounds the 1xx answers before the answer itself.
const maxInterim = 8

// exchange is one request and its answer on a connection. It is the body of the
// answer.
type exchange struct {
	ctx context.Context
	*connection
	pool *connections
	// stream is a request body that is sent in the background, or nil.
	stream io.ReadCloser
	// pauses is set for bodies that an upstream may leave unread for a while.
	pauses bool
	// written is closed when nothing more is written; failed is the error of
	// the writing and set before that.
	written chan struct{}
	failed  error
	// bodyBroke is set where the request's body broke off, and not the network,
	// before the connection is closed for that reason.
	bodyBroke atomic.Bool
	dialect   *dialect.Dialect
	requestID string
	// stop ends the watch over ctx.
	stop   func() bool
	answer *http.Response
	once   sync.Once
}

// start sends q and returns once the head of the answer arrived. The kind of an
// error is found before the exchange is ended, since this also ends the reading
// from a caller, which net/http takes for the caller going away.
func (x *exchange) start(q *http.Request) error {
	x.sent, x.broken = false, false
	// Closing the connection is also how the upstream learns of the end.
	x.stop = context.AfterFunc(x.ctx, func() { x.conn.Close() })
	if x.pauses {
		if err := wire.SetTCPUserTimeout(x.conn, 0); err != nil {
			x.end(false)
			return errkind.Wrap(err, errkind.ConnectFailed, "prepare connection to upstream")
		}
	}
	if x.stream == nil {
		x.send(q)
		if x.failed != nil && !x.sent {
			err := errkind.Wrap(x.failed, call.ContextErrorKind(x.ctx, errkind.ConnectFailed), "send request to upstream")
			x.end(false)
			return err
		}
	} else {
		q.Body = io.NopCloser(x.stream)
		x.written = make(chan struct{})
		go func() {
			defer close(x.written)
			x.send(q)
		}()
	}
	err := x.receive(q)
	if err == nil {
		return nil
	}
	k := call.ContextErrorKind(x.ctx, errkind.UpstreamFailed)
	if x.bodyBroke.Load() {
		k = call.ContextErrorKind(x.ctx, errkind.Canceled)
		err = errors.Wrap(err, "request body broke off")
	}
	x.end(false)
	if x.written != nil {
		<-x.written
	}
	return errkind.Wrap(err, k, "request to upstream")
}

// send writes q. Where the network refuses a part, an early answer may still be
// there to read; where the body breaks off, the upstream must not wait for the
// rest or take a part for the whole.
func (x *exchange) send(q *http.Request) {
	if x.failed = q.Write(x.w); x.failed == nil {
		x.failed = x.w.Flush()
	}
	if x.failed != nil && !x.broken {
		x.bodyBroke.Store(true)
		x.conn.Close()
	}
}

func (x *exchange) receive(q *http.Request) error {
	x.limit = maxResponseHeader
	for range maxInterim {
		a, err := http.ReadResponse(x.r, q)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if a.StatusCode < http.StatusOK {
			continue
		}
		if id := a.Header.Get(x.dialect.RequestID); x.dialect.EchoesRequestID && id != x.requestID {
			return errors.Errorf("the answer belongs to request %q", id)
		}
		if a.ContentLength < 0 && len(a.TransferEncoding) == 0 && q.Method != http.MethodHead && !x.dialect.AllowsCloseDelimited {
			return errors.New("the answer has neither a length nor chunks, so that its end cannot be told from a broken connection")
		}
		x.limit, x.answer = math.MaxInt64, a
		return nil
	}
	return errors.Errorf("more than %d interim answers", maxInterim)
}

// Read implements io.Reader for the answer's body. An early end of the answer
// becomes an error that is not io.EOF.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.answer.Body.Read(p)
	if err == nil {
		return n, nil
	}
	whole := call.IsEOF(err)
	if !whole {
		err = errkind.Wrap(err, call.ContextErrorKind(x.ctx, errkind.AnswerIncomplete), "answer of the upstream broke off").WithExecution(errkind.Unknown)
	}
	x.end(whole)
	return n, err
}

// Close implements io.Closer.
func (x *exchange) Close() error {
	x.end(false)
	return nil
}

// end gives the connection back when the answer is complete and nothing is left
// on it, and closes it otherwise.
func (x *exchange) end(complete bool) {
	x.once.Do(func() {
		if watched := x.stop(); watched && complete && x.sentWhole() && !x.answer.Close && x.r.Buffered() == 0 && x.limitSilence() == nil {
			x.pool.put(x.connection)
			return
		}
		x.conn.Close()
		if x.stream != nil {
			_ = x.stream.Close() // ends a Read that waits for the sender
		}
	})
}

// limitSilence sets again the limit that was lifted for the body.
func (x *exchange) limitSilence() error {
	if !x.pauses {
		return nil
	}
	return wire.SetTCPUserTimeout(x.conn, wire.RequestTCPUserTimeout)
}

// sentWhole reports whether the request was sent to its end.
func (x *exchange) sentWhole() bool {
	if x.written == nil {
		return x.failed == nil
	}
	select {
	case <-x.written:
		return x.failed == nil
	default:
		return false
	}
}

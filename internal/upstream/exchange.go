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

// maxInterim bounds the 1xx responses before the final response.
const maxInterim = 8

// exchange is one request and its response on a connection. It implements
// io.ReadCloser as the body of the response.
type exchange struct {
	ctx context.Context
	*connection
	pool *connectionPool
	// stream is a request body that is sent in the background, or nil.
	stream io.ReadCloser
	// mayPause is set for request bodies that an upstream may leave unread for a while.
	mayPause bool
	// writeDone is closed once nothing more is written. Before that, writeErr is set to
	// the error of writing the request.
	writeDone chan struct{}
	writeErr  error
	// bodyCutOff is set if the request body failed, and not the network. It is set
	// before the connection is closed for that reason.
	bodyCutOff atomic.Bool
	dialect    *dialect.Dialect
	requestID  string
	// stopWatch is the stop function of the context.AfterFunc that closes the connection
	// when ctx ends.
	stopWatch func() bool
	answer    *http.Response
	// closeDelimited is whether the response body ends with the connection.
	closeDelimited bool
	once           sync.Once
}

// start sends q and returns once the response head has arrived. The kind of an error
// is determined before the exchange is finished, since finishing also stops reading
// from the caller, which net/http reports as the caller going away.
func (x *exchange) start(q *http.Request) error {
	x.sent, x.writeFailed = false, false
	// Closing the connection also tells the upstream that the request was canceled.
	x.stopWatch = context.AfterFunc(x.ctx, func() { x.conn.Close() })
	if x.mayPause {
		if err := wire.SetTCPUserTimeout(x.conn, 0); err != nil {
			x.finish(false)
			return errkind.Wrap(err, errkind.ConnectFailed, "prepare connection to upstream")
		}
	}
	if x.stream == nil {
		x.send(q)
		if x.writeErr != nil && !x.sent {
			err := errkind.Wrap(x.writeErr, call.ContextErrorKind(x.ctx, errkind.ConnectFailed), "send request to upstream")
			x.finish(false)
			return err
		}
	} else {
		q.Body = io.NopCloser(x.stream)
		x.writeDone = make(chan struct{})
		go func() {
			defer close(x.writeDone)
			x.send(q)
		}()
	}
	err := x.receive(q)
	if err == nil {
		return nil
	}
	k := call.ContextErrorKind(x.ctx, errkind.UpstreamFailed)
	if x.bodyCutOff.Load() {
		k = call.ContextErrorKind(x.ctx, errkind.Canceled)
		err = errors.Wrap(err, "request body was cut off")
	}
	x.finish(false)
	if x.writeDone != nil {
		<-x.writeDone
	}
	return errkind.Wrap(err, k, "request to upstream")
}

// send writes q. If the network fails, an early response may still be readable. If the
// body fails, the connection is closed: the upstream must not wait for the rest, nor
// treat the part as complete.
func (x *exchange) send(q *http.Request) {
	if x.writeErr = q.Write(x.w); x.writeErr == nil {
		x.writeErr = x.w.Flush()
	}
	if x.writeErr != nil && !x.writeFailed {
		x.bodyCutOff.Store(true)
		x.conn.Close()
	}
}

func (x *exchange) receive(q *http.Request) error {
	x.readLimit = maxResponseHeader
	for range maxInterim {
		a, err := http.ReadResponse(x.r, q)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if a.StatusCode < http.StatusContinue || a.StatusCode == http.StatusSwitchingProtocols {
			return errors.Errorf("invalid status %d", a.StatusCode) // not an interim answer: no other one follows
		}
		if a.StatusCode < http.StatusOK {
			continue
		}
		if id := a.Header.Get(x.dialect.RequestID); x.dialect.EchoesRequestID && id != x.requestID {
			return errors.Errorf("the answer belongs to request %q", id)
		}
		x.closeDelimited = a.ContentLength < 0 && len(a.TransferEncoding) == 0 && q.Method != http.MethodHead
		if x.closeDelimited && !x.dialect.AllowsCloseDelimited {
			return errors.New("the answer has neither a length nor chunks, so that its end cannot be told from a broken connection")
		}
		x.readLimit, x.answer = math.MaxInt64, a
		return nil
	}
	return errors.Errorf("more than %d interim answers", maxInterim)
}

// Read implements io.Reader for the response body. A response that is cut off ends
// with an error other than io.EOF.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.answer.Body.Read(p)
	if err == nil {
		return n, nil
	}
	// While the request is still being written, the writer may have got the reset of the
	// connection. The reader then sees the same end as after an orderly close.
	whole := call.IsEOF(err) && (!x.closeDelimited || x.requestSent())
	if !whole {
		err = errkind.Wrap(err, call.ContextErrorKind(x.ctx, errkind.AnswerIncomplete), "answer of the upstream was cut off").WithExecution(errkind.Unknown)
	}
	x.finish(whole)
	return n, err
}

// Close implements io.Closer.
func (x *exchange) Close() error {
	x.finish(false)
	return nil
}

// finish returns the connection to the pool if the response is complete and nothing is
// left on the connection, and closes it otherwise.
func (x *exchange) finish(complete bool) {
	x.once.Do(func() {
		if watched := x.stopWatch(); watched && complete && x.requestSent() && !x.answer.Close && x.r.Buffered() == 0 && x.restoreTCPUserTimeout() == nil {
			x.pool.put(x.connection)
			return
		}
		x.conn.Close()
		if x.stream != nil {
			_ = x.stream.Close() // unblocks a Read that waits for the sender
		}
	})
}

// restoreTCPUserTimeout sets the timeout again that was lifted for the body.
func (x *exchange) restoreTCPUserTimeout() error {
	if !x.mayPause {
		return nil
	}
	return wire.SetTCPUserTimeout(x.conn, wire.RequestTCPUserTimeout)
}

// requestSent reports whether the request was sent completely.
func (x *exchange) requestSent() bool {
	if x.writeDone == nil {
		return x.writeErr == nil
	}
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	default:
		return false
	}
}

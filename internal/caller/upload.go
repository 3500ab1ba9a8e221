package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
)

// maxReadAhead bounds the part of a body that is read before it is asked for. It is more
// than most bodies have, and allows 42 of them within half of MaxBodyBytes.
const maxReadAhead = 384 << 10

var errUploadEnded = errors.New("the request ended before its body was read")

// upload is a request body that can be closed at any time, even while a Read waits for
// the caller. The body of net/http does not allow this: its Read holds the lock that
// Close needs.
type upload struct {
	body io.Reader
	// interrupt unblocks a pending Read.
	interrupt func()
	reading   sync.Mutex
	closing   sync.Mutex
	ended     atomic.Bool // read to its end
	closed    atomic.Bool
	// ahead is nil unless the body is read ahead.
	ahead *readAhead
}

func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	u := &upload{body: r.Body}
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ProtoMajor == 1 {
		u.interrupt = c.stopReading
		return u
	}
	k := http.NewResponseController(w)
	u.interrupt = func() { _ = k.SetReadDeadline(time.Unix(1, 0)) } // unsupported only by test writers
	return u
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.ahead != nil {
		return u.ahead.take(p)
	}
	return u.readBody(p)
}

// readBody reads from the caller.
func (u *upload) readBody(p []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	if u.closed.Load() {
		return 0, errUploadEnded
	}
	n, err := u.body.Read(p)
	if call.IsEOF(err) {
		u.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It may be called during a Read, and returns once that Read
// has been interrupted.
func (u *upload) Close() error {
	u.closing.Lock()
	defer u.closing.Unlock()
	if !u.ended.Load() && u.closed.CompareAndSwap(false, true) {
		u.interrupt()
	}
	if u.ahead != nil {
		u.ahead.stop()
	}
	return nil
}

// finish closes u and waits until no Read or Close is in progress, since net/http allows
// none after the handler has returned.
func (u *upload) finish() {
	_ = u.Close() // never fails
	if u.ahead != nil {
		<-u.ahead.done
	}
	u.reading.Lock()
	defer u.reading.Unlock()
}

// readAhead reads a body into memory before it is asked for. The close of a connection
// arrives behind the body, so only this shows that a caller has left.
type readAhead struct {
	mu    sync.Mutex
	cond  *sync.Cond
	bytes []byte
	err   error // the end of the body, or why it was cut off
	// stopped is whether nothing more is to be read.
	stopped bool
	// done is closed once nothing more is read.
	done chan struct{}
}

// startReadAhead reads the body from now on, up to limit bytes before they are asked for.
// It calls cutOff if the caller does not send all of it.
func (u *upload) startReadAhead(limit int, cutOff func(err error)) {
	a := &readAhead{done: make(chan struct{})}
	a.cond = sync.NewCond(&a.mu)
	u.ahead = a
	go func() {
		defer close(a.done)
		b := make([]byte, call.ChunkBytes)
		for a.waitForRoom(limit) {
			n, err := u.readBody(b)
			a.put(b[:n], err)
			if err != nil {
				if !u.ended.Load() && !u.closed.Load() {
					cutOff(err)
				}
				return
			}
		}
	}()
}

// waitForRoom returns once fewer than limit bytes are held, or with false if nothing more
// is to be read.
func (a *readAhead) waitForRoom(limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.bytes) >= limit && !a.stopped {
		a.cond.Wait()
	}
	return !a.stopped
}

func (a *readAhead) put(b []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes = append(a.bytes, b...)
	a.err = err
	a.cond.Broadcast()
}

// take waits for bytes and moves them to p.
func (a *readAhead) take(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.bytes) == 0 && a.err == nil && !a.stopped {
		a.cond.Wait()
	}
	n := copy(p, a.bytes)
	a.bytes = a.bytes[n:]
	a.cond.Broadcast()
	switch {
	case n > 0 && len(a.bytes) > 0, n > 0 && a.err == nil:
		return n, nil
	case a.err != nil:
		return n, a.err
	}
	return 0, errUploadEnded
}

// stop ends the reading, and a take that waits for bytes.
func (a *readAhead) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.cond.Broadcast()
}

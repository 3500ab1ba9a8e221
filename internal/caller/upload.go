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
	return nil
}

// finish closes u and waits until no Read or Close is in progress, since net/http allows
// none after the handler has returned.
func (u *upload) finish() {
	_ = u.Close() // never fails
	u.reading.Lock()
	defer u.reading.Unlock()
}

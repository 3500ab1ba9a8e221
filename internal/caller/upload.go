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

// upload is a request body that can be abandoned at any time, also while a Read
// waits for the caller. net/http alone has no way to do this: a Read holds the
// lock that Close needs.
type upload struct {
	body io.Reader
	// interrupt ends a Read that is under way.
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

// Close implements io.Closer. It may be called during a Read, and returns once
// the Read has been told to end.
func (u *upload) Close() error {
	u.closing.Lock()
	defer u.closing.Unlock()
	if !u.ended.Load() && u.closed.CompareAndSwap(false, true) {
		u.interrupt()
	}
	return nil
}

// finish closes u and waits until neither Read nor Close is under way, since
// net/http allows none after the handler returned.
func (u *upload) finish() {
	_ = u.Close() // never fails
	u.reading.Lock()
	defer u.reading.Unlock()
}

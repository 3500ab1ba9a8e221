package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxRefusalBytes and maxRefusalTime bound the body of a refusal that is read so
// that its connection can be used again. The outcome is known without it.
const (
	maxRefusalBytes = 64 << 10
	maxRefusalTime  = 20 * time.Millisecond
)

var errRefusalTooLarge = errors.Errorf("the body of a refusal exceeds %d bytes", maxRefusalBytes)

// refusal returns the error for an answer by which the upstream says that it did
// not run the request, or nil for every other answer.
func (x *exchange) refusal() error {
	if x.dialect.NotRun == "" || !x.refused() {
		return nil
	}
	x.skipBody()
	status := x.answer.StatusCode
	k := errkind.QueueFull
	switch status {
	case http.StatusMisdirectedRequest:
		k = errkind.Leaving // another upstream has taken the address
	case http.StatusBadRequest:
		k = errkind.BadRequest
	}
	return errkind.New(k, "the upstream refused the request with status %d", status).WithExecution(errkind.NotRun)
}

// skipBody ends the exchange, and keeps its connection where the body is short.
func (x *exchange) skipBody() {
	err := x.conn.SetReadDeadline(time.Now().Add(maxRefusalTime))
	if err == nil {
		var n int64
		n, err = io.Copy(io.Discard, io.LimitReader(x.answer.Body, maxRefusalBytes))
		if n == maxRefusalBytes {
			err = errRefusalTooLarge
		}
	}
	x.end(err == nil && x.conn.SetReadDeadline(time.Time{}) == nil)
}

func (x *exchange) refused() bool {
	return x.answer.Header.Get(x.dialect.NotRun) != "" || x.answer.StatusCode == http.StatusMisdirectedRequest
}

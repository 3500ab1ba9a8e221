package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxRefusalBytes and maxRefusalTime bound how much of a refusal's body is read, so
// that the connection can be reused. The outcome is known without the body.
const (
	maxRefusalBytes = 64 << 10
	maxRefusalTime  = 20 * time.Millisecond
)

var errRefusalTooLarge = errors.Errorf("the body of a refusal exceeds %d bytes", maxRefusalBytes)

// refusal returns an error if the upstream responded that it did not run the request,
// and nil for any other response.
func (x *exchange) refusal() error {
	if x.dialect.NotRun == "" || !x.refused() {
		return nil
	}
	x.discardBody()
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

// discardBody finishes the exchange. The connection is kept if the body is short.
func (x *exchange) discardBody() {
	err := x.conn.SetReadDeadline(time.Now().Add(maxRefusalTime))
	if err == nil {
		var n int64
		n, err = io.Copy(io.Discard, io.LimitReader(x.answer.Body, maxRefusalBytes))
		if n == maxRefusalBytes {
			err = errRefusalTooLarge
		}
	}
	x.finish(err == nil && x.conn.SetReadDeadline(time.Time{}) == nil)
}

func (x *exchange) refused() bool {
	return x.answer.Header.Get(x.dialect.NotRun) != "" || x.answer.StatusCode == http.StatusMisdirectedRequest
}

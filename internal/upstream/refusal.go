package upstream

import (
	"io"
	"net/http"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxRefusalBytes bounds the body of a refusal that is read so that its
// connection can be used again.
const maxRefusalBytes = 64 << 10

// refusal returns the error for an answer by which the upstream says that it did
// not run the request, or nil for every other answer.
func (x *exchange) refusal() error {
	if x.dialect.NotRun == "" || !x.refused() {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x, maxRefusalBytes))
	if err != nil || n == maxRefusalBytes {
		x.end(false)
	}
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

func (x *exchange) refused() bool {
	return x.answer.Header.Get(x.dialect.NotRun) != "" || x.answer.StatusCode == http.StatusMisdirectedRequest
}

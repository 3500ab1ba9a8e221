package caller

import (
	"io"
	"net"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// requestTime is longer than the deadline of the routes.
const requestTime = 2 * time.Minute

// variable matches what differs between two runs: times and generated request IDs.
var variable = regexp.MustCompile(`Date: [^\r]*|[0-9a-f]{24}`)

// badRequest is the response of net/http to a malformed request.
const badRequest = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request"

// FuzzPipelining guards against any stream of bytes that is served differently from
// net/http, which serves one request of a connection at a time: other responses, another
// order, or other requests passed on.
func FuzzPipelining(f *testing.F) {
	for _, s := range []string{
		"GET /a/1ms HTTP/1.1\r\nHost: h\r\n\r\nGET /b/0s HTTP/1.1\r\nHost: h\r\n\r\nGET /c/1ms HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a/1ms HTTP/1.1\r\nHost: h\r\n\r\nPOST /b/0s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /c/1ms HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a/1ms HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b/0s HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a/1ms HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nGET /x/0s HTTP/1.1\r\nHost: h\r\n\r\nGET /b/0s HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a/1ms HTTP/1.1\nHost: h\n\nGET /b/0s HTTP/1.0\nHost: h\n\nGET /c/0s HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a/1ms HTTP/1.1\r\nHost: h\r\n\r\nGET /b/0s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /c/0s HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a/1ms HTTP/1.1\r\nHost: h\r\n\r\nPOST /b/0s HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nxGET /c/0s HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a/1ms HTTP/1.1\r\nHost: h\r\n\r\nGET /b/0s HTTP/1.1\r\nHost: h\r\nX: y\r\n Content-Length: 5\r\n\r\nHEAD /c/0s HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a/1ms HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\nGET /b/0s HTTP/1.1\r\nHost: other\r\n\r\nGET /c/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add(s, 7)
		f.Add(s, 4096)
	}
	f.Fuzz(func(t *testing.T, stream string, segment int) {
		segment = max(segment, 1)
		if len(stream) > 4096 || len(stream)/segment > 64 {
			return // more work, but no further case
		}
		if strings.Count(stream, "\n") > wire.MaxHeaderLines {
			return // FuzzHeadLimits
		}
		synctest.Test(t, func(t *testing.T) {
			got, gotStarted := serveStream(t, stream, segment, func(l net.Listener, h *Handler) net.Listener { return NewListener(l, 1, h) })
			want, wantStarted := serveStream(t, stream, segment, func(l net.Listener, _ *Handler) net.Listener { return l })
			// A head that does not arrive is answered with 408. net/http closes the connection,
			// or answers 400 once the caller has closed it.
			if rest, _, ok := strings.Cut(got, "HTTP/1.1 408 "); ok && strings.Contains(got, string(errkind.HeadTimeout)) {
				got, want = rest, strings.TrimSuffix(want, badRequest)
			}
			if got != want {
				t.Errorf("got the responses\n%q, want\n%q", got, want)
			}
			if !slices.Equal(gotStarted, wantStarted) {
				t.Errorf("started %q, want %q", gotStarted, wantStarted)
			}
		})
	})
}

// serveStream returns all bytes with which a server answers stream, and the paths that
// were passed on.
func serveStream(t *testing.T, stream string, segment int, wrap func(net.Listener, *Handler) net.Listener) (string, []string) {
	t.Helper()
	// A request that waits for others has a shorter deadline than with net/http, which
	// does not matter if none takes long.
	u := &slowUpstream{longest: 10 * time.Millisecond}
	h := New(pipeliningConfig(t, u))
	s, n := NewServer(h), standin.NewNetwork()
	l, _ := n.Listen("node:1")
	served := make(chan error)
	go func() { served <- s.Serve(wrap(l, h)) }()
	c, err := n.Dial(t.Context(), "node:1")
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan string)
	go func() {
		b, _ := io.ReadAll(c)
		read <- string(b)
	}()
	for b := stream; b != ""; {
		k := min(segment, len(b))
		_ = c.SetWriteDeadline(time.Now().Add(requestTime)) // the server may not read on
		if _, err := io.WriteString(c, b[:k]); err != nil {
			break
		}
		b = b[k:]
	}
	time.Sleep(requestTime)
	c.Close()
	s.Close()
	<-served
	time.Sleep(2 * lingerTime)
	u.mu.Lock()
	defer u.mu.Unlock()
	slices.Sort(u.started)
	return variable.ReplaceAllString(<-read, ""), u.started
}

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// endless is an upstream that responds with head and then repeats more, 1 KiB per
// millisecond, until its connection is closed.
type endless struct {
	name string
	head string
	more string // if empty, nothing more is sent, but the connection stays open
	// kind and execution are those of the error, and empty for a complete response.
	kind      errkind.Kind
	execution errkind.Execution
	// within bounds the time until the outcome is known; zero means the deadline.
	within time.Duration
	// maxBytes bounds the bytes that are read from the upstream; zero means unbounded.
	maxBytes int64
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nRequest-Id: id\r\n"
	refusedHead = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: id\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	kib         = 1 << 10
	// closeDelay is the time within which an upstream detects that its connection was
	// closed.
	closeDelay = 10 * time.Millisecond
)

var endlessResponses = []endless{
	{name: "status line", head: "HTTP/1.1 200 ", more: "x", kind: errkind.UpstreamFailed, within: time.Second, maxBytes: maxResponseHeader + 16*kib},
	{name: "header line", head: okHead + "X: ", more: "x", kind: errkind.UpstreamFailed, within: time.Second, maxBytes: maxResponseHeader + 16*kib},
	{name: "header lines", head: okHead, more: "X: y\r\n", kind: errkind.UpstreamFailed, within: time.Second, maxBytes: maxResponseHeader + 16*kib},
	{name: "interim answers", more: "HTTP/1.1 103 Early Hints\r\n\r\n", kind: errkind.UpstreamFailed, within: 100 * time.Millisecond, maxBytes: 16 * kib},
	{name: "no protocol", more: "\x00\xff\r\n", kind: errkind.UpstreamFailed, within: 100 * time.Millisecond, maxBytes: 16 * kib},
	{name: "refusal, chunked", head: refusedHead + chunkedHead, more: "1\r\nx\r\n", kind: errkind.QueueFull, execution: errkind.NotRun, within: 100 * time.Millisecond, maxBytes: 128 * kib},
	{name: "refusal, until close", head: refusedHead + "\r\n", more: "x", kind: errkind.QueueFull, execution: errkind.NotRun, within: 100 * time.Millisecond, maxBytes: 128 * kib},
	{name: "refusal, stalled", head: refusedHead + "Content-Length: 5\r\n\r\nbu", kind: errkind.QueueFull, execution: errkind.NotRun, within: 100 * time.Millisecond},
	{name: "chunk size", head: okHead + chunkedHead, more: "0", kind: errkind.AnswerIncomplete, within: 100 * time.Millisecond, maxBytes: 32 * kib},
	{name: "chunk extension", head: okHead + chunkedHead + "5;", more: "x", kind: errkind.AnswerIncomplete, within: 100 * time.Millisecond, maxBytes: 32 * kib},
	{name: "trailer", head: okHead + chunkedHead + "0\r\n", more: "X: y\r\n", kind: errkind.AnswerIncomplete, within: 100 * time.Millisecond, maxBytes: 32 * kib},
	{name: "chunks", head: okHead + chunkedHead, more: "1\r\nx\r\n", kind: errkind.DeadlineExceeded},
	{name: "body until close", head: okHead + "\r\n", more: "x", kind: errkind.DeadlineExceeded},
	{name: "after a whole answer", head: okHead + "Content-Length: 5\r\n\r\nhello", more: "x", within: 100 * time.Millisecond, maxBytes: 16 * kib},
	{name: "after an answer without a body", head: "HTTP/1.1 204 No Content\r\nRequest-Id: id\r\n\r\n", more: "x", within: 100 * time.Millisecond, maxBytes: 16 * kib},
}

// serve answers one request per connection, and counts connections and sent bytes.
func (e endless) serve(conns, sent *atomic.Int64) func(c net.Conn) {
	return func(c net.Conn) {
		conns.Add(1)
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		more := strings.Repeat(e.more, kib/max(1, len(e.more)))
		n, err := io.WriteString(c, e.head+more)
		for sent.Add(int64(n)); err == nil && more != ""; sent.Add(int64(n)) {
			n, err = io.WriteString(c, more)
			time.Sleep(time.Millisecond)
		}
		_, _ = r.ReadByte() // until the node closes the connection
	}
}

// Guards that an endless head or body neither delays a request whose outcome is known
// nor counts as a complete response, and that the connection is not reused.
func TestAnswersWithoutEnd(t *testing.T) {
	for _, e := range endlessResponses {
		t.Run(e.name, func(t *testing.T) { synctest.Test(t, e.check) })
	}
}

func (e endless) check(t *testing.T) {
	network := standin.NewNetwork()
	l, err := network.Listen("u:80")
	if err != nil {
		t.Fatal(err)
	}
	var conns, sent atomic.Int64
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go e.serve(&conns, &sent)(c)
		}
	}()
	d := dialect.Default()
	d.RequestID, d.NotRun, d.EchoesRequestID, d.AllowsCloseDelimited = "Request-Id", "Not-Run", true, true
	c := NewClient("u:80", network.Dial, d)
	defer func() {
		c.SetKeepAlive(false)
		l.Close()
		time.Sleep(closeDelay)
	}()
	for n := range int64(2) {
		started := time.Now()
		kind, execution := e.do(t, c)
		took := time.Since(started)
		synctest.Wait()
		switch {
		case kind != e.kind:
			t.Errorf("kind: got %q, want %q", kind, e.kind)
		case e.execution != "" && execution != e.execution:
			t.Errorf("execution: got %q, want %q", execution, e.execution)
		case e.within > 0 && took > e.within:
			t.Errorf("time until the outcome: got %v, want at most %v", took, e.within)
		case e.maxBytes > 0 && sent.Load() > (n+1)*e.maxBytes:
			t.Errorf("bytes read: got %d, want at most %d", sent.Load(), (n+1)*e.maxBytes)
		case conns.Load() != n+1:
			t.Errorf("connections: got %d, want %d", conns.Load(), n+1)
		}
		time.Sleep(closeDelay)
	}
}

// do sends a request and returns the kind and execution of its error.
func (e endless) do(t *testing.T, c *Client) (errkind.Kind, errkind.Execution) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	a, err := c.Do(ctx, &call.Request{RequestHead: wire.RequestHead{RequestID: "id", Method: "GET", Path: "/", Host: "u"}})
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
	if err == nil {
		return "", ""
	}
	k := errkind.From(err)
	return k.Kind, k.Execution
}

package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// What an upstream does after its response.
const (
	keep  = iota // serves the next request of the connection
	cut          // closes the connection
	stall        // sends nothing more
)

type script struct {
	name   string
	method string // GET unless set
	// answer is what the upstream writes after it has read the request.
	answer string
	end    int
	want   string // body of the complete response, or "" if no response may look complete
	// empty allows a complete response without a body.
	empty bool
}

var answerScripts = []script{
	{name: "length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", want: "hello"},
	{name: "length, cut", answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello", end: cut},
	{name: "length, stalled", answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello", end: stall},
	{name: "long, cut", answer: "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 200000), end: cut},
	{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", want: "hello"},
	{name: "chunks, cut between", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", end: cut},
	{name: "chunks, cut within", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe", end: cut},
	{name: "chunks, cut in trailer", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nSum: ", end: cut},
	{name: "chunks, stalled", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", end: stall},
	{name: "trailer", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nhello\r\n0\r\nSum: 7\r\n\r\n", want: "hello"},
	{name: "until close", answer: "HTTP/1.1 200 OK\r\n\r\nhello", end: cut},
	{name: "HTTP/1.0 until close", answer: "HTTP/1.0 200 OK\r\n\r\nhello", end: cut},
	{name: "HTTP/1.0 with length", answer: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", end: cut, want: "hello"},
	{name: "more than announced", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nWRONG", want: "hello"},
	{name: "no content", answer: "HTTP/1.1 204 No Content\r\n\r\n", empty: true},
	{name: "not modified", answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", empty: true},
	{name: "HEAD", method: "HEAD", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", empty: true},
	{name: "HEAD without length", method: "HEAD", answer: "HTTP/1.1 200 OK\r\n\r\n", empty: true},
	{name: "early hints", answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", want: "hello"},
	{name: "switched protocols", answer: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nhello", end: cut},
	{name: "status below 100", answer: "HTTP/1.1 042 Odd\r\nContent-Length: 5\r\n\r\nhello"},
	{name: "no HTTP", answer: "hello", end: cut},
	{name: "header, cut", answer: "HTTP/1.1 200 OK\r\nContent-Le", end: cut},
	{name: "header, stalled", answer: "HTTP/1.1 200 OK\r\nContent-Le", end: stall},
	{name: "header too large", answer: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 300<<10) + "\r\nContent-Length: 5\r\n\r\nhello", end: cut},
	{name: "nothing, cut", end: cut},
	{name: "nothing, stalled", end: stall},
	{name: "statement about another request", answer: "HTTP/1.1 503 Busy\r\nGooseberrypick-Execution: not-run\r\nContent-Length: 5\r\n\r\nhello", want: "hello"},
	{name: "bytes that are not UTF-8", answer: "HTTP/1.1 200 OK\r\nX: \xfc\r\nContent-Length: 5\r\n\r\nhell\xfc", want: "hell\xfc"},
}

// serve responds to the first request as s says and to later ones with their path.
func (s script) serve(ran *counter) func(c net.Conn, r *bufio.Reader) {
	first := true
	return func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			ran.add(q.Header.Get(upstream.HeaderRequestID))
			if !first {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"+q.URL.Path)
				continue
			}
			first = false
			io.WriteString(c, s.answer)
			switch s.end {
			case cut:
				return
			case stall:
				r.ReadByte() // until the node closes the connection
				return
			}
		}
	}
}

// Guards against a caller that receives, as its own complete response, a part of a
// response, the response to another request or a statement about another request, and
// against a false not-run.
func TestUpstreamAnswers(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		for _, node := range []string{"owner", "entry"} {
			for _, s := range answerScripts {
				t.Run(proto+" at "+node+" "+s.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { s.check(t, proto, node) })
				})
			}
		}
	}
}

func (s script) check(t *testing.T, proto, node string) {
	m := newMesh(t, "owner", "entry")
	var ran counter
	m.serveConns("owner", "levels-1", s.serve(&ran))
	method := s.method
	if method == "" {
		method = "GET"
	}
	got := m.do(proto, node, method, "/", nil, upstream.HeaderRequestID, "id-1", "X-Name", "\xfc")
	equal(t, "complete answer", got.complete(), s.want != "" || s.empty)
	if got.complete() {
		equal(t, "body", got.body, s.want)
		equal(t, "request ID", got.header.Get(upstream.HeaderRequestID), "id-1")
	}
	switch s.name {
	case "trailer":
		equal(t, "trailer", got.trailer.Get("Sum"), "7")
	case "length, cut":
		equal(t, "kind", got.problem.Kind, errkind.AnswerIncomplete)
	}
	if got.problem.Kind != "" {
		equal(t, "execution", got.problem.Execution, errkind.Unknown)
	}
	equal(t, "executions", ran.of("id-1"), 1)
	equal(t, "next answer", m.do(proto, node, "GET", "/next", nil).body, "/next")
}

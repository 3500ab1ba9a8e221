package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	status  int
	stamped bool // the answer is the worker's
	body    string
	err     error
	took    time.Duration
	sent    time.Time
}

// String implements fmt.Stringer.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	from := "the system"
	if a.stamped {
		from = "the worker"
	}
	return fmt.Sprintf("status %d of %s after %.3f s", a.status, from, a.took.Seconds())
}

// request is one request of a client, on a connection of its own.
type request struct {
	id, method, path string
	deadline         time.Duration
	body             int
}

// send sends a request to a node and waits for the answer.
func (s *system) send(node int, q request) answer {
	a := answer{sent: time.Now()}
	s.log("client at node %d: sends %s %s %s, X-Deadline-Ms %d, %d bytes", node, q.id, q.method, q.path, q.deadline.Milliseconds(), q.body)
	a.status, a.stamped, a.body, a.err = s.exchange(node, q)
	a.took = time.Since(a.sent)
	s.log("client at node %d: request %s: %s", node, q.id, a)
	return a
}

func (s *system) exchange(node int, q request) (status int, stamped bool, body string, err error) {
	c, err := net.DialTimeout("tcp", s.nodeAddress(node, outboundPort), time.Second)
	if err != nil {
		return 0, false, "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(q.deadline + 2*time.Second)); err != nil {
		return 0, false, "", err
	}
	length := ""
	if q.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", q.body)
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), length); err != nil {
		return 0, false, "", err
	}
	if q.body > 0 {
		go func() {
			_, _ = c.Write(make([]byte, q.body)) // the answer shows what came of it
		}()
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return 0, false, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header.Get("X-Server-Stamp") != "", string(b), err
}

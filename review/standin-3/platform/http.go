package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// reader reads HTTP/1.1 messages byte by byte as they arrive, without a library that would
// change them.
type reader struct{ r *bufio.Reader }

func newReader(r io.Reader) *reader { return &reader{bufio.NewReaderSize(r, 64<<10)} }

// request reads a head.
func (r *reader) request() (*request, error) {
	q := &request{header: map[string][]string{}}
	for {
		l, err := r.r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		q.head = append(q.head, l...)
		l = strings.TrimRight(l, "\r\n")
		switch {
		case q.first == "" && l == "":
			continue
		case q.first == "":
			q.first = l
		case l == "":
			q.at = time.Now()
			return q, nil
		default:
			k, v, _ := strings.Cut(l, ":")
			k = strings.ToLower(k)
			q.header[k] = append(q.header[k], strings.TrimSpace(v))
		}
	}
}

// body reads the body of q.
func (r *reader) body(q *request) error {
	if strings.EqualFold(q.get("Transfer-Encoding"), "chunked") {
		for {
			l, err := r.r.ReadString('\n')
			if err != nil {
				return err
			}
			n, err := strconv.ParseInt(strings.TrimSpace(l), 16, 64)
			if err != nil {
				return err
			}
			b := make([]byte, n+2)
			if _, err := io.ReadFull(r.r, b); err != nil {
				return err
			}
			if n == 0 {
				return nil
			}
			q.body = append(q.body, b[:n]...)
		}
	}
	n, _ := strconv.Atoi(q.get("Content-Length"))
	q.body = make([]byte, n)
	_, err := io.ReadFull(r.r, q.body)
	return err
}

// result is what a client got.
type result struct {
	status  int // 0 without a complete answer
	header  map[string][]string
	body    []byte
	problem string
	took    time.Duration
}

func (a *result) get(k string) string {
	if l := a.header[strings.ToLower(k)]; len(l) > 0 {
		return l[0]
	}
	return ""
}

func (a *result) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete answer (%s) after %d ms", a.problem, a.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes, after %d ms", a.status, a.get("X-Server-Stamp"), len(a.body), a.took.Milliseconds())
}

// client is one connection of a client.
type client struct {
	c net.Conn
	r *reader
}

func dialNode(m *machine) (*client, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, outboundPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, newReader(c)}, nil
}

func head(method, path, id string, deadlineMs int, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, path, id, deadlineMs, extra)
}

// receive reads one answer.
func (c *client) receive(limit time.Duration) *result {
	start := time.Now()
	_ = c.c.SetReadDeadline(start.Add(limit))
	a := &result{header: map[string][]string{}}
	fail := func(err error) *result {
		a.status, a.problem, a.took = 0, err.Error(), time.Since(start)
		return a
	}
	q, err := c.r.request()
	if err != nil {
		return fail(err)
	}
	a.header = q.header
	f := strings.SplitN(q.first, " ", 3)
	if len(f) < 2 {
		return fail(fmt.Errorf("%q is no status line", q.first))
	}
	status, err := strconv.Atoi(f[1])
	if err != nil {
		return fail(err)
	}
	if q.get("Content-Length") == "" && q.get("Transfer-Encoding") == "" && status != 204 && status != 304 {
		a.body, err = io.ReadAll(c.r.r)
	} else {
		err = c.r.body(q)
		a.body = q.body
	}
	if err != nil {
		return fail(fmt.Errorf("status %d, then %v", status, err))
	}
	a.status, a.took = status, time.Since(start)
	return a
}

// send sends one request without a body on a new connection and returns the answer.
func (s *system) send(m *machine, method, path, id string, deadlineMs int, body []byte) *result {
	c, err := dialNode(m)
	if err != nil {
		a := &result{problem: err.Error()}
		s.record.log("client sends %s %s (%s) to %s: %v", method, path, id, m.name, a)
		return a
	}
	defer c.c.Close()
	extra := ""
	if body != nil {
		extra = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	s.record.log("client sends %s %s (%s) to %s", method, path, id, m.name)
	_, _ = io.WriteString(c.c, head(method, path, id, deadlineMs, extra))
	_, _ = c.c.Write(body)
	a := c.receive(time.Duration(deadlineMs) * time.Millisecond)
	s.record.log("client gets for %s: %v", id, a)
	return a
}

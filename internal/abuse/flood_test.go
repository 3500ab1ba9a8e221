package abuse

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"
)

const (
	// connectionCount is the number of connections of each case: the fewest with which the
	// heads of short lines exceed the bound on a node without limits for them.
	connectionCount = 400
	// pressure is how long each of them sends. A connection that is no longer read ends
	// earlier.
	pressure = time.Second
	// sentBytes bounds what one connection sends, where it sends without end.
	sentBytes = 1 << 20
)

// flood opens n connections to address, sends the bytes of first and then those of next
// until sentBytes, pressure or a fault ends it, and leaves the connections open until the
// test ends. It never reads.
func flood(t *testing.T, n int, address, first, next string) {
	t.Helper()
	end := time.Now().Add(pressure)
	var g sync.WaitGroup
	for range n {
		c, err := net.DialTimeout("tcp", address, pressure)
		if err != nil {
			continue // refused, which is allowed
		}
		t.Cleanup(func() { c.Close() })
		g.Go(func() {
			_ = c.SetWriteDeadline(end)
			if _, err := io.WriteString(c, first); err != nil {
				return
			}
			for sent := 0; next != "" && sent < sentBytes; sent += len(next) {
				if _, err := io.WriteString(c, next); err != nil {
					return
				}
			}
		})
	}
	g.Wait()
	time.Sleep(time.Until(end)) // for what the processes do with the bytes
}

// lines returns header lines of bytes in total, made by f from their number.
func lines(total int, f func(i int) string) string {
	var b strings.Builder
	for i := 0; b.Len() < total; i++ {
		b.WriteString(f(i))
	}
	return b.String()
}

func shortLine(i int) string { return fmt.Sprintf("%x:\r\n", i) }
func oddLine(i int) string   { return fmt.Sprintf("x-~!#$-%x: \t%c\t\r\n", i, 'a'+i%26) }
func sameLine(int) string    { return "a:\r\n" }

// head returns a request line with a Host header, without the end of the head.
func head(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" }

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// frame returns a frame of the inner protocol with n bytes, of which the message has more
// if done is false.
func frame(n int, done bool) string {
	return string(drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, n), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: done,
	}))
}

// callers are the kinds of callers. Each guards against a node that runs out of memory or
// descriptors, or that serves nobody else any more.
var callers = []struct {
	name        string
	first, next string
}{
	{"60 KB of short lines, slow upstream", head("GET", "/slow") + lines(60000, shortLine) + "\r\n", ""},
	{"60 KB of odd lines, slow upstream", head("GET", "/slow") + lines(60000, oddLine) + "\r\n", ""},
	{"60 KB of equal names, slow upstream", head("GET", "/slow") + lines(60000, sameLine) + "\r\n", ""},
	{"15 KB of short lines, slow upstream", head("GET", "/slow") + lines(15000, shortLine) + "\r\n", ""},
	{"60 KB of short lines, no end of the head", head("GET", "/slow") + lines(60000, shortLine), ""},
	{"60 KB of short lines behind a chunked body", head("POST", "/quick") + chunked + "0\r\n\r\n" + head("GET", "/slow") + lines(60000, shortLine), ""},
	{"head of long lines, no end of the head", head("GET", "/slow") + lines(60000, func(i int) string { return fmt.Sprintf("x%d: %s\r\n", i, strings.Repeat("v", 4000)) }), ""},
	{"head over the limit without end", head("GET", "/quick"), lines(1<<12, oddLine)},
	{"one endless line", "GET /", strings.Repeat("x", 1<<12)},
	{"empty lines without end", "", strings.Repeat("\r\n", 1<<11)},
	{"requests ahead, unread answers", "", strings.Repeat(head("GET", "/quick")+"\r\n", 100)},
	{"requests ahead, slow upstream", "", strings.Repeat(head("GET", "/slow")+"\r\n", 100)},
	{"tiny chunks", head("POST", "/upload") + chunked, strings.Repeat("1\r\nx\r\n", 1<<10)},
	{"chunk extensions", head("POST", "/upload") + chunked, "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
	{"trailers without end", head("POST", "/upload") + chunked + "0\r\n", lines(1<<12, shortLine)},
	{"body that stops halfway", head("POST", "/upload") + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 500000), ""},
	{"connections that send nothing", "", ""},
	{"heads that stop after a line", head("GET", "/quick"), ""},
	{"large answers that nobody reads", head("GET", "/large") + "\r\n", ""},
}

func TestCallers(t *testing.T) {
	for _, tt := range callers {
		t.Run(tt.name, func(t *testing.T) {
			s := newSystem(t)
			flood(t, connectionCount, s.callers, tt.first, tt.next)
			s.wantHealthy(t, s.node)
		})
	}
}

// httpPeers are what is sent to the other HTTP listeners.
var httpPeers = []string{
	head("GET", "/readyz") + lines(60000, shortLine),
	head("PUT", "/v1/upstreams/x") + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 10000),
}

// innerPeers are what is sent to the listeners of the inner protocol.
func innerPeers() []string {
	return []string{
		"", // connections that send nothing
		string(bytes.Repeat([]byte{0xff}, 1<<16)), // no valid frame
		frame(4<<20, true)[:1<<20],                // claims 4 MB and sends 1 MB
		strings.Repeat(frame(1<<16, false), 16),   // a message of 1 MB so far
	}
}

// Guards against other listeners that take the memory or the descriptors of a node.
func TestNodeListeners(t *testing.T) {
	for name, tt := range map[string]struct {
		address func(*system) string
		sent    []string
	}{
		"announcements": {func(s *system) string { return s.announcements }, httpPeers},
		"admin":         {func(s *system) string { return s.nodeAdmin }, httpPeers},
		"other nodes":   {func(s *system) string { return s.nodePeers }, innerPeers()},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			for _, b := range tt.sent {
				flood(t, connectionCount, tt.address(s), b, "")
			}
			s.wantHealthy(t, s.node)
		})
	}
}

// Guards against listeners of a control that take its memory or descriptors.
func TestControlListeners(t *testing.T) {
	for name, tt := range map[string]struct {
		address func(*system) string
		sent    []string
	}{
		"operators":          {func(s *system) string { return s.operators }, httpPeers},
		"admin":              {func(s *system) string { return s.controlAdmin }, httpPeers},
		"nodes and controls": {func(s *system) string { return s.controlPeers }, innerPeers()},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			for _, b := range tt.sent {
				flood(t, connectionCount, tt.address(s), b, "")
			}
			s.wantHealthy(t, s.control)
		})
	}
}

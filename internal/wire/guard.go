package wire

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/budget"
)

const (
	// MaxHeaderLines bounds the header lines of a request. Ordinary ones have fewer than
	// 20; each costs net/http about headerLineCost bytes beside its text.
	MaxHeaderLines = 256
	// headerLineCost and headerByteFactor estimate what a request head takes once it has
	// been parsed and copied for another process.
	headerLineCost   = 160
	headerByteFactor = 3
	// UncountedBytes is the part of what a connection holds that does not count: more than
	// a head of 1 KB with 20 lines, so that ordinary requests do not take the lock.
	UncountedBytes = 8 << 10
	// HeadAllowance is how far a head may exceed the limit of its bytes, as in net/http.
	HeadAllowance = 4096
	// firstByteTimeout is how long a connection of the inner protocol may be open before
	// it sends anything. The processes of a system send a call at once.
	firstByteTimeout = 10 * time.Second
	// refusalWriteTimeout bounds the time for a refusal that a connection itself writes.
	refusalWriteTimeout = time.Second
)

// CountedBytes returns what counts for a connection that holds n bytes.
func CountedBytes(n int64) int64 { return max(0, n-UncountedBytes) }

// HeadCost returns the memory for a request head of the given size.
func HeadCost(bytes, lines int) int64 {
	return headerByteFactor*int64(bytes) + headerLineCost*int64(lines)
}

// GuardHTTP bounds what the connections of s hold, which serves HTTP/1 on the returned
// listener: the lines and bytes of request heads, and together with b the bytes of heads
// and bodies.
func GuardHTTP(s *http.Server, l net.Listener, b *budget.Budget) net.Listener {
	s.ConnState = func(c net.Conn, st http.ConnState) {
		if g, ok := c.(*httpConn); ok {
			g.setState(st)
		}
	}
	return &httpGuard{Listener: l, headBytes: s.MaxHeaderBytes + HeadAllowance, budget: b}
}

type httpGuard struct {
	net.Listener
	headBytes int
	budget    *budget.Budget
}

// Accept implements net.Listener.
func (g *httpGuard) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &httpConn{Conn: c, headBytes: g.headBytes, holder: g.budget.Open(func() { c.Close() })}, nil
}

// httpConn counts the bytes of one request at a time.
type httpConn struct {
	net.Conn
	headBytes int
	holder    *budget.Holder
	mu        sync.Mutex
	// headRead is set from the end of a head until its response is complete.
	headRead     bool
	bytes, lines int
}

// errRefused is what net/http gets instead of the rest of a refused request. It does not
// respond after an error of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// Read implements net.Conn. Before it reads on, all bytes so far belong to the head unless
// net/http has read it.
func (c *httpConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	tooLarge := !c.headRead && (c.lines > MaxHeaderLines || c.bytes > c.headBytes)
	c.mu.Unlock()
	if tooLarge {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
		return 0, errRefused
	}
	if len(p) == 1 {
		// While a handler runs, net/http reads one byte at a time once the body has ended.
		c.holder.Protect(c.requestRead())
	}
	n, err := c.Conn.Read(p)
	if e := (tls.RecordHeaderError{}); errors.As(err, &e) {
		c.refuseHTTP(e)
		return 0, err
	}
	c.mu.Lock()
	c.bytes += n
	if !c.headRead {
		c.lines += bytes.Count(p[:n], []byte("\n"))
	}
	cost, refusable := CountedBytes(HeadCost(c.bytes, c.lines)), !c.headRead
	c.mu.Unlock()
	if cost > 0 && !c.holder.Set(cost) {
		if refusable {
			c.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
		}
		return 0, errRefused
	}
	return n, err
}

func (c *httpConn) requestRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headRead
}

func (c *httpConn) refuse(status int, header string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails only on a closed connection
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), header)
}

// refuseHTTP answers a request without TLS to a server with TLS like net/http, which does so
// only for connections of type *tls.Conn.
func (c *httpConn) refuseHTTP(e tls.RecordHeaderError) {
	if e.Conn == nil || !slices.Contains([]string{"GET /", "HEAD ", "POST ", "PUT /", "OPTIO"}, string(e.RecordHeader[:])) {
		return
	}
	_ = e.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails only on a closed connection
	fmt.Fprint(e.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
}

func (c *httpConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = s == http.StateActive
	if s == http.StateIdle {
		c.bytes, c.lines = 0, 0
		c.holder.Protect(false)
		c.holder.Close()
	}
}

// Close implements net.Conn.
func (c *httpConn) Close() error {
	c.holder.Close()
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *httpConn) NetConn() net.Conn { return c.Conn }

// guardMessages returns a listener for the inner protocol that closes connections which
// send nothing or claim a frame above the limit, and counts incomplete messages.
func guardMessages(l net.Listener, b *budget.Budget) net.Listener {
	return &messageGuard{l, b}
}

type messageGuard struct {
	net.Listener
	budget *budget.Budget
}

// Accept implements net.Listener.
func (g *messageGuard) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Now().Add(firstByteTimeout)) // fails only on a closed connection
	return &messageConn{Conn: c, holder: g.budget.Open(func() { c.Close() })}, nil
}

// messageConn follows the frames of the inner protocol: a byte of flags, the varints of
// stream, message and length, and as many bytes.
type messageConn struct {
	net.Conn
	holder  *budget.Holder
	started bool
	// field is the part of the frame's head that is due; varint is its value so far.
	field  int
	varint uint64
	shift  uint
	done   bool
	left   uint64
	// message is the number of bytes of the incomplete message.
	message int64
	counted bool
}

// The fields of a frame's head.
const (
	flagsField = iota
	streamField
	messageField
	lengthField
)

// frameDone is the flag of the last frame of a message.
const frameDone = 1

// Read implements net.Conn.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.started {
		c.started = true
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	if e := c.follow(p[:n]); e != nil {
		c.Close()
		return 0, e
	}
	if cost := CountedBytes(headerByteFactor * c.message); cost > 0 || c.counted {
		c.counted = cost > 0
		if !c.holder.Set(cost) {
			c.Close()
			return 0, errors.New("the memory for incomplete messages is used up")
		}
	}
	return n, err
}

// follow advances over b.
func (c *messageConn) follow(b []byte) error {
	for len(b) > 0 {
		if c.left > 0 {
			n := min(c.left, uint64(len(b)))
			c.left -= n
			c.message += int64(n)
			b = b[n:]
			c.endFrame()
			continue
		}
		if c.field == flagsField {
			c.done, c.field, c.varint, c.shift = b[0]&frameDone != 0, streamField, 0, 0
			b = b[1:]
			continue
		}
		c.varint |= uint64(b[0]&0x7f) << c.shift
		c.shift += 7
		more := b[0]&0x80 != 0
		b = b[1:]
		if more {
			continue // the reader of the frames refuses a varint that is too long
		}
		if c.field == lengthField {
			if c.varint > MaxMessageBytes {
				return errors.Errorf("a frame of %d bytes exceeds %d", c.varint, MaxMessageBytes)
			}
			c.left, c.field = c.varint, flagsField
			c.endFrame()
			continue
		}
		c.field++
		c.varint, c.shift = 0, 0
	}
	return nil
}

// endFrame forgets a message once its last frame is complete.
func (c *messageConn) endFrame() {
	if c.left == 0 && c.done {
		c.message = 0
	}
}

// Close implements net.Conn.
func (c *messageConn) Close() error {
	c.holder.Close()
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *messageConn) NetConn() net.Conn { return c.Conn }

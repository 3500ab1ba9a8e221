package caller

import (
	"io"
	"net"
	"os"
	"time"
)

// maxWaitingBytes bounds the bytes of one response that wait for earlier responses. The
// handler of a longer response waits with the rest.
const maxWaitingBytes = 64 << 10

// pipelinedConn carries one request that was started ahead of the response to an earlier
// one on the same caller's connection. To net/http it is a connection of its own. Its
// response is kept until it is its turn.
type pipelinedConn struct {
	c       *conn
	head    []byte
	arrived time.Time
	// cost is the memory for the request.
	cost int64
	// The fields below are guarded by c.mu.
	response []byte // the part that waits for its turn
	reserved int64  // the part of Handler.bufferedBytes that response holds
	writing  bool
	done     bool // the response is complete
	closed   bool
	removed  bool // from c.pipelined
	// interrupted is whether a pending Read is to fail.
	interrupted   bool
	writeDeadline time.Time
}

// Read implements net.Conn: it returns the request and then waits until the request is
// canceled or answered.
func (p *pipelinedConn) Read(b []byte) (int, error) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	for {
		switch {
		case p.closed || p.done || p.c.broken || p.c.readErr != nil:
			return 0, io.EOF
		case len(p.head) > 0:
			n := copy(b, p.head)
			p.head = p.head[n:]
			return n, nil
		case p.interrupted:
			return 0, os.ErrDeadlineExceeded
		}
		p.c.cond.Wait()
	}
}

// Write implements net.Conn.
func (p *pipelinedConn) Write(b []byte) (int, error) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if !p.isTurn() && p.keep(b) {
		return len(b), nil
	}
	if err := p.flush(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// isTurn reports whether all earlier responses have been written.
func (p *pipelinedConn) isTurn() bool {
	return !p.c.busy && len(p.c.pipelined) > 0 && p.c.pipelined[0] == p
}

// waitTurn returns once all earlier responses have been written or the connection is
// closed.
func (p *pipelinedConn) waitTurn() {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	for !p.isTurn() && !p.c.broken {
		p.c.cond.Wait()
	}
}

// keep adds b to the bytes that wait, unless it exceeds the limit of the response or of
// the node.
func (p *pipelinedConn) keep(b []byte) bool {
	if p.c.broken || len(p.response)+len(b) > maxWaitingBytes || !p.c.l.h.reserveResponse(int64(len(b))) {
		return false
	}
	p.reserved += int64(len(b))
	p.response = append(p.response, b...)
	return true
}

// flush waits for its turn and writes what has waited and then b.
func (p *pipelinedConn) flush(b []byte) error {
	for !p.c.broken && !p.removed && (!p.isTurn() || p.writing) {
		p.c.cond.Wait()
	}
	if p.removed {
		return nil // all has been written
	}
	if p.c.broken {
		p.release()
		return net.ErrClosed
	}
	waited := p.response
	p.response, p.writing = nil, true
	// A response that has waited is delivered even if its deadline has passed.
	d := p.writeDeadline
	if l := time.Now().Add(writeGrace); !d.IsZero() && d.Before(l) {
		d = l
	}
	p.c.mu.Unlock()
	err := p.send(d, waited, b)
	p.c.mu.Lock()
	p.writing = false
	p.release()
	p.c.cond.Broadcast()
	if err != nil {
		p.c.shutdown()
	}
	return err
}

// send writes to the caller's connection within the deadline d.
func (p *pipelinedConn) send(d time.Time, parts ...[]byte) error {
	if err := p.c.SetWriteDeadline(d); err != nil {
		return err
	}
	for _, b := range parts {
		if len(b) == 0 {
			continue
		}
		if _, err := p.c.Write(b); err != nil {
			return err
		}
	}
	return p.c.SetWriteDeadline(time.Time{})
}

func (p *pipelinedConn) release() {
	p.c.l.h.bufferedBytes.Add(-p.reserved)
	p.reserved, p.response = 0, nil
}

// answered is called once the response is complete, and returns after it has been
// written.
func (p *pipelinedConn) answered() {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.done = true
	_ = p.flush(nil) // closes the connection itself
	p.c.remove(p)
}

// Close implements net.Conn. net/http calls it instead of answered if the response ends
// the connection or was not completed: then the caller's connection is closed after it.
func (p *pipelinedConn) Close() error {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if p.closed || p.done {
		return nil
	}
	p.closed = true
	p.c.cond.Broadcast()
	// The server may hold a lock that the earlier responses need.
	go func() {
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		_ = p.flush(nil) // the connection is closed in any case
		p.c.shutdown()
		p.c.remove(p)
	}()
	return nil
}

// received implements requestConn.
func (p *pipelinedConn) received() time.Time { return p.arrived }

// callerLeft implements requestConn.
func (p *pipelinedConn) callerLeft() bool { return p.c.callerLeft() }

// seal implements requestConn.
func (p *pipelinedConn) seal() bool {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if l := p.c.pipelined; len(l) == 0 || l[len(l)-1] != p {
		return false
	}
	p.c.sealed = true
	return true
}

// SetReadDeadline implements net.Conn. The request has been read already, so only the
// interruption of a pending Read matters.
func (p *pipelinedConn) SetReadDeadline(t time.Time) error {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.interrupted = !t.IsZero() && !time.Now().Before(t)
	p.c.cond.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. net/http clears the deadline before the waiting
// response has been written, so the last one is kept.
func (p *pipelinedConn) SetWriteDeadline(t time.Time) error {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if !t.IsZero() {
		p.writeDeadline = t
	}
	return nil
}

// SetDeadline implements net.Conn.
func (p *pipelinedConn) SetDeadline(t time.Time) error {
	_ = p.SetReadDeadline(t) // never fails
	return p.SetWriteDeadline(t)
}

// LocalAddr implements net.Conn.
func (p *pipelinedConn) LocalAddr() net.Addr { return p.c.LocalAddr() }

// RemoteAddr implements net.Conn.
func (p *pipelinedConn) RemoteAddr() net.Addr { return p.c.RemoteAddr() }

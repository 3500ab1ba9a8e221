package caller

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// pipelinedCost is about what net/http and its buffers take for a request that is
	// started ahead, beside its head.
	pipelinedCost = 32 << 10
	// heldFactor is the memory for a byte that is read ahead, with the room for growth.
	heldFactor = 2
	// refusalTimeout bounds the time for writing a refusal to a caller that does not read.
	refusalTimeout = time.Second
)

// errRefused is what net/http gets instead of the rest of a refused request. It does not
// respond after an error of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// checkFramedHead checks the head as soon as its bytes arrive, where its end is known.
func (c *conn) checkFramedHead() error {
	if c.framing.opaque {
		return nil
	}
	return c.checkHead()
}

// checkHead refuses a head above the limits, or one for which there is no memory, before
// net/http parses it.
func (c *conn) checkHead() error {
	if c.headRead || c.framing.http2 || c.refused.Load() {
		return nil
	}
	l := c.l.h.limits()
	switch n, lines := c.framing.headBytes, c.framing.headLines; {
	case lines > wire.MaxHeaderLines:
		return c.refuse(reasonHeaderLines, errkind.New(errkind.HeadTooLarge, "the head has more than %d lines", wire.MaxHeaderLines))
	case n > l.headerBytes+wire.HeadAllowance:
		return c.refuse(reasonHeaderBytes, errkind.New(errkind.HeadTooLarge, "the head exceeds %d bytes", l.headerBytes))
	}
	if c.count() {
		return nil
	}
	return c.refuse(reasonBudget, errkind.New(errkind.QueueFull, "the memory for callers of this node is used up"))
}

// cost returns the memory that the connection holds.
func (c *conn) cost() int64 {
	n := heldFactor * int64(len(c.held))
	for _, p := range c.pipelined {
		n += p.cost
	}
	if c.busy && !c.framing.http2 {
		if !c.framing.opaque || !c.headRead {
			n += wire.HeadCost(c.framing.headBytes, c.framing.headLines)
		}
	}
	return n
}

// count states in the budget what the connection holds, and reports whether it may.
func (c *conn) count() bool {
	n := wire.CountedBytes(c.cost())
	if n == 0 && !c.counted {
		return true // so that ordinary requests do not take the lock of the budget
	}
	c.counted = n > 0
	c.protect()
	return c.holder.Set(n)
}

// protect keeps the connection from giving way while a request may have been passed on.
func (c *conn) protect() {
	if p := c.headRead || len(c.pipelined) > 0; p != c.protected {
		c.protected = p
		c.holder.Protect(p)
	}
}

// mayHold reports whether the connection may hold n more bytes. No other connection is closed, since
// the caller can wait instead.
func (c *conn) mayHold(n int64) bool {
	k := wire.CountedBytes(c.cost() + n)
	if k == 0 {
		return true
	}
	c.counted = true
	c.protect()
	return c.holder.TrySet(k)
}

// shed closes the connection because others need its memory.
func (c *conn) shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.l.h.refusals.count(reasonShed)
	c.shutdown()
}

// headComplete is called once net/http has read a head.
func (c *conn) headComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = true
	if c.counted {
		c.protect()
	}
	c.setPhase(time.Time{})
}

// beginHead starts the time in which the head must arrive.
func (c *conn) beginHead() {
	c.headBegun = true
	c.startPhase(c.l.h.limits().headerTimeout)
}

// startIdleTime starts the time in which the next head must begin, once all requests have
// been answered.
func (c *conn) startIdleTime() {
	switch {
	case c.busy:
	case len(c.pipelined) > 0:
		c.setPhase(time.Time{})
	default:
		c.startPhase(c.l.h.limits().idleTimeout)
	}
}

// startPhase sets the time for the next part of a request.
func (c *conn) startPhase(d time.Duration) { c.setPhase(time.Now().Add(d)) }

func (c *conn) setPhase(t time.Time) {
	c.phaseEnd = t
	if !c.woken && !c.broken {
		_ = c.applyDeadline(c.effectiveDeadline()) // fails only on a closed connection
	}
}

// applyDeadline sets the deadline of the connection below unless it has it already, which
// saves a change of a timer for each request.
func (c *conn) applyDeadline(t time.Time) error {
	if t.Equal(c.appliedDeadline) {
		return nil
	}
	c.appliedDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// effectiveDeadline returns the deadline for reading from the caller.
func (c *conn) effectiveDeadline() time.Time {
	if c.headRead || c.framing.http2 || !c.readDeadline.IsZero() {
		return c.readDeadline
	}
	return c.phaseEnd
}

// phaseOver reports whether the time for the current part of a request has passed.
func (c *conn) phaseOver() bool {
	return !c.headRead && !c.framing.http2 && !c.phaseEnd.IsZero() && !time.Now().Before(c.phaseEnd)
}

// endPhase ends a connection on which a head did not arrive in time. An idle one is closed
// without a response.
func (c *conn) endPhase() error {
	if !c.headBegun {
		c.readErr = io.EOF
		return io.EOF
	}
	return c.refuse(reasonHeaderTime, errkind.New(errkind.HeadTimeout, "the head did not arrive within %s", c.l.h.limits().headerTimeout))
}

// refuse writes an error response to a request whose head has not been read, and returns
// what net/http gets instead of the head. All earlier responses have been written.
func (c *conn) refuse(r refusalReason, err error) error {
	c.readErr = errRefused
	c.refused.Store(true)
	if c.l.h.refusals.count(r) {
		c.l.h.c.Log.Info("head refused", "reason", string(r), "caller", c.RemoteAddr().String(), "cause", err.Error())
	}
	b := errorResponse(c.l.h.c.Dialect, err)
	c.mu.Unlock()
	defer c.mu.Lock()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails only on a closed connection
	_, _ = c.Conn.Write(b)                                 // an error means that the caller has gone
	return errRefused
}

// Write implements net.Conn. After a refusal it drops what net/http writes about the head
// that broke off.
func (c *conn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(b)
}

// waitingSince returns since when the connection has waited for its caller, or zero if it
// does not: for the first head, for the rest of a head or of a body, or for the caller to
// read. One that is idle after a response does not, nor does one whose request is under way.
func (c *conn) waitingSince() time.Time {
	if n := c.writingSince.Load(); n > 0 {
		return time.Unix(0, n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken: // only waits until the caller has read the last response
		return c.lastBytes
	case !c.receiving, c.framing.opaque && c.headRead, c.framing.atBoundary() && (c.headRead || c.served):
		return time.Time{}
	}
	return c.lastBytes
}

// retire lets the connection end once the requests that have been started are answered, if
// the caller has sent more ahead than may be held without the budget.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || len(c.held) < freeHeldBytes {
		return
	}
	c.retired = true
	c.l.h.refusals.count(reasonEvicted)
	c.wake()
}

// evict closes the connection to make room for another one.
func (c *conn) evict() {
	c.l.h.refusals.count(reasonEvicted)
	c.Conn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return net.ErrClosed
	}
	if !c.headRead && !c.framing.http2 && time.Now().Before(t) {
		if c.framing.opaque && time.Until(t) <= headerTimeout {
			c.beginHead() // net/http has the begin of a head, which came with the last request
		}
		return nil // phaseEnd counts
	}
	c.readDeadline = t
	c.cond.Broadcast()
	if c.woken {
		return nil // the woken Read sets it
	}
	return c.applyDeadline(c.effectiveDeadline())
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

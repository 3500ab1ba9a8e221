package caller

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	// maxPipelined bounds the requests of one connection that run ahead of an
	// unanswered one.
	maxPipelined = 16
	// maxHeldBytes bounds the bytes of a connection that are read ahead: a head of
	// the greatest size with a request before it. Above freeHeldBytes, they need room in
	// the budget.
	maxHeldBytes  = maxHeaderBytes + 4096
	freeHeldBytes = 4096
	// readAheadBytes is the least room for one read ahead.
	readAheadBytes = 2048
	// lingerTime is how long a connection is drained before it is closed with unread
	// bytes, so that the caller can read the responses before a reset discards them.
	lingerTime = 2 * time.Second
)

// connKey is the context key for the requestConn of a request.
type connKey struct{}

// requestConn is the connection that a request came by: a conn or a pipelinedConn.
type requestConn interface {
	// received returns when the request had arrived, which is before it was parsed if
	// it was held until earlier ones were answered.
	received() time.Time
	// callerLeft reports whether the caller has closed the connection.
	callerLeft() bool
	// seal reports whether the response may close the connection, which it may unless
	// later requests have been started. If it may, none will be.
	seal() bool
}

// conn is a caller's connection. net/http serves one request at a time on it. While the
// response is outstanding, conn reads ahead and starts idempotent requests that follow as
// connections of their own (pipelinedConn), whose responses are written in order.
//
// A request that may run only once, one with a body, and all that follow it are held
// until everything before them has been answered: a response that closes the connection
// tells the caller that all behind it were not read, whatever they are.
type conn struct {
	net.Conn
	l *listener
	// stopped is whether reading has been stopped for good while the response is
	// still being written.
	stopped atomic.Bool

	mu   sync.Mutex
	cond *sync.Cond
	// framing tells where the request ends that net/http reads from this connection.
	framing framing
	// busy is whether that request has begun and its response is not complete.
	busy bool
	// ahead is whether requests behind it may be started.
	ahead bool
	// sealed is set once a response closes the connection.
	sealed bool
	// closing is set if the connection is to be closed after the last response.
	closing bool
	// broken is set once the connection is closed.
	broken bool
	// held are bytes read ahead; next tells where the first request among them ends,
	// as far as nextBytes have been examined.
	held      []byte
	next      framing
	nextBytes int
	// consumed counts the bytes that have left held, arrivals tells when they came.
	consumed int64
	arrivals []arrival
	// arrived is when the request in progress came, or zero if it was not held.
	arrived time.Time
	// pipelined are the requests that have been started ahead, in order.
	pipelined []*pipelinedConn
	// readErr is the error that ended reading.
	readErr      error
	readDeadline time.Time
	// receiving is whether a Read waits for the caller; woken whether it was
	// interrupted by wake.
	receiving, woken bool
	first            [1]byte

	// holder counts what the connection holds; counted is whether it holds anything, and
	// protected whether it is never closed for others.
	holder             *budget.Holder
	counted, protected bool
	// headRead is set from the end of a head until its response is complete.
	headRead bool
	// headBegun is set from the first byte of a head until its response is complete.
	headBegun bool
	// phaseEnd is when the head must have arrived or, before its first byte, begun. It
	// replaces readDeadline until headRead is set.
	phaseEnd time.Time
	// appliedDeadline is the deadline of the connection below.
	appliedDeadline time.Time
	// refused is set once the connection has written a refusal itself.
	refused atomic.Bool
	// lastBytes is when the caller last sent something or, before that, when it
	// connected. writingSince is when a write began that is in progress, in nanoseconds
	// since 1970, or zero.
	lastBytes    time.Time
	writingSince atomic.Int64
	// retired is set if the connection is to be closed before the next request.
	retired bool
	// served is whether a request of this connection has been answered.
	served bool
}

// arrival is the time at which the bytes before end had arrived.
type arrival struct {
	end int64
	at  time.Time
}

func newConn(c net.Conn, l *listener) *conn {
	k := &conn{Conn: c, l: l, lastBytes: time.Now()}
	k.cond = sync.NewCond(&k.mu)
	k.holder = l.h.c.Budget.Open(k.shed)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.startPhase(l.h.limits().firstByteTimeout)
	return k
}

// Read implements net.Conn. It returns bytes of one request at a time.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.broken {
			return 0, net.ErrClosed
		}
		if c.retired && c.framing.atBoundary() && !c.busy && len(c.pipelined) == 0 {
			return 0, io.EOF
		}
		if c.mayDeliver() {
			n, err := c.deliver(p)
			if n > 0 || err != nil {
				return n, err
			}
			continue
		}
		c.startPipelined()
		if err := c.readAhead(); err != nil {
			return 0, err
		}
	}
}

// mayDeliver reports whether net/http may read on: within a request, or at the next one
// once all before it have been answered.
func (c *conn) mayDeliver() bool {
	return !c.framing.atBoundary() || !c.busy && len(c.pipelined) == 0
}

// deliver reads bytes of the request that net/http reads from c.
func (c *conn) deliver(p []byte) (int, error) {
	if c.framing.opaque {
		// All bytes that net/http has are of the head if it reads on before it has read one.
		if err := c.checkHead(); err != nil {
			return 0, err
		}
	}
	if len(c.held) > 0 {
		n := c.frame(c.held[:min(len(p), len(c.held))])
		if err := c.checkFramedHead(); err != nil {
			return 0, err
		}
		copy(p, c.held[:n])
		c.arrived = c.take(n)
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.receive(p)
	if n == 0 {
		return 0, err
	}
	k := c.frame(p[:n])
	if err := c.checkFramedHead(); err != nil {
		return 0, err
	}
	c.arrived = time.Time{}
	c.hold(p[k:n])
	return k, nil
}

// frame returns how many bytes of b belong to the request that net/http reads.
func (c *conn) frame(b []byte) int {
	if c.framing.atBoundary() {
		c.busy, c.ahead = true, false
	}
	if !c.headRead && !c.headBegun {
		c.beginHead()
	}
	return c.framing.consume(b)
}

// hold keeps bytes that were read ahead.
func (c *conn) hold(b []byte) {
	if len(b) == 0 {
		return
	}
	c.held = append(c.held, b...)
	c.arrivals = append(c.arrivals, arrival{c.consumed + int64(len(c.held)), time.Now()})
}

// take removes n bytes from held and returns when the last of them had arrived.
func (c *conn) take(n int) time.Time {
	c.held = c.held[n:]
	if len(c.held) == 0 {
		c.held = nil
	}
	c.consumed += int64(n)
	c.next, c.nextBytes = framing{}, 0
	for len(c.arrivals) > 1 && c.arrivals[0].end < c.consumed {
		c.arrivals = c.arrivals[1:]
	}
	at := c.arrivals[0].at
	if len(c.held) == 0 {
		c.arrivals = nil
	}
	return at
}

// readAhead reads more bytes, or waits if no more may be held.
func (c *conn) readAhead() error {
	if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
		return os.ErrDeadlineExceeded
	}
	if c.readErr != nil {
		return c.readErr
	}
	if len(c.held) >= maxHeldBytes || len(c.held) >= freeHeldBytes && !c.mayHold(readAheadBytes) {
		c.awaitRoom()
		return nil
	}
	if len(c.held) == 0 {
		// Most callers do not pipeline, so no buffer is kept for this read.
		n, err := c.receive(c.first[:])
		c.hold(c.first[:n])
		return err
	}
	b := make([]byte, readAheadBytes)
	n, err := c.receive(b)
	c.hold(b[:n])
	return err
}

// awaitRoom waits until held bytes have been taken or the caller closes the connection,
// which no Read shows meanwhile.
func (c *conn) awaitRoom() {
	defer wire.WatchPeerClosed(c.Conn, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readErr = io.EOF
		c.cond.Broadcast()
	})()
	c.cond.Wait()
}

// receive reads from the caller without holding the lock. It returns 0 and no error if it
// was woken.
func (c *conn) receive(b []byte) (int, error) {
	if c.woken {
		c.woken = false
		_ = c.applyDeadline(c.effectiveDeadline()) // fails only on a closed connection
	}
	c.receiving = true
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.receiving = false
	if n > 0 {
		c.lastBytes = time.Now()
		return n, nil // an error is returned again by the next Read
	}
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		if c.woken {
			return 0, nil
		}
		if c.phaseOver() {
			return 0, c.endPhase()
		}
		return 0, err
	}
	c.readErr = err
	c.cond.Broadcast()
	return 0, err
}

// wake makes a pending Read look at the state again.
func (c *conn) wake() {
	if c.receiving && !c.woken {
		c.woken = true
		_ = c.applyDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
	c.cond.Broadcast()
}

// startPipelined starts held requests as long as they may run ahead.
func (c *conn) startPipelined() {
	for c.ahead && !c.retired && !c.sealed && !c.closing && c.readErr == nil && len(c.pipelined) < maxPipelined {
		if c.nextBytes == 0 || !c.next.atBoundary() {
			c.nextBytes += c.next.consume(c.held[c.nextBytes:])
		}
		if c.nextBytes == 0 || c.next.inHead {
			return // no complete head
		}
		cost := pipelinedCost + wire.HeadCost(c.next.headBytes, c.next.headLines)
		if !c.next.atBoundary() || c.next.hasLength || c.next.headLines > wire.MaxHeaderLines || !c.mayRunAhead(c.held[:c.nextBytes]) ||
			!c.mayHold(cost-heldFactor*int64(c.nextBytes)) {
			c.ahead = false
			return
		}
		p := &pipelinedConn{c: c, head: slices.Clone(c.held[:c.nextBytes]), cost: cost}
		p.arrived = c.take(c.nextBytes)
		c.pipelined = append(c.pipelined, p)
		c.l.h.pipelined.Add(1)
		// The server takes its own lock to accept, under which it may close c.
		c.mu.Unlock()
		if !c.l.serve(p) {
			p.Close()
		}
		c.mu.Lock()
	}
}

func (c *conn) mayRunAhead(head []byte) bool {
	if !isPlainHead(head) {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	return err == nil && c.l.h.mayRunAhead(r)
}

// allowAhead lets requests behind the one in progress start.
func (c *conn) allowAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead = c.busy && c.framing.atBoundary() && !c.framing.hasLength; c.ahead && len(c.held) > 0 {
		c.wake()
	}
}

// answered is called once the response to the request in progress is complete.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.headBegun, c.headRead, c.served = false, false, false, true
	c.count()
	if c.framing.opaque {
		c.framing.resetHead()
	}
	c.startIdleTime()
	c.advance()
}

// remove drops p from the requests in progress.
func (c *conn) remove(p *pipelinedConn) {
	i := slices.Index(c.pipelined, p)
	if i < 0 {
		return
	}
	c.pipelined = slices.Delete(c.pipelined, i, i+1)
	p.removed = true
	c.l.h.pipelined.Add(-1)
	c.count()
	c.startIdleTime()
	c.advance()
}

// advance passes the turn to write to the next response.
func (c *conn) advance() {
	if len(c.pipelined) == 0 && c.closing {
		c.shutdown()
		return
	}
	if !c.busy && len(c.pipelined) > 0 {
		if p := c.pipelined[0]; len(p.response) > 0 && !p.done {
			go func() { _, _ = p.Write(nil) }() // the handler gets the error with its next Write
		}
	}
	if len(c.held) > 0 {
		c.wake()
		return
	}
	c.cond.Broadcast()
}

// received implements requestConn.
func (c *conn) received() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrived.IsZero() {
		return time.Now()
	}
	return c.arrived
}

// callerLeft implements requestConn.
func (c *conn) callerLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr != nil || wire.PeerClosed(c.Conn)
}

// seal implements requestConn.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pipelined) > 0 {
		return false
	}
	c.sealed = true
	return true
}

// stopReading unblocks a pending Read and makes later ones fail.
func (c *conn) stopReading() {
	c.stopped.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side. net/http calls it before it drains a connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return http.ErrNotSupported
}

// Close implements net.Conn. While only responses of pipelined requests are outstanding,
// the connection is closed after the last of them.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && len(c.pipelined) > 0 && !c.broken && c.readErr == nil {
		c.closing = true
		return nil
	}
	c.shutdown()
	return nil
}

// shutdown closes the connection and fails all requests that are in progress on it.
func (c *conn) shutdown() {
	if c.broken {
		return
	}
	c.broken = true
	c.holder.Close()
	c.wake()
	if !c.refused.Load() && !c.stopped.Load() && c.consumed == 0 && len(c.held) == 0 || c.CloseWrite() != nil {
		c.Conn.Close()
		return
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
		_, _ = io.Copy(io.Discard, c.Conn)                     // ends at the deadline or when the caller closes
		c.Conn.Close()
	}()
}

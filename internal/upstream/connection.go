package upstream

import (
	"bufio"
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	connectTimeout    = 2 * time.Second
	idleTimeout       = 2 * time.Minute
	bufferBytes       = 4 << 10
	maxResponseHeader = 256 << 10
)

var errHeaderTooLarge = errors.Errorf("answer header exceeds %d bytes", maxResponseHeader)

// connection is an HTTP/1.1 connection to an upstream that carries one request at a
// time. http.Transport is not used, for two reasons: it sends some requests a second
// time when a connection breaks, and it may treat surplus bytes after a response as
// the response to the next request.
type connection struct {
	conn      net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	readLimit int64 // bytes that may still be read
	reused    bool
	idleSince time.Time
	// sent states that part of the current request was written to the network, and
	// writeFailed that the latest write failed. They are read only while no write is
	// in progress.
	sent, writeFailed bool
}

func newConnection(c net.Conn) *connection {
	k := &connection{conn: c, readLimit: math.MaxInt64}
	k.r = bufio.NewReaderSize(readerFunc(k.read), bufferBytes)
	k.w = bufio.NewWriterSize(writerFunc(k.write), bufferBytes)
	return k
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func (k *connection) read(p []byte) (int, error) {
	if k.readLimit <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := k.conn.Read(p[:min(int64(len(p)), k.readLimit)])
	k.readLimit -= int64(n)
	return n, err
}

func (k *connection) write(p []byte) (int, error) {
	n, err := k.conn.Write(p)
	k.sent, k.writeFailed = k.sent || n > 0, err != nil
	return n, err
}

// usable reports whether the upstream has neither closed the idle connection
// nor sent anything on it.
func (k *connection) usable() bool {
	s, ok := k.conn.(syscall.Conn)
	if !ok {
		return true // an in-memory connection
	}
	c, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var idle bool
	err = c.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// connectionPool holds the idle connections to one upstream. The most recently used
// one is taken first, so that surplus connections expire.
type connectionPool struct {
	address   string
	dial      wire.Dialer
	mu        sync.Mutex
	idle      []*connection
	keepAlive bool
}

// get returns an idle connection, or opens a new one if none is usable.
func (p *connectionPool) get(ctx context.Context) (*connection, error) {
	for k := p.pop(); k != nil; k = p.pop() {
		if k.usable() {
			k.reused = true
			return k, nil
		}
		k.conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	return newConnection(c), nil
}

func (p *connectionPool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	k := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return k
}

// put returns k to the pool, or closes it if keep-alive is off.
func (p *connectionPool) put(k *connection) {
	k.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keepAlive {
		k.conn.Close()
		return
	}
	p.idle = append(p.idle, k)
}

// expire closes the connections that have been idle for longer than idleTimeout, or
// all idle connections.
func (p *connectionPool) expire(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for ; n < len(p.idle) && (all || now.Sub(p.idle[n].idleSince) > idleTimeout); n++ {
		p.idle[n].conn.Close()
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// setKeepAlive sets whether connections are kept from now on, and closes the idle ones
// if not.
func (p *connectionPool) setKeepAlive(keepAlive bool) {
	p.mu.Lock()
	p.keepAlive = keepAlive
	p.mu.Unlock()
	if !keepAlive {
		p.expire(time.Time{}, true)
	}
}

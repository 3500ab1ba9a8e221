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

// connection is one HTTP/1.1 connection to an upstream. It carries one request
// at a time. net/http's Transport is not used, for two reasons: it sends some
// requests a second time when a connection breaks, and it may take surplus
// bytes after one answer for the answer to the next request.
type connection struct {
	conn   net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	limit  int64 // bytes that may still be read
	reused bool
	since  time.Time // when it became idle
	// sent says that a part of the present request was handed to the network,
	// and broken that the network refused another part. They are read once no
	// write is under way.
	sent, broken bool
}

func newConnection(c net.Conn) *connection {
	k := &connection{conn: c, limit: math.MaxInt64}
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
	if k.limit <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := k.conn.Read(p[:min(int64(len(p)), k.limit)])
	k.limit -= int64(n)
	return n, err
}

func (k *connection) write(p []byte) (int, error) {
	n, err := k.conn.Write(p)
	k.sent, k.broken = k.sent || n > 0, err != nil
	return n, err
}

// usable reports whether the upstream has neither closed the idle connection
// nor sent anything on it.
func (k *connection) usable() bool {
	s, ok := k.conn.(syscall.Conn)
	if !ok {
		return true // a connection in memory
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

// connections is the pool of one upstream. The most recently used connection is
// taken first, so that surplus ones age and are closed.
type connections struct {
	address string
	dial    wire.Dialer
	mu      sync.Mutex
	idle    []*connection
	keep    bool
}

// get returns an idle connection, or opens one when none is usable.
func (p *connections) get(ctx context.Context) (*connection, error) {
	for k := p.take(); k != nil; k = p.take() {
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

func (p *connections) take() *connection {
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

// put keeps k for another request, or closes it.
func (p *connections) put(k *connection) {
	k.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keep {
		k.conn.Close()
		return
	}
	p.idle = append(p.idle, k)
}

// expire closes the connections that were idle for long, or all of them.
func (p *connections) expire(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for ; n < len(p.idle) && (all || now.Sub(p.idle[n].since) > idleTimeout); n++ {
		p.idle[n].conn.Close()
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// setKeep says whether connections are kept from now on.
func (p *connections) setKeep(keep bool) {
	p.mu.Lock()
	p.keep = keep
	p.mu.Unlock()
	if !keep {
		p.expire(time.Time{}, true)
	}
}

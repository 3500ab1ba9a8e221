package wire

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxIdlePerAddress is the maximum number of idle connections to one address;
	// further ones are closed after use.
	maxIdlePerAddress = 64
	// poolIdleTimeout is how long an idle connection is kept.
	poolIdleTimeout = time.Minute
)

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// Pool keeps idle connections by address, since a drpc connection carries one call at a
// time. It reuses the most recently used connection first, so that surplus ones reach
// the idle timeout and are closed.
type Pool struct {
	dial   Dialer
	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

// NewPool returns an empty Pool that connects with d.
func NewPool(d Dialer) *Pool { return &Pool{dial: d, idle: map[string][]idleConn{}} }

// Get returns an idle connection or opens one. Nothing of the call has been sent at that
// point, so an error proves that the call did not run.
func (p *Pool) Get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		select {
		case <-c.Closed(): // closed by the peer while idle
		default:
			return c, nil
		}
	}
	c, err := Dial(ctx, p.dial, address)
	if err != nil {
		return nil, errkind.From(err).WithExecution(errkind.NotRun)
	}
	return c, nil
}

func (p *Pool) take(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[address] = l[:len(l)-1]
	return c.conn
}

// Put gives a connection back after a call. It is kept only if clean is set: after an
// unfinished call, the late response could reach the next call.
func (p *Pool) Put(address string, c *drpcconn.Conn, clean bool) {
	now := time.Now()
	var drop []*drpcconn.Conn
	p.mu.Lock()
	l := p.idle[address]
	for len(l) > 0 && now.Sub(l[0].since) > poolIdleTimeout {
		drop = append(drop, l[0].conn)
		l = l[1:]
	}
	if clean && !p.closed && len(l) < maxIdlePerAddress {
		l = append(l, idleConn{c, now})
	} else {
		drop = append(drop, c)
	}
	if len(l) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = l
	}
	p.mu.Unlock()
	for _, d := range drop {
		d.Close()
	}
}

// Close closes the idle connections. Connections given back later are closed at once.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]idleConn{}
	p.mu.Unlock()
	for _, l := range idle {
		for _, c := range l {
			c.conn.Close()
		}
	}
	return nil
}

// PoolCall invokes a unary method on a pooled connection to address.
func PoolCall[Q, A any](ctx context.Context, p *Pool, address, method string, q *Q) (*A, error) {
	c, err := p.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	a, err := Call[Q, A](ctx, c, method, q)
	p.Put(address, c, errkind.Of(err) != errkind.Unreachable && ctx.Err() == nil)
	return a, err
}

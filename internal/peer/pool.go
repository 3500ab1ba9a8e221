package peer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// maxIdlePerNode bounds idle connections to one node; more are closed after use.
const maxIdlePerNode = 64

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// pool keeps idle connections by address. The most recently used connection is
// taken first, so that surplus ones age and are closed.
type pool struct {
	dial   wire.Dialer
	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

func newPool(d wire.Dialer) *pool { return &pool{dial: d, idle: map[string][]idleConn{}} }

// get returns a connection on which no request has been sent yet, so an error
// proves that the request did not run.
func (p *pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		select {
		case <-c.Closed(): // the peer went away while the connection was idle
		default:
			return c, nil
		}
	}
	c, err := wire.Dial(ctx, p.dial, address)
	if err != nil {
		return nil, errkind.From(err).WithExecution(errkind.NotRun)
	}
	return c, nil
}

func (p *pool) take(address string) *drpcconn.Conn {
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

// put returns a connection after a request. It is kept only when clean.
func (p *pool) put(address string, c *drpcconn.Conn, clean bool) {
	now := time.Now()
	var drop []*drpcconn.Conn
	p.mu.Lock()
	l := p.idle[address]
	for len(l) > 0 && now.Sub(l[0].since) > idleTimeout {
		drop = append(drop, l[0].conn)
		l = l[1:]
	}
	if clean && !p.closed && len(l) < maxIdlePerNode {
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

func (p *pool) close() error {
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

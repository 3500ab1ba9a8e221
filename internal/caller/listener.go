package caller

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// evictAfter is how long a connection must have waited for its caller before it is
	// closed to make room for another one.
	evictAfter = time.Second
	// evictShare is the part of the connections that are closed at a time, and evictPause
	// the time before the next look if there was none to close, so that a flood of
	// connections costs little.
	evictShare = 16
	evictPause = 100 * time.Millisecond
)

// NewListener wraps l for a server of NewServer with the handler h. It keeps at most limit
// connections open. To make room for another one, it closes those that have waited longest
// for their callers; see waitingSince. If there are none, it closes the new one. Requests
// that are pipelined on a connection are accepted as connections of their own.
func NewListener(l net.Listener, limit int, h *Handler) net.Listener {
	k := &listener{
		Listener:  l,
		limit:     limit,
		conns:     map[*conn]struct{}{},
		h:         h,
		accepted:  make(chan accepted),
		pipelined: make(chan *pipelinedConn),
		closed:    make(chan struct{}),
	}
	go func() {
		for {
			c, err := k.accept()
			select {
			case k.accepted <- accepted{c, err}:
			case <-k.closed:
				if err == nil {
					c.Close()
				}
				return
			}
		}
	}()
	return k
}

type listener struct {
	net.Listener
	h     *Handler
	limit int
	mu    sync.Mutex
	conns map[*conn]struct{}
	// nextEviction is when to look for connections to close again.
	nextEviction time.Time
	accepted     chan accepted
	pipelined    chan *pipelinedConn
	closeOnce    sync.Once
	closed       chan struct{}
}

// accepted is a result of net.Listener.Accept.
type accepted struct {
	c   *conn
	err error
}

// accept returns the next connection for which there is room.
func (l *listener) accept() (*conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.makeRoom(time.Now()) {
			l.h.refusals.count(reasonConnections)
			c.Close()
			continue
		}
		t := &trackedConn{Conn: c}
		k := newConn(t, l)
		t.release = sync.OnceFunc(func() { l.remove(k) })
		l.mu.Lock()
		l.conns[k] = struct{}{}
		l.mu.Unlock()
		return k, nil
	}
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// makeRoom closes connections if there are as many as allowed, and reports whether there
// is room for another one.
func (l *listener) makeRoom(now time.Time) bool {
	l.mu.Lock()
	if len(l.conns) < l.limit {
		l.mu.Unlock()
		return true
	}
	if now.Before(l.nextEviction) {
		l.mu.Unlock()
		return false
	}
	all := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	evicted := evictable(now, all, max(1, l.limit/evictShare))
	for _, c := range evicted {
		c.evict()
	}
	if len(evicted) > 0 {
		return true
	}
	for _, c := range all {
		c.retire()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextEviction = now.Add(evictPause)
	return false
}

// evictable returns up to n connections that have waited longest for their callers.
func evictable(now time.Time, all []*conn, n int) []*conn {
	type waiting struct {
		c     *conn
		since time.Time
	}
	var w []waiting
	for _, c := range all {
		if s := c.waitingSince(); !s.IsZero() && now.Sub(s) >= evictAfter {
			w = append(w, waiting{c, s})
		}
	}
	slices.SortFunc(w, func(a, b waiting) int { return a.since.Compare(b.since) })
	var l []*conn
	for _, k := range w[:min(n, len(w))] {
		l = append(l, k.c)
	}
	return l
}

// trackedConn calls release once it is closed.
type trackedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *trackedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return http.ErrNotSupported
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.pipelined:
		return c, nil
	case a := <-l.accepted:
		if a.err != nil {
			return nil, a.err
		}
		return a.c, nil
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// serve passes c to the server and reports whether the server took it.
func (l *listener) serve(c *pipelinedConn) bool {
	select {
	case l.pipelined <- c:
		return true
	case <-l.closed:
		return false
	}
}

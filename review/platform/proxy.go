package main

import (
	"net"
	"sync"
	"time"
)

// proxyBuffer is small, so that a silent connection soon takes no more bytes.
const proxyBuffer = 4 << 10

// proxy forwards TCP connections to a target. Its open connections can be made silent
// for good: they stay open, but no byte is forwarded any more. New connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{} // closed when the connections that are open now go silent
	conns  []net.Conn
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, silent: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence makes the open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
	n := len(p.conns) / 2
	for _, c := range p.conns {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes a pending Read
	}
	return n
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	silent := p.silent
	p.conns = append(p.conns, c, t)
	p.mu.Unlock()
	go p.forward(t, c, silent)
	p.forward(c, t, silent)
}

// forward copies what src sends to dst until the connection ends or goes silent.
func (p *proxy) forward(dst, src net.Conn, silent <-chan struct{}) {
	if t, ok := src.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(proxyBuffer) // only bounds what a silent connection takes
	}
	b := make([]byte, proxyBuffer)
	for {
		n, err := src.Read(b)
		select {
		case <-silent:
			return // both connections stay open
		default:
		}
		if n > 0 {
			if _, e := dst.Write(b[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			p.drop(src, dst)
			return
		}
	}
}

// drop closes a pair of connections.
func (p *proxy) drop(a, b net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Close()
	b.Close()
	var l []net.Conn
	for _, c := range p.conns {
		if c != a && c != b {
			l = append(l, c)
		}
	}
	p.conns = l
}

// close closes the listener and all connections.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

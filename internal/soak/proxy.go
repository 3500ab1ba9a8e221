package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what a Proxy does to connections.
type Fault int

// Faults of a Proxy.
const (
	// Healthy passes everything on.
	Healthy Fault = iota
	// Delayed holds each piece back for proxyDelay.
	Delayed
	// Silent passes nothing on and keeps connections open.
	Silent
	// OneWay passes on only what the dialer sends.
	OneWay
)

const (
	proxyDelay = 150 * time.Millisecond
	// proxyPoll is how often a held connection looks whether the fault is over.
	proxyPoll   = 20 * time.Millisecond
	proxyBuffer = 16 << 10
)

// Proxy passes TCP connections on to a target on loopback.
type Proxy struct {
	listener net.Listener
	target   string
	done     sync.WaitGroup

	mu     sync.Mutex
	fault  Fault
	conns  map[net.Conn]bool
	closed bool
}

// NewProxy listens on a free port of loopback.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault of open and new connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a closed connection needs no reset
		}
		c.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Reset()
	p.done.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.done.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	for p.state() == Silent { // as if the first packets were lost
		time.Sleep(proxyPoll)
		if p.isClosed() {
			return
		}
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	if !p.add(c, t) {
		return
	}
	defer p.remove(c, t)
	var g sync.WaitGroup
	g.Go(func() { p.copy(t, c, false) })
	g.Go(func() { p.copy(c, t, true) })
	g.Wait()
}

// copy passes on what src sends. Back says that this is the way to the dialer.
func (p *Proxy) copy(dst, src net.Conn, back bool) {
	b := make([]byte, proxyBuffer)
	for {
		n, err := src.Read(b)
		for f := p.state(); f == Silent || f == OneWay && back; f = p.state() {
			time.Sleep(proxyPoll)
			if p.isClosed() {
				return
			}
		}
		if p.state() == Delayed {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, e := dst.Write(b[:n]); e != nil {
				return
			}
		}
		if err != nil {
			if t, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = t.CloseWrite() // the other direction may still be in use
			} else {
				dst.Close()
			}
			return
		}
	}
}

func (p *Proxy) state() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *Proxy) add(l ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range l {
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) remove(l ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range l {
		delete(p.conns, c)
	}
}

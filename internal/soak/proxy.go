package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is a fault that a Proxy injects into connections.
type Fault int

// Faults of a Proxy.
const (
	// Healthy forwards everything.
	Healthy Fault = iota
	// Delayed delays each chunk by proxyDelay.
	Delayed
	// Silent forwards nothing and keeps connections open.
	Silent
	// OneWay forwards only what the dialing side sends.
	OneWay
)

const (
	proxyDelay = 150 * time.Millisecond
	// proxyPollInterval is how often a stalled connection checks whether the fault is
	// over.
	proxyPollInterval = 20 * time.Millisecond
	proxyBuffer       = 16 << 10
)

// Proxy forwards TCP connections to a target on loopback.
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

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault of open and new connections.
func (p *Proxy) SetFault(f Fault) {
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
			_ = t.SetLinger(0) // fails only if the connection is closed already
		}
		c.Close()
	}
}

// Close stops the proxy and closes its connections.
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
	for p.currentFault() == Silent { // as if the first packets were lost
		time.Sleep(proxyPollInterval)
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
	g.Go(func() { p.forward(t, c, false) })
	g.Go(func() { p.forward(c, t, true) })
	g.Wait()
}

// forward copies what src sends to dst. toDialer is set if dst is the dialing side.
func (p *Proxy) forward(dst, src net.Conn, toDialer bool) {
	b := make([]byte, proxyBuffer)
	for {
		n, err := src.Read(b)
		for f := p.currentFault(); f == Silent || f == OneWay && toDialer; f = p.currentFault() {
			time.Sleep(proxyPollInterval)
			if p.isClosed() {
				return
			}
		}
		if p.currentFault() == Delayed {
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

func (p *Proxy) currentFault() Fault {
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

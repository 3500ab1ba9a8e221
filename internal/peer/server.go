// Package peer carries requests between nodes: one drpc stream for each
// request on a pooled connection.
//
// # Usage
//
// The owner node registers its transport on the inner server:
//
//	p := peer.NewServer(peer.ServerConfig{Transport: local, LinkMbps: 170})
//	p.Register(mux)
//	…
//	p.Refuse()           // at a stop
//	err := p.Drain(ctx)  // returns once the answers under way are sent
//
// The entry node calls other nodes:
//
//	c := peer.NewClient(wire.DialTCP)
//	a, err := c.Call(ctx, address, request)
//
// A body larger than call.InlineBodyBytes is sent only after the owner node
// admitted the request, so that refused uploads cost no transfer and can be
// tried elsewhere. The owner node admits as many at the same time as its link
// carries beside its other traffic. The owner node in turn sends nothing to its upstream before
// the first chunk of such a body arrived: until then the entry node may have
// given up and said that the request did not run.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	// Transport runs the requests.
	Transport call.Transport
	// LinkMbps is the rate of the VM's link; zero means unknown, and so unbounded.
	LinkMbps float64
}

// Server answers the requests of other nodes.
type Server struct {
	c        ServerConfig
	gate     *gate
	mu       sync.Mutex // orders enter and Refuse
	refusing bool
	inFlight sync.WaitGroup
}

// NewServer returns a Server.
func NewServer(c ServerConfig) *Server { return &Server{c: c, gate: newGate(transfersOf(c.LinkMbps))} }

// Register serves Forward streams on m.
func (p *Server) Register(m *wire.Mux) { m.HandleStream(wire.MethodForward, p.serve) }

// Refuse refuses new requests from now on.
func (p *Server) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = true
}

// Drain returns once all answers under way were handed to their connections, or
// with an error when ctx ends first. Call Refuse before.
func (p *Server) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		p.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.DeadlineExceeded, "requests of other nodes were still in flight at the stop limit")
	}
}

func (p *Server) enter() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing {
		return errkind.New(errkind.Leaving, "this node is stopping")
	}
	p.inFlight.Add(1)
	return nil
}

func (p *Server) serve(s drpc.Stream) error {
	var q wire.ForwardRequest
	if err := s.MsgRecv(&q, wire.Encoding{}); err != nil {
		return err
	}
	if q.Head == nil {
		return send(s, refusal(errkind.New(errkind.BadRequest, "stream starts without a request")))
	}
	if q.Head.Remaining <= 0 {
		return send(s, refusal(errkind.New(errkind.DeadlineTooShort, "no time is left")))
	}
	if err := p.enter(); err != nil {
		return send(s, refusal(err))
	}
	defer p.inFlight.Done()
	ctx, cancel := context.WithTimeout(s.Context(), q.Head.Remaining)
	defer cancel()
	r := &call.Request{RequestHead: *q.Head}
	if !q.Head.WholeBody {
		return p.serveLarge(ctx, s, r)
	}
	a, err := p.c.Transport.Call(ctx, r)
	if err != nil {
		return send(s, refusal(err))
	}
	defer a.Body.Close()
	return sendAnswer(s, a, nil)
}

// serveLarge runs a request whose body follows once the link has room for it.
func (p *Server) serveLarge(ctx context.Context, s drpc.Stream, r *call.Request) error {
	started := time.Now()
	t, err := p.gate.acquire(ctx, r.Remaining)
	if err != nil {
		return send(s, refusal(err))
	}
	defer t.release()
	r.Waited += time.Since(started)
	c := newChunkReader(s)
	c.whole = t.release
	defer c.Close()
	r.Stream = c
	r.OnAdmitted = func() error { t.begin(); return c.admit(ctx) }
	a, err := p.c.Transport.Call(ctx, r)
	if err != nil {
		return send(s, refusal(err))
	}
	defer a.Body.Close()
	t.answered()
	n := *a
	n.Load = func() *wire.Load { return p.gate.load(a.Load(), time.Since(started)) }
	return sendAnswer(s, &n, c)
}

func refusal(err error) *wire.ForwardResponse {
	f := &wire.ForwardResponse{Refusal: wire.NewFault(err)}
	var l *call.LoadError
	if errors.As(err, &l) {
		f.Load, f.RetryAfter, f.Arrived = l.Load, l.After, l.Arrived
	}
	return f
}

func send(s drpc.Stream, m *wire.ForwardResponse) error { return s.MsgSend(m, wire.Encoding{}) }

// sendAnswer sends a small answer of known length as one message, which saves
// two writes, and streams any other. c is the request's body, or nil.
func sendAnswer(s drpc.Stream, a *call.Response, c *chunkReader) error {
	m := &wire.ForwardResponse{Head: &a.Head}
	b := make([]byte, bufferSize(a.Head.ContentLength))
	sent := int64(0)
	if a.Head.ContentLength < 0 || a.Head.ContentLength > call.ChunkBytes {
		if err := send(s, m); err != nil {
			return err
		}
		m = &wire.ForwardResponse{}
	}
	read := a.Body.Read
	if m.Head != nil {
		read = func(b []byte) (int, error) { return call.Fill(a.Body, b) }
	}
	for {
		n, err := read(b)
		m.Chunk = b[:n]
		sent += int64(n)
		if call.IsEOF(err) {
			m.End = &wire.ResponseEnd{RequestID: a.Head.RequestID, Bytes: sent, Trailer: a.Trailer(), BodyLeft: c != nil && !c.ended.Load()}
			m.Load = a.Load()
			return send(s, m)
		}
		if err != nil {
			m.Refusal = wire.NewFault(err)
			return send(s, m)
		}
		if err := send(s, m); err != nil {
			return err
		}
		m = &wire.ForwardResponse{}
	}
}

// bufferSize leaves one byte more than a known length, so that the read that
// fills the answer also sees its end.
func bufferSize(length int64) int {
	if length >= 0 && length < call.ChunkBytes {
		return int(length) + 1
	}
	return call.ChunkBytes
}

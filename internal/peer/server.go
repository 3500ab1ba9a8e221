// Package peer sends requests from one node to another. Each request is a drpc
// stream on a pooled connection.
//
// # Usage
//
// The owner node serves the requests of other nodes and passes them to its transport:
//
//	o := peer.NewOutlet(peer.OutletConfig{Link: link.New(170), Rank: rankOf})
//	p := peer.NewServer(peer.ServerConfig{Transport: local, LinkMbps: 170, Outlet: o})
//	p.Register(mux)
//	…
//	p.Refuse()           // when the node stops
//	err := p.Drain(ctx)  // returns once all responses in flight are sent
//
// The entry node calls other nodes:
//
//	c := peer.NewClient(peer.ClientConfig{Dial: wire.DialTCP, TCPUserTimeout: wire.LinkTCPUserTimeout(170), Outlet: o})
//	a, err := c.Call(ctx, address, request)
//
// A body larger than call.InlineBodyBytes is sent only after the owner node has
// admitted the request, so that a refused upload costs no transfer and can be sent
// to another node. The owner node admits as many at a time as its link can carry in
// addition to its other traffic. It sends nothing to its upstream before the first
// chunk of such a body has arrived: until then, the entry node may have given up and
// reported that the request did not run.
//
// Where the rate of the link is known, an Outlet paces the large bodies that the node
// sends, so that small messages do not wait behind them (package link). The owner node
// refuses requests whose large responses could not arrive in time, reads large responses
// ahead into bounded memory, and reports the backlog of its link with each response.
//
// The time that a request was on the way counts against its deadline: it may have waited
// for a busy link, with its cancellation behind it. See transitEstimator.
package peer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Transport sends the requests to the upstreams of this node.
	Transport call.Transport
	// LinkMbps is the rate of the VM's link. Zero means unknown: only maxTransfers then
	// bounds the large bodies.
	LinkMbps float64
	// Outlet sends the responses; nil means that the rate of the link is unknown.
	Outlet *Outlet
}

// Server answers the requests of other nodes.
type Server struct {
	c         ServerConfig
	transfers *transferLimiter
	transit   *transitEstimator
	mu        sync.Mutex // orders startRequest and Refuse
	refusing  bool
	inFlight  sync.WaitGroup
}

// NewServer returns a Server.
func NewServer(c ServerConfig) *Server {
	if c.Outlet == nil {
		c.Outlet = NewOutlet(OutletConfig{})
	}
	return &Server{c: c, transfers: newTransferLimiter(maxTransfersOn(c.LinkMbps)), transit: newTransitEstimator()}
}

// Register serves Forward streams on m.
func (p *Server) Register(m *wire.Mux) { m.HandleStream(wire.MethodForward, p.serve) }

// Refuse refuses new requests from now on.
func (p *Server) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = true
}

// Drain returns once all responses in flight have been written to their connections,
// or with an error if ctx ends first. Call Refuse before.
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

func (p *Server) startRequest() error {
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
		return send(s, refusal(errkind.New(errkind.BadRequest, "stream does not start with a request head")))
	}
	delay := p.transit.observe(time.Now(), q.Head.SendClock, q.Head.SentAt)
	q.Head.Remaining -= delay
	q.Head.Waited += delay
	if q.Head.Remaining <= 0 {
		return send(s, refusal(errkind.New(errkind.DeadlineTooShort, "no time is left after %s on the way", delay.Round(time.Millisecond))))
	}
	if err := p.startRequest(); err != nil {
		return send(s, refusal(err))
	}
	defer p.inFlight.Done()
	ctx, cancel := context.WithTimeout(s.Context(), q.Head.Remaining)
	defer cancel()
	r := &call.Request{RequestHead: *q.Head}
	d, err := p.c.Outlet.admit(r)
	if err != nil {
		return send(s, refusal(withLoad(err, p.c.Transport, p.c.Outlet, r)))
	}
	defer d.close()
	x := &responder{ctx: ctx, cancel: cancel, stream: s, outlet: p.c.Outlet, delivery: d}
	if !q.Head.WholeBody {
		return p.serveLarge(ctx, x, r)
	}
	a, err := p.c.Transport.Call(ctx, r)
	if err != nil {
		return x.refuse(err)
	}
	return x.respond(a)
}

// serveLarge serves a request whose body is sent separately, once the link has the
// capacity for it.
func (p *Server) serveLarge(ctx context.Context, x *responder, r *call.Request) error {
	started := time.Now()
	class := x.class()
	t, err := p.transfers.acquire(ctx, class, r.Remaining, r.ContentLength)
	if err != nil {
		return x.refuse(err)
	}
	defer t.release()
	r.Waited += time.Since(started)
	c := newChunkReader(x.stream)
	c.onChunk, c.onEnd = t.received, t.release
	defer c.Close()
	r.Stream, x.requestBody = c, c
	r.OnAdmitted = func() error { t.start(); return c.admit() }
	a, err := p.c.Transport.Call(ctx, r)
	if err != nil {
		return x.refuse(err)
	}
	t.recordResponse()
	n := *a
	n.Load = func() *wire.Load { return p.transfers.addWait(a.Load(), class.Order, time.Since(started)) }
	return x.respond(&n)
}

package peer

import (
	"context"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// responder sends the response to one request to the entry node.
type responder struct {
	ctx context.Context
	// cancel ends ctx.
	cancel func()
	stream drpc.Stream
	outlet *Outlet
	// delivery is nil if the rate of the link is unknown.
	delivery *delivery
	// requestBody is the streamed request body, or nil.
	requestBody *chunkReader
}

// class returns the urgency of the request. Without a link, all are equally urgent.
func (x *responder) class() link.Class {
	if x.delivery == nil {
		return link.Class{}
	}
	return x.delivery.class
}

// refuse sends err in place of a response.
func (x *responder) refuse(err error) error {
	f := refusal(err)
	f.Load = x.outlet.load(f.Load)
	x.outlet.c.Link.Small(0)
	return send(x.stream, f)
}

// respond sends a small response of known length as one message, which saves two writes,
// and streams any other. It closes the body of a.
func (x *responder) respond(a *call.Response) error {
	body, piece, whole := a.Body, call.ChunkBytes, int64(call.ChunkBytes)
	if d := x.delivery; d != nil {
		d.start(a)
		piece, whole = x.outlet.c.Link.PieceBytes(piece), link.SmallBytes
		if isLarge(a) {
			d.ahead = newReadAhead(body, x.outlet.budget, x.cancel, d.unsizedFlow())
			body = d.ahead
		}
	}
	defer body.Close()
	if err := x.delivery.paceHead(x.ctx); err != nil {
		return x.refuse(err)
	}
	m := &wire.ForwardResponse{Head: &a.Head}
	read := body.Read
	if n := a.Head.ContentLength; n < 0 || n > whole {
		x.outlet.c.Link.Small(0)
		if err := send(x.stream, m); err != nil {
			return err
		}
		m = &wire.ForwardResponse{}
	} else {
		piece = bufferSize(n)
		read = func(b []byte) (int, error) { return call.Fill(body, b) }
	}
	return x.copyBody(a, m, make([]byte, piece), read)
}

// copyBody sends the body of a, whose first bytes are part of m.
func (x *responder) copyBody(a *call.Response, m *wire.ForwardResponse, b []byte, read func([]byte) (int, error)) error {
	sent := int64(0)
	for {
		n, err := read(b)
		if e := x.delivery.pace(x.ctx, n); e != nil {
			n, err = 0, e
		}
		m.Chunk = b[:n]
		sent += int64(n)
		if call.IsEOF(err) {
			c := x.requestBody
			m.End = &wire.ResponseEnd{RequestID: a.Head.RequestID, Bytes: sent, Trailer: a.Trailer(), BodyLeft: c != nil && !c.ended.Load()}
			m.Load = x.outlet.load(a.Load())
			x.delivery.complete(a.Head.Status)
			return send(x.stream, m)
		}
		if err != nil {
			m.Refusal = wire.NewFault(err)
			return send(x.stream, m)
		}
		if err := send(x.stream, m); err != nil {
			return err
		}
		m = &wire.ForwardResponse{}
	}
}

// bufferSize returns one byte more than a known length, so that the read that gets
// the last bytes also gets the end of the body.
func bufferSize(length int64) int {
	if length < call.ChunkBytes {
		return int(length) + 1
	}
	return call.ChunkBytes
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

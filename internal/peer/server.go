// Package peer carries requests between nodes: one drpc stream for each
// request on a pooled connection.
//
// # Usage
//
// The owner node registers its transport on the inner server:
//
//	peer.Register(mux, local)
//
// The entry node calls other nodes:
//
//	c := peer.NewClient(wire.DialTCP)
//	a, err := c.Call(ctx, address, request)
//
// A body larger than call.WholeBodyBytes is sent only after the owner node
// admitted the request, so that refused uploads cost no transfer and can be
// tried elsewhere.
package peer

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Register serves Forward streams on m from t.
func Register(m *wire.Mux, t call.Transport) {
	m.HandleStream(wire.MethodForward, func(s drpc.Stream) error { return serve(s, t) })
}

func serve(s drpc.Stream, t call.Transport) error {
	var q wire.ForwardRequest
	if err := s.MsgRecv(&q, wire.Encoding{}); err != nil {
		return err
	}
	if q.Head == nil || q.Head.Remaining <= 0 {
		return send(s, &wire.ForwardResponse{Refusal: wire.NewFault(errkind.New(errkind.BadRequest, "stream starts without a request"))})
	}
	ctx, cancel := context.WithTimeout(s.Context(), q.Head.Remaining)
	defer cancel()
	r := &call.Request{RequestHead: *q.Head}
	if !q.Head.WholeBody {
		r.Stream = &chunkReader{stream: s}
		r.Admitted = func() error { return send(s, &wire.ForwardResponse{Admitted: true}) }
	}
	a, err := t.Call(ctx, r)
	if err != nil {
		return send(s, refusal(err))
	}
	defer a.Body.Close()
	return sendAnswer(s, a)
}

func refusal(err error) *wire.ForwardResponse {
	f := &wire.ForwardResponse{Refusal: wire.NewFault(err)}
	var l *call.LoadError
	if errors.As(err, &l) {
		f.Load = l.Load
	}
	return f
}

func send(s drpc.Stream, m *wire.ForwardResponse) error { return s.MsgSend(m, wire.Encoding{}) }

// sendAnswer sends a small answer of known length as one message, which saves
// two writes, and streams any other.
func sendAnswer(s drpc.Stream, a *call.Response) error {
	m := &wire.ForwardResponse{Head: &a.Head}
	b := make([]byte, bufferSize(a.Head.ContentLength))
	sent := int64(0)
	if a.Head.ContentLength < 0 || a.Head.ContentLength > call.ChunkBytes {
		if err := send(s, m); err != nil {
			return err
		}
		m = &wire.ForwardResponse{}
	}
	for {
		n, err := readSome(a.Body, b, m.Head != nil)
		m.Chunk = b[:n]
		sent += int64(n)
		if err == io.EOF { //nolint:errorlint // an answer that broke off may wrap io.EOF
			m.End = &wire.ResponseEnd{RequestID: a.Head.RequestID, Bytes: sent, Trailer: a.Trailer()}
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

// readSome reads once, or until the end when whole is set.
func readSome(r io.Reader, b []byte, whole bool) (int, error) {
	if !whole {
		return r.Read(b)
	}
	n, err := io.ReadFull(r, b)
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	return n, err
}

// chunkReader reads a streamed request body.
type chunkReader struct {
	stream drpc.Stream
	rest   []byte
	ended  bool
}

// Read implements io.Reader.
func (c *chunkReader) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var q wire.ForwardRequest
		if err := c.stream.MsgRecv(&q, wire.Encoding{}); err != nil {
			return 0, errors.Wrap(err, "request body cut off")
		}
		c.rest, c.ended = q.Chunk, q.End
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

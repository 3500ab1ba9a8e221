package peer

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// maxChunksAhead is the number of chunks that are received before the upstream reads them.
// Only the connection behind them shows that the entry node has canceled the request.
const maxChunksAhead = 8

var errBodyClosed = errors.New("request body is no longer read")

// chunkReader reads a streamed request body. A goroutine receives the chunks, so
// that Close can unblock a pending Read without ending the stream.
type chunkReader struct {
	stream drpc.Stream
	chunks chan chunk
	closed chan struct{}
	close  sync.Once
	next   chunk
	// ended is set once the complete body has been read.
	ended atomic.Bool
	// onChunk is called with the size of each chunk that has been received.
	onChunk func(n int)
	// onEnd is called once no more of the body will be received.
	onEnd func()
}

type chunk struct {
	data []byte
	err  error
}

func newChunkReader(s drpc.Stream) *chunkReader {
	return &chunkReader{stream: s, chunks: make(chan chunk, maxChunksAhead), closed: make(chan struct{})}
}

// admit allows the entry node to send the body.
func (c *chunkReader) admit() error {
	if err := send(c.stream, &wire.ForwardResponse{Admitted: true}); err != nil {
		return err
	}
	go func() {
		for {
			k := c.receive()
			c.onChunk(len(k.data))
			if k.err != nil {
				c.onEnd()
			}
			select {
			case c.chunks <- k:
			case <-c.closed:
				return
			}
			if k.err != nil {
				return
			}
		}
	}()
	return nil
}

// receive returns the next chunk. The error of the last one is io.EOF itself.
func (c *chunkReader) receive() chunk {
	var q wire.ForwardRequest
	err := c.stream.MsgRecv(&q, wire.Encoding{})
	switch {
	case err != nil:
		err = errors.Wrap(err, "request body cut off")
	case q.End:
		err = io.EOF
	}
	return chunk{q.Chunk, err}
}

// Read implements io.Reader. It returns io.EOF together with the last bytes, so that
// ended is set before the upstream can respond.
func (c *chunkReader) Read(b []byte) (int, error) {
	for len(c.next.data) == 0 && c.next.err == nil {
		select {
		case c.next = <-c.chunks:
		case <-c.closed:
			return 0, errBodyClosed
		}
	}
	n := copy(b, c.next.data)
	c.next.data = c.next.data[n:]
	if len(c.next.data) > 0 || c.next.err == nil {
		return n, nil
	}
	c.ended.Store(call.IsEOF(c.next.err))
	return n, c.next.err
}

// Close implements io.Closer.
func (c *chunkReader) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}

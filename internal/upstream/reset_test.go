package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// gatedBody is an upload whose second chunk is sent once the gate is open.
type gatedBody struct {
	gate   chan struct{}
	chunks int
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if b.chunks++; b.chunks > 1 {
		<-b.gate
	}
	return len(p), nil
}

func (b *gatedBody) Close() error { return nil }

// serveReset answers the first request at l with the start of a response that ends with
// its connection, before the request body has arrived, and resets the connection once
// reset is closed.
func serveReset(t *testing.T, l net.Listener, reset chan struct{}) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		t.Error(err)
		return
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+q.Header.Get("X-Id")+"\r\n\r\npart")
	<-reset
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// Guards against a part of a response that is passed on as complete: the upload that is
// still being written gets the reset, and the reader of the response then only sees the
// end of the connection, as after an orderly close.
func TestResetDuringUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	reset := make(chan struct{})
	go serveReset(t, l, reset)
	var conn net.Conn
	d := dialect.Default()
	d.RequestID, d.EchoesRequestID, d.AllowsCloseDelimited = "X-Id", true, true
	k := NewClient(l.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
		c, err := wire.DialTCP(ctx, address)
		conn = c
		return c, err
	}, d)
	b := &gatedBody{gate: make(chan struct{})}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	a, err := k.Do(ctx, &call.Request{
		RequestHead: wire.RequestHead{RequestID: "1", Method: "POST", Host: "h", Path: "/", ContentLength: 1 << 30},
		Stream:      b,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	got := make([]byte, 4)
	if _, err := io.ReadFull(a.Body, got); err != nil || !bytes.Equal(got, []byte("part")) {
		t.Fatalf("got %q, %v", got, err)
	}
	close(reset)
	for !wire.PeerClosed(conn) {
		time.Sleep(time.Millisecond)
	}
	close(b.gate)
	<-a.Body.(*exchange).writeDone
	_, err = a.Body.Read(got)
	if call.IsEOF(err) || errkind.Of(err) != errkind.AnswerIncomplete {
		t.Errorf("got %v, want an error of kind AnswerIncomplete", err)
	}
}

// Guards against an invalid status that is taken for an interim response, after which the
// caller waits until its deadline, or that is passed on.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "101", "1000", "-20", "20"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					t.Error(err)
				}
				io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok") // the connection stays open
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			a, err := NewClient(l.Addr().String(), wire.DialTCP, nil).Do(ctx, &call.Request{
				RequestHead: wire.RequestHead{RequestID: "1", Method: "GET", Host: "h", Path: "/", WholeBody: true},
			})
			if err == nil {
				a.Body.Close()
			}
			if errkind.Of(err) != errkind.UpstreamFailed || errkind.From(err).Execution != errkind.Unknown {
				t.Errorf("got %v, want an error of kind UpstreamFailed", err)
			}
		})
	}
}

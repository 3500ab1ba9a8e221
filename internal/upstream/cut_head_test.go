package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// startRaw starts an upstream that handles each connection with f once it has read the
// request, and returns a client of it that accepts responses that end with their connection.
func startRaw(t *testing.T, f func(c net.Conn)) *Client {
	network := standin.NewNetwork()
	l, err := network.Listen("u:80")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					f(c)
				}
			}()
		}
	}()
	d := dialect.Default()
	d.RequestID, d.EchoesRequestID, d.AllowsCloseDelimited = "Request-Id", true, true
	k := NewClient("u:80", network.Dial, d)
	t.Cleanup(func() {
		k.SetKeepAlive(false)
		l.Close()
	})
	return k
}

// get sends a request and returns its response.
func get(ctx context.Context, c *Client) (*call.Response, error) {
	return c.Do(ctx, &call.Request{RequestHead: wire.RequestHead{RequestID: "id", Method: "GET", Path: "/", Host: "h"}})
}

// Guards against a response whose head was cut off and that is passed on as a complete one
// with an empty or short body.
func TestResponseHeadCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 1234\r\nX-Origin: s\r\n\r\n"
	for n := range len(head) {
		synctest.Test(t, func(t *testing.T) {
			c := startRaw(t, func(c net.Conn) { io.WriteString(c, head[:n]) })
			if a, err := get(t.Context(), c); err == nil {
				b, err := io.ReadAll(a.Body)
				t.Errorf("head cut off after %q: got status %d, %q, %v, want no response", head[:n], a.Head.Status, b, err)
			}
		})
	}
}

// Guards against a node that keeps the bytes of a body without end: it takes no more of
// them than its caller does.
func TestEndlessBodyIsNotKept(t *testing.T) {
	for _, h := range []string{"Transfer-Encoding: chunked\r\n\r\n", "\r\n"} {
		t.Run(fmt.Sprintf("%q", h), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int64
				c := startRaw(t, func(c net.Conn) {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: id\r\n"+h)
					for b := strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 16); ; {
						n, err := io.WriteString(c, b)
						sent.Add(int64(n))
						if err != nil {
							return
						}
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				a, err := get(ctx, c)
				if err != nil {
					t.Fatal(err)
				}
				defer a.Body.Close()
				time.Sleep(30 * time.Second)
				if got := sent.Load(); got > 64<<10 {
					t.Errorf("the node took %d bytes that nobody read, want at most 64 KiB", got)
				}
			})
		})
	}
}

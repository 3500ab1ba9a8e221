package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Guards against a caller that is told that its request has not run, because the upstream
// wrote an earlier refusal once more on a kept connection and runs the request.
func TestRepeatedRefusal(t *testing.T) {
	refusalOf := func(id string) string {
		return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	for _, tt := range []struct{ name, repeated string }{
		{"with the ID of the earlier request", refusalOf("Request-Id: first\r\n")},
		{"without an ID", refusalOf("")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := standin.NewNetwork()
				l, err := network.Listen("u:80")
				if err != nil {
					t.Fatal(err)
				}
				conns := 0
				go func() {
					for c, err := l.Accept(); err == nil; c, err = l.Accept() {
						conns++
						go func(c net.Conn) {
							defer c.Close()
							r := bufio.NewReader(c)
							answer := refusalOf("Request-Id: first\r\n")
							for _, err := http.ReadRequest(r); err == nil; _, err = http.ReadRequest(r) {
								io.WriteString(c, answer)
								answer = tt.repeated
							}
						}(c)
					}
				}()
				d := dialect.Default()
				d.RequestID, d.NotRun, d.EchoesRequestID, d.AllowsCloseDelimited = "Request-Id", "Not-Run", true, true
				c := NewClient("u:80", network.Dial, d)
				send := func(id string) error {
					_, err := c.Do(t.Context(), &call.Request{RequestHead: wire.RequestHead{RequestID: id, Method: "POST", Path: "/", Host: "h"}})
					return err
				}
				if err := send("first"); errkind.From(err).Execution != errkind.NotRun {
					t.Errorf("refusal: got %v, want not-run", err)
				}
				if err := send("second"); err == nil || errkind.From(err).Execution != errkind.Unknown {
					t.Errorf("repeated refusal: got %v, want an error that does not state not-run", err)
				}
				if conns != 1 {
					t.Errorf("got %d connections, want the first one kept", conns)
				}
				c.SetKeepAlive(false)
				l.Close()
				synctest.Wait()
			})
		})
	}
}

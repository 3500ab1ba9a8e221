package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// Guards that a request that must not be sent twice is not sent on an idle connection
// that the upstream has closed, nor on one with surplus bytes of an earlier response,
// which would be read as its response.
func TestUnusableIdleConnection(t *testing.T) {
	for name, spoil := range map[string]func(c net.Conn){
		"closed":  func(c net.Conn) { c.Close() },
		"surplus": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nWRONG") },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			answered := make(chan net.Conn, 2)
			go func() {
				for c, err := l.Accept(); err == nil; c, err = l.Accept() {
					go func() {
						r := bufio.NewReader(c)
						for _, err := http.ReadRequest(r); err == nil; _, err = http.ReadRequest(r) {
							io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright")
							answered <- c
						}
					}()
				}
			}()
			k := NewClient(l.Addr().String(), wire.DialTCP, nil)
			defer k.SetKeepAlive(false)
			do := func() string {
				r := &call.Request{RequestHead: wire.RequestHead{Method: "POST", Path: "/", Execution: string(customer.Once), WholeBody: true}}
				a, err := k.Do(t.Context(), r)
				if err != nil {
					return err.Error()
				}
				b, _ := io.ReadAll(a.Body)
				return string(b)
			}
			if got, want := do(), "right"; got != want {
				t.Fatalf("first answer: got %q, want %q", got, want)
			}
			spoil(<-answered)
			for k.pool.idle[0].usable() {
				runtime.Gosched() // until the bytes or the close have arrived
			}
			if got, want := do(), "right"; got != want {
				t.Errorf("second answer: got %q, want %q", got, want)
			}
		})
	}
}

// Guards that a malicious request head, which no entry node would send, cannot inject
// header lines or requests.
func TestHeaderInjection(t *testing.T) {
	const line = "\r\nGooseberrypick-Injected: 1"
	for name, h := range map[string]wire.RequestHead{
		"method":       {Method: "GET / HTTP/1.1" + line + "\r\nX:", Path: "/"},
		"path":         {Method: "GET", Path: "/ HTTP/1.1" + line},
		"no path":      {Method: "GET", Path: "::"},
		"host":         {Method: "GET", Path: "/", Host: "h" + line},
		"header name":  {Method: "GET", Path: "/", Header: http.Header{"X" + line: {"1"}}},
		"header value": {Method: "GET", Path: "/", Header: http.Header{"X": {"1" + line}}},
		"request ID":   {Method: "GET", Path: "/", RequestID: "id" + line},
		"chunks":       {Method: "POST", Path: "/", Header: http.Header{"transfer-encoding": {"chunked"}}, Body: []byte("5\r\nhello\r\n0\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := standin.NewNetwork()
				l, _ := n.Listen("up:80")
				s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if len(r.TransferEncoding) > 0 || r.Header.Get("Gooseberrypick-Injected") != "" || r.URL.Path != "/" {
						t.Errorf("got %s %s %v", r.Method, r.URL, r.Header)
					}
				})}
				done := make(chan error)
				go func() { done <- s.Serve(l) }()
				k := NewClient("up:80", n.Dial, nil)
				if a, err := k.Do(t.Context(), &call.Request{RequestHead: h}); err == nil {
					a.Body.Close()
				}
				k.SetKeepAlive(false)
				s.Close()
				<-done
			})
		})
	}
}

package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// Guards that a request which must not be sent twice does not go out on an idle
// connection that the upstream has closed, nor on one on which surplus bytes of
// an earlier answer wait, which would be taken for its answer.
func TestIdleConnection(t *testing.T) {
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
			k := NewClient(l.Addr().String(), wire.DialTCP)
			defer k.SetKeep(false)
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
				runtime.Gosched() // until the bytes or the close arrived
			}
			if got, want := do(), "right"; got != want {
				t.Errorf("second answer: got %q, want %q", got, want)
			}
		})
	}
}

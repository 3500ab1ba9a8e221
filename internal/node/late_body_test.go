package node

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// lateBodySize is the size of the bodies, too large to be read before a slot is free.
const lateBodySize = 2 * call.WholeBodyBytes

// postLarge posts a body whose size is known before it comes.
func (m *mesh) postLarge(proto, node string, r io.Reader) result {
	q, err := http.NewRequestWithContext(m.t.Context(), "POST", "http://"+node+":1/once", r)
	if err != nil {
		m.t.Error(err)
		return result{err: err}
	}
	q.Host, q.ContentLength = host, lateBodySize
	return m.send(proto, q)
}

// Guards against an upload whose body comes after the upstream began to leave: it reached
// the upstream late and was lost when the upstream exited.
func TestLateBodyAndLeavingUpstream(t *testing.T) {
	for name, leave := range map[string]func(m *mesh){
		"draining":  func(m *mesh) { m.announce("owner", "u", wire.Leaving) },
		"withdrawn": func(m *mesh) { m.nodes["owner"].announcements.Withdraw("u", 0) },
	} {
		t.Run(name, func(t *testing.T) {
			forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
				var reached atomic.Int64
				m.serve("owner", "u", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					reached.Add(1)
					io.Copy(io.Discard, r.Body)
				}))
				r, w := io.Pipe()
				done := make(chan result, 1)
				start := time.Now()
				go func() { done <- m.postLarge(proto, node, r) }()
				time.Sleep(500 * time.Millisecond) // the request has a slot, and the body has not begun
				leave(m)
				left := time.Now()
				var got result
				select {
				case got = <-done:
				case <-time.After(time.Second):
					io.WriteString(w, strings.Repeat("x", lateBodySize))
					w.Close()
					got = <-done
				}
				w.Close()
				if d := time.Since(left); d > 500*time.Millisecond {
					t.Errorf("answered %s after the upstream began to leave (%s after the start), want at once", d, time.Since(start))
				}
				equal(t, "kind", got.problem.Kind, errkind.Leaving)
				equal(t, "execution", got.problem.Execution, errkind.NotRun)
				equal(t, "requests at the upstream", reached.Load(), 0)
			})
		})
	}
}

// Guards against bodies that are refused though the upstream serves when they come.
func TestLateBodyAndServingUpstream(t *testing.T) {
	forEachProtocolAndNode(t, func(t *testing.T, m *mesh, proto, node string) {
		var got atomic.Int64
		m.serve("owner", "u", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			got.Store(n)
			w.WriteHeader(http.StatusOK)
		}))
		m.announce("owner", "u", wire.Leaving)
		time.Sleep(time.Second)
		m.announce("owner", "u", wire.Serving)
		r, w := io.Pipe()
		go func() {
			time.Sleep(time.Second)
			io.WriteString(w, strings.Repeat("x", lateBodySize))
			w.Close()
		}()
		a := m.postLarge(proto, node, r)
		equal(t, "status", a.status, http.StatusOK)
		equal(t, "bytes at the upstream", got.Load(), lateBodySize)
	})
}

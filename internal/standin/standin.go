// Package standin provides stand-ins for the environment of a node, for
// demonstrations, tests and benchmarks: an upstream that answers every request with
// its name and what it received, a control without disk, an in-memory network, a
// certificate authority, and free loopback ports.
//
// # Usage
//
//	s := &http.Server{Handler: standin.New("level-display-1", 0)}
//
//	n := standin.NewNetwork()
//	m := wire.NewMux()
//	standin.NewControl(config).Register(m)
//	l, err := n.Listen("control-1:1")
//	err = wire.Serve(ctx, l, m, wire.ServeOptions{})
//	c, err := n.Dial(ctx, "control-1:1")
//
//	a, err := standin.NewAuthority()
//	k, err := a.Issue("127.0.0.1", time.Hour)
//	settings.TLS, err = a.Write(folder, k)
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Answer is the body of each response of the upstream.
type Answer struct {
	Upstream  string
	Method    string
	Path      string
	RequestID string `json:"RequestId"`
	Deadline  string
	Bytes     int64
}

// New returns the handler of an upstream that takes delay for each request. It
// returns early if the caller disconnects.
func New(name string, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Answer{ // fails only if the caller is gone
			Upstream:  name,
			Method:    r.Method,
			Path:      r.URL.RequestURI(),
			RequestID: r.Header.Get("Gooseberrypick-Request-Id"),
			Deadline:  r.Header.Get("Gooseberrypick-Deadline"),
			Bytes:     n,
		})
	})
}

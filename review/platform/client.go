package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client sends requests to the node on its machine, each on a connection of its own.
type client struct {
	rec  *record
	node *machine
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and records its answer.
func (c *client) send(method, path, body string, deadline time.Duration) {
	id := newID()
	r, err := http.NewRequest(method, "http://"+c.node.port("Outbound"), strings.NewReader(body))
	if err != nil {
		panic(err) // the address is valid
	}
	r.URL.Opaque = path // sent as it is
	c.prepare(r, id, deadline)
	c.rec.printf("client sends %s %s %s to %s", id, method, path, c.node.name)
	c.do(r, id, deadline)
}

// prepare sets the host and the headers of a request.
func (c *client) prepare(r *http.Request, id string, deadline time.Duration) {
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
}

// do sends a request and records its answer.
func (c *client) do(r *http.Request, id string, deadline time.Duration) {
	a, err := plainClient(deadline).Do(r)
	if err == nil {
		defer a.Body.Close()
		_, err = io.Copy(io.Discard, a.Body)
	}
	if err != nil {
		c.rec.printf("client gets no whole answer to %s: %v", id, err)
		return
	}
	c.rec.printf("client gets %d for %s, signature %q", a.StatusCode, id, a.Header.Get("X-Server-Stamp"))
}

// stream sends a request every interval until stop is closed, and returns once all are
// answered.
func (c *client) stream(interval time.Duration, stop <-chan struct{}, send func()) {
	var w sync.WaitGroup
	defer w.Wait()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			w.Go(send)
		}
	}
}

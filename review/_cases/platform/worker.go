package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for an application worker that follows the users' pages: it answers
// 421 to a request for another instance, stops work at X-Deadline-Ms or when the
// connection closes, and reports itself to the node of its machine.
type worker struct {
	*system
	id, service string
	node        int
	born        int64
	// work is how long a request takes.
	work     time.Duration
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	seq   uint64
	ended map[string]string
}

// workStep is how often a worker looks whether its work is done or its deadline has passed.
const workStep = 10 * time.Millisecond

// droppedAtWork begins the ending of a request whose connection was closed while its worker
// was at work.
const droppedAtWork = "dropped at work"

// heartbeat is the body of one heartbeat.
type heartbeat struct {
	Born   int64 `json:"born"`
	Addr   string
	Info   map[string]any
	Status map[string]any
}

func (s *system) newWorker(id, service string, node int, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", s.nodeAddress(node, appPort))
	if err != nil {
		return nil, err
	}
	w := &worker{
		system: s, id: id, service: service, node: node, work: work, born: time.Now().UnixMilli(), listener: l, ended: map[string]string{},
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }() // ends with an error when the server is closed
	go w.report()
	return w, nil
}

// report sends heartbeats until the process ends.
func (w *worker) report() {
	for {
		w.deliver(w.heartbeat())
		time.Sleep(870 * time.Millisecond)
	}
}

// heartbeat returns the next heartbeat.
func (w *worker) heartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	b, err := json.Marshal(heartbeat{
		Born: w.born, Addr: w.listener.Addr().String(),
		Info:   map[string]any{"Service": w.service, "Version": "v1", "Zone": zones[(w.node-1)%len(zones)], "Slots": 6},
		Status: map[string]any{"State": "ready", "Seq": w.seq, "ColdLeftMs": 0},
	})
	if err != nil {
		panic(err) // the fields can always be encoded
	}
	return b
}

// deliver sends a heartbeat to the node.
func (w *worker) deliver(b []byte) {
	status, _, err := call(http.MethodPut, "http://"+w.nodeAddress(w.node, controlPort)+"/api/instances/"+w.id, b, time.Second)
	if err != nil || status != http.StatusOK {
		w.log("worker %s: heartbeat not acknowledged: status %d %v", w.id, status, err)
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	now, id := time.Now(), r.Header.Get("X-Request-Id")
	a.Header().Set("X-Request-Id", id)
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != w.id {
		a.Header().Set("X-Instance-Id", w.id)
		a.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.log("worker %s: request %s arrives, X-Deadline-Ms %s", w.id, id, r.Header.Get("X-Deadline-Ms"))
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.end(id, fmt.Sprintf("the body broke off after %d bytes: %v", n, err))
		return
	}
	t := time.NewTicker(workStep)
	defer t.Stop()
	for time.Since(now) < min(w.work, deadline) {
		select {
		case <-r.Context().Done():
			w.end(id, droppedAtWork+": the connection was closed")
			return
		case <-t.C:
		}
	}
	a.Header().Set("X-Server-Stamp", w.id+"."+id)
	status := http.StatusOK
	if time.Since(now) < w.work {
		status = http.StatusGatewayTimeout // stopped at the deadline that it received
	}
	a.WriteHeader(status)
	fmt.Fprintf(a, "%s ran %s, %d bytes\n", w.id, id, n)
	w.end(id, fmt.Sprintf("answered %d", status))
}

func (w *worker) end(id, how string) {
	w.log("worker %s: request %s %s", w.id, id, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[id] = how
}

// ending returns how the request ended at the worker.
func (w *worker) ending(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended[id]
}

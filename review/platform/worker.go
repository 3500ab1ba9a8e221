package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a worker.
type arrival struct {
	at time.Time
	id string
}

// worker is a stand-in worker of a service. It behaves as the users' pages say: it
// announces itself to the node on its machine, runs requests, and refuses those that
// expect another worker.
type worker struct {
	rec     *record
	id      string
	service string
	address string
	node    *machine
	work    time.Duration
	server  *http.Server
	born    int64

	mu       sync.Mutex
	state    string
	seq      uint64
	arrivals []arrival
	quiet    bool    // sends no heartbeats any more
	lost     float64 // share of the requests whose answer is lost
	stop     chan struct{}
	once     sync.Once
}

const workerSlots = 18

func startWorker(rec *record, id, service string, n *machine) (*worker, error) {
	w := &worker{
		rec: rec, id: id, service: service, address: fmt.Sprintf("%s:%d", n.ip, portApp), node: n,
		work: 120 * time.Millisecond, born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }() // ends with exit
	go w.announce()
	rec.printf("worker %s (%s) started at %s beside %s", id, service, w.address, n.name)
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	a.Header().Set("X-Request-Id", id)
	a.Header().Set("X-Server-Stamp", w.id+"."+id)
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != w.id {
		a.Header().Set("X-Not-Run", "1")
		a.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{at: time.Now(), id: id})
	w.mu.Unlock()
	w.rec.printf("worker %s (%s) runs request %s %s %s", w.id, w.service, id, r.Method, r.RequestURI)
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.rec.printf("worker %s: the body of request %s broke off", w.id, id)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.rec.printf("worker %s: request %s was dropped, its connection closed", w.id, id)
		return
	}
	if w.losesAnswer() {
		w.rec.printf("worker %s ran %s, its answer is lost", w.id, id)
		panic(http.ErrAbortHandler) // closes the connection
	}
	a.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(a, "%s ran %s\n", w.service, id)
}

func (w *worker) losesAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.lost
}

// ran returns the requests that reached the worker from the given time on.
func (w *worker) ran(from time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []arrival
	for _, a := range w.arrivals {
		if !a.at.Before(from) {
			l = append(l, a)
		}
	}
	return l
}

// announce sends heartbeats until the worker exits.
func (w *worker) announce() {
	for {
		w.mu.Lock()
		quiet := w.quiet
		w.mu.Unlock()
		if !quiet {
			_ = w.send(w.heartbeat()) // the next heartbeat follows anyway
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat returns the next heartbeat.
func (w *worker) heartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	b, err := json.Marshal(map[string]any{
		"Addr": w.address, "born": w.born,
		"Info":   map[string]any{"Service": w.service, "Version": "v1", "Zone": "bilbao", "Slots": workerSlots},
		"Status": map[string]any{"State": w.state, "Seq": w.seq, "ColdLeftMs": 0},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return b
}

// send sends a heartbeat. It returns an error unless it is acknowledged within a second.
func (w *worker) send(body []byte) error { return w.call(http.MethodPut, body) }

// withdraw tells the node that the worker leaves.
func (w *worker) withdraw() error {
	w.mu.Lock()
	w.quiet = true
	w.mu.Unlock()
	return w.call(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, w.born))
}

// drain reports the state draining until it is acknowledged.
func (w *worker) drain() error {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	return w.send(w.heartbeat())
}

func (w *worker) call(method string, body []byte) error {
	r, err := http.NewRequest(method, "http://"+w.node.port("Control")+"/api/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := plainClient(callTimeout).Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", a.StatusCode)
	}
	return nil
}

// exit ends the worker: its connections break off.
func (w *worker) exit() {
	w.once.Do(func() {
		close(w.stop)
		w.server.Close()
	})
}

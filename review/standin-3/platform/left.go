package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["left-late"] = leftLate }

const (
	drainTime     = 2000 * time.Millisecond // DrainMs
	stabilityTime = 3000 * time.Millisecond // StabilityWindowMs
	// exitAfter is how long a worker goes on serving after it has withdrawn.
	exitAfter = 6 * time.Second
	// workTime is how long a worker works at a request.
	workTime = 290 * time.Millisecond
)

// arrivals records when requests reached a worker.
type arrivals struct {
	mu sync.Mutex
	l  []arrival
}

type arrival struct {
	id string
	at time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.l = append(a.l, arrival{id, time.Now()})
}

// between returns the requests that arrived from t to u.
func (a *arrivals) between(t, u time.Time) []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	var l []arrival
	for _, x := range a.l {
		if x.at.After(t) && x.at.Before(u) {
			l = append(l, x)
		}
	}
	return l
}

// bootSwaps starts five controls and four nodes, two of them beside workers of the service
// trueque, and waits until requests are served.
func bootSwaps(root, out string) (*system, error) {
	s, err := newSystem(root, out, 5, []string{"trueque", "trueque", "catalogo", "escaner"})
	if err != nil {
		return nil, err
	}
	if err := s.startAll(); err != nil {
		return s, err
	}
	for i, m := range s.nodes {
		w, err := s.newWorker(m, fmt.Sprintf("i-%d", i+1), workerPort)
		if err != nil {
			return s, err
		}
		w.work = workTime
	}
	c := config(5, 0, serviceList("catalogo", "trueque", "escaner"),
		route{"r-cat", "/cat/", "idempotent", "catalogo", 1200, 500, 0, 2},
		route{"r-swap", "/swap/", "non_idempotent", "trueque", 1500, 800, 1, 2},
		route{"r-scan", "/scan/", "upload", "escaner", 6000, 1500, 2, 2})
	if status := s.put(c, 20*time.Second); status != 200 {
		return s, fmt.Errorf("the configuration was answered with %d", status)
	}
	if !waitUntil(15*time.Second, func() bool {
		for _, m := range s.nodes {
			if !m.ready() {
				return false
			}
		}
		return true
	}) {
		return s, fmt.Errorf("the nodes are not ready")
	}
	// All machines are in touch from here on.
	time.Sleep(stabilityTime + time.Second)
	for i := range 5 {
		for _, m := range s.nodes[:2] {
			if a := s.send(m, "POST", "/swap/1", fmt.Sprintf("warm-%s-%d", m.name, i), 3000, []byte("swap")); a.status != 200 {
				return s, fmt.Errorf("an ordinary request failed: %v", a)
			}
		}
	}
	return s, nil
}

// steady sends requests to a node until stop is closed: ten a second, each on a connection
// of its own.
func (s *system) steady(m *machine, stop chan struct{}, w *sync.WaitGroup) {
	w.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			w.Go(func() { s.send(m, "POST", "/swap/1", fmt.Sprintf("r-%s-%d", m.name, i), 3000, []byte("swap")) })
		}
	})
}

// verdict reports the requests that reached the worker too late.
func (s *system) verdict(l []arrival, ack time.Time) int {
	for _, x := range l {
		s.record.log("BROKEN: %s reached the worker %d ms after the acknowledgement", x.id, x.at.Sub(ack).Milliseconds())
	}
	s.record.log("requests that reached the worker later than DrainMs after the acknowledgement: %d", len(l))
	fmt.Printf("%d requests reached the worker later than DrainMs after it had left\n", len(l))
	if len(l) > 0 {
		return 1
	}
	return 0
}

// leave sends the withdrawal of a worker, which goes on serving.
func (w *worker) leave() (int, time.Time) {
	w.setBeats(false)
	status, _ := call("DELETE", w.m.controlURL("/api/instances/"+w.id), nil, time.Second)
	w.s.record.log("worker %s withdraws and goes on serving: %d", w.id, status)
	return status, time.Now()
}

// late delivers a heartbeat that the worker sent before its withdrawal.
func (w *worker) late(state string, seq int) {
	status, _ := call("PUT", w.m.controlURL("/api/instances/"+w.id), w.heartbeat(state, seq), time.Second)
	w.s.record.log("heartbeat %d of worker %s (%s), sent before its withdrawal, arrives late: %d", seq, w.id, state, status)
}

// leftLate: the last heartbeats of a worker are late. Meanwhile it withdraws and goes on
// serving. No process is disturbed.
func leftLate(root, out string, trouble bool) int {
	s, err := bootSwaps(root, out)
	if s != nil {
		defer s.stopAll()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	w, m := s.workers[1], s.nodes[1]
	reached := &arrivals{}
	w.onRun = reached.add
	stop, sent := make(chan struct{}), &sync.WaitGroup{}
	s.steady(s.nodes[0], stop, sent)
	s.steady(m, stop, sent)
	time.Sleep(time.Second)
	const delay = 4500 * time.Millisecond // the heartbeats arrive this much later
	w.setBeats(false)
	w.mu.Lock()
	seq := w.seq
	w.mu.Unlock()
	start := time.Now()
	var late sync.WaitGroup
	for i := 1; i <= 3; i++ {
		at := start.Add(time.Duration(i) * 1500 * time.Millisecond)
		if trouble {
			s.record.log("worker %s sends heartbeat %d at %.3f s, which will be late", w.id, seq+i, at.Sub(s.record.start).Seconds())
			late.Go(func() {
				time.Sleep(time.Until(at.Add(delay)))
				w.late("ready", seq+i)
			})
			continue
		}
		late.Go(func() {
			time.Sleep(time.Until(at))
			status, _ := call("PUT", m.controlURL("/api/instances/"+w.id), w.heartbeat("ready", seq+i), time.Second)
			s.record.log("heartbeat %d of worker %s (ready): %d", seq+i, w.id, status)
		})
	}
	time.Sleep(time.Until(start.Add(5600 * time.Millisecond)))
	status, ack := w.leave()
	if status != 200 {
		fmt.Println("the case could not run: the withdrawal was answered with", status)
		return 2
	}
	late.Wait()
	time.Sleep(time.Until(ack.Add(exitAfter)))
	w.exit()
	time.Sleep(time.Second)
	close(stop)
	sent.Wait()
	return s.verdict(reached.between(ack.Add(drainTime), ack.Add(time.Minute)), ack)
}

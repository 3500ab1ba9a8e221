package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lateHeartbeatAfterRestart restarts the node beside a worker that has just sent DELETE. A
// heartbeat that the worker sent before arrives late, after the restart.
func lateHeartbeatAfterRestart(s *system, trouble bool) (bool, error) {
	services := []string{"catalogo", "escaner", "escaner"}
	if err := s.start(services, 1000, configuration([]string{"catalogo", "escaner"}, route("/scans/", "non_idempotent", "escaner", 2*time.Second))); err != nil {
		return false, err
	}
	w, _, err := s.startPair(50 * time.Millisecond)
	if err != nil {
		return false, err
	}
	late := w.heartbeat()
	s.log("worker %s: sends a heartbeat that will arrive late: %s", w.id, late)
	time.Sleep(100 * time.Millisecond)
	acknowledged, ok := w.remove()
	if !ok {
		return false, fmt.Errorf("DELETE was not acknowledged")
	}
	restarted := acknowledged
	if trouble {
		s.signal("sidecar-2", syscall.SIGKILL)
		if !s.awaitExit("sidecar-2", 5*time.Second) {
			return false, fmt.Errorf("the node did not end")
		}
		time.Sleep(500 * time.Millisecond)
		restarted = time.Now()
		if err := s.startNode(2, "escaner", 1000); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(2 * time.Second)))
	s.log("worker %s: the late heartbeat arrives, acknowledged: %v", w.id, w.deliver(late))
	var l sync.WaitGroup
	var broken atomic.Bool
	for client := range 6 {
		l.Go(func() {
			for i := 0; time.Since(acknowledged) < 8*time.Second; i++ {
				id := fmt.Sprintf("confirm-%d-%d", client, i)
				a := s.send(1, request{id: id, method: http.MethodPost, path: "/scans/swap", deadline: 2 * time.Second, body: 100})
				if w.lateArrival(id, acknowledged, restarted, a) {
					broken.Store(true)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	l.Wait()
	if broken.Load() {
		s.log("DRAIN broken")
	}
	return broken.Load(), nil
}

// lateArrival reports whether a request reached the worker later than DrainMs after the
// acknowledgement of its DELETE, while all machines were in touch.
func (w *worker) lateArrival(id string, acknowledged, restarted time.Time, a answer) bool {
	at, here := w.arrival(id)
	since := at.Sub(acknowledged)
	if !here || since <= drainBound {
		return false
	}
	inTouch := at.Sub(restarted) > stabilityWindow+200*time.Millisecond
	w.log("%s reached worker %s %.3f s after its DELETE was acknowledged, machines in touch: %v; the client got: %s", id, w.id, since.Seconds(), inTouch, a)
	return inTouch
}

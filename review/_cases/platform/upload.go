package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// leaveWhileBodyIsDue sends uploads whose bodies follow their heads after some seconds, as
// over a poor mobile link. Meanwhile one of two workers reports that it drains. No upload
// may reach that worker later than DrainMs after the acknowledgement.
func leaveWhileBodyIsDue(s *system, trouble bool) (bool, error) {
	const uploads, pause = 8, 3 * time.Second
	services := []string{"catalogo", "escaner", "escaner"}
	if err := s.start(services, 1000, configuration([]string{"catalogo", "escaner"}, route("/scans/", "upload", "escaner", 10*time.Second))); err != nil {
		return false, err
	}
	w, other, err := s.startPair(1500 * time.Millisecond)
	if err != nil {
		return false, err
	}
	var l sync.WaitGroup
	answers := make([]answer, uploads)
	for i := range uploads {
		l.Go(func() {
			answers[i] = s.send(1, request{id: fmt.Sprintf("upload-%d", i), method: http.MethodPost, path: "/scans/cover", deadline: 9 * time.Second, body: 120_000, pause: pause})
		})
	}
	time.Sleep(300 * time.Millisecond)
	var acknowledged time.Time
	if trouble {
		var ok bool
		if acknowledged, ok = w.drain(); !ok {
			return false, fmt.Errorf("draining was not acknowledged")
		}
		// The worker serves for DrainMs and a little longer, then it leaves.
		time.Sleep(drainBound + 1500*time.Millisecond)
		w.remove()
		w.exit()
	}
	l.Wait()
	broken, lost := false, 0
	for i, a := range answers {
		id := fmt.Sprintf("upload-%d", i)
		at, here := w.arrival(id)
		_, there := other.arrival(id)
		s.log("%s: %s; at the leaving worker: %v, at the other: %v", id, a, here, there)
		if late := at.Sub(acknowledged); here && trouble && late > drainBound {
			s.log("DRAIN broken: %s reached worker %s %.3f s after its draining was acknowledged; there it %s; the client got: %s", id, w.id, late.Seconds(), w.ending(id), a)
			broken = true
			if a.status != http.StatusOK {
				lost++
			}
		}
	}
	s.log("%d uploads were lost with the leaving worker", lost)
	return broken, nil
}

// startPair starts the workers of the service escaner on nodes 2 and 3 and waits until
// all machines have been in touch.
func (s *system) startPair(work time.Duration) (first, second *worker, err error) {
	if first, err = s.newWorker("i-first", "escaner", 2, work); err != nil {
		return nil, nil, err
	}
	if second, err = s.newWorker("i-second", "escaner", 3, work); err != nil {
		return nil, nil, err
	}
	if err := s.awaitReady(3, 20*time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(2 * stabilityWindow)
	return first, second, nil
}

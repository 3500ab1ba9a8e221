package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// lostAnswers is the share of the requests whose answers the workers lose while
	// answers are lost, and lostTime how long that lasts (answer_lost, x = 0.4, for_s = 4).
	lostAnswers = 0.4
	lostTime    = 4 * time.Second
)

// encodedPath sends requests whose path belongs to a route of kind non_idempotent, while
// workers lose answers. The paths begin with the prefix of a route of kind idempotent only
// if the encoded slash in the name of the thing is taken for a slash.
func encodedPath(c *caseRun) ([]string, error) {
	services := []string{"trueque", "trueque", "catalogo"}
	err := c.start(options{services: services, routes: []route{
		{Name: "r-swap", Prefix: "/swap/", Kind: "non_idempotent", TimeoutMs: 1500, SloMs: 800, Priority: 1, Service: "trueque", Attempts: 2},
		{Name: "r-look", Prefix: "/swap/search/", Kind: "idempotent", TimeoutMs: 1500, SloMs: 800, Service: "trueque", Attempts: 2},
	}})
	if err != nil {
		return nil, err
	}
	s := c.system
	k := &client{rec: c.rec, node: s.nodes[2]}
	stop := make(chan struct{})
	streamed := make(chan struct{})
	go func() {
		defer close(streamed)
		k.stream(25*time.Millisecond, stop, func() { k.send("POST", fmt.Sprintf("/swap/search%%2F%d", rand.IntN(1000)), "swap", 3*time.Second) })
	}()
	time.Sleep(3 * time.Second)
	if c.trouble {
		c.rec.printf("workers lose the answers of %.0f%% of the requests", 100*lostAnswers)
		s.loseAnswers(lostAnswers)
		time.Sleep(lostTime)
		s.loseAnswers(0)
		c.rec.printf("workers lose no more answers")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	<-streamed

	runs := map[string][]string{}
	for _, w := range s.workers {
		for _, a := range w.ran(time.Time{}) {
			runs[a.id] = append(runs[a.id], w.id)
		}
	}
	var breaks []string
	for id, l := range runs {
		if len(l) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s, whose route is r-swap (non_idempotent), ran %d times, at %v", id, len(l), l))
		}
	}
	return breaks, nil
}

// loseAnswers makes the workers lose the answers of a share of the requests.
func (s *system) loseAnswers(share float64) {
	for _, w := range s.workers {
		w.mu.Lock()
		w.lost = share
		w.mu.Unlock()
	}
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["start-wipe"] = startWipe }

// lossAfter is when the first machine loses its disk, counted from its start.
const lossAfter = 100 * time.Millisecond

// startWipe: one machine loses its disk while the whole system starts for the first time.
func startWipe(root, out string, trouble bool) int {
	s, err := newSystem(root, out, 5, []string{"catalogo", "catalogo", "catalogo"})
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	defer s.stopAll()
	for i, m := range s.nodes {
		if _, err := s.newWorker(m, fmt.Sprintf("i-%d", i+1), workerPort); err != nil {
			fmt.Println("the case could not run:", err)
			return 2
		}
	}
	var w sync.WaitGroup
	var lossErr error
	loss := func() {
		w.Go(func() {
			time.Sleep(lossAfter)
			lossErr = s.loseDisks(time.Second, s.controls[0])
		})
	}
	if !trouble {
		loss = nil
	}
	err = s.startInTurn(loss)
	w.Wait()
	if err == nil {
		err = lossErr
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	s.record.log("all machines run, and none is disturbed from now on")
	routes := route{"r-cat", "/cat/", "idempotent", "catalogo", 1200, 500, 0, 2}
	acknowledged := s.putFirst(config(5, 0, serviceList("catalogo"), routes), 2*recovery)
	served := 0
	for i := range 20 {
		a := s.send(s.nodes[i%3], "GET", "/cat/x", fmt.Sprintf("q-%d", i), 1200, nil)
		if a != nil && a.status == 200 {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.record.log("the configuration was acknowledged: %v; %d of 20 requests were served", acknowledged != nil, served)
	fmt.Printf("acknowledged: %v, served %d of 20\n", acknowledged != nil, served)
	if served == 0 {
		return 1
	}
	return 0
}

package main

import (
	"fmt"
	"time"
)

const (
	// heartbeatDelay is how late the delayed heartbeat arrives: "A heartbeat may arrive
	// seconds late."
	heartbeatDelay = 3 * time.Second
	// servesAfterLeaving is how long the worker continues to serve after the
	// acknowledgement: DrainMs and a little longer ("at times many seconds").
	servesAfterLeaving = 8 * time.Second
)

// lateHeartbeatAfterRestart lets a worker withdraw, restarts the node beside it, and
// delivers a heartbeat that the worker sent before it withdrew.
func lateHeartbeatAfterRestart(c *caseRun) ([]string, error) {
	services := []string{"trueque", "trueque", "catalogo"}
	err := c.start(options{services: services, routes: []route{
		{Name: "r-swap", Prefix: "/swap/", Kind: "non_idempotent", TimeoutMs: 1500, SloMs: 800, Service: "trueque", Attempts: 2},
		{Name: "r-look", Prefix: "/look/", Kind: "idempotent", TimeoutMs: 1200, SloMs: 500, Service: "trueque", Attempts: 2},
	}})
	if err != nil {
		return nil, err
	}
	s := c.system
	leaving, node := s.workers[0], s.nodes[0]
	k := &client{rec: c.rec, node: s.nodes[2]}
	stop := make(chan struct{})
	streamed := make(chan struct{})
	go func() {
		defer close(streamed)
		// The node tries an upstream that has just failed again with reads first.
		k.stream(50*time.Millisecond, stop, func() {
			k.send("GET", "/look/", "", 2500*time.Millisecond)
			k.send("POST", "/swap/", "swap", 3*time.Second)
		})
	}()
	time.Sleep(2 * time.Second)

	late := leaving.heartbeat()
	c.rec.printf("worker %s sends a heartbeat, which the network delays by %s: %s", leaving.id, heartbeatDelay, late)
	delivered := time.After(heartbeatDelay)
	time.Sleep(200 * time.Millisecond)
	if err := leaving.withdraw(); err != nil {
		return nil, fmt.Errorf("the withdrawal was not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	c.rec.printf("worker %s: its DELETE is acknowledged by %s", leaving.id, node.name)
	inTouch := acknowledged
	if c.trouble {
		time.Sleep(200 * time.Millisecond)
		if err := node.kill(); err != nil {
			return nil, err
		}
		time.Sleep(restartDelay)
		if err := node.start(false); err != nil {
			return nil, err
		}
		inTouch = node.started.Add(stabilityWindow)
	}
	<-delivered
	c.rec.printf("the delayed heartbeat of worker %s arrives at %s: %v", leaving.id, node.name, leaving.send(late))
	time.Sleep(time.Until(acknowledged.Add(servesAfterLeaving)))
	leaving.exit()
	c.rec.printf("worker %s exits", leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	<-streamed

	from := acknowledged.Add(drainBound)
	if inTouch.After(from) {
		from = inTouch
	}
	l := leaving.ran(from)
	if len(l) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf(
		"DRAIN: %d requests reached worker %s later than %s after its leaving was acknowledged, sent on by machines in touch; the first %.1f s and the last %.1f s after the acknowledgement",
		len(l), leaving.id, drainBound, l[0].at.Sub(acknowledged).Seconds(), l[len(l)-1].at.Sub(acknowledged).Seconds())}, nil
}

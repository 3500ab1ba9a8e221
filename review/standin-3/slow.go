package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-body"] = lateBody }

// uploadTime is how long a worker works at an upload.
const uploadTime = 260 * time.Millisecond

// bodyPause is the time between the head and the body of an upload. It is below
// HeaderTimeoutMs, the time that a client may take for a head.
const bodyPause = 2900 * time.Millisecond

// lateBody: clients send the heads of uploads and, some seconds later, the bodies. In
// between, a worker says that it is draining.
func lateBody(root, out string, trouble bool) int {
	s, err := newSystem(root, out, 5, []string{"catalogo", "trueque", "escaner", "escaner"})
	if err == nil {
		defer s.stopAll()
		err = s.bootUploads()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	const clients, size = 6, 150_000
	entry, w := s.nodes[0], s.workers[3] // in the same zone
	reached := &arrivals{}
	w.onRun = reached.add
	pause := time.Duration(0)
	if trouble {
		pause = bodyPause
	}
	var sent sync.WaitGroup
	for i := range clients {
		sent.Go(func() {
			id := fmt.Sprintf("upload-%d", i)
			c, err := dialNode(entry)
			if err != nil {
				s.record.log("client cannot connect for %s: %v", id, err)
				return
			}
			defer c.c.Close()
			_, _ = io.WriteString(c.c, head("POST", "/scan/1", id, 5800, fmt.Sprintf("Content-Length: %d\r\n", size)))
			s.record.log("client sends the head of %s to %s", id, entry.name)
			time.Sleep(pause)
			s.record.log("client sends the body of %s", id)
			_, _ = io.WriteString(c.c, strings.Repeat("x", size))
			s.record.log("client gets for %s: %v", id, c.receive(5*time.Second))
		})
	}
	time.Sleep(300 * time.Millisecond)
	w.setState("draining")
	if !w.beat() {
		fmt.Println("the case could not run: the heartbeat was not acknowledged")
		return 2
	}
	ack := time.Now()
	// The worker exits a little later than DrainMs after the acknowledgement.
	time.AfterFunc(drainTime+800*time.Millisecond, w.exit)
	sent.Wait()
	return s.verdict(reached.between(ack.Add(drainTime), ack.Add(time.Minute)), ack)
}

// bootUploads starts everything and waits until uploads are served.
func (s *system) bootUploads() error {
	if err := s.startAll(); err != nil {
		return err
	}
	for i, m := range s.nodes {
		w, err := s.newWorker(m, fmt.Sprintf("i-%d", i+1), workerPort)
		if err != nil {
			return err
		}
		w.headFirst, w.work = true, uploadTime
	}
	c := config(5, 0, serviceList("catalogo", "trueque", "escaner"),
		route{"r-cat", "/cat/", "idempotent", "catalogo", 1200, 500, 0, 2},
		route{"r-swap", "/swap/", "non_idempotent", "trueque", 1500, 800, 1, 2},
		route{"r-scan", "/scan/", "upload", "escaner", 6000, 1500, 2, 2})
	if status := s.put(c, 20*time.Second); status != 200 {
		return fmt.Errorf("the configuration was answered with %d", status)
	}
	if !waitUntil(15*time.Second, func() bool {
		for _, m := range s.nodes {
			if !m.ready() {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the nodes are not ready")
	}
	time.Sleep(stabilityTime + 3*time.Second) // all machines are in touch, and the workers warm
	for i := range 6 {
		if a := s.send(s.nodes[0], "POST", "/scan/1", fmt.Sprintf("warm-%d", i), 3000, make([]byte, 100_000)); a.status != 200 {
			return fmt.Errorf("an ordinary upload failed: %v", a)
		}
	}
	return nil
}

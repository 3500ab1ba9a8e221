package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	uploads     = 16
	uploadBytes = 100_000
	// uploadPause is how long a client pauses between the head of its upload and the body.
	uploadPause = 2600 * time.Millisecond
	// littleLonger is how long a draining worker serves beyond DrainMs.
	littleLonger = 400 * time.Millisecond
	// uploadWork is how long an upload runs (the mean of scan-upload).
	uploadWork = 260 * time.Millisecond
)

// slowUploadToDrainingWorker lets a worker drain while clients are still sending their
// uploads.
func slowUploadToDrainingWorker(c *caseRun) ([]string, error) {
	services := []string{"escaner", "escaner", "catalogo"}
	err := c.start(options{services: services, routes: []route{
		{Name: "r-scan", Prefix: "/scan/", Kind: "upload", TimeoutMs: 6000, SloMs: 3000, Service: "escaner", Attempts: 2},
	}})
	if err != nil {
		return nil, err
	}
	s := c.system
	leaving := s.workers[0]
	for _, w := range s.workers {
		w.work = uploadWork
	}
	k := &client{rec: c.rec, node: s.nodes[2]}
	var sent sync.WaitGroup
	for range uploads {
		sent.Go(func() { k.upload(uploadBytes, uploadPause, 5*time.Second) })
	}
	time.Sleep(300 * time.Millisecond)
	acknowledged := time.Now()
	if c.trouble {
		if err := leaving.drain(); err != nil {
			return nil, fmt.Errorf("the state draining was not acknowledged: %w", err)
		}
		acknowledged = time.Now()
		c.rec.printf("worker %s: its state draining is acknowledged by %s", leaving.id, leaving.node.name)
		time.Sleep(time.Until(acknowledged.Add(drainBound + littleLonger)))
		if err := leaving.withdraw(); err != nil {
			return nil, err
		}
		leaving.exit()
		c.rec.printf("worker %s exits", leaving.id)
	}
	sent.Wait()
	if !c.trouble {
		return nil, nil
	}
	l := leaving.ran(acknowledged.Add(drainBound))
	if len(l) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf(
		"DRAIN: %d requests reached worker %s later than %s after its state draining was acknowledged; the first %.1f s after the acknowledgement",
		len(l), leaving.id, drainBound, l[0].at.Sub(acknowledged).Seconds())}, nil
}

// upload sends the head of an upload, and the body after a pause.
func (c *client) upload(size int, pause, deadline time.Duration) {
	id := newID()
	body, w := io.Pipe()
	r, err := http.NewRequest(http.MethodPost, "http://"+c.node.port("Outbound")+"/scan/", body)
	if err != nil {
		panic(err) // the address is valid
	}
	r.ContentLength = int64(size)
	c.prepare(r, id, deadline)
	go func() {
		time.Sleep(pause)
		c.rec.printf("client sends the body of %s", id)
		_, _ = io.Copy(w, strings.NewReader(strings.Repeat("x", size))) // ends early with the request
		w.Close()
	}()
	c.rec.printf("client sends the head of upload %s to %s", id, c.node.name)
	c.do(r, id, deadline)
}

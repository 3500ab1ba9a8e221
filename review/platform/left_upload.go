package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// slotTime is how long the uploads run that hold all slots.
	slotTime = 2500 * time.Millisecond
	// leavers is the number of clients that leave, leftAfter when they do.
	leavers   = 20
	leftAfter = 400 * time.Millisecond
	// leftBytes is the size of their uploads: above what a node buffers itself, and little
	// enough to be wholly on the way when they leave.
	leftBytes = 66_000
	// goneBound is how long after the close a request may still reach a worker, and aFew
	// how many may do so later.
	goneBound = 500 * time.Millisecond
	aFew      = 5
)

// uploadOfClientThatLeft lets clients leave while their uploads wait for a slot.
func uploadOfClientThatLeft(c *caseRun) ([]string, error) {
	services := []string{"escaner", "escaner", "catalogo"}
	err := c.start(options{services: services, routes: []route{
		{Name: "r-scan", Prefix: "/scan/", Kind: "upload", TimeoutMs: 6000, SloMs: 5000, Service: "escaner", Attempts: 2},
	}})
	if err != nil {
		return nil, err
	}
	s := c.system
	for _, w := range s.workers {
		w.work = slotTime
	}
	k := &client{rec: c.rec, node: s.nodes[2]}
	var sent sync.WaitGroup
	for range 2 * workerSlots {
		sent.Go(func() { k.send("POST", "/scan/", strings.Repeat("x", 1000), 5*time.Second) })
	}
	time.Sleep(300 * time.Millisecond)
	left := map[string]time.Time{}
	var mu sync.Mutex
	for range leavers {
		sent.Go(func() {
			id, at, err := k.uploadAndLeave(c.trouble)
			if err != nil {
				c.rec.printf("client of %s: %v", id, err)
				return
			}
			mu.Lock()
			left[id] = at
			mu.Unlock()
		})
	}
	sent.Wait()
	time.Sleep(6 * time.Second)
	if !c.trouble {
		return nil, nil
	}
	late := 0
	for _, w := range s.workers {
		for _, a := range w.ran(time.Time{}) {
			if at, ok := left[a.id]; ok && a.at.Sub(at) > goneBound {
				late++
			}
		}
	}
	if late <= aFew {
		return nil, nil
	}
	return []string{fmt.Sprintf("GONE: %d of %d requests reached a worker later than %s after their clients had closed the connection", late, len(left), goneBound)}, nil
}

// uploadAndLeave sends a whole upload and closes the connection some time later, or once
// it is answered if the client stays.
func (c *client) uploadAndLeave(leave bool) (id string, at time.Time, err error) {
	id = newID()
	n, err := net.Dial("tcp", c.node.port("Outbound"))
	if err != nil {
		return id, at, err
	}
	defer n.Close()
	head := fmt.Sprintf("POST /scan/ HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", host, id, leftBytes)
	c.rec.printf("client sends upload %s to %s", id, c.node.name)
	if _, err := n.Write([]byte(head + strings.Repeat("x", leftBytes))); err != nil {
		return id, at, err
	}
	if leave {
		time.Sleep(leftAfter)
		c.rec.printf("client closes the connection of %s", id)
		return id, time.Now(), nil
	}
	if err := n.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return id, at, err
	}
	b := make([]byte, 100)
	k, err := n.Read(b)
	c.rec.printf("client gets %q for %s", b[:min(k, 15)], id)
	return id, time.Now(), err
}

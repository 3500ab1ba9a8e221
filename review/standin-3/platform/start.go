package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["first-ack-wipe"] = firstAckWipe }

// startEvery is the time between the starts of two machines. All machines start within 0.3 s.
const startEvery = 60 * time.Millisecond

// startInTurn starts the controls one after the other, and then the nodes. It calls
// afterFirst, which may be nil, as soon as the first control has been started.
func (s *system) startInTurn(afterFirst func()) error {
	for i, m := range s.controls {
		if i > 0 {
			time.Sleep(startEvery)
		}
		if err := m.start(); err != nil {
			return err
		}
		if i == 0 && afterFirst != nil {
			afterFirst()
		}
	}
	for _, m := range s.nodes {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// loseDisks kills the processes of machines, removes their disks and starts them again after a
// pause. They start as the page says: with an empty folder and Bootstrap false.
func (s *system) loseDisks(pause time.Duration, machines ...*machine) error {
	var w sync.WaitGroup
	for _, m := range machines {
		w.Go(m.kill)
	}
	w.Wait()
	for _, m := range machines {
		s.record.log("%s has lost its disk", m.name)
		if err := os.RemoveAll(m.dataDir); err != nil {
			return err
		}
	}
	time.Sleep(pause)
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// putFirst sends the first configuration to the controls in turn until one acknowledges it,
// and returns that one.
func (s *system) putFirst(body []byte, limit time.Duration) *machine {
	pause := 20 * time.Millisecond
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		m := s.controls[i%len(s.controls)]
		status, _ := call("PUT", m.controlURL("/api/config"), body, time.Second)
		s.record.log("operator sends the first configuration to %s: %d", m.name, status)
		if status == 200 {
			return m
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return nil
}

// firstAckWipe: the control that has just acknowledged the first configuration and another
// seed lose their disks.
func firstAckWipe(root, out string, trouble bool) int {
	s, err := newSystem(root, out, 5, nil)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	defer s.stopAll()
	if err := s.startInTurn(nil); err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	routes := route{"r-cat", "/cat/", "idempotent", "catalogo", 1200, 500, 0, 2}
	acknowledged := s.putFirst(config(5, 0, serviceList("catalogo"), routes), 20*time.Second)
	if acknowledged == nil {
		fmt.Println("the case could not run: the first configuration was not acknowledged")
		return 2
	}
	if trouble {
		lost := []*machine{acknowledged}
		for _, m := range s.controls[:3] {
			if m != acknowledged && len(lost) < s.tolerateMachines {
				lost = append(lost, m)
			}
		}
		if err := s.loseDisks(time.Second, lost...); err != nil {
			fmt.Println("the case could not run:", err)
			return 2
		}
	}
	version, ok := s.read(recovery + 15*time.Second)
	s.record.log("the configuration came: %v, version %d; acknowledged was 5", ok, version)
	fmt.Printf("read back: %v, version %d, acknowledged 5\n", ok, version)
	if !ok || version < 5 {
		return 1
	}
	return 0
}

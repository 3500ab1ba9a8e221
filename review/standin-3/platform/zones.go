package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["zones-in-turn"] = zonesInTurn }

const (
	catchUp  = 4 * time.Second  // CatchUpS
	recovery = 15 * time.Second // RecoverS
)

// zone returns the machines of a zone.
func (s *system) zone(name string) []*machine {
	var l []*machine
	for _, m := range append(append([]*machine{}, s.controls...), s.nodes...) {
		if m.zone == name {
			l = append(l, m)
		}
	}
	return l
}

// killZone kills all processes of a zone.
func (s *system) killZone(name string) {
	s.record.log("zone %s is lost", name)
	var w sync.WaitGroup
	for _, m := range s.zone(name) {
		w.Go(m.kill)
	}
	w.Wait()
}

// startZone starts the processes of a zone again.
func (s *system) startZone(name string) error {
	s.record.log("zone %s comes back", name)
	for _, m := range s.zone(name) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// read reads the configuration at the running controls until one gives it, and returns its
// version.
func (s *system) read(limit time.Duration) (uint64, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, m := range s.controls {
			if m.ended() {
				continue
			}
			status, b := call("GET", m.controlURL("/api/config"), nil, time.Second)
			var c struct{ Version uint64 }
			err := json.Unmarshal(b, &c)
			s.record.log("operator reads the configuration at %s: %d, version %d", m.name, status, c.Version)
			if status == 200 && err == nil {
				return c.Version, true
			}
		}
	}
	return 0, false
}

// zonesInTurn: a deployment that tolerates the loss of one zone loses one, gets it back,
// and later loses another one.
func zonesInTurn(root, out string, trouble bool) int {
	s, err := newSystem(root, out, 5, []string{"catalogo", "trueque", "escaner"})
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	defer s.stopAll()
	s.tolerateMachines = 0 // Tolerate: Machines 0, Zones 1, Regions 0
	services := serviceList("catalogo", "trueque", "escaner")
	routes := route{"r-cat", "/cat/", "idempotent", "catalogo", 1200, 500, 0, 2}
	if err = s.startAll(); err == nil {
		if status := s.put(config(5, 0, services, routes), 20*time.Second); status != 200 {
			err = fmt.Errorf("the first configuration was answered with %d", status)
		}
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	time.Sleep(catchUp + 2*time.Second) // nothing counts as lost any more
	if trouble {
		s.killZone("bilbao")
		time.Sleep(5 * time.Second)
		if err := s.startZone("bilbao"); err != nil {
			fmt.Println("the case could not run:", err)
			return 2
		}
		time.Sleep(2 * catchUp) // the zone is no longer lost
	}
	if status := s.put(config(8, 5, services, routes), 10*time.Second); status != 200 {
		fmt.Println("the case could not run: the second configuration was answered with", status)
		return 2
	}
	if trouble {
		s.killZone("oviedo")
	}
	version, ok := s.read(recovery + 5*time.Second)
	s.record.log("the configuration came: %v, version %d; acknowledged was 8", ok, version)
	fmt.Printf("read back: %v, version %d, acknowledged 8\n", ok, version)
	if !ok || version < 8 {
		return 1
	}
	return 0
}

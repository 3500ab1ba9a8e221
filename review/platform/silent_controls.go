package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"syscall"
	"time"
)

const (
	// The leader of the controls is frozen for freezeTime, with freezePause in between,
	// until earlierLeaders different controls have led. Each leader opens connections to
	// all other controls, so that most pairs have one.
	earlierLeaders = 3
	maxFreezes     = 8
	freezeTime     = 2 * time.Second
	freezePause    = 4 * time.Second
	// calmTime is how long the operator tries after that. It is far longer than
	// StabilityWindowMs (3 s), AckMs (4 s) and RecoverS (15 s).
	calmTime = 20 * time.Second
	// readBackTime is how long the operator then requests the configuration.
	readBackTime = 8 * time.Second
)

// silentControlConnections makes the connections that are open between the controls go
// silent for good, while new ones work.
func silentControlConnections(c *caseRun) ([]string, error) {
	services := []string{"catalogo", "catalogo"}
	err := c.start(options{proxied: true, services: services, routes: []route{
		{Name: "r-read", Prefix: "/read/", Kind: "idempotent", TimeoutMs: 1200, SloMs: 500, Service: "catalogo", Attempts: 2},
	}})
	if err != nil {
		return nil, err
	}
	s := c.system
	if err := s.moveLeadership(); err != nil {
		return nil, err
	}
	if status, _, err := s.read(s.controls[0]); err != nil {
		return nil, fmt.Errorf("read the configuration before the disruption: %w", err)
	} else if status != http.StatusOK {
		return nil, fmt.Errorf("read the configuration before the disruption: status %d", status)
	}
	if c.trouble {
		n := 0
		for _, p := range s.proxies {
			n += p.silence()
		}
		c.rec.printf("the %d open connections between controls go silent; new ones work", n)
	}
	s.tryOrder(calmTime)
	until := time.Now().Add(readBackTime)
	answers, calls := 0, 0
	for i := 0; time.Now().Before(until); i++ {
		m := s.controls[i%controls]
		status, _, err := s.read(m)
		calls++
		if status == http.StatusOK {
			answers++
		}
		c.rec.printf("operator reads the configuration at %s: status %d, %v", m.name, status, err)
		time.Sleep(200 * time.Millisecond)
	}
	if answers > 0 {
		c.rec.printf("%d of %d reads were answered", answers, calls)
		return nil, nil
	}
	return []string{fmt.Sprintf("CONFIG: read back %s after the disruption, for %s, the acknowledged configuration does not come: none of %d reads was answered with it", calmTime, readBackTime, calls)}, nil
}

// moveLeadership freezes the control that leads until several have led.
func (s *system) moveLeadership() error {
	led := map[string]bool{}
	for range maxFreezes {
		m := s.leader()
		if m == nil {
			return fmt.Errorf("no control leads")
		}
		if led[m.name] = true; len(led) == earlierLeaders {
			return nil
		}
		if err := m.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(freezeTime)
		if err := m.signal(syscall.SIGCONT); err != nil {
			return err
		}
		time.Sleep(freezePause)
	}
	return fmt.Errorf("the leadership did not move enough")
}

// leader returns the control that leads, or nil.
func (s *system) leader() *machine {
	for _, m := range s.controls {
		if leads(m) {
			return m
		}
	}
	return nil
}

// leads reports whether a control says in its metrics that it leads.
func leads(m *machine) bool {
	a, err := plainClient(callTimeout).Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, portAdmin))
	if err != nil {
		return false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return err == nil && leadingMetric.Match(b)
}

var leadingMetric = regexp.MustCompile(`(?m)^\S*leading(\{\})? 1$`)

// tryOrder sends the next version to all controls in turn until it is acknowledged, and
// returns at the end of d.
func (s *system) tryOrder(d time.Duration) {
	until := time.Now().Add(d)
	m := maps.Clone(s.config)
	m["Version"], m["BaseVersion"] = s.version+1, s.version
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // it was encoded before
	}
	for i := 0; time.Now().Before(until); i++ {
		k := s.controls[i%controls]
		status, err := s.put(k, b)
		s.rec.printf("operator sends version %d to %s: status %d, %v", s.version+1, k.name, status, err)
		if err == nil && status == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(until))
}

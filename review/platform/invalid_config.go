package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// invalidConfigs sends configurations that are invalid by the users' pages.
func invalidConfigs(c *caseRun) ([]string, error) {
	services := []string{"catalogo", "trueque"}
	good := route{Name: "r-read", Prefix: "/read/", Kind: "idempotent", TimeoutMs: 1200, SloMs: 500, Service: "catalogo", Attempts: 2}
	if err := c.start(options{services: services, routes: []route{good}}); err != nil {
		return nil, err
	}
	s := c.system
	invalid := []struct {
		why    string
		change func(m map[string]any)
	}{
		{"a route names the unknown service nosuch, beside its Backends", func(m map[string]any) {
			m["Vhosts"] = []any{map[string]any{"Host": host, "Paths": []any{map[string]any{
				"Name": "r-read", "Prefix": "/read/", "Kind": "idempotent", "TimeoutMs": 1200, "SloMs": 500, "Priority": 0, "Attempts": 2,
				"Service": "nosuch", "Backends": []any{map[string]any{"Service": "catalogo", "Weight": 1}},
			}}}}
		}},
		{"its Limits cannot be read, as they are a text", func(m map[string]any) { m["Limits"] = "unreadable" }},
		{"the limits in it cannot be read, as they are texts", func(m map[string]any) {
			m["Limits"] = map[string]any{"MaxHeaderBytes": "?", "MaxBodyBytes": "?", "HeaderTimeoutMs": "?", "IdleTimeoutMs": "?"}
		}},
	}
	var breaks []string
	for _, v := range invalid {
		m := map[string]any{}
		for k, x := range s.config {
			m[k] = x
		}
		m["Version"], m["BaseVersion"] = s.version+1, s.version
		if c.trouble {
			v.change(m)
		}
		b, err := json.Marshal(m)
		if err != nil {
			return nil, err
		}
		status, err := s.put(s.controls[s.version%controls], b)
		c.rec.printf("operator sends version %d (%s, trouble %v): status %d, %v: %s", s.version+1, v.why, c.trouble, status, err, b)
		if status != http.StatusOK {
			continue
		}
		s.version++
		time.Sleep(configApplyBound)
		status, read, err := s.read(s.controls[0])
		inForce := status == http.StatusOK && bytes.Equal(read, b)
		c.rec.printf("operator reads the configuration back: status %d, %v, it is the one that was sent: %v", status, err, inForce)
		if c.trouble {
			breaks = append(breaks, fmt.Sprintf("CONFIG: an invalid configuration was acknowledged (in force: %v): %s", inForce, v.why))
		}
	}
	return breaks, nil
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"
)

// Ports of every machine.
const (
	portControl  = 8620
	portInbound  = 8624
	portReady    = 8625
	portApp      = 8628
	portOutbound = 8629
	portInternal = 7600 // the first port for connections between processes
	portAdmin    = 7615 // the last one, at which the templates put the metrics
)

const (
	controls    = 5
	settleTime  = 8 * time.Second // from the start of the machines to the first request
	callTimeout = time.Second
)

// system is a small deployment on loopback addresses: five controls, and one node for
// each service in the list, with a worker beside it.
type system struct {
	rec      *record
	folder   string
	controls []*machine
	nodes    []*machine
	workers  []*worker
	// proxies stand between the controls, if the case needs them.
	proxies []*proxy
	version int
	config  map[string]any
}

// options describe the deployment of a case.
type options struct {
	// services holds the service of each node's machine.
	services []string
	routes   []route
	// proxied makes the controls reach each other through proxies.
	proxied bool
}

// newSystem returns a system without processes, in a temporary folder.
func newSystem(rec *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	return &system{rec: rec, folder: folder}, err
}

// start starts the processes and the workers, sends the first configuration and waits
// until every node is ready.
func (s *system) start(root string, o options) error {
	if err := s.layOut(root, o); err != nil {
		return err
	}
	for _, m := range slices.Concat(s.controls, s.nodes) {
		if err := m.start(true); err != nil {
			return err
		}
	}
	for i, n := range s.nodes {
		w, err := startWorker(s.rec, fmt.Sprintf("i-%08x", rand.Uint32()), o.services[i], n)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	if err := s.accept(o.routes, o.services); err != nil {
		return err
	}
	return s.awaitReady()
}

// layOut gives each machine its addresses, folder and settings.
func (s *system) layOut(root string, o options) error {
	roles, err := readRoles(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	network, err := freeNetwork(controls + len(o.services))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, i+1, portControl))
	}
	for i := range controls + len(o.services) {
		m := &machine{ip: fmt.Sprintf("%s.%d", network, i+1), root: root, rec: s.rec}
		if i < controls {
			m.name, m.role = fmt.Sprintf("core-%d", i+1), roles["core"]
			s.controls = append(s.controls, m)
		} else {
			m.name, m.role = fmt.Sprintf("sidecar-%d", i+1-controls), roles["sidecar"]
			s.nodes = append(s.nodes, m)
		}
		m.folder = filepath.Join(s.folder, m.name)
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return err
		}
		service := ""
		if i >= controls {
			service = o.services[i-controls]
		}
		m.fields = settingsFields(m, service, seeds)
	}
	if !o.proxied {
		return nil
	}
	return s.addProxies()
}

// addProxies puts a proxy between each control and each other one.
func (s *system) addProxies() error {
	for _, m := range s.controls {
		for _, o := range s.controls {
			a := fmt.Sprintf("%s:%d", o.ip, portInternal)
			if o != m {
				p, err := newProxy(a)
				if err != nil {
					return err
				}
				s.proxies = append(s.proxies, p)
				a = p.address()
			}
			m.members = append(m.members, member{o.name, a})
		}
	}
	return nil
}

func settingsFields(m *machine, service string, seeds []string) map[string]any {
	at := func(p int) string { return fmt.Sprintf("%s:%d", m.ip, p) }
	return map[string]any{
		"Node": m.name, "Ip": m.ip, "Zone": "bilbao", "Region": "es-north", "Service": service,
		"Listen":            map[string]any{"Inbound": at(portInbound), "Outbound": at(portOutbound), "Ready": at(portReady), "Control": at(portControl)},
		"InternalPortRange": []int{portInternal, portAdmin},
		"Seeds":             seeds,
		"DataDir":           filepath.Join(m.folder, "data"),
		"Limits":            map[string]any{"LinkMbps": 1000.0},
		"Tolerate":          map[string]any{"Machines": 2},
		"Bounds":            map[string]any{"GraceS": 6},
	}
}

var (
	roleHeader = regexp.MustCompile(`(?m)^\[roles\.([a-z-]+)\]$`)
	roleKey    = regexp.MustCompile(`(?m)^(run|on|template) = "(.*)"$`)
)

// readRoles returns the roles of the deploy file by the class of their machines.
func readRoles(path string) (map[string]role, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles := map[string]role{}
	heads := roleHeader.FindAllSubmatchIndex(b, -1)
	for i, h := range heads {
		end := len(b)
		if i+1 < len(heads) {
			end = heads[i+1][0]
		}
		r := role{name: string(b[h[2]:h[3]])}
		for _, k := range roleKey.FindAllSubmatch(b[h[1]:end], -1) {
			switch v := string(k[2]); string(k[1]) {
			case "run":
				r.run = v
			case "on":
				r.class = v
			case "template":
				r.template = v
			}
		}
		roles[r.class] = r
	}
	for _, c := range []string{"core", "sidecar"} {
		if roles[c].run == "" || roles[c].template == "" {
			return nil, fmt.Errorf("%s: no role on %s with a command and a template", path, c)
		}
	}
	return roles, nil
}

// freeNetwork returns the first three bytes of loopback addresses on which all ports of
// n machines are free.
func freeNetwork(n int) (string, error) {
	for range 20 {
		p := fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), rand.IntN(250))
		if networkFree(p, n) {
			return p, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses were found")
}

func networkFree(prefix string, n int) bool {
	for i := range n {
		for _, p := range []int{portControl, portInbound, portReady, portApp, portOutbound, portInternal, portAdmin} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i+1, p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// route is one route of the configuration.
type route struct {
	Name, Prefix, Kind string
	TimeoutMs, SloMs   int
	Priority           int
	Service            string
	Attempts           int
}

const host = "jepu9.example"

// accept sends a configuration with the given routes until it is acknowledged.
func (s *system) accept(routes []route, services []string) error {
	seen := map[string]bool{}
	var l []map[string]any
	for _, n := range services {
		if !seen[n] {
			seen[n] = true
			l = append(l, map[string]any{"Name": n, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false})
		}
	}
	c := map[string]any{
		"Version": s.version + 1, "BaseVersion": s.version, "Services": l,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Vhosts": []any{map[string]any{"Host": host, "Paths": routes}},
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	until := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		status, err := s.put(s.controls[i%controls], b)
		if err == nil && status == http.StatusOK {
			s.version, s.config = s.version+1, c
			s.rec.printf("operator: version %d acknowledged by %s", s.version, s.controls[i%controls].name)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", s.version+1)
}

// put sends a configuration to a control once and returns the status of the answer.
func (s *system) put(m *machine, body []byte) (int, error) {
	r, err := http.NewRequest(http.MethodPut, "http://"+m.port("Control")+"/api/config", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := plainClient(callTimeout).Do(r)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body) // only the status matters
	return a.StatusCode, nil
}

// read reads the configuration back from a control.
func (s *system) read(m *machine) (int, []byte, error) {
	a, err := plainClient(callTimeout).Get("http://" + m.port("Control") + "/api/config")
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, b, err
}

// awaitReady waits until all nodes are ready and the machines have settled.
func (s *system) awaitReady() error {
	settled := s.nodes[0].started.Add(settleTime)
	until := settled.Add(10 * time.Second)
	for _, n := range s.nodes {
		for !ready(n) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(settled))
	s.rec.printf("all nodes are ready, requests start")
	return nil
}

func ready(n *machine) bool {
	a, err := plainClient(callTimeout).Get("http://" + n.port("Ready") + "/api/readyz")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// plainClient returns a client that opens a connection for each call.
func plainClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// close ends all processes and removes the folder with their logs, unless KEEP is set.
func (s *system) close() {
	for _, w := range s.workers {
		w.exit()
	}
	for _, m := range slices.Concat(s.nodes, s.controls) {
		m.end()
	}
	for _, p := range s.proxies {
		p.close()
	}
	if os.Getenv("KEEP") == "" {
		if err := os.RemoveAll(s.folder); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		return
	}
	fmt.Println("kept", s.folder)
}

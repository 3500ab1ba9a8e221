package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	controls = 3
	nodes    = 4
	slots    = 8
	// maxServiceTime bounds the time that an upstream takes for a request.
	maxServiceTime = 40 * time.Millisecond
	// firstPort and lastPort are below the range of ephemeral ports: an outgoing
	// connection could take a port of that range before a process listens on it.
	firstPort, lastPort = 10000, 32000
	portBlock           = 64
)

// Accounts of the configuration, and the limit of one of them.
const (
	steadyAccount   = "steady"   // has one key and no limit
	rotatingAccount = "rotating" // has other keys in each version
	limitedAccount  = "limited"

	limitRate     = 20 // requests per second
	limitBurst    = 10
	limitWindow   = 5 * time.Second
	limitShare    = 0.1
	limitRequests = 20
)

// Fleet is a small system of controls and nodes, each in a process of its own, with
// one upstream per node in this process.
type Fleet struct {
	folder   string
	controls []*Process
	nodes    []*Process
	// proxies forward from nodes to controls and from nodes to upstreams.
	proxies   []*Proxy
	operators []string
	admins    []string
	callers   []string
	upstreams []*Upstream
	ledger    *Ledger
	closers   []func()
}

// NewFleet writes the settings of a fleet to folder and starts it.
func NewFleet(folder, binary string, r *rand.Rand) (*Fleet, error) {
	f := &Fleet{folder: folder, ledger: NewLedger()}
	if err := f.build(binary, r); err != nil {
		f.Close()
		return nil, err
	}
	for _, p := range append(f.controls, f.nodes...) {
		if err := p.Start(); err != nil {
			f.Close()
			return nil, err
		}
		f.closers = append(f.closers, func() { p.Stop(syscall.SIGKILL) })
	}
	return f, nil
}

// build writes the settings and starts the proxies and upstreams.
func (f *Fleet) build(binary string, r *rand.Rand) error {
	b, err := f.reservePorts(r)
	if err != nil {
		return err
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", b+i) }
	var members []string
	for i := range controls {
		members = append(members, fmt.Sprintf(`{"Name": "control-%d", "Address": %q}`, i+1, address(3*i+1)))
	}
	var controlAddresses []string
	for i := range controls {
		addr, err := f.proxy(address(3*i + 1))
		if err != nil {
			return err
		}
		controlAddresses = append(controlAddresses, fmt.Sprintf("%q", addr))
		text := fmt.Sprintf(`{"Name": "control-%d", "AvailabilityZone": "a", "Listen": %q, "PeerListen": %q, "AdminListen": %q, "Members": [%s],
			"DataFolder": "control-%d", "ElectionTimeout": "500ms", "StopLimit": "5s",
			"LimitTolerance": {"Window": "%s", "Share": %v, "Requests": %d}}`,
			i+1, address(3*i), address(3*i+1), address(3*i+2), strings.Join(members, ", "), i+1, limitWindow, limitShare, limitRequests)
		f.operators = append(f.operators, address(3*i))
		p, err := f.process("control", fmt.Sprint("control-", i+1), binary, text)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, p)
	}
	for i := range nodes {
		k := 3*controls + 4*i
		text := fmt.Sprintf(`{"Name": "node-%d", "AvailabilityZone": %q, "Listen": %q, "UpstreamListen": %q, "PeerListen": %q, "AdminListen": %q,
			"Control": [%s], "ReconnectLimit": "1s", "StopLimit": "5s"}`,
			i+1, string("ab"[i%2]), address(k), address(k+1), address(k+2), address(k+3), strings.Join(controlAddresses, ", "))
		f.callers, f.admins = append(f.callers, address(k)), append(f.admins, address(k+3))
		p, err := f.process("node", fmt.Sprint("node-", i+1), binary, text)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, p)
		if err := f.upstream(fmt.Sprint("upstream-", i+1), address(k+1)); err != nil {
			return err
		}
	}
	return nil
}

// reservePorts returns the first usable port of a block. It listens on the port
// before it, so that other fleets take other blocks.
func (f *Fleet) reservePorts(r *rand.Rand) (int, error) {
	for range 100 {
		b := firstPort + r.IntN((lastPort-firstPort)/portBlock)*portBlock
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b))
		if err == nil {
			f.closers = append(f.closers, func() { l.Close() })
			return b + 1, nil
		}
	}
	return 0, errors.New("no free block of ports")
}

func (f *Fleet) proxy(target string) (string, error) {
	p, err := NewProxy(target)
	if err != nil {
		return "", err
	}
	f.proxies = append(f.proxies, p)
	f.closers = append(f.closers, p.Close)
	return p.Address(), nil
}

// process writes text to a settings file and returns a process that uses it.
func (f *Fleet) process(kind, name, binary, text string) (*Process, error) {
	file := filepath.Join(f.folder, name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	return &Process{Name: name, binary: binary, args: []string{kind, "--settings", file}, folder: f.folder, logFile: filepath.Join(f.folder, name+".log")}, nil
}

// upstream starts an upstream that records its requests in the ledger, and announces
// it to a node under the address of a proxy.
func (f *Fleet) upstream(name, node string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &Upstream{name: name, node: node}
	s := &http.Server{Handler: f.ledger.Upstream(name, u.sinceLeft), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // returns after Close
	if u.address, err = f.proxy(l.Addr().String()); err != nil {
		return err
	}
	u.Start()
	f.upstreams = append(f.upstreams, u)
	f.closers = append(f.closers, func() { u.cancel(); s.Close() })
	return nil
}

// LoseDisk removes the data folder of a stopped control.
func (f *Fleet) LoseDisk(p *Process) error { return os.RemoveAll(filepath.Join(f.folder, p.Name)) }

// Version returns the version in force on a node, as the node reports it.
func (f *Fleet) Version(node int) (uint64, error) {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + f.admins[node] + "/v1/version")
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	var s struct{ Version uint64 }
	err = json.NewDecoder(a.Body).Decode(&s)
	return s.Version, err
}

// Close stops all processes, upstreams and proxies.
func (f *Fleet) Close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

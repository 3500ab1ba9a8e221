package soak

import (
	"context"
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

	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
)

const (
	controls = 3
	nodes    = 4
	slots    = 8
	// workTime bounds the time that an upstream takes for a request.
	workTime = 40 * time.Millisecond
	// firstPort and lastPort are below the range of ephemeral ports, of which one
	// can be taken by an outgoing connection before a process listens on it.
	firstPort, lastPort = 10000, 32000
	portBlock           = 64
)

// Fleet is a small system of real processes: controls, and nodes with an upstream
// in this process beside each.
type Fleet struct {
	folder   string
	controls []*Process
	nodes    []*Process
	// ways are the proxies: from nodes to controls and from nodes to upstreams.
	ways      []*Proxy
	operators []string
	admins    []string
	callers   []string
	ledger    *Ledger
	closers   []func()
}

// NewFleet writes the settings of a fleet below folder and starts it.
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
	var ways []string
	for i := range controls {
		way, err := f.proxy(address(3*i + 1))
		if err != nil {
			return err
		}
		ways = append(ways, fmt.Sprintf("%q", way))
		text := fmt.Sprintf(`{"Name": "control-%d", "AvailabilityZone": "a", "Listen": %q, "PeerListen": %q, "AdminListen": %q, "Members": [%s],
			"DataFolder": "control-%d", "ElectionTimeout": "500ms", "StopLimit": "5s"}`,
			i+1, address(3*i), address(3*i+1), address(3*i+2), strings.Join(members, ", "), i+1)
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
			i+1, string("ab"[i%2]), address(k), address(k+1), address(k+2), address(k+3), strings.Join(ways, ", "))
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

// reservePorts holds the first port of a block, so that other fleets take others.
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
	f.ways = append(f.ways, p)
	f.closers = append(f.closers, p.Close)
	return p.Address(), nil
}

// process returns a program whose settings are text.
func (f *Fleet) process(kind, name, binary, text string) (*Process, error) {
	file := filepath.Join(f.folder, name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	return &Process{Name: name, binary: binary, args: []string{kind, "--settings", file}, folder: f.folder, logFile: filepath.Join(f.folder, name+".log")}, nil
}

// upstream serves the ledger behind a proxy and announces it to a node.
func (f *Fleet) upstream(name, node string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: f.ledger.Upstream(name), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends with Close
	way, err := f.proxy(l.Addr().String())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := announce.New(announce.Config{Node: node, Name: name, Service: "work", Address: way, Slots: slots, Connections: 2 * slots})
	go a.Run(ctx)
	f.closers = append(f.closers, func() { cancel(); s.Close() })
	return nil
}

// LoseDisk removes the folder of a stopped control.
func (f *Fleet) LoseDisk(p *Process) error { return os.RemoveAll(filepath.Join(f.folder, p.Name)) }

// Version is what a node says of the version in force, or an error.
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

// Close ends all processes and proxies.
func (f *Fleet) Close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// Package dev runs a small but complete system in one process on loopback: one
// control, three nodes in three availability zones with a stand-in upstream each,
// and the customer pichler accepted.
//
// # Usage
//
//	d, err := dev.New(dev.Config{BasePort: 20100, Folder: dir, Out: os.Stdout, Log: l})
//	if err != nil {
//		return err
//	}
//	err = d.Run(ctx)
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberrypick/gooseberrypick/examples"
	"github.com/gooseberrypick/gooseberrypick/internal/control"
	"github.com/gooseberrypick/gooseberrypick/internal/node"
	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	// portsPerProcess is enough for the four listeners of a node and the one of its
	// stand-in upstream.
	portsPerProcess = 10
	startTimeout    = 20 * time.Second
	pollInterval    = 50 * time.Millisecond
	stopLimit       = 5 * time.Second
	slots           = 20
	connections     = 100
)

// Config configures a System.
type Config struct {
	// BasePort is the first loopback port to use.
	BasePort int
	// Folder holds the control's data.
	Folder string
	// Out receives instructions for the user once the system is running.
	Out io.Writer
	Log logr.Logger
}

// nodeSpec describes one node: its zone and the service of its stand-in upstream.
type nodeSpec struct {
	zone, service string
}

var nodeSpecs = []nodeSpec{
	{"innsbruck-a", "level-display"},
	{"innsbruck-b", "alarm-handling"},
	{"kufstein", "survey-archive"},
}

// System is the running system.
type System struct {
	c         Config
	control   *control.Control
	nodes     []*node.Node
	upstreams []upstream
}

type upstream struct {
	announcer *announce.Announcer
	server    *http.Server
	listener  net.Listener
}

func (c Config) address(process, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.BasePort+process*portsPerProcess+port)
}

// New creates the control, nodes and upstreams and opens their listeners.
func New(c Config) (*System, error) {
	s := &System{c: c}
	k, err := control.New(control.Config{Log: c.Log.WithName("control"), Settings: settings.Control{
		Name: "control", AvailabilityZone: nodeSpecs[0].zone,
		Listen: c.address(0, 1), PeerListen: c.address(0, 2), AdminListen: c.address(0, 3),
		Members:    []settings.Member{{Name: "control", Address: c.address(0, 2)}},
		DataFolder: c.Folder, ClaimGroups: 1,
		ClaimRetention: settings.DefaultClaimRetention, StopLimit: stopLimit,
	}})
	if err != nil {
		return nil, err
	}
	s.control = k
	for i, p := range nodeSpecs {
		if err := s.add(i+1, p); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *System) add(i int, p nodeSpec) error {
	c := s.c
	name := fmt.Sprintf("node-%d", i)
	n, err := node.New(node.Config{Log: c.Log.WithName(name), Settings: settings.Node{
		Name: name, AvailabilityZone: p.zone,
		Listen: c.address(i, 1), UpstreamListen: c.address(i, 2), PeerListen: c.address(i, 3), AdminListen: c.address(i, 4),
		Control: []string{c.address(0, 2)}, StopLimit: stopLimit,
	}})
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	l, err := net.Listen("tcp", c.address(i, 5))
	if err != nil {
		return errors.Wrap(err, "stand-in upstream")
	}
	u := p.service + "-1"
	s.upstreams = append(s.upstreams, upstream{
		listener: l,
		server:   &http.Server{Handler: standin.New(u, 0), ReadHeaderTimeout: stopLimit},
		announcer: announce.New(announce.Config{
			Node: c.address(i, 2), Name: u, Service: p.service, Address: c.address(i, 5),
			Slots: slots, Connections: connections,
		}),
	})
	return nil
}

// Run serves until ctx ends.
func (s *System) Run(ctx context.Context) error {
	g, serving := errgroup.WithContext(ctx)
	// The control stops last: a stopping node tells it so and waits for the answer.
	controlling, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	g.Go(func() error { return s.control.Run(controlling) })
	var nodes sync.WaitGroup
	for _, n := range s.nodes {
		nodes.Add(1)
		g.Go(func() error {
			defer nodes.Done()
			return n.Run(serving)
		})
	}
	g.Go(func() error {
		<-serving.Done()
		nodes.Wait()
		stopControl()
		return nil
	})
	for _, w := range s.upstreams {
		g.Go(func() error { w.announcer.Run(serving); return nil })
		g.Go(func() error { return ignoreClosed(w.server.Serve(w.listener)) })
		context.AfterFunc(serving, func() { w.server.Close() })
	}
	g.Go(func() error { return s.acceptExample(serving) })
	return g.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// acceptExample accepts the example customer, waits until it is in force on all nodes
// and prints instructions.
func (s *System) acceptExample(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := operator.NewClient(operator.ClientConfig{Control: []string{s.c.address(0, 1)}})
	if err != nil {
		return err
	}
	if err := accept(limited, c); err != nil {
		return ignoreCanceled(ctx, err)
	}
	if err := s.awaitCaughtUp(limited, c); err != nil {
		return ignoreCanceled(ctx, err)
	}
	s.printInstructions()
	return nil
}

// ignoreCanceled returns nil instead of err if ctx was canceled, since err is then
// caused by the stop.
func ignoreCanceled(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		err = nil
	}
	return err
}

// accept accepts the example customer. It retries until the control is the leader of
// its group.
func accept(ctx context.Context, c *operator.Client) error {
	for {
		_, err := c.Accept(ctx, operator.AcceptRequest{
			RequestID: "dev", FileName: examples.PichlerFile, File: string(examples.Pichler),
		})
		if k := errkind.Of(err); err == nil || k == errkind.Conflict || k == errkind.InvalidFile || ctx.Err() != nil {
			return err
		}
		if !sleep(ctx) {
			return err
		}
	}
}

func sleep(ctx context.Context) bool {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (s *System) awaitCaughtUp(ctx context.Context, c *operator.Client) error {
	for sleep(ctx) {
		if a, err := c.Status(ctx); err == nil && s.caughtUp(a) {
			return nil
		}
	}
	return errors.Errorf("the nodes did not catch up within %s", startTimeout)
}

// caughtUp reports whether every node has the newest version in force.
func (s *System) caughtUp(a operator.Status) bool {
	for _, n := range a.Nodes {
		if !n.Heard || n.BehindBy > 0 {
			return false
		}
	}
	return len(a.Nodes) == len(s.nodes)
}

func (s *System) printInstructions() {
	node, k := s.c.address(3, 1), s.c.address(0, 1)
	fmt.Fprintf(s.c.Out, `
One control, three nodes and three stand-in upstreams are running; customer pichler is in force.

Send requests to any node, for example the one in kufstein:

  curl -H 'Host: levels.pichler.example' http://%[1]s/levels/17
  curl -X POST -H 'Host: alarms.pichler.example' -H 'Idempotency-Key: alarm-5' -d ack http://%[1]s/acknowledgements/5
  curl -X POST -H 'Host: archive.pichler.example' --data-binary @README.md http://%[1]s/surveys/9

Act as an operator:

  go run . status --control %[2]s
  go run . plan examples/pichler/customer.jsonc --control %[2]s
  go run . accept examples/pichler/customer.jsonc --base 1 --control %[2]s
  go run . history --control %[2]s

Look at a node: http://%[3]s/metrics and http://%[3]s/v1/version. Stop with Ctrl-C.
`, node, k, s.c.address(3, 4))
}

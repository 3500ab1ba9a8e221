// Command upstream is a small stand-in upstream: it announces itself to a node
// and answers every request with its name and what it received.
//
//	go run ./examples/upstream --node 127.0.0.1:21103 --name level-display-1 --service level-display
package main

import (
	"context"
	"flag"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
)

const stopTimeout = 20 * time.Second

func main() {
	node := flag.String("node", "127.0.0.1:21103", "UpstreamListen address of the node")
	name := flag.String("name", "upstream-1", "name of this upstream")
	service := flag.String("service", "level-display", "service that it runs")
	listen := flag.String("listen", "127.0.0.1:0", "address to serve on")
	slots := flag.Int("slots", 20, "requests that it runs at the same time")
	connections := flag.Int("connections", 100, "connections that it takes")
	delay := flag.Duration("delay", 0, "time that each request takes")
	flag.Parse()
	if err := run(*listen, *delay, announce.Config{
		Node: *node, Name: *name, Service: *service, Slots: *slots, Connections: *connections,
		Failed: func(err error) { log.Println("announcement failed; trying again:", err) },
	}); err != nil {
		log.Fatal(err)
	}
}

func run(listen string, delay time.Duration, c announce.Config) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	c.Address = l.Addr().String()
	s := &http.Server{Handler: standin.New(c.Name, delay), ReadHeaderTimeout: stopTimeout}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	a := announce.New(c)
	announcing, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(announcing)
	log.Println("serving", c.Service, "as", c.Name, "on", c.Address)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return shutdown(a, s)
}

// shutdown announces that the upstream stops, finishes the requests in flight and
// withdraws the upstream from the node.
func shutdown(a *announce.Announcer, s *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := a.Leave(ctx); err != nil {
		log.Println("could not announce the stop:", err)
	}
	if err := s.Shutdown(ctx); err != nil {
		return err
	}
	return a.Withdraw(ctx)
}

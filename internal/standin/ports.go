package standin

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// Ports below the usual range of ephemeral ports: an outgoing connection could
	// take a port of that range before a process listens on it.
	firstPort, lastPort = 10_000, 32_000
	portBlock           = 64
	portTries           = 100
)

// Ports is a block of loopback ports that does not overlap with other blocks, also
// those of other processes.
type Ports struct {
	held      net.Listener
	next, end int
}

// ReservePorts reserves a block by listening on its first port until Close.
func ReservePorts() (*Ports, error) {
	for range portTries {
		b := firstPort + rand.IntN((lastPort-firstPort)/portBlock)*portBlock
		if l, err := net.Listen("tcp", loopbackAddress(b)); err == nil {
			return &Ports{held: l, next: b + 1, end: b + portBlock}, nil
		}
	}
	return nil, errors.New("no free block of ports")
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Address returns the next free address of the block.
func (p *Ports) Address() (string, error) {
	for p.next < p.end {
		a := loopbackAddress(p.next)
		p.next++
		if l, err := net.Listen("tcp", a); err == nil {
			l.Close()
			return a, nil
		}
	}
	return "", errors.New("no free port in the block")
}

// Close releases the block.
func (p *Ports) Close() error { return p.held.Close() }

package control

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkPollInterval is how often held bytes look whether their link is up again.
const linkPollInterval = 100 * time.Millisecond

// network connects processes in memory. A link that is cut keeps its
// connections open and holds their bytes, as TCP does in a silent partition.
type network struct {
	delay     time.Duration
	mu        sync.Mutex
	closed    bool
	listeners map[string]*listener
	down      map[[2]string]bool
	conns     map[string][]net.Conn
	// dialed holds when each process connected, read the bytes it got.
	dialed map[string][]time.Time
	read   map[string]int
	pumps  sync.WaitGroup
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newNetwork(delay time.Duration) *network {
	return &network{
		delay: delay, listeners: map[string]*listener{}, down: map[[2]string]bool{},
		conns: map[string][]net.Conn{}, dialed: map[string][]time.Time{}, read: map[string]int{},
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// cut takes the links between two processes down, or all links of one.
func (n *network) cut(a, b string)  { n.set(a, b, true) }
func (n *network) heal(a, b string) { n.set(a, b, false) }

const anyProcess = "*"

func (n *network) set(a, b string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[[2]string{a, b}], n.down[[2]string{b, a}] = down, down
}

func (n *network) isDown(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.closed && (n.down[[2]string{a, b}] || n.down[[2]string{a, anyProcess}] || n.down[[2]string{anyProcess, b}])
}

// waitForLink waits while the link is down.
func (n *network) waitForLink(a, b string) {
	for n.isDown(a, b) {
		time.Sleep(linkPollInterval)
	}
}

// traffic returns when the processes whose names begin with prefix connected, in
// order, and the bytes that they got.
func (n *network) traffic(prefix string) (dialed []time.Time, read int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, l := range n.dialed {
		if strings.HasPrefix(k, prefix) {
			dialed = append(dialed, l...)
			read += n.read[k]
		}
	}
	slices.SortFunc(dialed, time.Time.Compare)
	return dialed, read
}

// crash closes all connections of a process at once.
func (n *network) crash(name string) {
	n.mu.Lock()
	l := n.conns[name]
	n.conns[name] = nil
	n.mu.Unlock()
	for _, c := range l {
		c.Close()
	}
}

// close ends everything, so that a bubble can end.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	var names []string
	for k, l := range n.listeners {
		l.Close()
		names = append(names, k)
	}
	n.mu.Unlock()
	for _, k := range names {
		n.crash(k)
	}
}

// dialer returns the Dialer of the named process.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		for n.isDown(from, to) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(linkPollInterval):
			}
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.dialed[from] = append(n.dialed[from], time.Now())
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		client, a := net.Pipe()
		b, server := net.Pipe()
		select {
		case l.conns <- server:
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		n.conns[from] = append(n.conns[from], a, b)
		n.conns[to] = append(n.conns[to], a, b)
		n.mu.Unlock()
		n.pumps.Go(func() { n.pump(from, to, a, b) })
		n.pumps.Go(func() { n.pump(to, from, b, a) })
		return client, nil
	}
}

type packet struct {
	at   time.Time
	data []byte
}

// pump moves bytes one way, with the delay of the network and some buffering.
func (n *network) pump(from, to string, src, dst net.Conn) {
	q := make(chan packet, 4)
	go func() {
		defer close(q)
		for {
			b := make([]byte, 16<<10)
			k, err := src.Read(b)
			if err != nil {
				return
			}
			q <- packet{time.Now().Add(n.delay), b[:k]}
		}
	}()
	for p := range q {
		time.Sleep(time.Until(p.at))
		n.waitForLink(from, to)
		if _, err := dst.Write(p.data); err != nil {
			break
		}
		n.mu.Lock()
		n.read[to] += len(p.data)
		n.mu.Unlock()
	}
	n.waitForLink(from, to)
	dst.Close()
	src.Close()
	for range q {
	}
}

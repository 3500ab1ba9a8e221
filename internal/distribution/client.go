// Package distribution is the node's side of the stream from a control: it
// connects, resumes, applies configuration and endpoint changes, acknowledges
// them, and reports the node's own upstreams.
//
// # Usage
//
//	c := distribution.New(distribution.Config{Node: "node-1", Controls: addresses, Registry: r, Log: l})
//	go c.Run(ctx)
//	t := c.Table()
//
// The client keeps one stream to one control. It leaves a control that is
// silent, out of contact with a majority, or behind a version seen elsewhere,
// and comes back with jittered backoff, so that a herd of nodes does not arrive
// at once.
package distribution

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Times of the node's stream.
const (
	PingInterval = 500 * time.Millisecond
	// RankStatsInterval is how often a ping carries the counts by rank.
	RankStatsInterval = 10 * time.Second
	// silenceLimit ends a stream on which not even answers to pings arrive. With
	// the time to connect to another control it stays below the 3 s for which a
	// fleet whose control froze may serve an older version.
	silenceLimit = 1500 * time.Millisecond
	// behindLimit is how long a control may be behind a version seen at a peer.
	behindLimit    = 3 * time.Second
	connectTimeout = time.Second
	// differedLimit is how many answers to pings must differ before the node
	// compares its records with the control's, and comparePause how long it
	// waits before it does so again.
	differedLimit = 3
	comparePause  = 10 * time.Second
	// leaveLimit bounds the wait of a stopping node for its control. It allows
	// for a silent control and the change to another one.
	leaveLimit = 6 * time.Second
	// leaveLimitAlone is the bound for a node without a control.
	leaveLimitAlone = time.Second
	minBackoff      = 500 * time.Millisecond
	// DefaultMaxBackoff spreads the nodes of a large fleet when all controls come
	// back.
	DefaultMaxBackoff = 5 * time.Second
	// maxFirstBackoff is the longest backoff of a node without a configuration.
	maxFirstBackoff = 250 * time.Millisecond
)

// Config holds what a Client needs.
type Config struct {
	Node             string
	AvailabilityZone string
	PeerAddress      string
	// Incarnation must grow with each start of the process.
	Incarnation uint64
	Controls    []string
	Dial        wire.Dialer
	Registry    *registry.Registry
	Log         logr.Logger
	Seed        uint64
	// MaxBackoff is the longest pause between two tries to reach a control; zero
	// means DefaultMaxBackoff.
	MaxBackoff time.Duration
	// OnApplied is called after a new table is in force; it may be nil.
	OnApplied func(*table.Table)
	// Ranks returns the counts by rank; it may be nil.
	Ranks func() []wire.RankStats
}

// Client is the node's side of the stream.
type Client struct {
	c       Config
	table   atomic.Pointer[table.Table]
	seen    atomic.Uint64
	synced  atomic.Bool
	control atomic.Value // string
	changed chan struct{}
	// left is closed when a control has confirmed that this node leaves.
	left     chan struct{}
	leftOnce sync.Once
	// preferred is the control to try next, and turn counts the choices that no
	// answer decided; only Run uses them.
	preferred string
	turn      int

	mu sync.Mutex
	// known are the controls that a control listed last.
	known   []string
	record  wire.NodeRecord
	lineage string
	// rival is the incarnation of another process that uses this node's name.
	rival  uint64
	random *rand.Rand
}

// New returns a Client without configuration.
func New(c Config) *Client {
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	n := &Client{c: c, changed: make(chan struct{}, 1), left: make(chan struct{}), random: rand.New(rand.NewPCG(c.Seed, c.Incarnation))}
	n.record = wire.NodeRecord{
		Node:             c.Node,
		AvailabilityZone: c.AvailabilityZone,
		PeerAddress:      c.PeerAddress,
		Incarnation:      c.Incarnation,
		Sequence:         1,
	}
	n.table.Store(table.Empty)
	n.control.Store("")
	c.Registry.Put(time.Now(), []wire.NodeRecord{n.record})
	return n
}

// Table returns the table in force.
func (n *Client) Table() *table.Table { return n.table.Load() }

// Control returns the address of the control that the node is connected to.
func (n *Client) Control() string { return n.control.Load().(string) }

// Ready returns why the node cannot serve yet, or nil.
func (n *Client) Ready() error {
	if n.Table().Version() == 0 {
		return errkind.New(errkind.NotReady, "no configuration version is in force yet")
	}
	if !n.synced.Load() {
		return errkind.New(errkind.NotReady, "the list of upstreams has not arrived yet")
	}
	return nil
}

// ObserveVersion notes a version that a peer has in force.
func (n *Client) ObserveVersion(v uint64) {
	for {
		o := n.seen.Load()
		if v <= o || n.seen.CompareAndSwap(o, v) {
			return
		}
	}
}

// SetUpstreams publishes the node's own upstreams. The node itself uses them at
// once, the rest of the fleet as soon as a control passes them on.
func (n *Client) SetUpstreams(l []wire.Upstream) {
	n.publish(func(r *wire.NodeRecord) {
		r.Upstreams = nil
		for _, u := range l {
			o := r.Upstreams
			r.Upstreams = append(slices.Clone(o), u)
			if err := r.Check(); err != nil { // controls would refuse the record
				n.c.Log.Error(err, "upstream left out", "service", u.Service[:min(len(u.Service), wire.MaxNameBytes)])
				r.Upstreams = o
			}
		}
	})
}

// publish changes the own record and has it sent.
func (n *Client) publish(change func(*wire.NodeRecord)) {
	n.raise(change)
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// raise changes the own record and raises its sequence, so that it supersedes
// what a control may still say about the node.
func (n *Client) raise(change func(*wire.NodeRecord)) wire.NodeRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Sequence++
	change(&n.record)
	n.c.Registry.Put(time.Now(), []wire.NodeRecord{n.record})
	return n.record
}

func (n *Client) currentRecord() wire.NodeRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record
}

// Run keeps a stream open until ctx ends.
func (n *Client) Run(ctx context.Context) {
	address := ""
	backoff := min(minBackoff, n.c.MaxBackoff)
	for ctx.Err() == nil {
		next := n.next(ctx, address)
		if next == "" {
			n.sleep(ctx, n.spread(maxFirstBackoff))
			continue
		}
		address = next
		start := time.Now()
		err := n.session(ctx, address)
		n.control.Store("")
		if ctx.Err() != nil {
			return
		}
		n.c.Log.Info("stream to control ended", "control", address, "reason", err.Error())
		// A control that welcomes nodes and fails soon after is no better than
		// one that refuses them.
		if time.Since(start) > n.c.MaxBackoff {
			backoff = min(minBackoff, n.c.MaxBackoff)
		}
		n.sleep(ctx, n.spread(backoff))
		backoff = min(backoff*2, n.longestBackoff())
	}
}

// longestBackoff is short for a node that serves nothing yet.
func (n *Client) longestBackoff() time.Duration {
	if n.Table().Version() == 0 {
		return maxFirstBackoff
	}
	return n.c.MaxBackoff
}

// next returns the control to connect to after the stream to another one ended.
// Several of the others are asked at once, so that a second control that does
// not answer costs no time. It returns an empty string when none is worth a try.
func (n *Client) next(ctx context.Context, failed string) string {
	if a := n.preferred; a != "" {
		n.preferred = ""
		return a
	}
	l := n.shuffled()
	if failed == "" {
		return l[0]
	}
	if i := slices.Index(l, failed); i >= 0 && len(l) > 1 {
		l = append(slices.Delete(l, i, i+1), failed)
	}
	if others := l[:len(l)-1]; len(others) > 1 {
		if a := n.firstCurrent(ctx, others[:min(len(others), askedAtOnce)]); a != "" {
			return a
		}
		if n.Table().Version() == 0 {
			return "" // no control could give it a configuration
		}
		n.turn++
		return l[n.turn%len(l)]
	}
	return l[0]
}

func (n *Client) shuffled() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := slices.Clone(n.known)
	for _, a := range n.c.Controls {
		if !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	n.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l
}

// SetControls replaces the controls of the settings. An open stream stays.
func (n *Client) SetControls(l []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.c.Controls = l
}

// learn notes the controls that a control listed.
func (n *Client) learn(l []string) {
	if len(l) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known = l
}

// jitter returns between half and one and a half times d.
func (n *Client) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration((0.5 + n.random.Float64()) * float64(d))
}

// spread returns up to d, evenly, so that the nodes of a control that failed do
// not arrive at the next one together.
func (n *Client) spread(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration((1 - n.random.Float64()) * float64(d))
}

func (n *Client) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Leave tells the fleet that this node stops, so that its record is removed at
// once and its name forgotten. It returns when a control has confirmed that, at
// the latest after a few seconds.
func (n *Client) Leave(ctx context.Context) {
	limit := leaveLimit
	if n.Control() == "" {
		limit = leaveLimitAlone
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	n.publish(func(r *wire.NodeRecord) { r.Gone, r.Upstreams = true, nil })
	select {
	case <-n.left:
	case <-ctx.Done():
		n.c.Log.Info("no control confirmed that this node leaves; its record ends with its lease")
	}
}

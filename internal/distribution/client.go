// Package distribution implements the node's side of the stream from a control. The
// client connects, resumes, applies and acknowledges configuration updates, applies
// endpoint changes, and reports the node's own upstreams.
//
// # Usage
//
//	c := distribution.New(distribution.Config{Node: "node-1", Controls: addresses, Registry: r, Log: l})
//	go c.Run(ctx)
//	t := c.Table()
//
// The client keeps one stream to one control. It disconnects from a control that is
// silent, out of contact with a majority, or behind a version seen elsewhere. It
// reconnects with a randomized backoff, to avoid a thundering herd of nodes.
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

// Intervals and timeouts of the node's stream.
const (
	// PingInterval is how often a node pings its control.
	PingInterval = 500 * time.Millisecond
	// RankStatsInterval is how often a ping carries the counts by rank.
	RankStatsInterval = 10 * time.Second
	// silenceTimeout ends a stream on which nothing arrives, not even an answer to a
	// ping. Together with the time to connect to another control, it is shorter than
	// the 3 s for which nodes may serve an older version after their control froze.
	silenceTimeout = 1500 * time.Millisecond
	// behindTimeout is how long a control may be behind a version seen at a peer.
	behindTimeout  = 3 * time.Second
	connectTimeout = time.Second
	// minDigestMismatches is how many successive answers to pings must have a digest
	// other than the node's before the node compares its records with those of the
	// control. compareInterval, with jitter, is the minimum time between two such
	// comparisons.
	minDigestMismatches = 3
	compareInterval     = 10 * time.Second
	// leaveTimeout limits how long a stopping node waits for a control to confirm.
	// It allows time to detect a silent control and to connect to another one.
	leaveTimeout = 6 * time.Second
	// disconnectedLeaveTimeout is the same limit for a node that is not connected.
	disconnectedLeaveTimeout = time.Second
	minBackoff               = 500 * time.Millisecond
	// DefaultMaxBackoff is long enough to spread the connections of many nodes when
	// all controls become available again.
	DefaultMaxBackoff = 5 * time.Second
	// maxInitialBackoff is the maximum backoff of a node without a configuration.
	maxInitialBackoff = 250 * time.Millisecond
)

// Config is the configuration of a Client.
type Config struct {
	Node             string
	AvailabilityZone string
	PeerAddress      string
	// Incarnation must increase with each start of the process.
	Incarnation uint64
	Controls    []string
	Dial        wire.Dialer
	Registry    *registry.Registry
	Log         logr.Logger
	Seed        uint64
	// MaxBackoff is the maximum delay between attempts to connect to a control; zero
	// means DefaultMaxBackoff.
	MaxBackoff time.Duration
	// OnApplied is called after a new table is in force; it may be nil.
	OnApplied func(*table.Table)
	// Restore is called after each connection to a control, with what the process that ran
	// before under the node's name remembered; it may be nil.
	Restore func([]wire.Departure)
	// Ranks returns the counts by rank; it may be nil.
	Ranks func() []wire.RankStats
}

// Client is the node's side of the stream.
type Client struct {
	c               Config
	table           atomic.Pointer[table.Table]
	observedVersion atomic.Uint64
	synced          atomic.Bool
	control         atomic.Value // string
	recordChanged   chan struct{}
	// leaveConfirmed is closed when a control has confirmed that this node leaves.
	leaveConfirmed     chan struct{}
	leaveConfirmedOnce sync.Once
	// preferred is the control to try next. fallbacks counts the choices made
	// without an answer from a control. Only the goroutine of Run uses them.
	preferred string
	fallbacks int

	mu sync.Mutex
	// knownControls are the controls in the most recent Welcome.
	knownControls []string
	record        wire.NodeRecord
	lineage       string
	// duplicateIncarnation is the incarnation of another process that uses this
	// node's name.
	duplicateIncarnation uint64
	random               *rand.Rand
}

// New returns a Client without configuration.
func New(c Config) *Client {
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	n := &Client{c: c, recordChanged: make(chan struct{}, 1), leaveConfirmed: make(chan struct{}), random: rand.New(rand.NewPCG(c.Seed, c.Incarnation))}
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

// Control returns the address of the connected control, or an empty string.
func (n *Client) Control() string { return n.control.Load().(string) }

// Ready returns nil if the node can serve requests, and otherwise the reason why not.
func (n *Client) Ready() error {
	if n.Table().Version() == 0 {
		return errkind.New(errkind.NotReady, "no configuration version is in force yet")
	}
	if !n.synced.Load() {
		return errkind.New(errkind.NotReady, "the list of upstreams has not arrived yet")
	}
	return nil
}

// ObserveVersion records that version v is in force at a peer or committed at a
// control.
func (n *Client) ObserveVersion(v uint64) {
	for {
		o := n.observedVersion.Load()
		if v <= o || n.observedVersion.CompareAndSwap(o, v) {
			return
		}
	}
}

// SetUpstreams publishes the node's own upstreams. The node itself uses them at once,
// other nodes as soon as a control has propagated them. The departures are kept by the
// controls for the case that the node is restarted.
func (n *Client) SetUpstreams(l []wire.Upstream, departed ...wire.Departure) {
	n.publish(func(r *wire.NodeRecord) {
		r.Upstreams, r.Departed = nil, nil
		for _, u := range l {
			o := r.Upstreams
			r.Upstreams = append(slices.Clone(o), u)
			if err := r.Check(); err != nil { // controls would refuse the record
				n.c.Log.Error(err, "upstream left out", "service", u.Service[:min(len(u.Service), wire.MaxNameBytes)])
				r.Upstreams = o
			}
		}
		for _, d := range departed {
			o := r.Departed
			r.Departed = append(slices.Clone(o), d)
			if err := r.Check(); err != nil { // the upstreams come first
				r.Departed = o
				return
			}
		}
	})
}

// publish changes the node's own record and triggers a report to the control.
func (n *Client) publish(change func(*wire.NodeRecord)) {
	n.updateRecord(change)
	select {
	case n.recordChanged <- struct{}{}:
	default:
	}
}

// updateRecord changes the node's own record and increments its sequence, so that it
// supersedes older records of the node that a control may still send.
func (n *Client) updateRecord(change func(*wire.NodeRecord)) wire.NodeRecord {
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

// Run keeps a stream to a control open until ctx is canceled.
func (n *Client) Run(ctx context.Context) {
	address := ""
	backoff := min(minBackoff, n.c.MaxBackoff)
	for ctx.Err() == nil {
		next := n.nextControl(ctx, address)
		if next == "" {
			n.sleep(ctx, n.randomDelay(maxInitialBackoff))
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
		// Reset the backoff only after a long session: a control that accepts
		// nodes and fails soon after is no better than one that refuses them.
		if time.Since(start) > n.c.MaxBackoff {
			backoff = min(minBackoff, n.c.MaxBackoff)
		}
		n.sleep(ctx, n.randomDelay(backoff))
		backoff = min(backoff*2, n.longestBackoff())
	}
}

// longestBackoff returns the maximum backoff, which is short while the node has no
// configuration and cannot serve.
func (n *Client) longestBackoff() time.Duration {
	if n.Table().Version() == 0 {
		return maxInitialBackoff
	}
	return n.c.MaxBackoff
}

// nextControl returns the control to connect to after the stream to failed ended. It
// probes several other controls in parallel, so that another one that does not answer
// causes no delay. It returns an empty string if the node has no configuration and none
// of the probed controls can send one.
func (n *Client) nextControl(ctx context.Context, failed string) string {
	if a := n.preferred; a != "" {
		n.preferred = ""
		return a
	}
	l := n.shuffledControls()
	if failed == "" {
		return l[0]
	}
	if i := slices.Index(l, failed); i >= 0 && len(l) > 1 {
		l = append(slices.Delete(l, i, i+1), failed)
	}
	if others := l[:len(l)-1]; len(others) > 1 {
		if a := n.firstCurrent(ctx, others[:min(len(others), maxParallelProbes)]); a != "" {
			return a
		}
		if n.Table().Version() == 0 {
			return "" // none of the controls could send a configuration
		}
		n.fallbacks++
		return l[n.fallbacks%len(l)]
	}
	return l[0]
}

// shuffledControls returns the known and the configured controls in random order.
func (n *Client) shuffledControls() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := slices.Clone(n.knownControls)
	for _, a := range n.c.Controls {
		if !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	n.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l
}

// Controls returns the addresses of all controls, the connected one first and the others
// in random order.
func (n *Client) Controls() []string {
	l := n.shuffledControls()
	if i := slices.Index(l, n.Control()); i > 0 {
		l[0], l[i] = l[i], l[0]
	}
	return l
}

// SetControls replaces the configured controls. An open stream is not closed.
func (n *Client) SetControls(l []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.c.Controls = l
}

// setKnownControls stores the controls listed by a control. It ignores an empty list.
func (n *Client) setKnownControls(l []string) {
	if len(l) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.knownControls = l
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (n *Client) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration((0.5 + n.random.Float64()) * float64(d))
}

// randomDelay returns a uniformly distributed duration of up to d, so that the nodes
// of a failed control do not connect to another one all at once.
func (n *Client) randomDelay(d time.Duration) time.Duration {
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

// Leave announces that this node stops, so that its record is removed at once and it
// is no longer a known node. It returns when a control has confirmed this, or after a
// timeout of a few seconds.
func (n *Client) Leave(ctx context.Context) {
	limit := leaveTimeout
	if n.Control() == "" {
		limit = disconnectedLeaveTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	n.publish(func(r *wire.NodeRecord) { r.Gone, r.Upstreams = true, nil })
	select {
	case <-n.leaveConfirmed:
	case <-ctx.Done():
		n.c.Log.Info("no control confirmed that this node leaves; its record ends with its lease")
	}
}

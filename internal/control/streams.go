package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/rankstats"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// NodeLease is how long a node counts as present after its last message. It is
	// longer than a reconnect with backoff takes.
	NodeLease = 10 * time.Second
	// batchInterval is how long endpoint changes are collected before they are sent.
	batchInterval = 100 * time.Millisecond
	// maxConcurrentSnapshots limits the snapshots that are sent at the same time, so that
	// many restarted nodes do not delay changes to the other nodes.
	maxConcurrentSnapshots = 16
	// streamBuffer is the number of encoded batches that may wait for a slow node. A
	// node that falls further behind is disconnected. When it reconnects, digests show
	// which records it lacks.
	streamBuffer = 64
	// maxEndpointBytes limits the records of one message. It leaves room for one more
	// bucket within MaxMessageBytes.
	maxEndpointBytes = 512 << 10
	barrierTimeout   = 2 * time.Second
	// maxRejectedNodes limits the reports of nodes of another lineage.
	maxRejectedNodes = 1000
)

// configSource is the part of the config group that node streams need.
type configSource interface {
	Current() *versions.View
	Lineage() string
	// IsCurrent reports whether this member is in contact with a majority of the members.
	IsCurrent() bool
	// Leader returns the name of the leader, or an empty string.
	Leader() string
	// Members returns the membership of the config group.
	Members() []wire.RaftMember
	ReadBarrier(ctx context.Context) error
}

// Streams serves the streams of the nodes connected to this control.
type Streams struct {
	control       string
	source        configSource
	registry      *registry.Registry
	log           logr.Logger
	updates       *updateCache
	buckets       *bucketCache
	snapshotSlots chan struct{}
	// synced reports whether this control may remove nodes, authoritative whether it
	// knows all nodes.
	synced, authoritative func(now time.Time) bool
	// onConnect is called for each node that connects, onLeave for each that leaves as
	// planned.
	onConnect func(node, zone string)
	onLeave   func(node string)
	// controls returns the addresses of all controls.
	controls func() []string

	mu    sync.Mutex
	nodes map[string]*nodeStream
	// disconnected holds the nodes without a stream, until they reconnect or expire.
	disconnected map[string]disconnectedNode
	// rejected holds nodes of another lineage that tried to connect, until NodeLease
	// after the last attempt.
	rejected map[string]rejectedNode
	pending  []wire.NodeRecord
}

// rejectedNode is a node of another lineage that tried to connect.
type rejectedNode struct {
	report wire.NodeReport
	since  time.Time
}

func newStreams(control string, source configSource, r *registry.Registry, l logr.Logger) *Streams {
	return &Streams{
		control:       control,
		source:        source,
		registry:      r,
		log:           l,
		updates:       newUpdateCache(),
		buckets:       &bucketCache{registry: r},
		snapshotSlots: make(chan struct{}, maxConcurrentSnapshots),
		synced:        func(time.Time) bool { return false },
		authoritative: func(time.Time) bool { return false },
		onConnect:     func(string, string) {},
		onLeave:       func(string) {},
		controls:      func() []string { return nil },
		nodes:         map[string]*nodeStream{},
		disconnected:  map[string]disconnectedNode{},
		rejected:      map[string]rejectedNode{},
	}
}

// Subscribe serves the stream of one node.
func (s *Streams) Subscribe(d drpc.Stream) error {
	ctx, cancel := context.WithCancel(d.Context())
	defer cancel()
	h, err := receiveHello(d)
	if err != nil {
		s.logStreamEnd("", err)
		return err
	}
	if err := s.admit(ctx, h); err != nil {
		level := 0
		if s.source.Lineage() == "" {
			level = 1 // expected while a new system starts
		}
		s.log.V(level).Info("node refused", "node", h.Record.Node, "reason", err.Error())
		return d.MsgSend(&wire.ControlMessage{Fault: wire.NewFault(err)}, wire.Encoding{})
	}
	n := &nodeStream{
		name:      h.Record.Node,
		zone:      h.Record.AvailabilityZone,
		stream:    d,
		batches:   make(chan wire.Raw, streamBuffer),
		ack:       make(chan wire.Ack, 1),
		compare:   make(chan []uint64, 1),
		cancel:    cancel,
		abort:     sync.OnceFunc(connectionCloser(d)),
		lastHeard: time.Now(),
		report:    wire.NodeReport{Node: h.Record.Node, AvailabilityZone: h.Record.AvailabilityZone, Version: h.Version, Control: s.control},
	}
	h.Record = s.withDepartures(h.Record)
	s.add(n, h.Record)
	defer s.remove(n)
	go func() {
		defer cancel()
		s.receive(ctx, n)
	}()
	return s.serve(ctx, n, h)
}

// admit returns an error if this control must not serve the node. A node without a
// version, or with a newer one, is served only after this member has confirmed with a
// majority that it has applied every committed entry.
func (s *Streams) admit(ctx context.Context, h *wire.Hello) error {
	if l := s.source.Lineage(); l == "" {
		return errkind.New(errkind.NotCurrent, "control %s has not joined a system yet", s.control)
	} else if h.Version > 0 && h.Lineage != l {
		err := errkind.New(errkind.NotCurrent, "control %s has lineage %s, the node's version is of lineage %s", s.control, l, h.Lineage)
		s.recordRejection(h, err)
		return err
	}
	if h.Version > 0 && h.Version <= s.source.Current().Version() {
		return nil
	}
	if !s.source.IsCurrent() {
		return errkind.New(errkind.NotCurrent, "control %s is not in contact with a majority", s.control)
	}
	if err := s.confirm(ctx); err != nil {
		return err
	}
	if v := s.source.Current().Version(); h.Version > v {
		return errkind.New(errkind.NotCurrent, "control %s has version %d, the node has version %d in force", s.control, v, h.Version)
	}
	return nil
}

// confirm waits until this member has applied every entry that was committed before the
// call.
func (s *Streams) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := s.source.ReadBarrier(ctx); err != nil {
		return errkind.Wrap(err, errkind.NotCurrent, "control %s cannot confirm its state with a majority", s.control)
	}
	return nil
}

// recordRejection stores a report of a node that no control of this lineage can serve.
func (s *Streams) recordRejection(h *wire.Hello, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rejected) < maxRejectedNodes {
		s.rejected[h.Record.Node] = rejectedNode{since: time.Now(), report: wire.NodeReport{
			Node: h.Record.Node, AvailabilityZone: h.Record.AvailabilityZone, Version: h.Version, Control: s.control,
			Refused: s.source.Current().Version(), Reason: err.Error(),
		}}
	}
}

// withDepartures returns the first record of a process, with what the process before it
// under the same name remembered. The node itself states it from its next record on.
func (s *Streams) withDepartures(r wire.NodeRecord) wire.NodeRecord {
	if o, ok := s.registry.Record(r.Node); ok && o.Incarnation != r.Incarnation && len(r.Departed) == 0 {
		r.Departed = o.Departed
	}
	return r
}

func (s *Streams) add(n *nodeStream, r wire.NodeRecord) {
	s.mu.Lock()
	o := s.nodes[n.name]
	s.nodes[n.name] = n
	delete(s.disconnected, n.name)
	delete(s.rejected, n.name)
	s.mu.Unlock()
	if o != nil {
		o.cancel() // the node reconnected before its old stream ended
	}
	s.storeOwn(r)
	if !r.Gone {
		s.onConnect(r.Node, r.AvailabilityZone)
	}
	s.log.Info("node connected", "node", n.name, "availabilityZone", r.AvailabilityZone, "version", n.report.Version)
}

func (s *Streams) remove(n *nodeStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[n.name] != n {
		return
	}
	delete(s.nodes, n.name)
	if r, ok := s.registry.Record(n.name); ok && !r.Gone && r.Home == s.control {
		now := time.Now()
		last := n.currentReport(now)
		heard := now.Add(-last.SinceHeard)
		s.disconnected[n.name] = disconnectedNode{expires: heard.Add(NodeLease), lastHeard: heard, lastReport: last}
	}
	s.log.Info("node disconnected", "node", n.name)
}

// storeOwn stores a record that the node itself sent, with this control as its home.
func (s *Streams) storeOwn(r wire.NodeRecord) {
	r.Home = s.control
	for range s.put([]wire.NodeRecord{r}) {
		if r.Gone {
			s.log.Info("node removed", "node", r.Node, "reason", "the node leaves")
			s.onLeave(r.Node)
		}
	}
}

// put stores records. It queues those that changed for all nodes and returns them.
func (s *Streams) put(l []wire.NodeRecord) []wire.NodeRecord {
	now := time.Now()
	c := s.registry.Put(now, l)
	if len(c) > 0 {
		s.mu.Lock()
		s.pending = append(s.pending, c...)
		s.trackDisconnected(now, c)
		s.mu.Unlock()
	}
	return c
}

// Flush sends the queued endpoint changes to all nodes and returns them. They are encoded
// once.
func (s *Streams) Flush() []wire.NodeRecord {
	s.mu.Lock()
	l := s.pending
	s.pending = nil
	s.mu.Unlock()
	for rest := l; len(rest) > 0; {
		k := recordsPerMessage(rest)
		b, err := wire.Marshal(&wire.ControlMessage{Endpoints: &wire.Endpoints{Records: withoutDepartures(rest[:k])}})
		if err != nil {
			s.log.Error(err, "encode endpoints")
			return l
		}
		rest = rest[k:]
		s.broadcast(b)
	}
	return l
}

// recordsPerMessage returns how many records from the start of l fit into one message.
func recordsPerMessage(l []wire.NodeRecord) int {
	size := 0
	for i, r := range l {
		if size += r.EncodedBytes(); size > maxEndpointBytes {
			return max(1, i)
		}
	}
	return len(l)
}

// withoutDepartures returns l as it is sent to nodes.
func withoutDepartures(l []wire.NodeRecord) []wire.NodeRecord {
	k := make([]wire.NodeRecord, len(l))
	for i, r := range l {
		k[i] = r.WithoutDepartures()
	}
	return k
}

func encodedBytes(l []wire.NodeRecord) int {
	n := 0
	for _, r := range l {
		n += r.EncodedBytes()
	}
	return n
}

func (s *Streams) broadcast(b wire.Raw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		select {
		case n.batches <- b:
		default:
			s.log.Info("node is too slow for endpoint changes; closing its connection", "node", n.name)
			n.abort()
		}
	}
}

// Len returns the number of connected nodes.
func (s *Streams) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

// connected returns the connected nodes that are not leaving, with their zones.
func (s *Streams) connected() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]string, len(s.nodes))
	for k, n := range s.nodes {
		if r, ok := s.registry.Record(k); ok && !r.Gone {
			m[k] = n.zone
		}
	}
	return m
}

// Reports returns the reports of this control's nodes: connected ones, recently
// disconnected ones, and those that it rejected because of their lineage.
func (s *Streams) Reports(now time.Time) []wire.NodeReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]wire.NodeReport, 0, len(s.nodes)+len(s.disconnected)+len(s.rejected))
	for _, n := range s.nodes {
		l = append(l, n.currentReport(now))
	}
	for _, n := range s.disconnected {
		r := n.lastReport
		r.SinceHeard = now.Sub(n.lastHeard)
		l = append(l, r)
	}
	for _, n := range s.rejected {
		r := n.report
		r.SinceHeard = now.Sub(n.since)
		l = append(l, r)
	}
	return l
}

// Ranks returns the sums of the counts by rank of the nodes connected to this control. It
// excludes nodes whose record names another control as home: they have moved, and that
// control counts them, although their old stream may not have ended here yet.
func (s *Streams) Ranks() *wire.RankTotals {
	s.mu.Lock()
	l := slices.Collect(maps.Values(s.nodes))
	s.mu.Unlock()
	t := rankstats.NewSum()
	for _, n := range l {
		n.mu.Lock()
		newest, before := n.ranks, n.previousRanks
		n.mu.Unlock()
		if r, ok := s.registry.Record(n.name); newest.at.IsZero() || ok && r.Home != s.control {
			continue
		}
		var elapsed time.Duration
		if !before.at.IsZero() {
			elapsed = newest.at.Sub(before.at)
		}
		t.AddNode(newest.ranks, before.ranks, elapsed)
	}
	return t.Totals()
}

// Close ends all streams.
func (s *Streams) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		n.cancel()
	}
}

package control

import (
	"bytes"
	"compress/flate"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// NodeLease is how long a node counts as present without a message. It is
	// longer than a reconnect with backoff.
	NodeLease = 10 * time.Second
	// batchInterval collects endpoint changes before they are sent.
	batchInterval = 100 * time.Millisecond
	// maxSnapshots bounds the snapshots that are sent at the same time, so that
	// a herd of restarted nodes does not hold up changes to the others.
	maxSnapshots = 16
	// streamBuffer is how many encoded batches may wait for one slow node. A
	// node that falls further behind is disconnected and resumes by digests.
	streamBuffer = 64
	// endpointChunk bounds the records of one message.
	endpointChunk = 2000
	// configChunkBytes bounds one piece of an update.
	configChunkBytes = 1 << 20
	// compressFrom is the size from which compressing an update pays.
	compressFrom  = 1 << 10
	helloTimeout  = 5 * time.Second
	barrierLimit  = 2 * time.Second
	cachedUpdates = 64
)

// configSource is the part of the config group that node streams need.
type configSource interface {
	Current() *versions.View
	Lineage() string
	// IsCurrent reports whether this member is in contact with a majority.
	IsCurrent() bool
	ReadBarrier(ctx context.Context) error
}

// Streams serves the streams of the nodes connected to this control.
type Streams struct {
	control  string
	source   configSource
	registry *registry.Registry
	log      logr.Logger
	updates  *updateCache
	slots    chan struct{}
	// settled reports whether this control knows all nodes.
	settled func() bool
	// seen is called for each node that connects.
	seen func(node, zone string)

	mu    sync.Mutex
	nodes map[string]*nodeStream
	// lost holds the nodes whose stream ended, until their lease ends.
	lost    map[string]lostNode
	pending []wire.NodeRecord
}

type lostNode struct {
	record wire.NodeRecord
	since  time.Time
	last   wire.NodeReport
}

// nodeStream is the stream of one node.
type nodeStream struct {
	name   string
	stream drpc.Stream
	batch  chan wire.Raw
	ack    chan struct{}
	cancel context.CancelFunc

	mu     sync.Mutex
	report wire.NodeReport
	heard  time.Time
	// refusedFull is the version that the node refused as a snapshot.
	refusedFull uint64
}

func newStreams(control string, source configSource, r *registry.Registry, l logr.Logger) *Streams {
	return &Streams{
		control:  control,
		source:   source,
		registry: r,
		log:      l,
		updates:  newUpdateCache(),
		slots:    make(chan struct{}, maxSnapshots),
		settled:  func() bool { return false },
		seen:     func(string, string) {},
		nodes:    map[string]*nodeStream{},
		lost:     map[string]lostNode{},
	}
}

// Subscribe serves one node.
func (s *Streams) Subscribe(d drpc.Stream) error {
	ctx, cancel := context.WithCancel(d.Context())
	defer cancel()
	h, err := receiveHello(d)
	if err != nil {
		return err
	}
	if err := s.admit(ctx, h); err != nil {
		s.log.Info("node refused", "node", h.Record.Node, "reason", err.Error())
		return sendControl(d, &wire.ControlMessage{Fault: wire.NewFault(err)})
	}
	n := &nodeStream{
		name:   h.Record.Node,
		stream: d,
		batch:  make(chan wire.Raw, streamBuffer),
		ack:    make(chan struct{}, 1),
		cancel: cancel,
		heard:  time.Now(),
		report: wire.NodeReport{Node: h.Record.Node, AvailabilityZone: h.Record.AvailabilityZone, Version: h.Version, Control: s.control},
	}
	s.add(n, h.Record)
	defer s.remove(n)
	go func() {
		defer cancel()
		s.receive(ctx, n)
	}()
	return s.serve(ctx, n, h)
}

func receiveHello(d drpc.Stream) (*wire.Hello, error) {
	t := time.AfterFunc(helloTimeout, func() { d.Close() })
	defer t.Stop()
	var m wire.NodeMessage
	if err := d.MsgRecv(&m, wire.Encoding{}); err != nil {
		return nil, err
	}
	if m.Hello == nil || m.Hello.Record.Node == "" {
		return nil, errors.New("node sent no hello")
	}
	return m.Hello, nil
}

// admit decides whether this control may serve the node. A node without a
// version, or with a newer one, is served only after the member has confirmed
// with a majority that it holds everything committed.
func (s *Streams) admit(ctx context.Context, h *wire.Hello) error {
	if l := s.source.Lineage(); l == "" {
		return errkind.New(errkind.NotCurrent, "control %s belongs to no system yet", s.control)
	} else if h.Version > 0 && h.Lineage != l {
		return errkind.New(errkind.NotCurrent, "control %s has lineage %s, the node's version is of lineage %s", s.control, l, h.Lineage)
	}
	if h.Version > 0 && h.Version <= s.source.Current().Version() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, barrierLimit)
	defer cancel()
	if err := s.source.ReadBarrier(ctx); err != nil {
		return errkind.Wrap(err, errkind.NotCurrent, "control %s cannot confirm its state with a majority", s.control)
	}
	if v := s.source.Current().Version(); h.Version > v {
		return errkind.New(errkind.NotCurrent, "control %s has version %d, the node has version %d in force", s.control, v, h.Version)
	}
	return nil
}

func (s *Streams) add(n *nodeStream, r wire.NodeRecord) {
	s.mu.Lock()
	o := s.nodes[n.name]
	s.nodes[n.name] = n
	delete(s.lost, n.name)
	s.mu.Unlock()
	if o != nil {
		o.cancel() // the node came back before its old stream ended
	}
	r.Home, r.Gone = s.control, false
	s.put([]wire.NodeRecord{r})
	s.seen(r.Node, r.AvailabilityZone)
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
		s.lost[n.name] = lostNode{record: r, since: time.Now(), last: n.snapshot(time.Now())}
	}
	s.log.Info("node disconnected", "node", n.name)
}

// put stores records and queues what changed for all nodes.
func (s *Streams) put(l []wire.NodeRecord) []wire.NodeRecord {
	c := s.registry.Put(time.Now(), l)
	if len(c) > 0 {
		s.mu.Lock()
		s.pending = append(s.pending, c...)
		s.mu.Unlock()
	}
	return c
}

// receive handles what the node sends until the stream ends.
func (s *Streams) receive(ctx context.Context, n *nodeStream) {
	for ctx.Err() == nil {
		var m wire.NodeMessage
		if err := n.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
			s.log.V(1).Info("node stream ended", "node", n.name, "cause", err.Error())
			return
		}
		switch {
		case m.Report != nil && m.Report.Node == n.name:
			r := *m.Report
			r.Home = s.control
			s.put([]wire.NodeRecord{r})
		case m.Ack != nil:
			s.acknowledge(n, m.Ack)
		case m.Ping != nil:
			n.pinged(m.Ping)
			p := &wire.Pong{Committed: s.source.Current().Version(), Current: s.source.IsCurrent()}
			if sendControl(n.stream, &wire.ControlMessage{Pong: p}) != nil {
				return
			}
		default:
			s.log.Info("node sent an unexpected message", "node", n.name)
			return
		}
	}
}

func (n *nodeStream) pinged(p *wire.Ping) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = time.Now()
	n.report.Version = max(n.report.Version, p.Version)
}

func (s *Streams) acknowledge(n *nodeStream, a *wire.Ack) {
	n.mu.Lock()
	n.heard = time.Now()
	n.report.Version = max(n.report.Version, a.Version)
	n.report.Refused, n.report.Reason = a.Refused, a.Reason
	n.mu.Unlock()
	if a.Refused != 0 {
		s.log.Info("node refused a version", "node", n.name, "refused", a.Refused, "version", a.Version, "reason", a.Reason)
	}
	select {
	case n.ack <- struct{}{}:
	default:
	}
}

func (n *nodeStream) snapshot(now time.Time) wire.NodeReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.report
	r.SinceHeard = now.Sub(n.heard)
	return r
}

// serve sends welcome, endpoints and configuration until the stream ends.
func (s *Streams) serve(ctx context.Context, n *nodeStream, h *wire.Hello) error {
	w := &wire.Welcome{Lineage: s.source.Lineage(), Control: s.control, Lease: NodeLease}
	if err := sendControl(n.stream, &wire.ControlMessage{Welcome: w}); err != nil {
		return err
	}
	if err := s.sendDiffering(n, h.Buckets); err != nil {
		return err
	}
	sent := h.Version
	for {
		v := s.source.Current()
		if v.Version() > sent {
			to, err := s.sendConfig(ctx, n, v, sent)
			if err != nil {
				return err
			}
			sent = to
		}
		select {
		case <-ctx.Done():
			return nil
		case <-v.Superseded():
		case b := <-n.batch:
			if err := n.stream.MsgSend(b, wire.Encoding{}); err != nil {
				return err
			}
		case <-n.ack:
			sent = n.resendFrom(sent)
		}
	}
}

// resendFrom returns the version to continue from after an acknowledgement. A
// node that refused an update gets one snapshot of the same version; if it
// refuses that as well, it waits for the next version.
func (n *nodeStream) resendFrom(sent uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.report.Refused == 0 || n.report.Refused != sent || n.refusedFull >= sent {
		return sent
	}
	n.refusedFull = sent
	return 0
}

// sendDiffering sends the buckets that the node does not hold, whole buckets in
// each message. It always sends at least one message, which tells the node that
// it is in step.
func (s *Streams) sendDiffering(n *nodeStream, digests []uint64) error {
	authoritative := s.settled() && s.source.IsCurrent()
	e := &wire.Endpoints{Authoritative: authoritative}
	for _, b := range s.registry.Differing(digests) {
		if len(e.Records) > 0 && len(e.Records)+len(b.Records) > endpointChunk {
			if err := sendControl(n.stream, &wire.ControlMessage{Endpoints: e}); err != nil {
				return err
			}
			e = &wire.Endpoints{Authoritative: authoritative}
		}
		e.Buckets = append(e.Buckets, b.Number)
		e.Records = append(e.Records, b.Records...)
	}
	return sendControl(n.stream, &wire.ControlMessage{Endpoints: e})
}

// sendConfig brings the node from version sent to v. It returns v's version.
func (s *Streams) sendConfig(ctx context.Context, n *nodeStream, v *versions.View, sent uint64) (uint64, error) {
	u, err := s.updates.get(v, sent)
	if err != nil {
		return 0, err
	}
	if u.full {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	for _, m := range u.messages {
		if err := n.stream.MsgSend(m, wire.Encoding{}); err != nil {
			return 0, err
		}
	}
	return v.Version(), nil
}

func sendControl(d drpc.Stream, m *wire.ControlMessage) error { return d.MsgSend(m, wire.Encoding{}) }

// Flush sends the queued endpoint changes to all nodes, encoded once.
func (s *Streams) Flush() []wire.NodeRecord {
	s.mu.Lock()
	l := s.pending
	s.pending = nil
	s.mu.Unlock()
	for rest := l; len(rest) > 0; {
		k := min(len(rest), endpointChunk)
		b, err := wire.Marshal(&wire.ControlMessage{Endpoints: &wire.Endpoints{Records: rest[:k]}})
		if err != nil {
			s.log.Error(err, "encode endpoints")
			return l
		}
		rest = rest[k:]
		s.broadcast(b)
	}
	return l
}

func (s *Streams) broadcast(b wire.Raw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		select {
		case n.batch <- b:
		default:
			s.log.Info("node is too slow for endpoint changes; it will resume", "node", n.name)
			n.cancel()
		}
	}
}

// Expire removes the nodes whose lease ended, but only while this control is in
// contact with a majority: a control that is cut off cannot tell a dead node
// from one that moved to another control.
func (s *Streams) Expire(now time.Time) {
	if !s.source.IsCurrent() {
		return
	}
	s.mu.Lock()
	var gone []wire.NodeRecord
	for k, l := range s.lost {
		if now.Sub(l.since) < NodeLease {
			continue
		}
		delete(s.lost, k)
		l.record.Gone = true
		gone = append(gone, l.record)
	}
	for _, n := range s.nodes {
		if n.snapshot(now).SinceHeard > NodeLease {
			n.cancel()
		}
	}
	s.mu.Unlock()
	for _, r := range s.put(gone) {
		s.log.Info("node removed", "node", r.Node, "reason", "lease ended")
	}
}

// Len returns the number of connected nodes.
func (s *Streams) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

// Reports returns what this control knows of its nodes, connected ones and
// those that were lost recently.
func (s *Streams) Reports(now time.Time) []wire.NodeReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]wire.NodeReport, 0, len(s.nodes)+len(s.lost))
	for _, n := range s.nodes {
		l = append(l, n.snapshot(now))
	}
	for _, n := range s.lost {
		r := n.last
		r.SinceHeard += now.Sub(n.since)
		l = append(l, r)
	}
	return l
}

// Close ends all streams.
func (s *Streams) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		n.cancel()
	}
}

// update is one encoded update, shared by all nodes at the same version.
type update struct {
	full     bool
	messages []wire.Raw
}

type updateKey struct{ from, to uint64 }

// updateCache keeps recent updates, since most nodes need the same ones.
type updateCache struct {
	mu      sync.Mutex
	updates map[updateKey]*update
	order   []updateKey
}

func newUpdateCache() *updateCache { return &updateCache{updates: map[updateKey]*update{}} }

func (c *updateCache) get(v *versions.View, from uint64) (*update, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := updateKey{from, v.Version()}
	if u, ok := c.updates[k]; ok {
		return u, nil
	}
	u, err := encodeUpdate(v, from)
	if err != nil {
		return nil, err
	}
	c.updates[k] = u
	c.order = append(c.order, k)
	if len(c.order) > cachedUpdates {
		delete(c.updates, c.order[0])
		c.order = c.order[1:]
	}
	return u, nil
}

func encodeUpdate(v *versions.View, from uint64) (*update, error) {
	u := wire.ConfigUpdate{From: from, To: v.Version(), Digest: v.Digest()}
	changes, ok := v.ChangeFrom(from)
	if !ok || from == 0 {
		changes, u.From = v.Full(), 0
	}
	u.Changes = changes
	d, err := wire.Marshal(&u)
	if err != nil {
		return nil, err
	}
	packed := len(d) >= compressFrom
	if packed {
		if d, err = compress(d); err != nil {
			return nil, err
		}
	}
	r := &update{full: u.From == 0}
	for len(d) > 0 {
		k := min(len(d), configChunkBytes)
		m, err := wire.Marshal(&wire.ControlMessage{Config: &wire.ConfigChunk{
			To: u.To, Compressed: packed, Data: d[:k], Last: k == len(d),
		}})
		if err != nil {
			return nil, err
		}
		r.messages = append(r.messages, m)
		d = d[k:]
	}
	return r, nil
}

func compress(d []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if _, err := w.Write(d); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	return b.Bytes(), nil
}

package control

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/gooseberrypick/gooseberrypick/internal/rankstats"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// helloTimeout limits the wait for a node's first message.
	helloTimeout = 5 * time.Second
	// maxDeltaBuckets is the number of differing buckets up to which they are sent
	// immediately. More count as a snapshot, which needs a slot.
	maxDeltaBuckets = 8
	// maxReasonBytes limits the reason of a refusal in reports.
	maxReasonBytes = 1 << 10
)

// nodeStream is the stream of one node and the state that the node reported.
type nodeStream struct {
	name    string
	zone    string
	stream  drpc.Stream
	batches chan wire.Raw
	// ack holds the newest acknowledgement that serve has not processed.
	ack chan wire.Ack
	// compare holds the digests of a requested comparison.
	compare chan []uint64
	cancel  context.CancelFunc
	// abort closes the connection even while a send blocks on it: a node that stops
	// reading must not keep its snapshot slot.
	abort func()

	mu        sync.Mutex
	report    wire.NodeReport
	lastHeard time.Time
	// ranks are the newest counts by rank, previousRanks the ones before.
	ranks, previousRanks rankSample
}

// rankSample holds the counts that a node sent. There is none if at is zero.
type rankSample struct {
	at    time.Time
	ranks []wire.RankStats
}

// configCursor tracks which configuration update a node gets next. Updates are sent
// without waiting for the acknowledgement of the previous one. A node that refuses an
// update gets one snapshot; if it refuses that as well, it gets nothing until the next
// version.
type configCursor struct {
	// sent is the newest version that was sent; full says that it was a snapshot.
	sent uint64
	full bool
	// from is the version that the next update starts from, or zero for a snapshot.
	from uint64
	// retry requests an update even if there is no newer version.
	retry bool
}

// due reports whether an update to version must be sent.
func (c configCursor) due(version uint64) bool { return version > c.sent || c.retry && version > 0 }

// advanced returns the cursor after an update to version was sent.
func (c configCursor) advanced(version uint64, full bool) configCursor {
	return configCursor{sent: version, full: full, from: version}
}

// acknowledged returns the cursor after acknowledgement a. It ignores a refusal of any
// update but the last one sent: the node refuses later ones as well, since they start
// from the refused version.
func (c configCursor) acknowledged(a wire.Ack) configCursor {
	if a.Refused == 0 || a.Refused != c.sent {
		return c
	}
	if c.full {
		c.from = a.Version
		return c
	}
	c.from, c.retry = 0, true
	return c
}

// connectionCloser returns a function that closes the connection of d. Closing or
// canceling the stream would wait for a blocked send.
func connectionCloser(d drpc.Stream) func() {
	t, ok := drpcctx.Transport(d.Context())
	return func() {
		if ok {
			go t.Close() // with TLS, Close may wait for the peer
		}
	}
}

func receiveHello(d drpc.Stream) (*wire.Hello, error) {
	defer time.AfterFunc(helloTimeout, connectionCloser(d)).Stop()
	var m wire.NodeMessage
	if err := d.MsgRecv(&m, wire.Encoding{}); err != nil {
		return nil, err
	}
	if m.Hello == nil {
		return nil, errkind.New(errkind.BadRequest, "first message is not a hello")
	}
	if err := checkDigests(m.Hello.Buckets); err != nil {
		return nil, err
	}
	return m.Hello, m.Hello.Record.Check()
}

func checkDigests(l []uint64) error {
	if n := len(l); n != 0 && n != registry.BucketCount {
		return errkind.New(errkind.BadRequest, "%d digests, expected %d", n, registry.BucketCount)
	}
	return nil
}

func (n *nodeStream) send(m any) error { return n.stream.MsgSend(m, wire.Encoding{}) }

// receive handles the messages of the node until the stream ends.
func (s *Streams) receive(ctx context.Context, n *nodeStream) {
	for ctx.Err() == nil {
		var m wire.NodeMessage
		err := n.stream.MsgRecv(&m, wire.Encoding{})
		if err == nil {
			err = s.handleMessage(n, &m)
		}
		if err != nil {
			s.logStreamEnd(n.name, err)
			return
		}
	}
}

// logStreamEnd logs why a stream ended, at the default level if the node violated the
// protocol, otherwise at level 1.
func (s *Streams) logStreamEnd(node string, err error) {
	l := s.log.V(1)
	if wire.IsMalformed(err) || errkind.Of(err) == errkind.BadRequest {
		l = s.log
	}
	l.Info("node stream ended", "node", node, "cause", err.Error())
}

func (s *Streams) handleMessage(n *nodeStream, m *wire.NodeMessage) error {
	switch {
	case m.Report != nil:
		if m.Report.Node != n.name {
			return errkind.New(errkind.BadRequest, "report contains the record of node %q", m.Report.Node)
		}
		if err := m.Report.Check(); err != nil {
			return err
		}
		s.storeOwn(*m.Report)
	case m.Ack != nil:
		s.handleAck(n, m.Ack)
	case m.Ping != nil:
		n.handlePing(m.Ping)
		return n.send(&wire.ControlMessage{Pong: s.pong(n)})
	case m.Compare != nil:
		if err := checkDigests(m.Compare.Buckets); err != nil {
			return err
		}
		select {
		case n.compare <- m.Compare.Buckets:
		default: // the previous comparison is still in progress
		}
	default:
		return errkind.New(errkind.BadRequest, "node sent an empty message")
	}
	return nil
}

func (s *Streams) pong(n *nodeStream) *wire.Pong {
	r, _ := s.registry.Record(n.name)
	p := &wire.Pong{Committed: s.source.Current().Version(), Current: s.source.IsCurrent(), Left: r.Gone}
	if s.authoritative(time.Now()) {
		p.Digest = s.registry.Digest()
	}
	return p
}

func (n *nodeStream) handlePing(p *wire.Ping) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastHeard = time.Now()
	n.report.Version = max(n.report.Version, p.Version)
	if p.Ranks != nil {
		n.previousRanks, n.ranks = n.ranks, rankSample{at: n.lastHeard, ranks: rankstats.Truncate(p.Ranks.Ranks)}
	}
}

func (s *Streams) handleAck(n *nodeStream, a *wire.Ack) {
	n.mu.Lock()
	n.lastHeard = time.Now()
	n.report.Version = max(n.report.Version, a.Version)
	n.report.Refused, n.report.Reason = a.Refused, a.Reason[:min(len(a.Reason), maxReasonBytes)]
	n.mu.Unlock()
	if a.Refused != 0 {
		s.log.Info("node refused a version", "node", n.name, "refused", a.Refused, "version", a.Version, "reason", a.Reason)
	}
	select {
	case <-n.ack:
	default:
	}
	n.ack <- *a
}

func (n *nodeStream) currentReport(now time.Time) wire.NodeReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.report
	r.SinceHeard = now.Sub(n.lastHeard)
	return r
}

// serve sends the welcome, then endpoints and configuration until the stream ends.
func (s *Streams) serve(ctx context.Context, n *nodeStream, h *wire.Hello) error {
	w := &wire.Welcome{
		Lineage: s.source.Lineage(), Control: s.control, Lease: NodeLease, Controls: s.controls(), Departed: h.Record.Departed,
	}
	if err := n.send(&wire.ControlMessage{Welcome: w}); err != nil {
		return err
	}
	if err := s.sendDifferingBuckets(ctx, n, h.Buckets); err != nil {
		return err
	}
	c := configCursor{sent: h.Version, from: h.Version}
	// For a node without a version, admit has confirmed the current one with a majority.
	// A version that appears later may be an old entry that reached this member late, so
	// it must be confirmed before it is sent.
	for confirmed := true; ; confirmed = false {
		v := s.source.Current()
		if c.due(v.Version()) {
			if c.sent == 0 && !confirmed {
				if err := s.confirm(ctx); err != nil {
					return n.send(&wire.ControlMessage{Fault: wire.NewFault(err)})
				}
			}
			to, full, err := s.sendConfig(ctx, n, c.from)
			if err != nil {
				return err
			}
			c = c.advanced(to, full)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-v.Superseded():
		case b := <-n.batches:
			if err := n.send(b); err != nil {
				return err
			}
		case b := <-n.compare:
			if err := s.sendDifferingBuckets(ctx, n, b); err != nil {
				return err
			}
		case a := <-n.ack:
			c = c.acknowledged(a)
		}
	}
}

// acquireSnapshotSlot waits for a free snapshot slot. Meanwhile it sends endpoint
// changes to the node.
func (s *Streams) acquireSnapshotSlot(ctx context.Context, n *nodeStream) (release func(), err error) {
	for {
		select {
		case s.snapshotSlots <- struct{}{}:
			return func() { <-s.snapshotSlots }, nil
		case b := <-n.batches:
			if err := n.send(b); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// sendDifferingBuckets sends the buckets that differ from the node's digests. Each message
// contains whole buckets. It always sends at least one message, which tells the node that
// the comparison is complete.
func (s *Streams) sendDifferingBuckets(ctx context.Context, n *nodeStream, digests []uint64) error {
	differing := s.registry.DifferingBuckets(digests)
	if len(differing) > maxDeltaBuckets {
		release, err := s.acquireSnapshotSlot(ctx, n)
		if err != nil {
			return err
		}
		defer release()
	}
	authoritative := s.authoritative(time.Now())
	e := &wire.Endpoints{Authoritative: authoritative}
	size := 0
	for _, i := range differing {
		k, err := s.buckets.add(i, e)
		if err != nil {
			return err
		}
		if size += k; size >= packedMessageBytes {
			if err := n.send(&wire.ControlMessage{Endpoints: e}); err != nil {
				return err
			}
			e, size = &wire.Endpoints{Authoritative: authoritative}, 0
		}
	}
	e.Complete = true
	return n.send(&wire.ControlMessage{Endpoints: e})
}

// sendConfig sends the update from version from to the newest version. It returns that
// version, and whether it was sent as a snapshot.
func (s *Streams) sendConfig(ctx context.Context, n *nodeStream, from uint64) (to uint64, full bool, err error) {
	v := s.source.Current()
	u, err := s.updates.get(v, s.source.Lineage(), from)
	if err != nil {
		return 0, false, err
	}
	if u.full {
		release, err := s.acquireSnapshotSlot(ctx, n)
		if err != nil {
			return 0, false, err
		}
		defer release()
		// Newer versions may have been committed during the wait for a slot.
		v = s.source.Current()
		if u, err = s.updates.get(v, s.source.Lineage(), from); err != nil {
			return 0, false, err
		}
	}
	for _, m := range u.messages {
		if err := n.send(m); err != nil {
			return 0, false, err
		}
	}
	return v.Version(), u.full, nil
}

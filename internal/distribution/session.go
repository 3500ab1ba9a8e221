package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// session is one stream to one control.
type session struct {
	client        *Client
	address       string
	stream        drpc.Stream
	cancel        context.CancelCauseFunc
	received      chan *wire.ControlMessage
	failed        chan error
	betterControl chan string
	assembly      chunkAssembler
	current       bool
	probe         *probeSchedule
	// silenceTimer ends the session if nothing arrives, even while a send blocks.
	silenceTimer *time.Timer
	// digestMismatches counts successive pongs whose digest differs from this node's;
	// lastCompare is when the node last requested a comparison.
	digestMismatches int
	lastCompare      time.Time
	// behindSince is since when the control has been behind, zero if it is not.
	behindSince time.Time
	// rankStatsSent is when the counts by rank were last sent.
	rankStatsSent time.Time
}

// session runs one stream until it fails.
func (n *Client) session(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &session{
		client: n, address: address, cancel: cancel, current: true,
		received: make(chan *wire.ControlMessage), failed: make(chan error, 1), betterControl: make(chan string),
	}
	w, err := s.handshake(ctx)
	if err != nil {
		return cause(ctx, err)
	}
	defer s.stream.Close()
	if err := n.acceptLineage(w.Lineage); err != nil {
		return err
	}
	n.setKnownControls(w.Controls)
	if n.c.Restore != nil {
		n.c.Restore(w.Departed)
	}
	n.c.Log.Info("connected to control", "control", w.Control, "address", address, "version", n.Table().Version())
	n.control.Store(address)
	go func() {
		for {
			m := new(wire.ControlMessage)
			if err := s.stream.MsgRecv(m, wire.Encoding{}); err != nil {
				s.failed <- err
				return
			}
			select {
			case s.received <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	return cause(ctx, s.loop(ctx))
}

// cause returns why ctx was canceled, or err.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// cancelAfter ends the session after d unless the timer is stopped. Without it, calls
// on the stream of a control that vanished would block.
func (s *session) cancelAfter(d time.Duration) *time.Timer {
	return time.AfterFunc(d, func() {
		s.cancel(errkind.New(errkind.Unreachable, "control was silent for %s", d))
	})
}

// handshake connects to the control, sends a Hello and waits for the Welcome.
func (s *session) handshake(ctx context.Context) (*wire.Welcome, error) {
	defer s.cancelAfter(connectTimeout).Stop()
	n := s.client
	c, err := wire.Dial(ctx, n.c.Dial, s.address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { c.Close() })
	s.stream, err = c.NewStream(ctx, wire.MethodSubscribe, wire.Encoding{})
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	err = s.send(&wire.NodeMessage{Hello: &wire.Hello{
		Record:  n.updateRecord(func(*wire.NodeRecord) {}),
		Lineage: n.lineageInForce(),
		Version: n.Table().Version(),
		Buckets: n.c.Registry.BucketDigests(),
	}})
	if err != nil {
		return nil, err
	}
	var m wire.ControlMessage
	if err := s.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
		return nil, errors.Wrap(err, "await welcome")
	}
	if m.Fault != nil {
		return nil, m.Fault.Err()
	}
	if m.Welcome == nil {
		return nil, errors.New("control sent no welcome")
	}
	return m.Welcome, nil
}

// acceptLineage returns an error if the control belongs to another control system than
// the one that the node's configuration came from, because version numbers of
// different systems are not comparable.
func (n *Client) acceptLineage(lineage string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lineage == "" || n.Table().Version() == 0 {
		n.lineage = lineage
	}
	if n.lineage != lineage {
		return errkind.New(errkind.NotCurrent, "control has lineage %s, this node's version %d is of lineage %s; restart the node if the control system was set up anew",
			lineage, n.Table().Version(), n.lineage)
	}
	return nil
}

func (n *Client) lineageInForce() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lineage
}

func (s *session) send(m *wire.NodeMessage) error {
	return s.stream.MsgSend(m, wire.Encoding{})
}

func (s *session) loop(ctx context.Context) error {
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	s.silenceTimer = s.cancelAfter(silenceTimeout)
	defer s.silenceTimer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err = <-s.failed:
		case m := <-s.received:
			s.silenceTimer.Reset(silenceTimeout)
			err = s.handle(m)
		case <-s.client.recordChanged:
			err = s.sendReport()
		case a := <-s.betterControl:
			s.client.preferred = a
			err = errkind.New(errkind.NotCurrent, "control is out of contact with a majority, %s is not", a)
		case now := <-ping.C:
			err = s.tick(ctx, now)
		}
		if err != nil {
			return err
		}
	}
}

// sendReport sends the node's own record. A node that leaves also sends a ping, to get
// the confirmation at once.
func (s *session) sendReport() error {
	r := s.client.currentRecord()
	err := s.send(&wire.NodeMessage{Report: &r})
	if err == nil && r.Gone {
		err = s.sendPing(time.Now())
	}
	return err
}

func (s *session) handle(m *wire.ControlMessage) error {
	n := s.client
	switch {
	case m.Config != nil:
		return s.handleChunk(m.Config)
	case m.Endpoints != nil:
		return n.applyEndpoints(m.Endpoints)
	case m.Pong != nil:
		return s.handlePong(m.Pong)
	case m.Fault != nil:
		return m.Fault.Err()
	}
	return errkind.New(errkind.BadRequest, "control sent an empty message")
}

func (s *session) handlePong(p *wire.Pong) error {
	n := s.client
	n.ObserveVersion(p.Committed)
	if p.Left && n.currentRecord().Gone {
		n.leaveConfirmedOnce.Do(func() { close(n.leaveConfirmed) })
	}
	s.current = p.Current
	if p.Committed >= max(n.observedVersion.Load(), n.Table().Version()) {
		s.behindSince = time.Time{}
	} else if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
	return s.compare(p.Digest)
}

// compare requests the differing records from the control if the digests have differed
// for several pings. A change that is still being propagated causes a mismatch for a
// shorter time than that.
func (s *session) compare(digest uint64) error {
	if digest == 0 || digest == s.client.c.Registry.Digest() {
		s.digestMismatches = 0
		return nil
	}
	if s.digestMismatches++; s.digestMismatches < minDigestMismatches || time.Since(s.lastCompare) < s.client.jitter(compareInterval) {
		return nil
	}
	s.digestMismatches, s.lastCompare = 0, time.Now()
	return s.send(&wire.NodeMessage{Compare: &wire.Compare{Buckets: s.client.c.Registry.BucketDigests()}})
}

// tick pings the control. It returns an error if the control has been behind for too
// long, and probes other controls while this one has no majority.
func (s *session) tick(ctx context.Context, now time.Time) error {
	n := s.client
	if !s.behindSince.IsZero() && now.Sub(s.behindSince) > behindTimeout {
		return errkind.New(errkind.NotCurrent, "control is behind version %d, which a peer has in force", n.observedVersion.Load())
	}
	if s.current {
		s.probe = nil
	} else {
		s.probeOthers(ctx, now)
	}
	return s.sendPing(now)
}

func (s *session) sendPing(now time.Time) error {
	n := s.client
	p := &wire.Ping{Version: n.Table().Version()}
	// Half a ping interval is subtracted because a tick may come slightly early.
	if n.c.Ranks != nil && now.Sub(s.rankStatsSent) >= RankStatsInterval-PingInterval/2 {
		s.rankStatsSent = now
		p.Ranks = &wire.RankSample{Ranks: n.c.Ranks()}
	}
	return s.send(&wire.NodeMessage{Ping: p})
}

// applyEndpoints stores changed records. It neither stores nor removes a record of this
// node, which only the node itself writes; refute handles a newer one.
func (n *Client) applyEndpoints(e *wire.Endpoints) error {
	kept := make([]wire.NodeRecord, 0, len(e.Records)+1)
	take := func(l []wire.NodeRecord) error {
		if err := wire.CheckRecords(l); err != nil {
			return err
		}
		l = slices.DeleteFunc(l, func(r wire.NodeRecord) bool {
			own := r.Node == n.c.Node
			if own {
				n.refute(r)
			}
			return own
		})
		n.c.Registry.Put(time.Now(), l)
		if e.Authoritative {
			kept = append(kept, l...)
		}
		return nil
	}
	for _, p := range e.Packed {
		var l []wire.NodeRecord
		d, err := decompress(p)
		if err == nil {
			err = wire.UnmarshalLarge(d, &l)
		}
		if err == nil {
			err = take(l)
		}
		if err != nil {
			return err
		}
	}
	if err := take(e.Records); err != nil {
		return err
	}
	if e.Authoritative {
		n.c.Registry.Retain(e.Buckets, append(kept, n.currentRecord()))
	}
	if e.Complete {
		n.synced.Store(true)
	}
	return nil
}

// refute raises the incarnation and sequence of the node's own record above those of r
// if r is newer: r may say that this node is gone, or come from an earlier process
// whose clock was ahead. If r has another address, another process uses this node's
// name: refute then leaves the record as it is and logs an error, unless the last one
// was about the same incarnation.
func (n *Client) refute(r wire.NodeRecord) {
	n.mu.Lock()
	o := n.record
	if o.Gone || !r.Newer(o) {
		n.mu.Unlock()
		return
	}
	if !r.Gone && r.PeerAddress != o.PeerAddress {
		known := n.duplicateIncarnation == r.Incarnation
		n.duplicateIncarnation = r.Incarnation
		n.mu.Unlock()
		if known {
			return
		}
		n.c.Log.Error(nil, "another process uses the name of this node", "node", r.Node, "address", r.PeerAddress)
		return
	}
	n.record.Incarnation, n.record.Sequence = r.Incarnation, r.Sequence
	n.mu.Unlock()
	n.c.Log.Info("superseding a conflicting record of this node", "gone", r.Gone, "incarnation", r.Incarnation)
	n.publish(func(*wire.NodeRecord) {})
}

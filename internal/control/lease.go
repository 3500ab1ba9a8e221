package control

import (
	"maps"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// observeMajority records whether this control is in contact with a majority.
func (e *registrySync) observeMajority(now time.Time, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !current {
		e.majoritySince = time.Time{}
	} else if e.majoritySince.IsZero() {
		e.majoritySince = now
	}
}

// synced reports whether this control may remove nodes. That is the case if it is in
// contact with a majority and has since then compared its registry with every other
// control, so that it knows what changed while it was partitioned. It waits at most
// homeTimeout for controls that do not respond.
func (e *registrySync) synced(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.majoritySince.IsZero() {
		return false
	}
	for _, p := range e.peers {
		if p.lastCompared.Before(e.majoritySince) && now.Sub(e.majoritySince) <= homeTimeout {
			return false
		}
	}
	return true
}

// authoritative reports whether this control knows all nodes: it is synced, and the nodes
// have had time to connect since it started.
func (e *registrySync) authoritative(now time.Time) bool {
	return now.Sub(e.started) > homeTimeout && e.synced(now)
}

// expireNodes removes nodes whose control has not responded for homeTimeout and which
// did not connect to another control.
func (e *registrySync) expireNodes(now time.Time) {
	if !e.authoritative(now) {
		return
	}
	live := map[string]bool{e.control: true}
	e.mu.Lock()
	for k, p := range e.peers {
		last := e.started
		for _, t := range []time.Time{p.lastContact, p.reportedContact} {
			if t.After(last) {
				last = t
			}
		}
		live[k] = now.Sub(last) <= homeTimeout
	}
	e.mu.Unlock()
	gone := e.registry.Select(func(r wire.NodeRecord) bool { return !live[r.Home] })
	for i := range gone {
		gone[i].Gone = true
	}
	for _, r := range e.streams.put(gone) {
		e.log.Info("node removed", "node", r.Node, "reason", "its control "+r.Home+" does not respond and no other control holds its lease")
	}
}

// disconnectedNode is a node whose home is this control but which has no stream to it.
type disconnectedNode struct {
	// expires is when the node is removed unless it reconnects.
	expires    time.Time
	lastHeard  time.Time
	lastReport wire.NodeReport
}

// trackDisconnected adds the nodes of l whose home is this control but which have no
// stream to it, so that they are removed after homeTimeout if they do not connect to any
// control. After a restart, this control gets such records from other controls. The
// caller holds s.mu.
func (s *Streams) trackDisconnected(now time.Time, l []wire.NodeRecord) {
	for _, r := range l {
		if r.Home == s.control && !r.Gone && s.nodes[r.Node] == nil {
			s.disconnected[r.Node] = disconnectedNode{expires: now.Add(homeTimeout), lastHeard: now, lastReport: wire.NodeReport{
				Node: r.Node, AvailabilityZone: r.AvailabilityZone, Control: s.control,
			}}
		}
	}
}

// Expire closes the connections of nodes that it has not heard from during NodeLease, and
// removes the nodes whose lease ended. It removes nodes only while this control is synced:
// a partitioned control cannot distinguish a dead node from one that moved to another
// control.
func (s *Streams) Expire(now time.Time) {
	s.mu.Lock()
	for _, n := range s.nodes {
		if n.currentReport(now).SinceHeard > NodeLease {
			n.abort()
		}
	}
	maps.DeleteFunc(s.rejected, func(_ string, t rejectedNode) bool { return now.Sub(t.since) > NodeLease })
	var ended []string
	if s.synced(now) {
		for k, l := range s.disconnected {
			if !now.Before(l.expires) {
				delete(s.disconnected, k)
				ended = append(ended, k)
			}
		}
	}
	s.mu.Unlock()
	var gone []wire.NodeRecord
	for _, k := range ended {
		if r, ok := s.registry.Record(k); ok && r.Home == s.control && !r.Gone {
			r.Gone = true
			gone = append(gone, r)
		}
	}
	for _, r := range s.put(gone) {
		s.log.Info("node removed", "node", r.Node, "reason", "lease ended")
	}
}

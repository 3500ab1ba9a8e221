package control

import (
	"maps"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// observe notes whether this control is in contact with a majority.
func (e *registrySync) observeMajority(now time.Time, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !current {
		e.majoritySince = time.Time{}
	} else if e.majoritySince.IsZero() {
		e.majoritySince = now
	}
}

// informed reports whether this control may remove nodes: it is in contact with
// a majority and has since then learned from each other control what happened
// while it was cut off, unless that control does not answer.
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

// settled reports whether this control knows all nodes: it is informed, and the
// nodes have had time to connect since it started.
func (e *registrySync) authoritative(now time.Time) bool {
	return now.Sub(e.started) > homeTimeout && e.synced(now)
}

// expire removes nodes whose control has not answered for homeLimit and which
// did not appear at another control.
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
		e.log.Info("node removed", "node", r.Node, "reason", "its control "+r.Home+" is silent and no other control holds its lease")
	}
}

// lostNode is a node of this control without a stream.
type disconnectedNode struct {
	// until is when the node is removed.
	expires    time.Time
	lastHeard  time.Time
	lastReport wire.NodeReport
}

// adopt gives the nodes of l that name this control as their home, but have no
// stream to it, time to appear somewhere. Such records come back from other
// controls after a restart. The caller holds s.mu.
func (s *Streams) trackDisconnected(now time.Time, l []wire.NodeRecord) {
	for _, r := range l {
		if r.Home == s.control && !r.Gone && s.nodes[r.Node] == nil {
			s.disconnected[r.Node] = disconnectedNode{expires: now.Add(homeTimeout), lastHeard: now, lastReport: wire.NodeReport{
				Node: r.Node, AvailabilityZone: r.AvailabilityZone, Control: s.control,
			}}
		}
	}
}

// Expire removes the nodes whose lease ended, but only while this control is
// informed: one that is cut off cannot tell a dead node from one that moved to
// another control.
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

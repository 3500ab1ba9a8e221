package control

import (
	"maps"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// observe notes whether this control is in contact with a majority.
func (e *exchange) observe(now time.Time, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !current {
		e.since = time.Time{}
	} else if e.since.IsZero() {
		e.since = now
	}
}

// informed reports whether this control may remove nodes: it is in contact with
// a majority and has since then learned from each other control what happened
// while it was cut off, unless that control does not answer.
func (e *exchange) informed(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.since.IsZero() {
		return false
	}
	for _, p := range e.peers {
		if p.compared.Before(e.since) && now.Sub(e.since) <= homeLimit {
			return false
		}
	}
	return true
}

// settled reports whether this control knows all nodes: it is informed, and the
// nodes have had time to connect since it started.
func (e *exchange) settled(now time.Time) bool {
	return now.Sub(e.started) > homeLimit && e.informed(now)
}

// expire removes nodes whose control has not answered for homeLimit and which
// did not appear at another control.
func (e *exchange) expire(now time.Time) {
	if !e.settled(now) {
		return
	}
	live := map[string]bool{e.control: true}
	e.mu.Lock()
	for k, p := range e.peers {
		last := e.started
		for _, t := range []time.Time{p.heard, p.told} {
			if t.After(last) {
				last = t
			}
		}
		live[k] = now.Sub(last) <= homeLimit
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
type lostNode struct {
	// until is when the node is removed.
	until time.Time
	heard time.Time
	last  wire.NodeReport
}

// adopt gives the nodes of l that name this control as their home, but have no
// stream to it, time to appear somewhere. Such records come back from other
// controls after a restart. The caller holds s.mu.
func (s *Streams) adopt(now time.Time, l []wire.NodeRecord) {
	for _, r := range l {
		if r.Home == s.control && !r.Gone && s.nodes[r.Node] == nil {
			s.lost[r.Node] = lostNode{until: now.Add(homeLimit), heard: now, last: wire.NodeReport{
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
		if n.snapshot(now).SinceHeard > NodeLease {
			n.abort()
		}
	}
	maps.DeleteFunc(s.turned, func(_ string, t turnedNode) bool { return now.Sub(t.since) > NodeLease })
	var ended []string
	if s.informed(now) {
		for k, l := range s.lost {
			if !now.Before(l.until) {
				delete(s.lost, k)
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

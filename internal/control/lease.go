package control

import (
	"maps"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

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
	maps.DeleteFunc(s.turned, func(_ string, t turnedNode) bool { return now.Sub(t.since) > NodeLease })
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

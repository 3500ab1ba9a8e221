package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Intervals and limits of the search for another control.
const (
	probeTimeout = 2 * time.Second
	// maxParallelProbes is how many controls a node probes in parallel, and
	// parallelProbeTimeout how long it waits for the first that can serve it.
	maxParallelProbes    = 4
	parallelProbeTimeout = 500 * time.Millisecond
	minProbeInterval     = time.Second
	// maxProbeInterval limits the load of 37,000 nodes that all search while no
	// control has a majority: 725 nodes per control make 73 calls/s.
	maxProbeInterval = 10 * time.Second
)

// probeSchedule is the schedule of the search for a control in contact with a
// majority. A control without a majority still serves its side of a partition, so the
// node stays connected to it until it has found a better one.
type probeSchedule struct {
	interval time.Duration
	next     time.Time
}

// probeOthers probes some of the other controls if the schedule says so. It probes
// them in parallel, so that unreachable ones cause no delay.
func (s *session) probeOthers(ctx context.Context, now time.Time) {
	n := s.client
	longest := min(maxProbeInterval, 2*n.c.MaxBackoff)
	if s.probe == nil {
		s.probe = &probeSchedule{interval: min(minProbeInterval, longest), next: now}
	}
	p := s.probe
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(n.jitter(p.interval))
	p.interval = min(2*p.interval, longest)
	l := slices.DeleteFunc(n.shuffledControls(), func(a string) bool { return a == s.address })
	go func() {
		a := n.firstCurrent(ctx, l[:min(len(l), maxParallelProbes)])
		if a == "" {
			return
		}
		select {
		case s.betterControl <- a:
		case <-ctx.Done():
		}
	}()
}

// isBetter reports whether the control at address is in contact with a majority and not
// behind this node. A control of another lineage is not better; a node without a
// configuration accepts any lineage. isBetter also records the control's version.
func (n *Client) isBetter(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := wire.Dial(ctx, n.c.Dial, address)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := wire.Call[wire.Empty, wire.ControlState](ctx, c, wire.MethodControlState, &wire.Empty{})
	if l := n.lineageInForce(); err != nil || a.Lineage == "" || l != "" && a.Lineage != l {
		return false
	}
	n.ObserveVersion(a.Committed)
	return a.Current && a.Committed >= n.Table().Version()
}

// firstCurrent probes the controls in l in parallel. It returns the first for which
// isBetter holds, or an empty string.
func (n *Client) firstCurrent(ctx context.Context, l []string) string {
	ctx, cancel := context.WithTimeout(ctx, parallelProbeTimeout)
	defer cancel()
	found := make(chan string, len(l))
	for _, a := range l {
		go func() {
			if !n.isBetter(ctx, a) {
				a = ""
			}
			found <- a
		}()
	}
	for range l {
		if a := <-found; a != "" {
			return a
		}
	}
	return ""
}

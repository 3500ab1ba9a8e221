package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Times of the search for another control.
const (
	probeTimeout = 2 * time.Second
	// askedAtOnce is how many controls a node without a stream asks together,
	// and askTimeout how long it waits for the first that can serve it.
	askedAtOnce   = 4
	askTimeout    = 500 * time.Millisecond
	minProbePause = time.Second
	// maxProbePause bounds the load of 37,000 nodes that all search while no
	// control has a majority: 725 nodes for each control make 73 calls/s.
	maxProbePause = 10 * time.Second
)

// probe is the search for a control in contact with a majority. A control that
// is cut off still serves its side of a partition, so the node stays with it
// until it has found a better one.
type probe struct {
	pause time.Duration
	next  time.Time
}

// probeOthers asks some of the other controls when it is time to. They are asked
// together, so that those that are away cost no time.
func (s *session) probeOthers(ctx context.Context, now time.Time) {
	n := s.client
	longest := min(maxProbePause, 2*n.c.MaxBackoff)
	if s.probe == nil {
		s.probe = &probe{pause: min(minProbePause, longest), next: now}
	}
	p := s.probe
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(n.jitter(p.pause))
	p.pause = min(2*p.pause, longest)
	l := slices.DeleteFunc(n.shuffled(), func(a string) bool { return a == s.address })
	go func() {
		a := n.firstCurrent(ctx, l[:min(len(l), askedAtOnce)])
		if a == "" {
			return
		}
		select {
		case s.found <- a:
		case <-ctx.Done():
		}
	}()
}

// isBetter reports whether the control at address is in contact with a majority
// and not behind this node. It also notes the control's version.
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

// firstCurrent returns the first of the controls that answers and is in contact
// with a majority, or an empty string.
func (n *Client) firstCurrent(ctx context.Context, l []string) string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

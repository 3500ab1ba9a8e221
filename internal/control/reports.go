package control

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// reportTimeout bounds the question to another control for its nodes.
const reportTimeout = time.Second

// report answers another control.
func (c *Control) report(_ context.Context, _ *wire.Empty) (*wire.NodeReports, error) {
	return &wire.NodeReports{Reports: c.fleet.streams.Reports(time.Now()), Member: c.memberReport()}, nil
}

func (c *Control) memberReport() wire.MemberReport {
	s := c.config.group.Status()
	return wire.MemberReport{
		Name:             c.c.Settings.Name,
		AvailabilityZone: c.c.Settings.AvailabilityZone,
		Role:             string(s.Role),
		Current:          s.Current,
		Version:          c.config.Current().Version(),
	}
}

// collect asks all controls for their nodes. A control that does not answer is
// listed without role.
func (c *Control) collect(ctx context.Context) ([]operator.Node, []operator.Member) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	all := make([]*wire.NodeReports, len(c.c.Settings.Members))
	var g sync.WaitGroup
	for i, m := range c.c.Settings.Members {
		g.Go(func() { all[i] = c.ask(ctx, m) })
	}
	g.Wait()
	var nodes []operator.Node
	var members []operator.Member
	now := time.Now()
	for i, m := range c.c.Settings.Members {
		a := all[i]
		if a == nil {
			members = append(members, operator.Member{Name: m.Name, Role: "Unreachable"})
			continue
		}
		members = append(members, operator.Member{
			Name: m.Name, AvailabilityZone: a.Member.AvailabilityZone, Role: a.Member.Role, Current: a.Member.Current,
		})
		for _, r := range a.Reports {
			nodes = append(nodes, operatorNode(now, r))
		}
	}
	return nodes, members
}

func (c *Control) ask(ctx context.Context, m settings.Member) *wire.NodeReports {
	if m.Name == c.c.Settings.Name {
		a, _ := c.report(ctx, nil)
		return a
	}
	a, err := wire.PoolCall[wire.Empty, wire.NodeReports](ctx, c.pool, m.Address, wire.MethodNodeReports, &wire.Empty{})
	if err != nil {
		c.log.Info("control gave no report", "control", m.Name, "cause", err.Error())
		return nil
	}
	return a
}

func operatorNode(now time.Time, r wire.NodeReport) operator.Node {
	return operator.Node{
		Name:             r.Node,
		AvailabilityZone: r.AvailabilityZone,
		Version:          r.Version,
		Refused:          r.Refused,
		Reason:           r.Reason,
		LastHeard:        now.Add(-r.SinceHeard),
		Control:          r.Control,
	}
}

package control

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/rankstats"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// reportTimeout limits the calls that collect the reports of all controls.
const reportTimeout = time.Second

// handleNodeReports returns the node reports or rank counts of this control.
func (c *Control) handleNodeReports(_ context.Context, q *wire.NodeReportsRequest) (*wire.NodeReports, error) {
	if q.Ranks {
		return &wire.NodeReports{Ranks: c.fleet.streams.Ranks(), Member: c.memberReport()}, nil
	}
	return &wire.NodeReports{Reports: c.fleet.streams.Reports(time.Now()), Member: c.memberReport()}, nil
}

func (c *Control) memberReport() wire.MemberReport {
	s := c.config.group.Status()
	reason := ""
	if err := c.groups.failure(); err != nil {
		reason = err.Error()
	}
	return wire.MemberReport{
		Reason:           reason,
		Name:             c.c.Settings.Name,
		AvailabilityZone: c.c.Settings.AvailabilityZone,
		Role:             string(s.Role),
		Current:          s.Current,
		Version:          c.config.Current().Version(),
	}
}

// queryAll sends q to all controls. It returns the controls and their responses; the
// response of a control that did not answer is nil.
func (c *Control) queryAll(ctx context.Context, q *wire.NodeReportsRequest) ([]settings.Member, []*wire.NodeReports) {
	members := c.directory.list()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	all := make([]*wire.NodeReports, len(members))
	var g sync.WaitGroup
	for i, m := range members {
		g.Go(func() { all[i] = c.query(ctx, m, q) })
	}
	g.Wait()
	return members, all
}

// collectRanks sums the counts by rank of all controls. It also returns the names of the
// controls that did not report theirs.
func (c *Control) collectRanks(ctx context.Context) (*wire.RankTotals, []string) {
	t := rankstats.NewSum()
	var silent []string
	asked, all := c.queryAll(ctx, &wire.NodeReportsRequest{Ranks: true})
	for i, a := range all {
		if a == nil || a.Ranks == nil {
			silent = append(silent, asked[i].Name)
			continue
		}
		t.AddTotals(a.Ranks)
	}
	return t.Totals(), silent
}

// collectReports returns the nodes and member states of all controls. A control that does
// not answer is listed as unreachable.
func (c *Control) collectReports(ctx context.Context) ([]operator.Node, []operator.Member) {
	asked, all := c.queryAll(ctx, &wire.NodeReportsRequest{})
	var nodes []operator.Node
	var members []operator.Member
	now := time.Now()
	for i, m := range asked {
		a := all[i]
		if a == nil {
			members = append(members, operator.Member{Name: m.Name, Role: operator.Unreachable})
			continue
		}
		members = append(members, operator.Member{
			Name: m.Name, AvailabilityZone: a.Member.AvailabilityZone, Role: a.Member.Role, Current: a.Member.Current, Reason: a.Member.Reason,
		})
		for _, r := range a.Reports {
			nodes = append(nodes, operatorNode(now, r))
		}
	}
	return nodes, members
}

func (c *Control) query(ctx context.Context, m settings.Member, q *wire.NodeReportsRequest) *wire.NodeReports {
	if m.Name == c.c.Settings.Name {
		a, _ := c.handleNodeReports(ctx, q) // never fails
		return a
	}
	a, err := wire.PoolCall[wire.NodeReportsRequest, wire.NodeReports](ctx, c.pool, m.Address, wire.MethodNodeReports, q)
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

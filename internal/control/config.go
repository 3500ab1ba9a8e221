package control

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// proposeTimeout limits one proposal. It is longer than an election.
	proposeTimeout = 5 * time.Second
	// forgetAfter is how long a node must be silent before an operator can remove its
	// name. It is longer than the lease: by then no control lists the node any more, so
	// the status after the removal is correct immediately.
	forgetAfter = NodeLease + 2*time.Second
	// leaderRetryInterval is the interval between attempts while no leader is known.
	leaderRetryInterval = 50 * time.Millisecond
	// leaderConnectTimeout limits connecting to the leader. Without it, connecting to a
	// leader behind a partition that drops packets could take longer than the election
	// of a new one.
	leaderConnectTimeout = time.Second
)

// configStore gives the rest of the control access to the config group. It implements
// configSource and nameStore.
type configStore struct {
	*versions.StateMachine
	group *replica.Group
	peers *memberClient
}

// Lineage implements configSource.
func (c *configStore) Lineage() string { return c.group.Status().Lineage }

// IsCurrent implements configSource.
func (c *configStore) IsCurrent() bool { return c.group.Status().Current }

// Leader implements configSource.
func (c *configStore) Leader() string { return c.group.Status().Leader.Name }

// Members implements configSource.
func (c *configStore) Members() []wire.RaftMember { return c.group.Status().Members }

// ReadBarrier implements configSource.
func (c *configStore) ReadBarrier(ctx context.Context) error { return c.group.ReadBarrier(ctx) }

// propose runs a command on the leader, which may be this member or another one.
// Commands contain IDs, so a command that is appended to the log twice takes effect
// once. While it is certain that no leader got the command, propose waits for the next
// leader.
func (c *configStore) propose(ctx context.Context, command []byte) (versions.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		r, err := c.proposeOnce(ctx, command)
		if !isRetryable(err) {
			return r, err
		}
		t := time.NewTimer(leaderRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
		if ctx.Err() != nil {
			return r, errkind.Wrap(err, errkind.NoQuorum, "no leader within %s", proposeTimeout).WithExecution(errkind.NotRun)
		}
	}
}

// isRetryable reports whether err proves that no leader got the command and another
// attempt may reach one.
func isRetryable(err error) bool {
	switch errkind.Of(err) {
	case errkind.NotLeader, errkind.NotReady, errkind.ConnectFailed,
		errkind.DeadlineExceeded: // proposeTimeout passed before the command was sent
		return errkind.From(err).Execution == errkind.NotRun
	}
	return false
}

func (c *configStore) proposeOnce(ctx context.Context, command []byte) (versions.Result, error) {
	v, err := c.group.Propose(ctx, command)
	if err == nil {
		return v.(versions.Result), nil
	}
	s := c.group.Status()
	if errkind.Of(err) != errkind.NotLeader || s.Leader.Name == "" {
		return versions.Result{}, err
	}
	a, err := c.forward(ctx, s.Leader.Name, &wire.ProposeRequest{Group: configGroup, Command: command})
	if err != nil {
		return versions.Result{}, unknownUnlessNotRun(err)
	}
	var r versions.Result
	return r, wire.Unmarshal(a.Result, &r)
}

// forward sends a command to the named member.
func (c *configStore) forward(ctx context.Context, leader string, q *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	a, ok := c.peers.directory.address(leader)
	if !ok {
		return nil, errkind.New(errkind.NotLeader, "address of member %q is unknown", leader)
	}
	connecting, cancel := context.WithTimeout(ctx, leaderConnectTimeout)
	defer cancel()
	k, err := c.peers.pool.Get(connecting, a)
	if err != nil {
		return nil, err
	}
	r, err := wire.Call[wire.ProposeRequest, wire.ProposeResponse](ctx, k, wire.MethodPropose, q)
	c.peers.pool.Put(a, k, errkind.Of(err) != errkind.Unreachable && ctx.Err() == nil)
	return r, err
}

// unknownUnlessNotRun converts a transport error to kind OutcomeUnknown, since the leader
// may have appended the command. Errors that prove that it did not are returned as is.
func unknownUnlessNotRun(err error) error {
	e := errkind.From(err)
	if e.Execution == errkind.NotRun {
		return err
	}
	return errkind.Wrap(err, errkind.OutcomeUnknown, "the leader did not answer")
}

// handlePropose proposes a command that another member forwarded.
func (c *configStore) handlePropose(ctx context.Context, q *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	if q.Group != configGroup {
		return nil, errkind.New(errkind.NotFound, "group %q does not accept forwarded commands", q.Group)
	}
	// A command that this member cannot decode would stop it once it is in the log.
	if err := versions.Check(q.Command); errkind.Of(err) == errkind.Outdated {
		return nil, errkind.Wrap(err, errkind.Outdated, "the leader runs an older release; upgrade all controls first")
	}
	v, err := c.group.Propose(ctx, q.Command)
	if err != nil {
		return nil, err
	}
	b, err := wire.Marshal(v)
	return &wire.ProposeResponse{Result: b}, err
}

// backend handles the requests of operators. It implements operator.Backend and
// WholeConfigStore.
type backend struct {
	config *configStore
	// reports collects the node reports and member states of all controls.
	reports func(ctx context.Context) ([]operator.Node, []operator.Member)
	// ranks sums the counts by rank of all controls. It also returns the names of the
	// controls that did not report theirs.
	ranks func(ctx context.Context) (*wire.RankTotals, []string)
	name  string
	clock func() time.Time
	log   logr.Logger
}

// Plan implements operator.Backend.
func (b *backend) Plan(ctx context.Context, r operator.PlanRequest) (operator.Plan, error) {
	if err := b.barrier(ctx); err != nil {
		return operator.Plan{}, err
	}
	return operator.NewPlan(b.config.Current(), r)
}

// Accept implements operator.Backend.
func (b *backend) Accept(ctx context.Context, author string, r operator.AcceptRequest) (operator.Accepted, error) {
	c, err := operator.Compile(author, r, b.clock())
	if err != nil {
		return operator.Accepted{}, err
	}
	d, err := c.Encode()
	if err != nil {
		return operator.Accepted{}, err
	}
	x, err := b.config.propose(ctx, d)
	if err != nil {
		return operator.Accepted{}, err
	}
	v, err := x.Outcome()
	if err != nil {
		return operator.Accepted{}, err
	}
	return operator.Accepted{Version: v, Customer: c.Customer, Base: r.Base, RequestID: r.RequestID, Repeated: x.Repeated}, nil
}

// Forget implements operator.Backend. If a node connects meanwhile, its control stores
// the name again.
func (b *backend) Forget(ctx context.Context, r operator.ForgetRequest) (operator.Forgotten, error) {
	if err := b.barrier(ctx); err != nil {
		return operator.Forgotten{}, err
	}
	n, m := b.reports(ctx)
	f, err := operator.NewForgotten(r, b.config.Nodes(), n, m, b.clock().Add(-forgetAfter))
	if err != nil || len(f.Removed) == 0 {
		return f, err
	}
	c, err := versions.ForgetNodes{Names: f.Removed}.Encode()
	if err != nil {
		return operator.Forgotten{}, err
	}
	x, err := b.config.propose(ctx, c)
	if err != nil {
		return operator.Forgotten{}, err
	}
	_, err = x.Outcome()
	return f, err
}

// Status implements operator.Backend. It also works without a majority; Current is then
// false.
func (b *backend) Status(ctx context.Context) (operator.Status, error) {
	current := b.barrier(ctx) == nil
	v := b.config.Current().Version()
	n, m := b.reports(ctx)
	return operator.Status{
		Control: b.name,
		Current: current,
		Version: v,
		Members: m,
		Nodes:   operator.NewNodes(b.config.Nodes(), n, v),
	}, nil
}

// Report implements operator.Backend. It also works without a majority; Current is then
// false.
func (b *backend) Report(ctx context.Context, r operator.ReportRequest) (operator.Report, error) {
	current := b.barrier(ctx) == nil
	t, silent := b.ranks(ctx)
	a, err := operator.NewReport(r, b.config.Current(), t)
	a.Control, a.Current, a.Silent, a.Known = b.name, current, silent, len(b.config.Nodes())
	return a, err
}

// History implements operator.Backend.
func (b *backend) History(ctx context.Context, r operator.HistoryRequest) (operator.History, error) {
	if err := b.barrier(ctx); err != nil {
		return operator.History{}, err
	}
	return operator.NewHistory(b.config.Current(), r), nil
}

// Version implements operator.Backend.
func (b *backend) Version(ctx context.Context, r operator.VersionRequest) (operator.Version, error) {
	if err := b.barrier(ctx); err != nil {
		return operator.Version{}, err
	}
	return operator.NewVersion(b.config.Current(), r)
}

// barrier waits until reads reflect every accept that was confirmed before the call.
func (b *backend) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := b.config.ReadBarrier(ctx); err != nil {
		return errkind.Wrap(err, errkind.NotCurrent, "control %s cannot confirm its state with a majority", b.name)
	}
	return nil
}

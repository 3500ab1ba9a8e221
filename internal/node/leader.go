package node

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// findLeaderTimeout bounds the wait for one control that is asked for the leader, so that
// one that is cut off does not delay the call.
const findLeaderTimeout = 300 * time.Millisecond

// leaderClient calls the leader of the config group of the controls.
type leaderClient struct {
	pool *wire.Pool
	// controls returns the addresses of all controls, the preferred one first.
	controls func() []string

	mu     sync.Mutex
	leader string // address, empty if unknown
}

// callLeader invokes a unary method at the leader. If another control leads by now, the
// call is repeated there once, since it did not run. After a transport error it is
// unknown whether the call ran.
func callLeader[Q, A any](ctx context.Context, c *leaderClient, method string, q *Q) (*A, error) {
	for tried := false; ; tried = true {
		l, err := c.find(ctx)
		if err != nil {
			return nil, err
		}
		a, err := wire.PoolCall[Q, A](ctx, c.pool, l, method, q)
		if err == nil {
			return a, nil
		}
		switch errkind.Of(err) {
		case errkind.NotLeader, errkind.NotCurrent, errkind.NotReady, errkind.Unreachable, errkind.ConnectFailed, errkind.DeadlineExceeded:
			c.forget(l)
		}
		if tried || errkind.Of(err) != errkind.NotLeader {
			return nil, err
		}
	}
}

// find returns the address of the leader.
func (c *leaderClient) find(ctx context.Context) (string, error) {
	c.mu.Lock()
	l := c.leader
	c.mu.Unlock()
	if l != "" {
		return l, nil
	}
	for _, a := range c.controls() {
		l, err := c.ask(ctx, a)
		if err == nil && l != "" {
			c.mu.Lock()
			c.leader = l
			c.mu.Unlock()
			return l, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", errkind.New(errkind.NotLeader, "no control knows the leader of the controls").WithExecution(errkind.NotRun)
}

// ask asks one control for the leader. One that is out of contact with a majority may
// name a leader that was replaced.
func (c *leaderClient) ask(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, findLeaderTimeout)
	defer cancel()
	s, err := wire.PoolCall[wire.Empty, wire.ControlState](ctx, c.pool, address, wire.MethodControlState, &wire.Empty{})
	if err != nil {
		return "", err
	}
	if !s.Current {
		return "", errkind.New(errkind.NotCurrent, "control %s is out of contact with a majority", address)
	}
	return s.Leader, nil
}

// forget drops the address of the leader if it is still l.
func (c *leaderClient) forget(l string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == l {
		c.leader = ""
	}
}

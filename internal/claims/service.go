package claims

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// DefaultTimeLimit is the default timeout of one call of a Service. It is longer
// than an election, so that a call survives a quick change of leader.
const DefaultTimeLimit = 2 * time.Second

// Group is the local replica of one claim group.
type Group interface {
	// Propose appends command to the log and returns what StateMachine.Apply
	// returned for it. Its errors have a kind; execution not-run means that the
	// command will never be applied.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadBarrier returns once the local state includes everything that was
	// committed when it was called.
	ReadBarrier(ctx context.Context) error
}

// ServiceConfig is the configuration of a Service.
type ServiceConfig struct {
	// Groups are the local replicas of the claim groups. A hash of customer and
	// key selects one, so their number must not change while records exist.
	Groups []Group
	// Leader returns the name of a group's leader as known to the local replica,
	// or an empty string.
	Leader func(group int) string
	// Limits apply to each group.
	Limits Limits
	// TimeLimit is the timeout of one call; zero means DefaultTimeLimit.
	TimeLimit time.Duration
}

// Service handles the claim requests of nodes. It does not forward requests: if
// the local replica is not the leader, it returns a *NotLeaderError.
type Service struct {
	config   ServiceConfig
	batchers []*batcher
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// NotLeaderError reports that another member leads the claim group of a request.
// Its kind is errkind.NotLeader; the request had no effect.
type NotLeaderError struct {
	// Group is the index of the claim group.
	Group int
	// Leader is the name of the leader, empty if it is not known.
	Leader string
	fault  *errkind.Error
}

// Error returns the message, which includes the leader's name.
func (e *NotLeaderError) Error() string { return e.fault.Error() }

// Unwrap returns the error with kind errkind.NotLeader.
func (e *NotLeaderError) Unwrap() error { return e.fault }

// NewService starts a Service, which must be stopped with Close.
func NewService(c ServiceConfig) *Service {
	if c.TimeLimit <= 0 {
		c.TimeLimit = DefaultTimeLimit
	}
	if c.Leader == nil {
		c.Leader = func(int) string { return "" }
	}
	c.Limits = c.Limits.WithDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{config: c, stop: cancel}
	for _, g := range c.Groups {
		b := newBatcher(g, c.Limits, c.TimeLimit)
		s.batchers = append(s.batchers, b)
		s.running.Go(func() { b.run(ctx) })
	}
	return s
}

// Close refuses calls that were not proposed yet, ends proposed calls with an
// unknown outcome, and waits for the goroutines.
func (s *Service) Close() error {
	s.stop()
	s.running.Wait()
	return nil
}

// Group returns the index of the group that holds the key of a customer.
func (s *Service) Group(customer, key string) int {
	return hashKey(customer, key).group(len(s.batchers))
}

// Claim requests the right to execute a request once.
func (s *Service) Claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	r, err := s.do(ctx, q.Customer, q.Key, Command{Claim: q})
	if err != nil {
		return nil, err
	}
	return &r.Claim, nil
}

// Complete records the outcome of a claim. Repeating it has no effect. It returns
// an error of kind Conflict if the claim was released, has expired or has another
// claim ID.
func (s *Service) Complete(ctx context.Context, q *wire.CompleteRequest) (*wire.Empty, error) {
	bounded := *q
	bounded.Outcome = q.Outcome.Bounded()
	if _, err := s.do(ctx, q.Customer, q.Key, Command{Complete: &bounded}); err != nil {
		return nil, err
	}
	return &wire.Empty{}, nil
}

// Release gives up a claim. It has no effect if the claim has an outcome. It does
// not affect a key that another claim holds, but prevents a delayed claim with the
// same ID from being granted.
func (s *Service) Release(ctx context.Context, q *wire.ReleaseRequest) (*wire.Empty, error) {
	if _, err := s.do(ctx, q.Customer, q.Key, Command{Release: q}); err != nil {
		return nil, err
	}
	return &wire.Empty{}, nil
}

func (s *Service) do(ctx context.Context, customer, key string, c Command) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, errkind.Wrap(err, errkind.BadRequest, "claim request")
	}
	b, err := c.Encode()
	if err != nil {
		return Result{}, errkind.Wrap(err, errkind.BadRequest, "claim request")
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.TimeLimit)
	defer cancel()
	g := s.Group(customer, key)
	r, err := s.batchers[g].do(ctx, b)
	if errkind.Of(err) == errkind.NotLeader {
		err = s.notLeader(g, err)
	}
	return r, err
}

func (s *Service) notLeader(group int, cause error) error {
	e := &NotLeaderError{Group: group, Leader: s.config.Leader(group)}
	name := e.Leader
	if name == "" {
		name = "not known"
	}
	e.fault = errkind.Wrap(cause, errkind.NotLeader, "leader of claim group %d is %s", group, name).
		WithExecution(errkind.From(cause).Execution)
	return e
}

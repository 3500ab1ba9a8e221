package claims

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// DefaultTimeLimit bounds one call of a Service. It exceeds an election, so
// that a proposal is not given up for a short change of leaders.
const DefaultTimeLimit = 2 * time.Second

// Group is the local replica of one claim group.
type Group interface {
	// Propose returns what the Machine returned for command. Its errors have
	// a kind; execution not-run says that command will never be applied.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadBarrier returns once the local state holds all that was committed
	// at the call.
	ReadBarrier(ctx context.Context) error
}

// ServiceConfig holds the parts of a Service.
type ServiceConfig struct {
	// Groups are the local replicas. A hash of customer and key selects one,
	// so their number must stay the same for the lifetime of the records.
	Groups []Group
	// Leader returns the name of the leader of a group as far as the local
	// replica knows it, or an empty string.
	Leader func(group int) string
	// Limits count for each group.
	Limits Limits
	// TimeLimit bounds one call; zero means DefaultTimeLimit.
	TimeLimit time.Duration
}

// Service answers the claims of nodes. It forwards nothing: where the local
// replica is not the leader, it returns a *NotLeaderError.
type Service struct {
	config   ServiceConfig
	batchers []*batcher
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// NotLeaderError says which member leads the group of a request. Its kind is
// errkind.NotLeader, and nothing happened.
type NotLeaderError struct {
	// Group is the index of the claim group.
	Group int
	// Leader is empty while no leader is known.
	Leader string
	fault  *errkind.Error
}

// Error returns the reason with the leader's name.
func (e *NotLeaderError) Error() string { return e.fault.Error() }

// Unwrap returns the error with kind errkind.NotLeader.
func (e *NotLeaderError) Unwrap() error { return e.fault }

// NewService starts a Service. Close stops it.
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

// Close refuses the calls that were not proposed, ends those that were with an
// unknown result, and waits for the goroutines.
func (s *Service) Close() error {
	s.stop()
	s.running.Wait()
	return nil
}

// Group returns the index of the group that holds the key of a customer.
func (s *Service) Group(customer, key string) int {
	return hashKey(customer, key).group(len(s.batchers))
}

// Claim asks for the right to run a request once.
func (s *Service) Claim(ctx context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	r, err := s.do(ctx, q.Customer, q.Key, Command{Claim: q})
	if err != nil {
		return nil, err
	}
	return &r.Claim, nil
}

// Complete records the outcome of a claim. A repeat changes nothing; a claim
// that was released, has expired or belongs to another ID is a Conflict.
func (s *Service) Complete(ctx context.Context, q *wire.CompleteRequest) (*wire.Empty, error) {
	bounded := *q
	bounded.Outcome = q.Outcome.Bounded()
	if _, err := s.do(ctx, q.Customer, q.Key, Command{Complete: &bounded}); err != nil {
		return nil, err
	}
	return &wire.Empty{}, nil
}

// Release withdraws a claim. It changes nothing where the claim is not held.
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

package control

import (
	"context"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// startRolloutTimeout bounds the start of a rollout, so that an operator who gets no
// confirmation here has time to try another control within 4 s.
const startRolloutTimeout = 3 * time.Second

// RolloutOrder asks to move a service to the upstreams of another software version.
type RolloutOrder struct {
	Service string
	// Version is the new software version.
	Version string
	// Within is the time in which the rollout ends.
	Within time.Duration
}

// StartRollout implements RolloutStore.
func (b *backend) StartRollout(ctx context.Context, o RolloutOrder) error {
	ctx, cancel := context.WithTimeout(ctx, startRolloutTimeout)
	defer cancel()
	c, err := versions.StartRollout{Service: o.Service, Version: o.Version, Within: o.Within, Time: b.clock()}.Encode()
	if err != nil {
		return err
	}
	r, err := b.config.propose(ctx, c)
	if err == nil {
		_, err = r.Outcome()
	}
	b.log.Info("rollout ordered", "service", o.Service, "softwareVersion", o.Version, "within", o.Within.String(),
		"accepted", err == nil, "repeated", r.Repeated, "version", r.Version, "reason", errorText(err))
	return err
}

// Rollout implements RolloutStore. It returns only a state that a majority has confirmed.
func (b *backend) Rollout(ctx context.Context, service string) (customer.Rollout, error) {
	if err := b.barrier(ctx); err != nil {
		return customer.Rollout{}, err
	}
	r, ok := b.config.Current().Rollout(service)
	if !ok {
		return customer.Rollout{}, errkind.New(errkind.NotFound, "service %q has no rollout", service)
	}
	return r, nil
}

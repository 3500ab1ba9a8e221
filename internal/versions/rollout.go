package versions

import (
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// RolloutCustomer is the name under which the rollouts of all services are stored. No
// customer file can have this name. Rollouts are therefore not replaced by an accept, and
// their changes do not affect the base of any customer.
const RolloutCustomer = "@rollouts"

const (
	// maxRollouts bounds the services with a rollout, to about four times the target
	// number of services.
	maxRollouts = 10_000
	// maxRejected bounds the rejected versions that are kept for a service.
	maxRejected = 16
	// repeatWindow is how long after its end a rollout acknowledges its own order again.
	// An operator that has lost the answer resends within seconds; the same order much
	// later means another attempt with the same version.
	repeatWindow = 2 * time.Minute
)

// StartRollout starts the rollout of a service to the upstreams of Version. A repeated
// order changes nothing, and neither does one for the version that is in use.
type StartRollout struct {
	Service string        `cbor:"1,keyasint"`
	Version string        `cbor:"2,keyasint"`
	Within  time.Duration `cbor:"3,keyasint"`
	Time    time.Time     `cbor:"4,keyasint"`
}

// AdvanceRollout changes a running rollout. It is refused with Conflict unless the
// rollout has the given Order and Step, so that a former leader cannot undo a decision.
type AdvanceRollout struct {
	Service  string                `cbor:"1,keyasint"`
	Order    uint64                `cbor:"2,keyasint"`
	Step     uint64                `cbor:"3,keyasint"`
	State    customer.RolloutState `cbor:"4,keyasint"`
	Share    int                   `cbor:"5,keyasint"`
	Canaries int                   `cbor:"6,keyasint,omitempty"`
	Time     time.Time             `cbor:"7,keyasint"`
}

// Encode returns the encoded command to propose.
func (s StartRollout) Encode() ([]byte, error) { return encode(typeStartRollout, s) }

// Encode returns the encoded command to propose.
func (a AdvanceRollout) Encode() ([]byte, error) { return encode(typeAdvanceRollout, a) }

// Rollout returns the newest rollout of the named service.
func (v *View) Rollout(service string) (customer.Rollout, bool) {
	c, ok := v.configs[RolloutCustomer]
	if !ok {
		return customer.Rollout{}, false
	}
	return c.Rollout(service)
}

// Rollouts returns the newest rollout of each service that had one.
func (v *View) Rollouts() []customer.Rollout {
	c, ok := v.configs[RolloutCustomer]
	if !ok {
		return nil
	}
	return c.Rollouts()
}

func (v *View) hasService(name string) bool {
	for _, c := range v.configs {
		if _, ok := c.Service(name); ok {
			return true
		}
	}
	return false
}

// check returns an error if no state can accept s.
func (s StartRollout) check() error {
	switch {
	case s.Service == "" || len(s.Service) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "service name of %d bytes; expected 1 to %d", len(s.Service), MaxNameBytes)
	case s.Version == "" || len(s.Version) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "version of %d bytes; expected 1 to %d", len(s.Version), MaxNameBytes)
	case s.Within <= 0:
		return errkind.New(errkind.BadRequest, "time %s; expected more than 0", s.Within)
	}
	return nil
}

// startRollout applies s.
func (m *StateMachine) startRollout(s StartRollout) Result {
	if err := s.check(); err != nil {
		return refusedWith(err)
	}
	v := m.current.Load()
	if !v.hasService(s.Service) {
		return refused(errkind.BadRequest, "unknown service %q", s.Service)
	}
	o, known := v.Rollout(s.Service)
	if known {
		same := o.Version == s.Version && o.Within == s.Within
		switch {
		case o.Version == s.Version && o.State == customer.RolloutComplete, same && (o.Running() || s.Time.Sub(time.UnixMilli(o.EndedMillis)) < repeatWindow):
			return Result{Version: o.Order, Repeated: true}
		case o.Running():
			return refused(errkind.Conflict, "a rollout of service %q to version %q is running", s.Service, o.Version)
		}
	} else if len(v.Rollouts()) >= maxRollouts {
		return refused(errkind.TooLarge, "%d services have a rollout", maxRollouts)
	}
	n := v.withRollout(nextRollout(o, s, v.version+1), s.Time)
	m.current.Store(n)
	close(v.superseded)
	return Result{Version: n.version}
}

// nextRollout returns the rollout that s starts after o, which may be empty.
func nextRollout(o customer.Rollout, s StartRollout, order uint64) customer.Rollout {
	r := customer.Rollout{
		Service: s.Service, Version: s.Version, Within: s.Within, StartedMillis: s.Time.UnixMilli(),
		Order: order, State: customer.RolloutRunning, Base: o.Base, Rejected: o.Rejected,
	}
	switch o.State {
	case customer.RolloutComplete:
		r.Base = o.Version
	case customer.RolloutRolledBack:
		r.Rejected = append(slices.Clone(o.Rejected), o.Version)
	}
	r.Rejected = slices.DeleteFunc(slices.Clone(r.Rejected), func(x string) bool { return x == s.Version })
	r.Rejected = r.Rejected[max(0, len(r.Rejected)-maxRejected):]
	if len(r.Rejected) == 0 {
		r.Rejected = nil // encodes like the absence of the list
	}
	return r
}

// advanceRollout applies a.
func (m *StateMachine) advanceRollout(a AdvanceRollout) Result {
	v := m.current.Load()
	r, ok := v.Rollout(a.Service)
	if !ok || r.Order != a.Order || r.Step != a.Step || !r.Running() {
		return refused(errkind.Conflict, "the rollout of service %q is not running at order %d, step %d", a.Service, a.Order, a.Step)
	}
	switch a.State {
	case customer.RolloutRunning:
	case customer.RolloutComplete, customer.RolloutRolledBack:
		r.EndedMillis = a.Time.UnixMilli()
	default:
		return refused(errkind.BadRequest, "rollout state %q", a.State)
	}
	if a.Share < 0 || a.Share > customer.FullShare || a.Canaries < 0 {
		return refused(errkind.BadRequest, "share %d, %d canaries", a.Share, a.Canaries)
	}
	r.State, r.Share, r.Canaries, r.Step = a.State, a.Share, a.Canaries, r.Step+1
	n := v.withRollout(r, a.Time)
	m.current.Store(n)
	close(v.superseded)
	return Result{Version: n.version}
}

// withRollout returns the view in which r is added or replaced.
func (v *View) withRollout(r customer.Rollout, t time.Time) *View {
	c, ok := v.configs[RolloutCustomer]
	if !ok {
		c = customer.NewConfig(RolloutCustomer)
	}
	return v.withAccept(Accept{Customer: RolloutCustomer, Time: t, FileName: r.Service}, c.WithRollout(r))
}

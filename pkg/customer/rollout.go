package customer

import (
	"slices"
	"time"
)

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout.
const (
	// RolloutRunning sends a share of the requests to the new version.
	RolloutRunning RolloutState = "Running"
	// RolloutComplete sends all requests to the new version.
	RolloutComplete RolloutState = "Complete"
	// RolloutRolledBack sends no request to the new version.
	RolloutRolledBack RolloutState = "RolledBack"
)

// FullShare is the Share of a rollout that sends all requests to the new version.
const FullShare = 1000

// Rollout moves the requests of a service to upstreams of another software version.
type Rollout struct {
	Service string `cbor:"1,keyasint"`
	// Version is the new software version.
	Version string `cbor:"2,keyasint"`
	// Within is the time in which the rollout ends, from Started on.
	Within time.Duration `cbor:"3,keyasint"`
	// StartedMillis and EndedMillis are the times of the start and the end, in
	// milliseconds since 1970 on the clocks of the controls that proposed them.
	StartedMillis int64 `cbor:"4,keyasint"`
	EndedMillis   int64 `cbor:"5,keyasint,omitempty"`
	// Order is the number of the configuration version that started the rollout. It
	// distinguishes successive rollouts of a service.
	Order uint64 `cbor:"6,keyasint"`
	// Step counts the changes of this rollout.
	Step  uint64       `cbor:"7,keyasint"`
	State RolloutState `cbor:"8,keyasint"`
	// Share is the share of requests, in thousandths, for the new version.
	Share int `cbor:"9,keyasint"`
	// Canaries is the number of new upstreams that the share is sent to at a time; zero
	// means all of them.
	Canaries int `cbor:"10,keyasint,omitempty"`
	// Base is the version that the previous rollout completed; empty if there was none.
	// Then every version that no rollout has rejected belongs to the old group.
	Base string `cbor:"11,keyasint,omitempty"`
	// Rejected lists the versions that were rolled back before. They receive no requests.
	Rejected []string `cbor:"12,keyasint,omitempty"`
}

// Running reports whether r is in state RolloutRunning.
func (r Rollout) Running() bool { return r.State == RolloutRunning }

// Full reports whether all requests go to the new version.
func (r Rollout) Full() bool {
	return r.State == RolloutComplete || r.Running() && r.Share >= FullShare
}

// IsOld reports whether upstreams of the given version belong to the old group.
func (r Rollout) IsOld(version string) bool {
	return version != r.Version && (r.Base == "" || version == r.Base) && !slices.Contains(r.Rejected, version)
}

// Rollout returns the rollout of the named service.
func (c *Config) Rollout(service string) (Rollout, bool) { r, ok := c.rollouts[service]; return r, ok }

// Rollouts returns all rollouts in the order of their services.
func (c *Config) Rollouts() []Rollout { return sorted(c.rollouts) }

// WithRollout returns a copy of c in which r is added or replaced.
func (c *Config) WithRollout(r Rollout) *Config {
	n := c.clone()
	n.rollouts[r.Service] = r
	return n
}

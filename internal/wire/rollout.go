package wire

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// MethodReportRollouts reports the counts of running rollouts from a node to the leader of
// the config group.
const MethodReportRollouts = "/node/ReportRollouts"

const (
	// RolloutTimeBuckets is the number of buckets of the times to the response head.
	RolloutTimeBuckets = 16
	// firstRolloutTime is the upper bound of the first bucket. With the factor between
	// buckets, the last bucket begins at 2.9 s, above the deadlines of interactive requests.
	firstRolloutTime = 4 * time.Millisecond
	// RolloutTimeFactor is the ratio of the upper bounds of successive buckets. It is below
	// the smallest slowdown that a rollout has to detect, a factor of 3.
	RolloutTimeFactor = 1.6
	// Bounds of a report. A service of 18 upstreams with 5 routes takes 90 counts.
	maxRolloutServices = 64
	maxRolloutCounts   = 4096
)

// RolloutTimeBucket returns the number of the bucket of d.
func RolloutTimeBucket(d time.Duration) int {
	b := float64(firstRolloutTime)
	for i := range RolloutTimeBuckets - 1 {
		if float64(d) < b {
			return i
		}
		b *= RolloutTimeFactor
	}
	return RolloutTimeBuckets - 1
}

// RolloutTimeBound returns the upper bound of a bucket. That of the last one is nominal.
func RolloutTimeBound(bucket int) time.Duration {
	b := float64(firstRolloutTime)
	for range bucket {
		b *= RolloutTimeFactor
	}
	return time.Duration(b)
}

// RolloutReport holds what a node knows of the rollouts that are running in its table. All
// counts are cumulative since the rollout came into force at this incarnation of the node,
// so that lost and repeated reports do no harm.
type RolloutReport struct {
	Node        string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
	Version     uint64           `cbor:"4,keyasint"`
	Services    []RolloutService `cbor:"5,keyasint,omitempty"`
}

// RolloutService is the part of a report about one service.
type RolloutService struct {
	Service string `cbor:"1,keyasint"`
	// Order and Step identify the state of the rollout that is in force at the node.
	Order uint64 `cbor:"2,keyasint"`
	Step  uint64 `cbor:"3,keyasint"`
	// OldInFlight is the number of the node's requests in flight at upstreams that are not
	// of the new version.
	OldInFlight int `cbor:"4,keyasint,omitempty"`
	// Routes names the routes to which the counts refer by position.
	Routes    []string          `cbor:"5,keyasint,omitempty"`
	Upstreams []RolloutUpstream `cbor:"6,keyasint,omitempty"`
}

// RolloutUpstream holds the counts of one upstream by route.
type RolloutUpstream struct {
	Name    string          `cbor:"1,keyasint"`
	Version string          `cbor:"2,keyasint"`
	Counts  []RolloutCounts `cbor:"3,keyasint"`
}

// RolloutCounts holds the counts of one upstream on one route.
type RolloutCounts struct {
	// Route is the position of the route in RolloutService.Routes.
	Route int `cbor:"1,keyasint"`
	// Requests counts the requests that may have run at the upstream and have ended.
	Requests uint64 `cbor:"2,keyasint"`
	// Failures counts those of Requests that failed because of the upstream.
	Failures uint64 `cbor:"3,keyasint,omitempty"`
	// Times counts answers of upstreams that had warmed up, by RolloutTimeBucket.
	Times []uint64 `cbor:"4,keyasint,omitempty"`
}

// Check returns an error if r lacks a name or exceeds a bound.
func (r RolloutReport) Check() error {
	if r.Node == "" || len(r.Node) > MaxNameBytes || len(r.Services) > maxRolloutServices {
		return errkind.New(errkind.BadRequest, "rollout report with a node name of %d bytes and %d services", len(r.Node), len(r.Services))
	}
	n := 0
	for _, s := range r.Services {
		for _, u := range s.Upstreams {
			n += len(u.Counts)
			for _, c := range u.Counts {
				if c.Route < 0 || c.Route >= len(s.Routes) || len(c.Times) > RolloutTimeBuckets {
					return errkind.New(errkind.BadRequest, "rollout report of node %s with a count of route %d of %d and %d times", r.Node, c.Route, len(s.Routes), len(c.Times))
				}
			}
		}
	}
	if n > maxRolloutCounts {
		return errkind.New(errkind.BadRequest, "rollout report of node %s with %d counts, at most %d are allowed", r.Node, n, maxRolloutCounts)
	}
	return nil
}

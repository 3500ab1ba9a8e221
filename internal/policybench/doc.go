// Package policybench measures the request policies against simpler ones, with
// fake upstreams and virtual time.
//
// It drives the real queue, limit, balance and retry packages with arrivals and
// service times drawn from a seed; each policy sees the same arrivals with the
// same service times. It has no processes and no connections, so it says
// nothing about the time that the system itself adds.
//
// The policies differ as follows:
//
//   - ours: queue, limit, balance and retry.
//   - first in, first out: one bounded line per upstream; our balance and retry.
//   - strict priority: the same with one line per rank; our balance and retry.
//   - round robin: first in, first out, upstreams in turn, a new try after every
//     failure, refusal or target that passed without an answer, without bound
//     until the deadline.
//
// With all of them a request is withdrawn at its deadline.
//
// # Usage
//
//	s := policybench.Scenarios()[0]
//	r := policybench.Run(s, policybench.Ours, 1)
//	fmt.Println(r.Rank("level").InTarget())
//
// The table of all scenarios and policies is printed by
//
//	go run ./internal/policybench/cmd --seed 1
package policybench

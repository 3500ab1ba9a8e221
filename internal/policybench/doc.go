// Package policybench compares the request policies of the system with simpler ones
// in a discrete-event simulation with simulated upstreams.
//
// It runs the real queue, limit, balance and retry packages with arrivals and service
// times drawn from a seeded generator. Each policy gets the same arrivals with the
// same service times. There are no processes or connections, so the overhead of the
// system itself is not measured.
//
// The policies are:
//
//   - ours (Production): packages queue, limit, balance and retry.
//   - first in, first out: one bounded queue per upstream; packages balance and retry.
//   - strict priority: one queue per rank and upstream, bounded together; packages
//     balance and retry.
//   - round robin: first in, first out, with the upstreams in turn, and another try
//     after each failure, each refusal and each target that passes without an answer,
//     without a limit until the deadline.
//
// With every policy a request is canceled at its deadline.
//
// # Usage
//
//	s := policybench.Scenarios()[0]
//	r := policybench.Run(s, policybench.Production, 1)
//	fmt.Println(r.Rank("level").InTarget())
//
// This prints the table of all scenarios and policies:
//
//	go run ./internal/policybench/cmd --seed 1
package policybench

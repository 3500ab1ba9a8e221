// Package present is the choice of an upstream before it weighed the worth of a request
// against the price of its bytes: a random draw of candidates, with a fixed factor for
// upstreams of other zones. Package policybench compares package balance with it.
//
// # Usage
//
//	b := present.New(balance.Config{Seed: seed})
//	c, ok := b.Choose(now, present.NewSet(candidates), balance.Query{Zone: "kufstein", Rank: rank})
package present

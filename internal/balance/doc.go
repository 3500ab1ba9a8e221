// Package balance chooses the upstream of one request at its entry node.
//
// Of the serving upstreams of a service, a few are drawn at random and the one
// with the shortest expected time is taken: (requests ahead + 1) / slots, times
// how slow the upstream has been in comparison with the others. Requests ahead
// are the larger of what this node has in flight there and what the last answer
// said about load, where the latter loses weight with age. A report can be
// wrong; it can raise the estimate but not lower it below what the node itself
// observes.
//
// Upstreams of the entry node's own availability zone are drawn first. Others
// are drawn when the best of the zone is loaded, and they must be clearly
// better.
//
// An upstream that fails repeatedly, or that completes nothing for a long time,
// is suspect. A suspect gets single probe requests at growing intervals, and it
// is used again after a success. When all drawn upstreams are suspect, they are
// all tried.
//
// # Usage
//
// The package is pure and not safe for concurrent use. Prepare the candidates
// whenever the table changes, and ask per request:
//
//	b := balance.New(balance.Config{Seed: seed})
//	set := balance.NewSet(candidates)
//	c, ok := b.Choose(now, set, balance.Query{Zone: "kufstein", Rank: rank})
//	b.Started(now, c.Candidate.Name, rank)
//	…
//	b.Finished(now, c.Candidate.Name, balance.Outcome{Result: balance.OK, Rank: rank, Route: route, Latency: d, Load: load})
//
// A choice draws a bounded number of candidates, whatever the size of the set.
// Started and Finished must be called in pairs.
package balance

// Package balance chooses the upstream of one request at its entry node.
//
// It draws some of the serving upstreams of a service at random and takes the one with the
// shortest expected time, from its load and its speed. The load is (requests ahead + 1) /
// slots; below noWaitLoad it matters little. Requests ahead are the larger of the requests
// that this node has in flight there and the load that the last answer reported, which
// loses weight with age. A report can be wrong, so it can raise the estimate but not lower
// it below what the node itself observes.
//
// Speed counts fully, and nearly all upstreams are compared, where most slots are idle.
// The more slots are in use, the fewer are compared and the less speed counts, down to a
// draw of three and the square root: all entry nodes decide on reports that are up to
// seconds old, and would otherwise fill the same fast upstreams. An upstream without a
// recent report is taken to be as busy as the others usually are.
//
// In a large fleet a node gets an answer of each upstream every few seconds only, too
// seldom to tell a slow upstream from a long request. So answers carry what the owner
// node measures over all its requests: the mean slot time of the route and the mean
// share of slots in use.
//
// Upstreams in the entry node's own availability zone are drawn first. The best of them
// is compared with the best of a draw from other zones, if it may be worth it: where bytes
// between zones have a price, by the expected worth of the request, which is its chance
// to be answered within its target and its deadline. The expected time consists of the
// work (the mean slot time of the route and the pace of the upstream), the wait (by load),
// the delay of large bodies on the owner node's link and the way between zones. The gain
// must exceed the price of the expected bytes; the probability to cross grows with what
// it exceeds it by. Without a price, an upstream of another zone must be better by a
// fixed factor.
//
// The decision is meant for services of 3 to 30 upstreams of 5 to 20 slots in each of 3
// zones, with requests of 20 to 600 ms at any load, whose entry nodes get a report of each
// upstream every 0.2 to 3 s.
//
// An upstream that fails repeatedly, or that completes no request for a long time,
// is suspect. A suspect gets single probe requests at growing intervals, and is
// used normally again after a success. When all drawn upstreams are suspect, the
// best of them is used.
//
// # Usage
//
// The package starts no goroutines, reads no clock and is not safe for concurrent
// use. Build a Set whenever the table changes, and call Choose for each request:
//
//	b := balance.New(balance.Config{Seed: seed, ZonePrice: 8000})
//	set := balance.NewSet(candidates)
//	c, ok := b.Choose(now, set, balance.Query{Zone: "kufstein", Rank: rank, Route: route, Target: left, Remaining: remaining})
//	b.Started(now, c.Candidate.Name, rank)
//	…
//	b.Finished(now, c.Candidate.Name, balance.Outcome{Result: balance.OK, Rank: rank, Route: route, Latency: d, Bytes: n, Load: load})
//
// Choose draws a bounded number of candidates, whatever the size of the set. Each
// call of Started must be followed by one of Finished.
package balance

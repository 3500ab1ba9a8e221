// Package limit implements an adaptive concurrency limit: it bounds the requests
// in flight at one upstream by what the upstream can process.
//
// The limit never exceeds the announced slots and never falls below 1. It
// falls when
//
//   - requests that start at high occupancy take longer than those that start at
//     low occupancy: the upstream has fewer slots than it announced,
//   - the upstream sheds load,
//   - at least half of the requests fail or time out,
//   - no request of a route completes for several times its mean service time:
//     the upstream stalls.
//
// After a stall or failures the limit doubles with each good window up to its
// previous level. Above that it grows by one slot at a time, at intervals that
// double each time saturation, shedding or failures lower the limit.
//
// An upstream that became slower at every occupancy keeps its limit, because
// fewer concurrent requests would not make it faster.
//
// # Usage
//
// The package starts no goroutines, reads no clock and is not safe for concurrent
// use. The owner node keeps one Limiter per upstream under the lock of its queue:
//
//	l := limit.New(limit.Config{Slots: 20, ColdStart: 10 * time.Second, Since: since})
//	q.SetLimit(now, l.Limit(now))
//	s := l.Started(now, route)
//	…
//	l.Finished(now, s, limit.OK)
//	q.SetLimit(now, l.Limit(now))
//
// Limit must also be called regularly, for example once per 100 ms while requests
// run, to detect a stall and to follow the warm-up.
package limit

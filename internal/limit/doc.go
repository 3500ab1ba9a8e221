// Package limit adapts the number of requests that one upstream is given at
// the same time to what it really does.
//
// The limit never exceeds the announced slots and never falls below 1. It
// falls when
//
//   - requests that start among many others take longer than those that start
//     among few: the upstream has fewer slots than it announced,
//   - the upstream sheds load,
//   - most requests fail or time out,
//   - nothing of a route completes for several of its usual service times: the
//     upstream stalls.
//
// It recovers by probing: after a stall or failures it doubles with each good
// window up to the previous level, and above that it grows by one slot at
// intervals that double while growth turns out to be wrong.
//
// An upstream that became slow for every request alike keeps its limit, because
// fewer requests at once would not make it faster.
//
// # Usage
//
// The package is pure and not safe for concurrent use; the owner node keeps one
// Limiter per upstream under the lock of its queue:
//
//	l := limit.New(limit.Config{Slots: 20, ColdStart: 10 * time.Second, Since: since})
//	q.SetLimit(now, l.Limit(now))
//	s := l.Started(now, route)
//	…
//	l.Finished(now, s, limit.OK)
//	q.SetLimit(now, l.Limit(now))
//
// Limit must also be read from time to time, for example once per 100 ms while
// requests run, to notice a stall and to follow the warm-up ramp.
package limit

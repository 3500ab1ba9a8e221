// Package queue orders the requests that wait for the slots of one upstream at
// its owner node.
//
// The rules, in the order in which they apply to a free slot:
//
//  1. A rank with waiting work that has had less than its floor share of slot
//     time gets the slot. Slot time is what requests really occupied, so a
//     rank of long requests does not exceed its share by starting as often as
//     a rank of short ones.
//  2. Otherwise the most urgent rank gets it. A less urgent rank leaves enough
//     slots free for the recent demand of the ranks above it (headroom), but
//     only where a running request would hold up the urgent rank beyond its
//     target.
//  3. Within a rank, callers share slot time equally.
//  4. Requests that can no longer be answered within the target of their rank,
//     counted from their caller's first attempt, wait in a second lane, which is
//     served after the on-time work of all ranks; requests that can no longer
//     meet their deadline are refused.
//
// The queue is bounded per rank and in total. When it is full, an arrival
// displaces the newest request of the busiest caller in the least urgent rank
// that has more than its share of places.
//
// # Usage
//
// The package is pure: it starts no goroutines, reads no clock, and is not
// safe for concurrent use. The owner node guards it with one lock:
//
//	q := queue.New(queue.Config{Ranks: ranks, Limit: 20})
//	v := q.Offer(now, queue.Request{ID: 7, Rank: "alarm", Caller: "hut-3", Deadline: deadline})
//	switch v.Outcome {
//	case queue.Admitted: // run it now, then Done
//	case queue.Waiting:  // wait until Next returns it or Refused lists it
//	case queue.Refused:  // answer v.Err with v.RetryAfter
//	}
//
// After Done, Cancel, SetLimit and Offer, call Next until it returns false, and
// then Refused for waiting requests that were displaced or can no longer meet
// their deadline:
//
//	q.Done(now, 7, true)
//	for r, ok := q.Next(now); ok; r, ok = q.Next(now) { run(r) }
//	for _, f := range q.Refused() { answer(f) }
//
// Headroom may keep a slot free while work waits. Wake says when Next is worth
// another call if nothing else happens before.
//
// SetRanks follows a new configuration, SetLimit the limit of package limit.
//
// Every refusal concerns a request that Next and Offer never handed out, so it
// is provably not run.
package queue

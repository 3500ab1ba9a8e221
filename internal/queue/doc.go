// Package queue orders the requests that wait for the slots of one upstream at
// its owner node.
//
// The rules, in the order in which they apply to a free slot:
//
//  1. A rank with waiting requests that has received less slot time than its
//     floor gets the slot. Slot time is measured from start to end of each
//     request, so a rank of long requests does not exceed its share by starting
//     as often as a rank of short ones.
//  2. Otherwise the most urgent rank gets it. A less urgent rank leaves enough
//     slots free for the recent demand of the ranks above it (headroom), but
//     only where its running requests would delay the urgent rank beyond its
//     target.
//  3. Within a rank, callers share slot time in proportion to their weights, so that
//     the burst of one caller does not take what the others need.
//  4. Requests that can no longer be answered within the target of their rank,
//     counted from their caller's first attempt, wait in the rank's late queue,
//     which is served after the on-time requests of all ranks. Requests that can
//     no longer meet their deadline are refused.
//
// The queue is bounded per rank and in total. When it is full, an arrival
// displaces the newest request of the caller with the most waiting requests, in
// the least urgent rank that exceeds its reserved places.
//
// # Usage
//
// The package starts no goroutines, reads no clock, and is not safe for
// concurrent use. The owner node guards it with one lock:
//
//	q := queue.New(queue.Config{Ranks: ranks, Limit: 20})
//	d := q.Offer(now, queue.Request{ID: 7, Rank: "alarm", Caller: "hut-3", Deadline: deadline})
//	switch d.Outcome {
//	case queue.Admitted: // run it now, then call Done
//	case queue.Waiting:  // wait until Next returns it or Refused lists it
//	case queue.Refused:  // answer with d.Err and d.RetryAfter
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
// Headroom may keep a slot free while requests wait. WakeTime says when to call
// Next again if nothing else happens before.
//
// SetRanks applies a new configuration, SetLimit the limit from package limit.
//
// Only requests that have not started are refused, so a refused request is
// known not to have run.
package queue

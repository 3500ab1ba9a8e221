// Package rollout decides how a service moves to a new software version: which share of
// the requests the new version gets, and when the rollout is complete or rolled back.
//
// The decision is meant for services of about 20 to 1,000 requests per second with 3 to 30
// upstreams, and for rollouts of 10 s and more. A bad version may get at most a tenth of
// the requests of the ordered time, plus 50. A canary therefore uses less than half of that,
// and the step to all requests comes as late as the rest of the work allows: until then a
// version that turns bad costs little, and after it the other half lasts for about a second
// in which it must be rolled back.
//
// Both versions are compared side by side, by route. The worst upstreams of either version
// are left out if they stand out from the others of their version, and so is a node that
// reports most of the failures, since both have other causes than the version.
//
// The package starts no goroutine and reads no clock.
//
// # Usage
//
//	t := rollout.NewTally("v2", tookOver)
//	t.Add(now, node, incarnation, sequence, report)
//	d := rollout.Decide(rollout.Input{Elapsed: e, Within: w, Evidence: t.Evidence(now), ...})
//	if d.Action == rollout.SetShare {
//		propose(d.Share, d.Canaries)
//	}
package rollout

import (
	"fmt"
	"time"
)

// Input is what a decision depends on.
type Input struct {
	// Elapsed is the time since the order, and Within the ordered time.
	Elapsed, Within time.Duration
	// Share and Canaries are those in force.
	Share, Canaries int
	// Counting is the time since the present leader has counted.
	Counting time.Duration
	// OldUpstreams and NewUpstreams are the numbers of serving upstreams, OldSlots and
	// NewSlots their slots.
	OldUpstreams, NewUpstreams int
	OldSlots, NewSlots         int
	// Appeared is the time since the first new upstream was serving.
	Appeared time.Duration
	// Deadline is the longest deadline of a request to the service.
	Deadline time.Duration
	// Pending is the number of nodes that report but have not put the full share into
	// force or have requests in flight at old upstreams. Missing is the number of other
	// live nodes that do not report.
	Pending, Missing int
	Evidence         Evidence
}

// Action is what the leader does.
type Action string

// Actions.
const (
	Wait     Action = "Wait"
	SetShare Action = "SetShare"
	Complete Action = "Complete"
	RollBack Action = "RollBack"
)

// Decision is the outcome. Share and Canaries are used by SetShare.
type Decision struct {
	Action          Action
	Share, Canaries int
	// Reason is a fixed text for each kind of decision, Detail the figures behind it.
	Reason, Detail string
}

const (
	fullShare = 1000
	// exposureShare and exposureRequests bound what a bad version may get.
	exposureShare    = 0.1
	exposureRequests = 50
	// canaryBudget is the part of the exposure that the canary uses before the step.
	canaryBudget = 0.45
	// comparisonTime is the time before the step in which the canary's part is used, apart
	// from earlyBudget of it.
	comparisonTime = 2500 * time.Millisecond
	earlyBudget    = 0.2
	// maxCanaryShare bounds the share before the step, in thousandths.
	maxCanaryShare = 250
	minCanaryShare = 10
	// The share is raised by at least raiseFactor and lowered by at least lowerFactor,
	// since each change is a new version of the configuration on all nodes. It stays the
	// same for settledTime before the next phase.
	raiseFactor = 1.5
	lowerFactor = 2
	settledTime = time.Second
	// warmUp is how long new upstreams are twice as slow. They get half the load then.
	warmUp = 4 * time.Second
	// The canaries are loaded up to maxLoad times as much as old upstreams, as long as
	// they use no more than canaryBusy of their slots: some versions are bad only above
	// 70%, and the load may be higher later.
	maxLoad    = 1.6
	canaryBusy = 0.8
	// rampShare is the share of all new upstreams for rampTime before the full one. It
	// shows in a short time what the canary's few requests do not.
	rampShare = 350
	rampTime  = 700 * time.Millisecond
	// settleTime is the time for the full share to reach all nodes and for their reports
	// and the end state to be agreed on; it is usually below 1 s.
	settleTime = 1800 * time.Millisecond
	// minSettleTime is the same when there are reasons to wait.
	minSettleTime = 1400 * time.Millisecond
	// lastCall is how long before the end of the ordered time a rollout that is done
	// except for unreachable nodes is completed.
	lastCall = 800 * time.Millisecond
	// usualEnd is how long before the end of the ordered time a rollout is completed. Until
	// then the new version is observed under the full load, and can be rolled back.
	usualEnd = 1800 * time.Millisecond
	// minCanaryRequests is the number of requests that a step needs.
	minCanaryRequests = 20
	// reportRound is the time in which all reachable nodes report to a new leader. Before,
	// one that has just restarted may not know all upstreams either.
	reportRound = 1500 * time.Millisecond
	// Capacity of the new upstreams, as a part of the old ones', that a step needs in
	// time, and at the last moment.
	enoughCapacity = 0.8
	leastCapacity  = 0.4
	// minDrain and maxDrain bound the time that requests in flight are given to end.
	minDrain = 300 * time.Millisecond
	maxDrain = 4 * time.Second
)

// Decide returns what to do now.
func Decide(i Input) Decision {
	v := i.Evidence.compare(i)
	if v.bad {
		return Decision{Action: RollBack, Reason: v.reason, Detail: v.detail}
	}
	if i.Share >= fullShare {
		return i.finish(v)
	}
	if i.OldUpstreams == 0 && i.NewUpstreams > 0 && i.Evidence.oldRequests() == 0 {
		if i.Counting < reportRound && i.Counting < i.Elapsed { // the rollout began under another leader
			return Decision{Action: Wait, Reason: "nodes report to a new leader"}
		}
		return Decision{Action: SetShare, Share: fullShare, Reason: "no old upstream serves"}
	}
	if i.Elapsed >= i.Within {
		if i.NewUpstreams == 0 {
			return Decision{Action: RollBack, Reason: "no new upstream serves"}
		}
		return Decision{Action: RollBack, Reason: "too late for the step", Detail: v.detail}
	}
	if i.NewUpstreams == 0 {
		return Decision{Action: Wait, Reason: "no new upstream serves"}
	}
	if i.Elapsed >= i.stepAt() {
		return i.step(v)
	}
	return i.canary()
}

// finish decides after the step.
func (i Input) finish(v verdict) Decision {
	last := i.Elapsed >= i.Within-lastCall
	switch {
	case i.Counting < reportRound:
		return Decision{Action: Wait, Reason: "nodes report to a new leader"}
	case i.NewUpstreams == 0 && i.OldUpstreams > 0:
		return Decision{Action: RollBack, Reason: "no new upstream serves any more"}
	case i.Pending > 0:
		return Decision{Action: Wait, Reason: "nodes finish requests at old upstreams", Detail: fmt.Sprintf("%d nodes", i.Pending)}
	case i.Missing > 0 && !last:
		return Decision{Action: Wait, Reason: "nodes do not report", Detail: fmt.Sprintf("%d nodes", i.Missing)}
	case !last && (v.suspicious || i.Elapsed < i.Within-usualEnd):
		return Decision{Action: Wait, Reason: "observing the new version under full load", Detail: v.detail}
	}
	return Decision{Action: Complete, Reason: "all nodes use the new version", Detail: v.detail}
}

// step decides whether to send all requests to the new version now.
func (i Input) step(v verdict) Decision {
	last := i.Elapsed >= i.Within-i.drain()-minSettleTime
	capacity := float64(i.NewSlots) / float64(max(1, i.OldSlots))
	switch {
	case capacity < leastCapacity || !last && capacity < enoughCapacity:
		return Decision{Action: Wait, Reason: "too few new upstreams serve", Detail: fmt.Sprintf("%d of %d slots", i.NewSlots, i.OldSlots)}
	case v.doubtful && last:
		return Decision{Action: RollBack, Reason: "doubtful at the last moment for the step", Detail: v.detail}
	case last && i.unanswered():
		return Decision{Action: RollBack, Reason: "the new version answers no request"}
	case v.suspicious && !last:
		return Decision{Action: Wait, Reason: "suspicious", Detail: v.detail}
	case !last && i.Evidence.newRequests() < minCanaryRequests:
		return Decision{Action: Wait, Reason: "too few requests at the new version"}
	}
	if i.Share < rampShare && !last {
		return Decision{Action: SetShare, Share: rampShare, Reason: "ramp", Detail: v.detail}
	}
	if i.Elapsed < i.stepAt()+rampTime && !last {
		return Decision{Action: Wait, Reason: "comparing the versions at the ramp"}
	}
	return Decision{Action: SetShare, Share: fullShare, Reason: "no difference between the versions", Detail: v.detail}
}

// unanswered reports whether nothing was counted at the new version although its share has
// been in force for seconds. Refusals for lack of capacity are not counted, so a version
// that refuses everything leaves no other trace.
func (i Input) unanswered() bool {
	expected := i.Evidence.oldRequests() * float64(i.Share) / fullShare
	return i.Evidence.newRequests() == 0 && expected >= minCanaryRequests && min(i.Appeared, i.Counting) >= warmUp
}

// stepAt returns when the step to all requests should begin, with the ramp.
func (i Input) stepAt() time.Duration {
	return max(i.Within/3, i.Within-i.drain()-settleTime-rampTime)
}

// drain returns how long the requests in flight at old upstreams take to end.
func (i Input) drain() time.Duration {
	d := i.Deadline
	if t, ok := i.Evidence.longestOld(); ok {
		d = min(d, t)
	}
	return min(max(d, minDrain), maxDrain)
}

// canary returns the share before the step. It is what loads some new upstreams like old
// ones, within what is left of the canary's part of the exposure.
func (i Input) canary() Decision {
	limit, left := i.canaryLimit()
	if i.Share > 0 && left < settledTime {
		return Decision{Action: Wait, Reason: "comparing the versions"}
	}
	n, load := max(1, i.OldUpstreams), i.load()
	k := 1
	for k < i.NewUpstreams && equalShare(n, k+1)*load <= limit {
		k++
	}
	s := int(min(limit, equalShare(n, k)*load))
	if i.Share > 0 && float64(s) < raiseFactor*float64(i.Share) && lowerFactor*s > i.Share {
		return Decision{Action: Wait, Reason: "comparing the versions"}
	}
	return Decision{Action: SetShare, Share: s, Canaries: k, Reason: "canary", Detail: fmt.Sprintf("%d of %d new upstreams", k, i.NewUpstreams)}
}

// canaryLimit returns the highest share that the exposure allows. Most of the canary's part
// is used in the last seconds before the step: only what is known then counts, and the
// version may have turned bad late. It also returns the time left for that.
func (i Input) canaryLimit() (limit float64, left time.Duration) {
	left = i.stepAt() - i.Elapsed
	b := i.budget()
	if left > comparisonTime {
		left -= comparisonTime
		b *= earlyBudget
	}
	s := max(left, settledTime).Seconds()
	return max(minCanaryShare, min(maxCanaryShare, fullShare*(b-i.exposed())/s)), left
}

// load returns how much the canaries are loaded relative to old upstreams.
func (i Input) load() float64 {
	if i.Appeared < warmUp {
		return 0.5
	}
	busy := i.Evidence.oldRequests() / max(1, i.Counting.Seconds()) * i.Evidence.meanOld() / float64(max(1, i.OldSlots))
	return min(maxLoad, max(1, canaryBusy/max(busy, 0.01)))
}

// equalShare returns the share, in thousandths, with which k new upstreams are loaded like
// n old ones.
func equalShare(n, k int) float64 { return fullShare * float64(k) / float64(n+k) }

// budget returns the exposure that the canary may use, in seconds of all requests.
func (i Input) budget() float64 {
	b := exposureShare * i.Within.Seconds()
	if r := i.rate(); r > 0 {
		b += exposureRequests / r
	}
	return canaryBudget * b
}

// Summary returns the counts that a log line holds.
func (e Evidence) Summary() (old, next, recent Count) {
	return total(e.Old.merged()), total(e.New.merged()), total(e.Recent.merged())
}

// rate returns the requests per second for the service.
func (i Input) rate() float64 {
	if i.Counting < time.Second {
		return 0
	}
	return (i.Evidence.oldRequests() + i.Evidence.newRequests()) / i.Counting.Seconds()
}

// exposed returns the exposure so far, in seconds of all requests. For the time before the
// present leader it assumes the present share.
func (i Input) exposed() float64 {
	s := max(0, i.Elapsed-i.Counting).Seconds() * float64(i.Share) / fullShare
	if r := i.rate(); r > 0 {
		s += i.Evidence.newRequests() / r
	}
	return s
}

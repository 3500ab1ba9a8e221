package policybench

import "time"

// job is one request at a simulated upstream.
type job struct {
	left time.Duration
	done func(ok bool)
	// generation changes when the job is canceled, so that its scheduled end does
	// not call done.
	generation int
}

// upstream simulates an upstream. It runs as many jobs as it has slots and queues the
// others.
type upstream struct {
	loop        *loop
	slots       int
	factor      float64 // slot time relative to the mean
	running     int
	queued      []*job
	stalled     bool
	failing     bool
	stalledJobs []*job // would have ended during the stall
}

// failureLatency is the time after which a failing upstream answers.
const failureLatency = time.Millisecond

func (u *upstream) run(j *job) {
	j.left = time.Duration(float64(j.left) * u.factor)
	if u.failing {
		j.left = failureLatency
	}
	if u.running >= u.slots {
		u.queued = append(u.queued, j)
		return
	}
	u.start(j)
}

func (u *upstream) start(j *job) {
	u.running++
	generation, failed := j.generation, u.failing
	u.loop.after(j.left, func() {
		if u.stalled {
			u.stalledJobs = append(u.stalledJobs, j)
			return
		}
		u.end(j, generation, !failed)
	})
}

func (u *upstream) end(j *job, generation int, ok bool) {
	u.running--
	for u.running < u.slots && len(u.queued) > 0 {
		n := u.queued[0]
		u.queued = u.queued[1:]
		if n.generation == 0 {
			u.start(n)
		}
	}
	if j.generation == generation {
		j.done(ok)
	}
}

// cancel cancels j. A running job occupies its slot to its end, as most handlers notice
// a cancellation late.
func (u *upstream) cancel(j *job) { j.generation++ }

// resume ends the stall.
func (u *upstream) resume() {
	u.stalled = false
	l := u.stalledJobs
	u.stalledJobs = nil
	for _, j := range l {
		u.end(j, 0, true)
	}
}

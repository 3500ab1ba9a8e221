package policybench

import "time"

// job is one request inside a fake upstream.
type job struct {
	left time.Duration
	done func(ok bool)
	// token changes when the planned end no longer holds.
	token int
}

// upstream runs as many jobs as it really has slots and queues the rest.
type upstream struct {
	loop    *loop
	slots   int
	running int
	inside  []*job
	stalled bool
	failing bool
	frozen  []*job
}

// failAfter is how fast a failing upstream answers.
const failAfter = time.Millisecond

func (u *upstream) run(j *job) {
	if u.failing {
		j.left = failAfter
	}
	if u.running >= u.slots {
		u.inside = append(u.inside, j)
		return
	}
	u.start(j)
}

func (u *upstream) start(j *job) {
	u.running++
	token, failed := j.token, u.failing
	u.loop.after(j.left, func() {
		if u.stalled {
			u.frozen = append(u.frozen, j)
			return
		}
		u.end(j, token, !failed)
	})
}

func (u *upstream) end(j *job, token int, ok bool) {
	u.running--
	for u.running < u.slots && len(u.inside) > 0 {
		n := u.inside[0]
		u.inside = u.inside[1:]
		if n.token == 0 {
			u.start(n)
		}
	}
	if j.token == token {
		j.done(ok)
	}
}

// cancel makes the upstream forget j. A job that runs occupies its slot to its
// end, as most handlers notice a cancellation late.
func (u *upstream) cancel(j *job) { j.token++ }

func (u *upstream) resume() {
	u.stalled = false
	l := u.frozen
	u.frozen = nil
	for _, j := range l {
		u.end(j, 0, true)
	}
}

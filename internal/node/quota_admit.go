package node

import (
	"context"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// callsPerSecond and callsBurst limit the calls for tokens of one account.
	callsPerSecond = 10
	callsBurst     = 5
	// maxAdmitWait is how long a request waits for tokens: until the next call may be
	// sent, and for its reply.
	maxAdmitWait = 150 * time.Millisecond
	// askAgain is when the grantor is asked again after a call that failed.
	askAgain = 250 * time.Millisecond
	// minRetry and maxRetry bound the time that refused requests are told to wait. With
	// a long queue of promises, a caller learns that a retry in time is hopeless.
	minRetry = 10 * time.Millisecond
	maxRetry = 5 * time.Second
)

// admission is a request that waits for a token.
type admission struct {
	done chan struct{}
	// The limiter sets err before it closes done. gone says that the request no longer
	// waits.
	err  error
	gone bool
}

// limitError refuses a request because of the limit of its account.
type limitError struct {
	err  *errkind.Error
	wait time.Duration
}

// Error implements error.
func (e *limitError) Error() string { return e.err.Error() }

// Unwrap returns the error with the kind.
func (e *limitError) Unwrap() error { return e.err }

// RetryAfter returns the time after which a retry is likely to be admitted.
func (e *limitError) RetryAfter() time.Duration { return e.wait }

// Admit implements caller.Limits.
func (l *limiter) Admit(ctx context.Context, end time.Time, m table.Match) error {
	if m.Account.RatePerSecond <= 0 || !l.limited.Load() {
		return nil
	}
	l.mu.Lock()
	a := l.accounts[accountKey{m.Customer, m.Account.Name}]
	if a == nil { // a version without the limit has just taken effect
		l.mu.Unlock()
		return nil
	}
	now := l.clock()
	l.holder.Offer(a.name)
	switch {
	case l.holder.Admit(now, a.name):
		l.mu.Unlock()
		a.admitted.Inc(1)
		return nil
	case now < a.until:
		err := l.refuse(now, a)
		l.mu.Unlock()
		return err
	}
	w := &admission{done: make(chan struct{})}
	a.waiting = append(a.waiting, w)
	if !a.asking {
		a.asking = true
		go func() { l.ask(a) }()
	}
	l.mu.Unlock()
	return l.await(ctx, end, a, w)
}

// await waits for the decision about w.
func (l *limiter) await(ctx context.Context, end time.Time, a *limitedAccount, w *admission) error {
	t := time.NewTimer(min(maxAdmitWait, max(0, time.Until(end))))
	defer t.Stop()
	select {
	case <-w.done:
		return w.err
	case <-t.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.done:
		return w.err // decided in the meantime
	default:
	}
	w.gone = true
	if ctx.Err() != nil {
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "caller left while the request waited for the limit of its account").WithExecution(errkind.NotRun)
	}
	return l.refuse(l.clock(), a)
}

// ask asks the grantor for tokens until no request waits.
func (l *limiter) ask(a *limitedAccount) {
	for {
		l.mu.Lock()
		now := l.clock()
		if w, _ := a.calls.Wait(now, 1); w > 0 && len(a.waiting) > 0 {
			l.mu.Unlock()
			time.Sleep(w)
			continue
		}
		b := l.stillWaiting(now, a)
		a.waiting = nil
		if len(b) == 0 || !l.holder.Has(a.name) {
			l.decide(now, a, b, len(b)) // without a limit, all are admitted
			a.asking = false
			l.mu.Unlock()
			return
		}
		a.calls.Take(now, 1)
		r := l.holder.Want(now, a.name, len(b))
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), quota.MaxTakeAge)
		g, err := l.call(ctx, wire.MethodTakeTokens, r)
		cancel()
		l.mu.Lock()
		sent := now
		now = l.clock()
		granted, wait := 0, askAgain
		if err == nil {
			granted, wait = l.holder.Taken(now, sent, r.Seq, a.name, g)
		}
		if l.decide(now, a, b, granted) {
			a.until = now + wait
			l.decide(now, a, a.waiting, 0) // they would be refused if they arrived now
			a.waiting = nil
		}
		l.mu.Unlock()
	}
}

// stillWaiting admits waiting requests with tokens that the node's own share has got in
// the meantime, and returns the others. The caller holds mu.
func (l *limiter) stillWaiting(now time.Duration, a *limitedAccount) []*admission {
	var b []*admission
	for _, w := range a.waiting {
		switch {
		case w.gone:
		case l.holder.Admit(now, a.name):
			a.admitted.Inc(1)
			close(w.done)
		default:
			b = append(b, w)
		}
	}
	return b
}

// decide admits the first granted requests of b, and further ones with tokens of the
// node's own share. It refuses the rest and reports whether it refused any. The caller
// holds mu.
func (l *limiter) decide(now time.Duration, a *limitedAccount, b []*admission, granted int) (refused bool) {
	for _, w := range b {
		switch {
		case w.gone:
			continue
		case granted > 0:
			granted--
			a.admitted.Inc(1)
		case l.holder.Admit(now, a.name):
			a.admitted.Inc(1)
		default:
			refused = true
			w.err = l.refuse(now, a)
		}
		close(w.done)
	}
	for range granted {
		l.holder.Refund(now, a.name, 0) // of requests that no longer wait
	}
	return refused
}

// refuse returns the error for a refused request. Each is told to come back when the share
// of the node has refilled for it too. The caller holds mu.
func (l *limiter) refuse(now time.Duration, a *limitedAccount) error {
	a.rejected.Inc(1)
	next := max(a.until-now, minRetry)
	if w, ok := l.holder.Wait(now, a.name); ok {
		next = min(next, max(w, minRetry))
	}
	step := next
	if r := l.holder.Rate(a.name); r > 0 {
		step = min(step, time.Duration(float64(time.Second)/r))
	}
	a.promised = min(max(a.promised+step, now+next), now+maxRetry)
	return &limitError{errkind.New(errkind.LimitExceeded, "account %s exceeds its limit", a.name), a.promised - now}
}

// Refund implements caller.Limits.
func (l *limiter) Refund(m table.Match, age time.Duration) {
	if m.Account.RatePerSecond <= 0 || !l.limited.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[accountKey{m.Customer, m.Account.Name}]; a != nil {
		l.holder.Refund(l.clock(), a.name, age)
	}
}

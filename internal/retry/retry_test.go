package retry_test

import (
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/retry"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A request that may have run must not be retried unless it is idempotent.
func TestDecide(t *testing.T) {
	may := retry.Try{
		Kind: errkind.QueueFull, Execution: errkind.NotRun, InboundAttempt: 1, Tries: 1,
		Remaining: time.Second, ExpectedLatency: 100 * time.Millisecond,
	}
	for name, c := range map[string]struct {
		change func(t *retry.Try)
		want   string
	}{
		"not run":               {func(*retry.Try) {}, retry.ReasonRetry},
		"unknown, idempotent":   {func(t *retry.Try) { t.Execution, t.Idempotent = errkind.Unknown, true }, retry.ReasonRetry},
		"unknown, at most once": {func(t *retry.Try) { t.Execution = errkind.Unknown }, retry.ReasonMayHaveRun},
		"unset execution":       {func(t *retry.Try) { t.Execution = "" }, retry.ReasonMayHaveRun},
		"inbound retry":         {func(t *retry.Try) { t.InboundAttempt = 2 }, retry.ReasonInboundRetry},
		"third try":             {func(t *retry.Try) { t.Tries = 2 }, retry.ReasonRetry},
		"fourth try":            {func(t *retry.Try) { t.Tries = 3 }, retry.ReasonMaxTries},
		"little time":           {func(t *retry.Try) { t.Remaining = 50 * time.Millisecond }, retry.ReasonDeadline},
		"no time":               {func(t *retry.Try) { t.Remaining, t.ExpectedLatency = 0, 0 }, retry.ReasonDeadline},
		"caller gave up":        {func(t *retry.Try) { t.Kind = errkind.Canceled }, retry.ReasonNotRetryable},
		"bad request":           {func(t *retry.Try) { t.Kind = errkind.BadRequest }, retry.ReasonNotRetryable},
	} {
		t.Run(name, func(t *testing.T) {
			b := retry.New(retry.Config{})
			for range 10 {
				b.Deposit(now, "", 1)
			}
			try := may
			c.change(&try)
			got := b.Decide(now, try)
			if got.Reason != c.want || got.Retry != (c.want == retry.ReasonRetry) {
				t.Errorf("got %+v, want reason %q", got, c.want)
			}
		})
	}
}

// Retries must stay within their share of the calls at all times, also in a burst
// at the start, and one rank must not use up the retries of another.
func TestBudget(t *testing.T) {
	b, retries := retry.New(retry.Config{}), 0
	if b.Withdraw(now, "bulk") {
		t.Error("got a retry without calls")
	}
	for calls := 1; calls <= 10000; calls++ {
		b.Deposit(now, "bulk", 1)
		b.Deposit(now, "urgent", 1)
		for range 5 {
			if b.Withdraw(now, "bulk") {
				retries++
			}
		}
		if retries*10 > calls {
			t.Fatalf("got %d retries for %d calls, want at most 10%%", retries, calls)
		}
	}
	if got, want := retries, 1000; got != want {
		t.Errorf("retries: got %d, want %d", got, want)
	}
	got := 0
	for b.Withdraw(now, "urgent") {
		got++
	}
	if want := retry.DefaultBurst; got != want {
		t.Errorf("burst of the other rank: got %d, want %d", got, want)
	}
}

// chain makes a call at depth d of a chain whose last hop always fails, and counts
// the tries that reach the last hop in ends.
func chain(budgets []*retry.Budget, d, inbound int, ends *int) {
	if d == len(budgets) {
		*ends++
		return
	}
	budgets[d].Deposit(now, "", inbound)
	for tries := 1; ; tries++ {
		chain(budgets, d+1, max(inbound, tries), ends)
		c := budgets[d].Decide(now, retry.Try{
			Kind: errkind.UpstreamFailed, Execution: errkind.Unknown, Idempotent: true,
			InboundAttempt: inbound, Tries: tries, Remaining: time.Second,
		})
		if !c.Retry {
			return
		}
	}
}

// Retries must not multiply along a chain of 15 calls.
func TestChainDoesNotMultiply(t *testing.T) {
	var budgets []*retry.Budget
	for range 15 {
		budgets = append(budgets, retry.New(retry.Config{}))
	}
	calls, ends := 2000, 0
	for range calls {
		chain(budgets, 0, 1, &ends)
	}
	// Each of the 15 hops adds at most 10% of the calls that reach it as first
	// attempts; none of these retries is retried again.
	if got, want := ends, calls*(100+15*10)/100; got > want {
		t.Errorf("tries at the end of the chain: got %d for %d calls, want at most %d", got, calls, want)
	}
}

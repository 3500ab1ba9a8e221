package quota

import (
	"math"
	"time"
)

// tokenRounding is the rounding error below which a token counts as whole.
const tokenRounding = 1e-9

// Bucket is a token bucket. The zero value holds nothing. Times must not decrease; an
// earlier time counts as the latest one.
type Bucket struct {
	rate, capacity, tokens float64
	at                     time.Duration
}

// advance adds the tokens for the time until now.
func (b *Bucket) advance(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// Take removes n tokens and reports whether the bucket had as many.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	b.advance(now)
	if b.tokens+tokenRounding < n {
		return false
	}
	b.tokens = max(0, b.tokens-n)
	return true
}

// Refund adds n tokens and returns those that exceed the capacity.
func (b *Bucket) Refund(now time.Duration, n float64) (excess float64) {
	b.advance(now)
	t := min(b.capacity, b.tokens+n)
	excess = b.tokens + n - t
	b.tokens = t
	return excess
}

// SetRate changes the rate per second and the capacity, and discards the tokens above the
// capacity.
func (b *Bucket) SetRate(now time.Duration, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// Tokens returns the number of tokens.
func (b *Bucket) Tokens(now time.Duration) float64 {
	b.advance(now)
	return b.tokens
}

// Wait returns the time until the bucket has n tokens, and false if it never will.
func (b *Bucket) Wait(now time.Duration, n float64) (time.Duration, bool) {
	b.advance(now)
	if b.tokens+tokenRounding >= n {
		return 0, true
	}
	if b.capacity < n || b.rate <= 0 {
		return 0, false
	}
	return time.Duration(math.Ceil((n - b.tokens) / b.rate * float64(time.Second))), true
}

package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
)

// keyPrefix starts every API key of a run, so that upstreams can detect keys.
const keyPrefix = "secret-"

// arrival is the time when a request was sent and when it first reached an upstream.
type arrival struct{ sent, reached time.Time }

// Ledger records which requests upstreams ran and which responses callers got, by
// request ID.
type Ledger struct {
	mu         sync.Mutex
	sent       map[string]sending // by request ID
	arrivals   map[string][]arrival
	reached    map[string]bool   // requests that have reached an upstream, by ID
	forbidden  map[string]string // reason by ID of requests that must not run
	runs       map[string]int    // number of executions by request ID
	notRun     map[string]string // status of not-run responses by request ID
	responses  map[string]int    // number of responses by status and execution
	violations []string
}

// sending is what a caller states about a request before it sends it.
type sending struct {
	account string
	at      time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{sent: map[string]sending{}, reached: map[string]bool{}, arrivals: map[string][]arrival{}, forbidden: map[string]string{}, runs: map[string]int{}, notRun: map[string]string{}, responses: map[string]int{}}
}

// drainTimeout bounds the time within which requests may still reach an upstream whose
// leaving was acknowledged: 3 s, and the longest fault of the proxy on their way.
const drainTimeout = 6 * time.Second

// Upstream returns a handler that records each request and responds with its ID,
// path and body digest. sinceLeft returns how long ago it was acknowledged that the
// upstream leaves, or zero.
func (l *Ledger) Upstream(name string, sinceLeft func() time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Gooseberrypick-Request-Id")
		if d := sinceLeft(); d > drainTimeout {
			l.mu.Lock()
			l.violations = append(l.violations, fmt.Sprintf("request %s reached %s %s after its leaving was acknowledged", id, name, d))
			l.mu.Unlock()
		}
		l.recordArrival(id, r)
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return // an incomplete request must not run
		}
		l.mu.Lock()
		l.runs[id]++
		l.mu.Unlock()
		time.Sleep(rand.N(maxServiceTime))
		w.Header().Set("Upstream", name)
		_, _ = io.WriteString(w, expectedBody(id, r.URL.Path, b)) // the caller may be gone
	})
}

// RecordSending records that a request of an account, or of none, is about to be sent.
func (l *Ledger) RecordSending(id, account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = sending{account, time.Now()}
}

// Forbid records that a request must not run.
func (l *Ledger) Forbid(id, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forbidden[id] = reason
}

// recordArrival records that the head of a request has reached an upstream, and
// checks the account that the upstream is told.
func (l *Ledger) recordArrival(id string, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, v := range r.Header {
		if s := strings.Join(v, ", "); strings.Contains(s, keyPrefix) {
			l.violations = append(l.violations, fmt.Sprintf("request %s: a key reached an upstream in header %s", id, k))
		}
	}
	s, got := l.sent[id], strings.Join(r.Header.Values(dialect.HeaderAccount), ", ")
	if got != s.account {
		l.violations = append(l.violations, fmt.Sprintf("request %s: the upstream got account %q, want %q", id, got, s.account))
	}
	if !l.reached[id] {
		l.reached[id] = true
		l.arrivals[s.account] = append(l.arrivals[s.account], arrival{s.at, time.Now()})
	}
}

// Largest returns the largest number of requests of an account that were sent in a
// window of the given length and reached an upstream in it.
func (l *Ledger) Largest(account string, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, first := range l.arrivals[account] {
		n, end := 0, first.sent.Add(window)
		for _, a := range l.arrivals[account] {
			if !a.sent.Before(first.sent) && !a.reached.After(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// expectedBody returns the only correct response body for a request.
func expectedBody(id, path string, body []byte) string {
	s := sha256.Sum256(body)
	return id + " " + path + " " + hex.EncodeToString(s[:])
}

// RecordResponse records the response that a caller got. Status 0 means that there
// was none.
func (l *Ledger) RecordResponse(id, path string, body []byte, status int, execution, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses[fmt.Sprint(status, " ", execution)]++
	if status >= 200 && status < 300 && answer != expectedBody(id, path, body) {
		l.violations = append(l.violations, fmt.Sprintf("request %s: status %d with the answer %.80q", id, status, answer))
	}
	if a := l.sent[id].account; a == steadyAccount && (status == http.StatusUnauthorized || status == http.StatusTooManyRequests) {
		l.violations = append(l.violations, fmt.Sprintf("request %s: status %d for an account without a limit and with a valid key", id, status))
	}
	if execution == "not-run" {
		l.notRun[id] = fmt.Sprint("status ", status)
	}
}

// Violations returns the violated guarantees. once reports whether a request may run
// at most once.
func (l *Ledger) Violations(once func(id string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.violations
	for id, n := range l.runs {
		if n > 1 && once(id) {
			b = append(b, fmt.Sprintf("request %s ran %d times", id, n))
		}
		if s, ok := l.notRun[id]; ok {
			b = append(b, fmt.Sprintf("request %s ran, but its caller got %s with execution not-run", id, s))
		}
	}
	for id, reason := range l.forbidden {
		if l.reached[id] {
			b = append(b, fmt.Sprintf("request %s reached an upstream: %s", id, reason))
		}
	}
	return b
}

// Answers returns the number of responses by status and execution.
func (l *Ledger) Answers() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := map[string]int{}
	for k, v := range l.responses {
		m[k] = v
	}
	return m
}

package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Ledger records which requests upstreams ran and which responses callers got, by
// request ID.
type Ledger struct {
	mu         sync.Mutex
	runs       map[string]int    // number of executions by request ID
	notRun     map[string]string // status of not-run responses by request ID
	responses  map[string]int    // number of responses by status and execution
	violations []string
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, notRun: map[string]string{}, responses: map[string]int{}}
}

// Upstream returns a handler that records each request and responds with its ID,
// path and body digest.
func (l *Ledger) Upstream(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Gooseberrypick-Request-Id")
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

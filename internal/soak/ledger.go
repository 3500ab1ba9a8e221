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

// Ledger holds what upstreams ran and what callers were told, by request ID.
type Ledger struct {
	mu     sync.Mutex
	ran    map[string]int
	notRun map[string]string
	told   map[string]int // by kind of answer
	broken []string
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{ran: map[string]int{}, notRun: map[string]string{}, told: map[string]int{}}
}

// Upstream returns a handler that runs requests and answers with what it got.
func (l *Ledger) Upstream(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Gooseberrypick-Request-Id")
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return // a part of a request must not run
		}
		l.mu.Lock()
		l.ran[id]++
		l.mu.Unlock()
		time.Sleep(rand.N(workTime))
		w.Header().Set("Upstream", name)
		_, _ = io.WriteString(w, answerTo(id, r.URL.Path, b)) // the caller may have gone
	})
}

// answerTo is the only right answer to a request.
func answerTo(id, path string, body []byte) string {
	s := sha256.Sum256(body)
	return id + " " + path + " " + hex.EncodeToString(s[:])
}

// Told notes an answer: status 0 stands for none.
func (l *Ledger) Told(id, path string, body []byte, status int, execution, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[fmt.Sprint(status, " ", execution)]++
	if status >= 200 && status < 300 && answer != answerTo(id, path, body) {
		l.broken = append(l.broken, fmt.Sprintf("request %s: status %d with the answer %.80q", id, status, answer))
	}
	if execution == "not-run" {
		l.notRun[id] = fmt.Sprint("status ", status)
	}
}

// Broken returns the promises that were broken. Once says whether a request may
// run once at most.
func (l *Ledger) Broken(once func(id string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.broken
	for id, n := range l.ran {
		if n > 1 && once(id) {
			b = append(b, fmt.Sprintf("request %s ran %d times", id, n))
		}
		if s, ok := l.notRun[id]; ok {
			b = append(b, fmt.Sprintf("request %s ran, and its caller was told %s, not-run", id, s))
		}
	}
	return b
}

// Answers returns how often each kind of answer was given.
func (l *Ledger) Answers() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := map[string]int{}
	for k, v := range l.told {
		m[k] = v
	}
	return m
}

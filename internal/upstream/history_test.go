package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Guards against a history that grows without a bound, and against messages of made-up
// names that displace what is known of real ones.
func TestHistoryIsBounded(t *testing.T) {
	h, now := newHistory(), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	n := Announcement{Service: "levels", Address: "10.0.0.1:80", Slots: 4, Connections: 4, State: wire.Serving, Incarnation: now.UnixMilli(), Sequence: 1}
	if _, _, err := h.put(now, "real", n); err != nil {
		t.Fatal(err)
	}
	h.withdraw(now, "real", n.Incarnation)
	for i := range 3 * maxHistory {
		now = now.Add(time.Millisecond)
		h.withdraw(now, fmt.Sprint("other-", i), int64(i%2))
	}
	if got := len(h.byName); got > maxHistory {
		t.Errorf("got %d remembered names, want at most %d", got, maxHistory)
	}
	n.Sequence++
	if _, got, _ := h.put(now, "real", n); got == "" {
		t.Error("a late announcement of an upstream that has withdrawn was accepted")
	}
	now = now.Add(historyAge + time.Second)
	h.expire(now)
	if got := len(h.byName); got != 0 {
		t.Errorf("got %d remembered names after %s, want none", got, historyAge)
	}
}

package node

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// line returns the newest line about a request that has one of the messages.
func (l *log) line(id string, messages ...string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.lines) - 1; i >= 0; i-- {
		for _, m := range messages {
			if l.lines[i]["requestId"] == id && l.lines[i]["msg"] == m {
				return l.lines[i]
			}
		}
	}
	return nil
}

// explain follows the steps of docs/OPERATIONS.md for the ID of a request and
// returns the cause that they lead to.
func (l *log) explain(id string) string {
	end := l.line(id, "request answered", "request refused", "answer aborted")
	if end == nil {
		return "no last line"
	}
	switch {
	case end["msg"] == "request refused" && end["execution"] == "not-run":
		return "refused, " + end["kind"].(string) + ", not sent: " + sent(l, id)
	case end["msg"] == "request refused":
		f := l.line(id, "try failed")
		if f == nil {
			return "failed without a try"
		}
		return "failed at " + f["upstream"].(string) + ", " + f["kind"].(string) + ", " + f["reason"].(string) + ", sent: " + sent(l, id)
	case end["late"] == true:
		s := l.line(id, "send request")
		if s == nil {
			return "late, never sent"
		}
		wait := time.Duration(s["waitMicros"].(float64)) * time.Microsecond
		took := time.Duration(end["tookMicros"].(float64)) * time.Microsecond
		if wait > took/2 {
			return "late, waited for a slot"
		}
		return "late in upstream " + s["upstream"].(string)
	}
	return "answered in time"
}

func sent(l *log, id string) string {
	if l.line(id, "send request") != nil {
		return "yes"
	}
	return "no"
}

// Guards against steps in docs/OPERATIONS.md that do not lead an on-call engineer
// from the ID of a failed or late request to the cause.
func TestOperationsSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l log
		m := newMesh(t)
		m.log = funcr.NewJSON(l.add, funcr.Options{})
		m.start("owner")
		m.start("entry")
		m.serve("owner", "levels-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/fails":
				panic(http.ErrAbortHandler)
			case "/slow":
				time.Sleep(1500 * time.Millisecond)
			case "/holds":
				time.Sleep(1100 * time.Millisecond)
			}
		}))
		send := func(id, path string) {
			m.do("HTTP/1.1", "entry", "GET", path, nil, upstream.HeaderRequestID, id)
		}
		send("quick", "/")
		send("slow", "/slow")
		for range 40 { // makes the expected slot time short
			send("usual", "/")
		}
		var g sync.WaitGroup
		if err := m.nodes["owner"].announcements.Put(time.Now().Add(time.Hour), "levels-1", upstream.Announcement{
			Service: "levels", Address: "levels-1:80", Slots: 1, Connections: 8, State: wire.Serving,
		}); err != nil {
			t.Fatal(err)
		}
		g.Go(func() { send("holds", "/holds") })
		synctest.Wait()
		g.Go(func() { send("waited", "/") })
		g.Go(func() {
			m.do("HTTP/1.1", "entry", "GET", "/", nil, upstream.HeaderRequestID, "refused", upstream.HeaderDeadline, "20ms")
		})
		g.Wait()
		send("failed", "/fails")
		m.nodes["owner"].announcements.Withdraw("levels-1", 0)
		time.Sleep(time.Second)
		send("gone", "/")
		for id, want := range map[string]string{
			"quick":   "answered in time",
			"slow":    "late in upstream levels-1",
			"failed":  "failed at owner/levels-1, UpstreamFailed, retry, sent: yes",
			"waited":  "late, waited for a slot",
			"refused": "refused, DeadlineTooShort, not sent: no",
			"gone":    "refused, NoUpstream, not sent: no",
		} {
			equal(t, id, l.explain(id), want)
		}
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range []string{"choose upstream", "send request", "refuse request", "try failed", "request answered", "request refused", "answer aborted", "leadership", "log lines left out"} {
			if !strings.Contains(string(page), "`"+message+"`") {
				t.Errorf("the page does not name %q", message)
			}
		}
	})
}

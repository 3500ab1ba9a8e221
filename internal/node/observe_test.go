package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/gooseberrypick/gooseberrypick/internal/admin"
	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
)

// log collects log lines.
type log struct {
	mu    sync.Mutex
	lines []map[string]any
}

func (l *log) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := map[string]any{}
	if err := json.Unmarshal([]byte(line), &m); err != nil {
		panic(err)
	}
	l.lines = append(l.lines, m)
}

// of returns the messages about a request, each with its value of key.
func (l *log) of(id, key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s []string
	for _, m := range l.lines {
		if m["requestId"] != id {
			continue
		}
		s = append(s, fmt.Sprintf("%s: %v", m["msg"], m[key]))
		for _, k := range []string{"route", "rank"} {
			if m[k] == nil || m[k] == "" {
				s = append(s, "no "+k)
			}
		}
	}
	return strings.Join(s, ", ")
}

func (m *mesh) metrics(node string) string {
	var b bytes.Buffer
	m.nodes[node].metrics.sample(m.nodes[node])
	admin.Write(&b, m.nodes[node].metrics.registry)
	return b.String()
}

// Guards against decisions about a request that cannot be found in the log by its ID,
// and against metrics that do not show the responses of each rank.
func TestRequestLogLinesAndMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l log
		m := newMesh(t)
		m.log = funcr.NewJSON(l.add, funcr.Options{})
		m.start("owner")
		m.start("entry")
		var ran counter
		m.serve("owner", "levels-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/fails" {
				panic(http.ErrAbortHandler)
			}
			ran.echo(w, r)
		}))
		for i, path := range []string{"/", "/fails", "/keyed"} {
			m.do("HTTP/1.1", "entry", "GET", path, nil, upstream.HeaderRequestID, fmt.Sprint("id-", i))
		}
		m.nodes["owner"].announcements.Withdraw("levels-1", 0)
		m.do("HTTP/1.1", "owner", "GET", "/", nil, upstream.HeaderRequestID, "id-3")
		for id, want := range map[string]string{
			"id-0": "choose upstream: least expected time in zone, send request: slot free",
			"id-1": "choose upstream: least expected time in zone, send request: slot free, try failed: retry budget empty, request refused: ",
			"id-2": "request refused: route \"GET " + host + "/keyed\"",
			"id-3": "no upstream left: no upstream of service \"levels\" is serving, request refused: no upstream",
		} {
			if got := l.of(id, "reason"); !strings.HasPrefix(got, want) {
				t.Errorf("lines of %s: got %q, want %q", id, got, want)
			}
		}
		for _, want := range []string{
			`answers{customer="pichler",rank="urgent",class="2xx"} 1`,
			`answers_in_target{customer="pichler",rank="urgent"} 1`,
			`refusals{customer="pichler",rank="urgent",kind="UpstreamFailed"} 1`,
			`refusals{customer="pichler",rank="urgent",kind="KeyRequired"} 1`,
			"requests 0", "log_lines_dropped ", `answer_micros_count{customer="pichler",rank="urgent"} 3`,
		} {
			if got := m.metrics("entry"); !strings.Contains(got, want) {
				t.Errorf("metrics of the entry node lack %s:\n%s", want, got)
			}
		}
		if got, want := m.metrics("owner"), `queue_wait_micros_count{service="levels",rank="urgent"} 2`; !strings.Contains(got, want) {
			t.Errorf("metrics of the owner node lack %s:\n%s", want, got)
		}
	})
}

// Guards against log lines that do not distinguish a repeated request with less
// remaining time from a new one.
func TestChooseUpstreamLineHasRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l log
		m := newMesh(t)
		m.log = funcr.NewJSON(l.add, funcr.Options{})
		m.start("n")
		m.serve("n", "levels-1", http.HandlerFunc(new(counter).echo))
		for _, left := range []time.Duration{900 * time.Millisecond, 250 * time.Millisecond} {
			id := left.String()
			m.do("HTTP/1.1", "n", "GET", "/", nil, upstream.HeaderRequestID, id, upstream.HeaderDeadline, id)
			equal(t, "remainingMicros", l.line(id, "choose upstream")["remainingMicros"], any(float64(left.Microseconds())))
		}
	})
}

// Guards against callers that create metrics by what they send.
func TestCallersCreateNoMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "owner", "entry")
		m.serve("owner", "levels-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var status int
			fmt.Sscanf(r.URL.Path, "/%d", &status)
			w.WriteHeader(status)
		}))
		values := regexp.MustCompile(` [-0-9.e+]+\n`)
		send := func(i int) {
			for j := range 5 {
				v := fmt.Sprint("v", i, "-", j)
				m.do("HTTP/1.1", "entry", "GET", "/"+fmt.Sprint(100*(2+j)+i), nil, upstream.HeaderRequestID, v, upstream.HeaderAttempt, fmt.Sprint(i), "Host", v, v, v)
				m.do("HTTP/1.1", "entry", v, "/"+v, nil)
			}
		}
		send(0)
		want := values.ReplaceAllString(m.metrics("entry")+m.metrics("owner"), "\n")
		for i := range 20 {
			send(i)
		}
		equal(t, "names", values.ReplaceAllString(m.metrics("entry")+m.metrics("owner"), "\n"), want)
	})
}

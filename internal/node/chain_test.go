package node

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

const chainLength = 15

// chain is a chain of calls with one service for each link. The upstream of link n
// calls link n+1 and passes on the remaining time and the attempt.
type chain struct {
	*mesh
	mu        sync.Mutex
	runs      [chainLength + 1]int
	remaining [chainLength + 1]time.Duration // remaining time at the latest run
	// fail makes the last link abort its responses.
	fail bool
}

func newChain(t *testing.T) *chain {
	c := &chain{mesh: newMesh(t, "n1", "n2", "n3")}
	k := config()
	for i := 1; i <= chainLength; i++ {
		s := fmt.Sprint("link-", i)
		k = k.WithService(customer.Service{Name: s, Slots: 4, Connections: 8}).WithRoute(customer.Route{
			Host: host, Method: "GET", Path: "/" + s, Service: s, Rank: "urgent", Deadline: deadline, Execution: customer.Idempotent,
		})
	}
	if err := c.control.Set(k); err != nil {
		t.Fatal(err)
	}
	for _, n := range []string{"n1", "n2", "n3"} {
		c.serve(n, n+"-up", c)
		for i := 1; i <= chainLength; i++ {
			err := c.nodes[n].announcements.Put(time.Now().Add(time.Hour), fmt.Sprint(n, "-", i), upstream.Announcement{
				Service: fmt.Sprint("link-", i), Address: n + "-up:80", Slots: 4, Connections: 8, State: wire.Serving,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(time.Second)
	return c
}

func (c *chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	link, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/link-"))
	remaining, err := time.ParseDuration(r.Header.Get(upstream.HeaderDeadline))
	c.mu.Lock()
	c.runs[link]++
	c.remaining[link] = remaining
	c.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if r.Header.Get("Single") != "" {
		return
	}
	if err != nil || link == chainLength && c.fail {
		panic(http.ErrAbortHandler)
	}
	if link == chainLength {
		io.WriteString(w, r.Header.Get(upstream.HeaderAttempt))
		return
	}
	a := c.do("HTTP/1.1", "n1", "GET", fmt.Sprint("/link-", link+1), nil,
		upstream.HeaderDeadline, (remaining - 10*time.Millisecond).String(),
		upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	if !a.complete() {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, a.body)
}

// Guards against losing the remaining time or the attempt along a chain of calls, and
// against retries that multiply instead of adding up: three tries at each of 15 links
// would be 14 million runs of the last.
func TestDeadlineAndRetriesAlongCallChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain(t)
		for i := 1; i <= chainLength; i++ {
			for range 100 { // fill the retry budgets
				c.do("HTTP/1.1", "n1", "GET", fmt.Sprint("/link-", i), nil, "Single", "1")
			}
		}
		equal(t, "attempt at the end", c.do("HTTP/1.1", "n1", "GET", "/link-1", nil, upstream.HeaderAttempt, "3").body, "3")
		for i := 1; i <= chainLength; i++ {
			passed := time.Duration(i-1) * 10 * time.Millisecond
			if got, most := c.remaining[i], deadline-passed; got > most || got < most-time.Duration(i)*4*time.Millisecond {
				t.Errorf("time remaining at link %d: got %s, want about %s", i, got, most)
			}
		}
		c.fail, c.runs = true, [chainLength + 1]int{}
		equal(t, "complete answer", c.do("HTTP/1.1", "n1", "GET", "/link-1", nil).complete(), false)
		// At the deadline, the caller is answered while the last run may still be in progress.
		c.mu.Lock()
		defer c.mu.Unlock()
		retries := 0
		for i := 1; i <= chainLength; i++ {
			if got, most := c.runs[i], 1+2*i; got > most {
				t.Errorf("runs of link %d: got %d, want at most %d", i, got, most)
			}
			retries += c.runs[i] - c.runs[i-1]
		}
		if retries == 1 {
			t.Error("there were no retries")
		}
		t.Log("runs by link:", c.runs[1:])
	})
}

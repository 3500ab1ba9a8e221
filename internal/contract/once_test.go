package contract_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
)

// executions is an upstream that counts its executions by idempotency key.
type executions struct {
	mu     sync.Mutex
	counts map[string]int
}

func (e *executions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	k := r.Header.Get("Idempotency-Key")
	e.counts[k]++
	fmt.Fprintf(w, "execution %d of %s", e.counts[k], k)
}

func (e *executions) count(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[key]
}

// announceStandIn serves h as an upstream and announces it to a node until the test
// ends.
func announceStandIn(t *testing.T, s *site, node, name, service string, h http.Handler) {
	t.Helper()
	u := httptest.NewServer(h)
	t.Cleanup(u.Close)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	a := announce.New(announce.Config{
		Node: s.address(t, node), Name: name, Service: service,
		Address: strings.TrimPrefix(u.URL, "http://"), Slots: 20, Connections: 100,
	})
	go a.Run(ctx)
}

// callResult is what a caller learned from one attempt.
type callResult struct {
	status    int
	execution string
	body      string
}

// send makes one attempt. A broken connection counts as an unknown execution.
func send(address, key string) callResult {
	h := http.Header{"Idempotency-Key": {key}}
	status, header, body, err := get(http.MethodPost, address, alarmsHost, "/acknowledgements/5", h, strings.NewReader("ack"))
	if err != nil {
		return callResult{execution: "unknown", body: err.Error()}
	}
	return callResult{status: status, execution: header.Get("Gooseberrypick-Execution"), body: body}
}

// An acknowledgement must never run twice, and must not have run if every response
// says not-run, while callers resend to any node and a control and an entry node are
// killed.
func TestAcknowledgementsRunAtMostOnce(t *testing.T) {
	const keys, workers, seed = 240, 8, 1
	s, l := startSite(t)
	e := &executions{counts: map[string]int{}}
	announceStandIn(t, s, "127.0.0.1:21152", "alarms-1", "alarm-handling", e)
	announceStandIn(t, s, "127.0.0.1:21162", "alarms-2", "alarm-handling", e)
	entries := []string{s.address(t, innsbruckA), s.address(t, kufstein), s.address(t, "127.0.0.1:21111")}
	await(t, "first acknowledgement", func() error {
		if a := send(entries[0], "first"); a.status != http.StatusOK {
			return fmt.Errorf("%+v", a)
		}
		return nil
	})
	var g sync.WaitGroup
	answers := make([][]callResult, keys)
	for w := range workers {
		g.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(w)))
			for k := w; k < keys; k += workers {
				if w == 0 && k == keys/3/workers*workers {
					findProcess(t, l, "control-1.jsonc").kill()
				}
				if w == 1 && k == keys/2/workers*workers+1 {
					findProcess(t, l, "node-level-display-3.jsonc").kill() // the entry node in kufstein
				}
				for range 1 + r.IntN(3) {
					answers[k] = append(answers[k], send(entries[r.IntN(len(entries))], fmt.Sprint("key-", k)))
				}
			}
		})
	}
	g.Wait()
	completed := 0
	for k, l := range answers {
		if checkResults(t, fmt.Sprint("key-", k), l, e.count(fmt.Sprint("key-", k))) {
			completed++
		}
	}
	if got, want := completed, keys/2; got < want {
		t.Errorf("got %d completed of %d, want at least %d, although only one control and one entry node were killed", got, keys, want)
	}
}

// checkResults checks the results for a key and reports whether one is complete.
func checkResults(t *testing.T, key string, l []callResult, ran int) bool {
	t.Helper()
	if ran > 1 {
		t.Errorf("%s ran %d times: %+v", key, ran, l)
	}
	done, notRun := false, true
	for _, a := range l {
		if a.status == http.StatusOK && a.execution == "" {
			done = true
			if want := fmt.Sprintf("execution 1 of %s", key); a.body != want {
				t.Errorf("%s: got body %q, want %q", key, a.body, want)
			}
		}
		notRun = notRun && a.execution == "not-run"
	}
	if notRun && ran > 0 {
		t.Errorf("%s ran although every answer says not-run: %+v", key, l)
	}
	return done
}

// A node that is stopped must finish the requests that it carries, whether they came
// from its own callers or from another node.
func TestPlannedStopFinishesRequests(t *testing.T) {
	const entry, announceAt, admin = "127.0.0.1:21181", "127.0.0.1:21182", "127.0.0.1:21184" // node-survey-archive-1
	s, l := startSite(t)
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	announceStandIn(t, s, announceAt, "archive-1", "survey-archive", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			started <- struct{}{}
			<-release
		}
		fmt.Fprint(w, "stored")
	}))
	upload := func(address, path string) callResult {
		status, header, body, err := get(http.MethodPost, s.address(t, address), "archive.pichler.example", path, nil, strings.NewReader("survey"))
		if err != nil {
			body = err.Error()
		}
		return callResult{status, header.Get("Gooseberrypick-Execution"), body}
	}
	await(t, "first upload", func() error {
		if a := upload(kufstein, "/surveys/1"); a.status != http.StatusOK {
			return fmt.Errorf("%+v", a)
		}
		return nil
	})
	results := make(chan callResult, 2)
	for _, a := range []string{entry, kufstein} {
		go func() { results <- upload(a, "/surveys/slow") }()
	}
	<-started
	<-started
	go func() {
		defer close(release)
		// The node is stopping once it reports that it is not ready.
		for t.Context().Err() == nil {
			status, _, _, err := get(http.MethodGet, s.address(t, admin), "", "/readyz", nil, nil)
			if err != nil || status != http.StatusOK {
				return
			}
		}
	}()
	findProcess(t, l, "node-survey-archive-1.jsonc").terminate(t)
	for range 2 {
		if got := <-results; got.status != http.StatusOK || got.body != "stored" {
			t.Errorf("got %+v, want the complete response", got)
		}
	}
}

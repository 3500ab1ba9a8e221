package abuse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	_ "github.com/gooseberrypick/gooseberrypick/internal/commands" // so that a result is only cached for the same program
	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
)

const (
	// memoryMb is MemoryMb in the settings of both processes and the bound of their peak.
	// A node VM has 184 MB for 4,096 connections of callers; the numbers here are about an
	// eighth of that. A process takes about 25 MB before any load, so 64 MB leave 39 MB
	// for them, where an eighth of the 124 MB that ordinary load leaves on a node VM
	// is 16 MB, and the rest allows for garbage that has not been collected yet.
	memoryMb = 64
	// descriptors is the limit of open descriptors of both processes, an eighth of the
	// 4,100 of a VM.
	descriptors = 512
	// descriptorMargin must stay free, so that a process can still open connections.
	descriptorMargin = 32
	// callerConnections is an eighth of the default, above connectionCount.
	callerConnections = 4096 / 8
	// waitTimeout only keeps a broken test from hanging.
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// firstPort and lastPort are below the range of ephemeral ports.
	firstPort, lastPort, portBlock = 10000, 32000, 16
)

var binary string

func TestMain(m *testing.M) {
	d, err := os.MkdirTemp("", "gooseberrypick-abuse-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(d, "gooseberrypick")
	if out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(d)
	os.Exit(code)
}

// process is one started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// system is a control and a node with two services, of which one has a slow upstream.
type system struct {
	control, node *process
	// The addresses of the listeners.
	operators, controlPeers, controlAdmin        string
	callers, announcements, nodePeers, nodeAdmin string
}

func newSystem(t *testing.T) *system {
	t.Helper()
	p, d := reservePorts(t), t.TempDir()
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", p+i) }
	s := &system{
		operators: address(0), controlPeers: address(1), controlAdmin: address(2),
		callers: address(3), announcements: address(4), nodePeers: address(5), nodeAdmin: address(6),
	}
	s.control = start(t, d, "control", fmt.Sprintf(`{"Name": "control-1", "AvailabilityZone": "a", "Listen": %q, "PeerListen": %q, "AdminListen": %q,
		"Members": [{"Name": "control-1", "Address": %q}], "DataFolder": "data", "ElectionTimeout": "200ms", "MemoryMb": %d}`,
		s.operators, s.controlPeers, s.controlAdmin, s.controlPeers, memoryMb))
	s.node = start(t, d, "node", fmt.Sprintf(`{"Name": "node-1", "AvailabilityZone": "a", "Listen": %q, "UpstreamListen": %q, "PeerListen": %q, "AdminListen": %q,
		"Control": [%q], "ReconnectLimit": "100ms", "MemoryMb": %d, "CallerConnections": %d}`,
		s.callers, s.announcements, s.nodePeers, s.nodeAdmin, s.controlPeers, memoryMb, callerConnections))
	u := httptest.NewServer(http.HandlerFunc(serveUpstream))
	t.Cleanup(func() { u.CloseClientConnections(); u.Close() })
	for _, n := range []string{"quick", "slow"} {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go announce.New(announce.Config{Node: s.announcements, Name: n, Service: n, Address: u.Listener.Addr().String(), Slots: 16, Connections: 64}).Run(ctx)
	}
	await(t, "accept", s.accept)
	s.wantOrdinaryAnswer(t)
	return s
}

// serveUpstream answers /slow after the caller has gone or at the end of the test, and
// /large with 4 MB.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/slow":
		select {
		case <-r.Context().Done():
		case <-time.After(waitTimeout):
		}
	case "/large":
		b := make([]byte, 1<<20)
		for range 4 {
			_, _ = w.Write(b)
		}
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "ok")
	}
}

func (s *system) accept() error {
	c, err := operator.NewClient(operator.ClientConfig{Control: []string{s.operators}, Timeout: time.Second})
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	const file = `{"Customer": "c",
		"Services": [{"Name": "quick", "Slots": 16, "Connections": 64}, {"Name": "slow", "Slots": 16, "Connections": 64}],
		"Ranks": [{"Name": "r", "Order": 1, "Target": "500ms", "Worth": 1, "Floor": 0}],
		"Routes": [
			{"Host": "h", "Method": "GET", "Path": "/quick", "Service": "quick", "Rank": "r", "Deadline": "10s", "Execution": "Idempotent"},
			{"Host": "h", "Method": "GET", "Path": "/slow", "Service": "slow", "Rank": "r", "Deadline": "30s", "Execution": "Idempotent"},
			{"Host": "h", "Method": "GET", "Path": "/large", "Service": "slow", "Rank": "r", "Deadline": "30s", "Execution": "Idempotent"},
			{"Host": "h", "Method": "POST", "Path": "/upload", "Service": "slow", "Rank": "r", "Deadline": "30s", "Execution": "Once"}]}`
	p, err := c.Plan(ctx, operator.PlanRequest{FileName: "c.jsonc", File: file})
	if err != nil {
		return err
	}
	_, err = c.Accept(ctx, operator.AcceptRequest{Base: p.Base, RequestID: fmt.Sprint(rand.Uint64()), FileName: "c.jsonc", File: file})
	return err
}

// wantOrdinaryAnswer checks that the node answers an ordinary request on a new
// connection. A refusal may be sent again.
func (s *system) wantOrdinaryAnswer(t *testing.T) {
	t.Helper()
	await(t, "ordinary request", func() error {
		c, err := net.DialTimeout("tcp", s.callers, time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := io.WriteString(c, "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		defer a.Body.Close()
		if b, err := io.ReadAll(a.Body); err != nil || string(b) != "ok" {
			return fmt.Errorf("status %d, %q, %w", a.StatusCode, b, err)
		}
		return nil
	})
}

// wantHealthy checks that both processes live, that p stayed under its bounds, and that
// the system answers callers and operators.
func (s *system) wantHealthy(t *testing.T, p *process) {
	t.Helper()
	for name, k := range map[string]*process{"control": s.control, "node": s.node} {
		select {
		case <-k.done:
			t.Fatalf("the %s has ended: %v", name, k.cmd.ProcessState)
		default:
		}
	}
	peak, open := p.peakMb(t), p.descriptors(t)
	t.Logf("peak %d MB, %d descriptors", peak, open)
	if peak > memoryMb {
		t.Errorf("got a peak of %d MB, want at most %d", peak, memoryMb)
	}
	if open > descriptors-descriptorMargin {
		t.Errorf("got %d open descriptors, want at most %d", open, descriptors-descriptorMargin)
	}
	s.wantOrdinaryAnswer(t)
	await(t, "operator request", s.accept)
}

func start(t *testing.T, folder, kind, text string) *process {
	t.Helper()
	f := filepath.Join(folder, kind+".jsonc")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := os.Create(filepath.Join(folder, kind+".log"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	// The hard limit keeps the runtime from raising the soft one.
	c := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", descriptors), binary, kind, "--settings", f)
	c.Dir, c.Stdout, c.Stderr = folder, l, l
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{c, make(chan struct{})}
	go func() {
		_ = c.Wait() // the exit status is shown by wantHealthy
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = c.Process.Kill()
		<-p.done
	})
	return p
}

// peakMb returns the highest resident memory so far.
func (p *process) peakMb(t *testing.T) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.Fields(v)[0])
			if err != nil {
				t.Fatal(err)
			}
			return n >> 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(l)
}

func reservePorts(t *testing.T) int {
	t.Helper()
	for range 100 {
		b := firstPort + rand.IntN((lastPort-firstPort)/portBlock)*portBlock
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b)); err == nil {
			t.Cleanup(func() { l.Close() })
			return b + 1
		}
	}
	t.Fatal("no free block of ports")
	return 0
}

func await(t *testing.T, what string, f func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

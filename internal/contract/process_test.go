package contract_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// waitTimeout only keeps a broken test from hanging; no result depends on how
	// long a healthy process takes.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// build compiles a command of this module once for all tests.
func build(t *testing.T, pkg string) string {
	t.Helper()
	builds.Lock()
	defer builds.Unlock()
	if f, ok := builds.files[pkg]; ok {
		return f
	}
	f := filepath.Join(builds.folder, filepath.Base(pkg)+".bin")
	c := exec.Command("go", "build", "-trimpath", "-o", f, pkg)
	c.Dir = moduleFolder
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v\n%s", pkg, err, out)
	}
	builds.files[pkg] = f
	return f
}

const moduleFolder = "../.."

var builds = struct {
	sync.Mutex
	folder string
	files  map[string]string
}{files: map[string]string{}}

func TestMain(m *testing.M) {
	d, err := os.MkdirTemp("", "gooseberrypick-contract-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	builds.folder = d
	code := m.Run()
	os.RemoveAll(d)
	os.Exit(code)
}

// process is one started program.
type process struct {
	name string
	cmd  *exec.Cmd
	log  bytes.Buffer // written by the program until done is closed
	done chan struct{}
	err  error // valid once done is closed
}

func start(t *testing.T, folder, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Dir = folder
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, tail(p.log.String(), 15))
		}
	})
	return p
}

func tail(s string, lines int) string {
	l := strings.Split(s, "\n")
	return strings.Join(l[max(0, len(l)-lines):], "\n")
}

// terminate sends SIGTERM and checks that the process ends with exit code 0.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("%s: %v", p.name, err)
	}
	select {
	case <-p.done:
		if p.err != nil {
			t.Errorf("%s: got %v, want exit code 0", p.name, p.err)
		}
	case <-time.After(waitTimeout):
		t.Errorf("%s did not end", p.name)
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// site is a working folder with the settings of an example, changed to free ports.
type site struct {
	folder   string
	binary   string
	settings []string
	ports    map[string]string
	nextPort int
}

var examplePort = regexp.MustCompile(`127\.0\.0\.1:(2[12]\d{3})`)

// newSite copies the settings of an example and gives every process free ports,
// so that several runs can share a machine. Nothing else is changed.
func newSite(t *testing.T, example string) *site {
	t.Helper()
	s := &site{folder: t.TempDir(), binary: build(t, "."), ports: map[string]string{}, nextPort: reservePorts(t)}
	files, err := filepath.Glob(filepath.Join(moduleFolder, "examples", example, "vms", "*.jsonc"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no settings in examples/%s/vms: %v", example, err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		b = examplePort.ReplaceAllFunc(b, func(a []byte) []byte { return []byte(s.address(t, string(a))) })
		n := filepath.Base(f)
		if err := os.WriteFile(filepath.Join(s.folder, n), b, 0o600); err != nil {
			t.Fatal(err)
		}
		s.settings = append(s.settings, n)
	}
	return s
}

const (
	// Ports below the usual range of ephemeral ports: an outgoing connection could
	// take a port of that range before the process listens on it.
	firstPort, lastPort = 10000, 32000
	// portBlock is the number of ports that one site takes.
	portBlock = 64
)

// reservePorts reserves a block of ports by listening on its first port, so that
// other sites, also those of other test processes, take other blocks. It returns the
// first usable port.
func reservePorts(t testing.TB) int {
	t.Helper()
	for range 100 {
		b := firstPort + rand.IntN((lastPort-firstPort)/portBlock)*portBlock
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b))
		if err == nil {
			t.Cleanup(func() { l.Close() })
			return b + 1
		}
	}
	t.Fatal("no free block of ports")
	return 0
}

// address returns the free address that replaces an address of the example.
func (s *site) address(t *testing.T, example string) string {
	t.Helper()
	if s.ports[example] == "" {
		s.ports[example] = fmt.Sprintf("127.0.0.1:%d", s.nextPort)
		s.nextPort++
	}
	return s.ports[example]
}

// startAll starts the processes whose settings begin with prefix.
func (s *site) startAll(t *testing.T, prefix string) []*process {
	t.Helper()
	var l []*process
	for _, f := range s.settings {
		if strings.HasPrefix(f, prefix) {
			l = append(l, s.start(t, f))
		}
	}
	return l
}

func (s *site) start(t *testing.T, file string) *process {
	t.Helper()
	kind, _, _ := strings.Cut(file, "-")
	return start(t, s.folder, file, s.binary, kind, "--settings", file)
}

// run runs an operator command and returns its output and exit code.
func (s *site) run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, s.binary, args...)
	c.Dir = s.folder
	out, err := c.CombinedOutput()
	if c.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), c.ProcessState.ExitCode()
}

// await polls until f returns nil.
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

// get sends a request and returns status, header and body of the response.
func get(method, address, host, path string, header http.Header, body io.Reader) (int, http.Header, string, error) {
	q, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return 0, nil, "", err
	}
	q.Host = host
	for k, v := range header {
		q.Header[k] = v
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, string(b), err
}

// awaitReady waits until /readyz of an admin address answers 200.
func awaitReady(t *testing.T, admin string) {
	t.Helper()
	await(t, "readiness of "+admin, func() error {
		status, _, body, err := get(http.MethodGet, admin, "", "/readyz", nil, nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, strings.TrimSpace(body))
		}
		return err
	})
}

// copyCustomer puts the customer file of pichler into the working folder.
func copyCustomer(t *testing.T, s *site) {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(moduleFolder, "examples", "pichler", "customer.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(s.folder, "customer.jsonc"), b, 0o600); err != nil {
		t.Fatal(err)
	}
}

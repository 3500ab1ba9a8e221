package mtls_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/examples"
	"github.com/gooseberrypick/gooseberrypick/internal/commands"
	"github.com/gooseberrypick/gooseberrypick/internal/control"
	"github.com/gooseberrypick/gooseberrypick/internal/mtls"
	"github.com/gooseberrypick/gooseberrypick/internal/node"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// waitLimit keeps a failing test from hanging.
const waitLimit = time.Minute

// start runs a process until the test ends.
func start(t *testing.T, p interface{ Run(context.Context) error }, err error) {
	t.Helper()
	must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func await(t *testing.T, what string, f func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

func run(args ...string) (int, string) {
	var out bytes.Buffer
	return commands.Execute(args, &out, &out), out.String()
}

func get(address, host, path string) error {
	q, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	q.Host = host
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil && (a.StatusCode != http.StatusOK || !strings.Contains(string(b), `"Upstream":"u"`)) {
		err = fmt.Errorf("status %d: %s", a.StatusCode, b)
	}
	return err
}

// Guards against communication between processes that fails with TLS in all settings,
// or works without a certificate.
func TestFleetWithTLS(t *testing.T) {
	a := newAuthority(t)
	ports, err := standin.ReservePorts()
	must(t, err)
	defer ports.Close()
	address := func() string {
		s, err := ports.Address()
		must(t, err)
		return s
	}
	files := func() settings.TLS { return a.write(t.TempDir(), a.issue(loopback, time.Hour)) }
	operators, inner := address(), address()
	c, err := control.New(control.Config{Log: logr.Discard(), Settings: settings.Control{
		Name: "c", AvailabilityZone: "z", Listen: operators, PeerListen: inner, AdminListen: address(), TLS: files(),
		Members: []settings.Member{{Name: "c", Address: inner}}, DataFolder: t.TempDir(),
		ClaimGroups: 1, ClaimRetention: time.Hour, StopLimit: time.Second,
	}})
	start(t, c, err)
	var nodes []settings.Node
	for _, name := range []string{"owner", "entry"} {
		s := settings.Node{
			Name: name, AvailabilityZone: "z", Control: []string{inner}, StopLimit: time.Second, TLS: files(),
			Listen: address(), UpstreamListen: address(), PeerListen: address(), AdminListen: address(),
		}
		n, err := node.New(node.Config{Log: logr.Discard(), Settings: s})
		start(t, n, err)
		nodes = append(nodes, s)
	}
	customer := filepath.Join(t.TempDir(), "customer.jsonc")
	must(t, os.WriteFile(customer, examples.Pichler, 0o600))
	await(t, "accept", func() error {
		if code, out := run("accept", customer, "--base=0", "--request-id=r", "--control", operators, "--authority", nodes[0].TLS.Authority); code != 0 {
			return fmt.Errorf("exit code %d: %s", code, out)
		}
		return nil
	})
	client := filepath.Join(filepath.Dir(nodes[0].TLS.Authority), "client.jsonc")
	must(t, os.WriteFile(client, []byte(`{"Control": ["`+operators+`"], "Authority": "authority.pem"}`), 0o600))
	if code, out := run("status", "--wait=60s", "--settings", client); code != 0 || !strings.Contains(out, "entry") {
		t.Errorf("status: got %d %s, want both nodes", code, out)
	}
	u := listen(t)
	s := &http.Server{Handler: standin.New("u", 0)}
	go s.Serve(u)
	t.Cleanup(func() { s.Close() })
	_, err = announce.New(announce.Config{
		Node: nodes[0].UpstreamListen, Name: "u", Service: "level-display", Address: u.Addr().String(), Slots: 1, Connections: 1,
	}).Announce(t.Context())
	must(t, err)
	await(t, "a request from node to node", func() error { return get(nodes[1].Listen, "levels.pichler.example", "/levels/17") })

	for name, address := range map[string]string{"control": inner, "node": nodes[0].PeerListen} {
		// A server that accepted the connection would answer at least "unknown method".
		if err := call(t.Context(), wire.DialTCP, address); errkind.Of(err) != errkind.Unreachable || strings.Contains(err.Error(), "unknown method") {
			t.Errorf("without TLS to the %s: got %v, want no connection", name, err)
		}
	}
	if code, out := run("status", "--control", operators); code != 3 || !strings.Contains(out, "the control uses TLS; pass --authority FILE") {
		t.Errorf("without --authority: got %d %s", code, out)
	}
	other := newAuthority(t).write(t.TempDir(), a.issue(loopback, time.Hour))
	if code, out := run("status", "--control", operators, "--authority", other.Authority); code != 3 || !strings.Contains(out, "unknown authority") {
		t.Errorf("with another authority: got %d %s", code, out)
	}
}

var bodies = []int{0, 1 << 10, 64 << 10}

// BenchmarkCall measures the overhead of TLS for a call on an open connection.
func BenchmarkCall(b *testing.B) {
	a := newAuthority(b)
	i, _ := a.identity(loopback, logr.Discard())
	for _, secured := range []bool{false, true} {
		for _, n := range bodies {
			b.Run(fmt.Sprintf("tls=%v/bytes=%d", secured, n), func(b *testing.B) {
				p, address := benchmarkPool(b, i, secured)
				q := &wire.ProposeRequest{Command: make([]byte, n)}
				for b.Loop() {
					_, err := wire.PoolCall[wire.ProposeRequest, wire.ProposeResponse](b.Context(), p, address, wire.MethodPropose, q)
					must(b, err)
				}
			})
		}
	}
}

func benchmarkPool(b *testing.B, i *mtls.Identity, secured bool) (*wire.Pool, string) {
	l, d := listen(b), wire.Dialer(wire.DialTCP)
	address := l.Addr().String()
	if secured {
		l, d = i.Listener(l), i.Dialer(d)
	}
	var calls atomic.Int32
	echo(b, l, &calls)
	p := wire.NewPool(d)
	b.Cleanup(func() { p.Close() })
	return p, address
}

// BenchmarkConnect measures the cost of a new connection with its first call.
func BenchmarkConnect(b *testing.B) {
	a := newAuthority(b)
	i, _ := a.identity(loopback, logr.Discard())
	for _, secured := range []bool{false, true} {
		b.Run(fmt.Sprintf("tls=%v", secured), func(b *testing.B) {
			_, address := benchmarkPool(b, i, secured)
			d := wire.Dialer(wire.DialTCP)
			if secured {
				d = i.Dialer(d)
			}
			for b.Loop() {
				must(b, call(b.Context(), d, address))
			}
		})
	}
}

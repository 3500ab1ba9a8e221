package mtls_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/gooseberrypick/gooseberrypick/internal/mtls"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const loopback = "127.0.0.1"

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// authority issues certificates. Its methods fail the test on an error.
type authority struct {
	t testing.TB
	*standin.Authority
}

func newAuthority(t testing.TB) authority {
	a, err := standin.NewAuthority()
	must(t, err)
	return authority{t, a}
}

func (a authority) issue(name string, valid time.Duration, usage ...x509.ExtKeyUsage) tls.Certificate {
	a.t.Helper()
	c, err := a.Issue(name, valid, usage...)
	must(a.t, err)
	return c
}

func (a authority) write(dir string, c tls.Certificate) settings.TLS {
	a.t.Helper()
	f, err := a.Write(dir, c)
	must(a.t, err)
	return f
}

func (a authority) identity(name string, l logr.Logger) (*mtls.Identity, settings.TLS) {
	a.t.Helper()
	f := a.write(a.t.TempDir(), a.issue(name, 24*time.Hour))
	i, err := mtls.New(mtls.Config{Files: f, Addresses: []string{name + ":1"}, Log: l})
	must(a.t, err)
	return i, f
}

// echo serves Propose calls, which return their command, and counts them.
func echo(t testing.TB, l net.Listener, calls *atomic.Int32) {
	m := wire.NewMux()
	wire.HandleUnary(m, wire.MethodPropose, func(_ context.Context, q *wire.ProposeRequest) (*wire.ProposeResponse, error) {
		calls.Add(1)
		return &wire.ProposeResponse{Result: q.Command}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- wire.Serve(ctx, l, m, wire.ServeOptions{}) }()
	t.Cleanup(func() { cancel(); <-done })
}

func call(ctx context.Context, d wire.Dialer, address string) error {
	p := wire.NewPool(d)
	defer p.Close()
	_, err := wire.PoolCall[wire.ProposeRequest, wire.ProposeResponse](ctx, p, address, wire.MethodPropose, &wire.ProposeRequest{Command: []byte("x")})
	return err
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", loopback+":0")
	must(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// peerCertificates returns TLS configurations that another process may use, by name.
func peerCertificates(a authority) map[string]struct {
	config *tls.Config // nil for a process without TLS
	client bool        // accepted from a client
	server bool        // accepted from a server
} {
	good, wrongKey := a.issue(loopback, time.Hour), a.issue(loopback, time.Hour)
	wrongKey.PrivateKey = a.issue(loopback, time.Hour).PrivateKey
	with := func(c ...tls.Certificate) *tls.Config {
		return &tls.Config{Certificates: c, MinVersion: tls.VersionTLS13}
	}
	old := with(good)
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	return map[string]struct {
		config         *tls.Config
		client, server bool
	}{
		"good":              {with(good), true, true},
		"no certificate":    {with(), false, false},
		"other authority":   {with(newAuthority(a.t).issue(loopback, time.Hour)), false, false},
		"expired":           {with(a.issue(loopback, -time.Minute)), false, false},
		"wrong key":         {with(wrongKey), false, false},
		"other address":     {with(a.issue("127.0.0.2", time.Hour)), true, false},
		"server's only":     {with(a.issue(loopback, time.Hour, x509.ExtKeyUsageServerAuth)), false, true},
		"client's only":     {with(a.issue(loopback, time.Hour, x509.ExtKeyUsageClientAuth)), true, false},
		"an older protocol": {old, false, false},
		"no TLS":            {nil, false, false},
	}
}

// Guards against processes without a valid certificate of the authority, which could
// read and forge messages and vote.
func TestRefusesWrongCertificates(t *testing.T) {
	a := newAuthority(t)
	i, _ := a.identity(loopback, logr.Discard())
	for name, c := range peerCertificates(a) {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			l := listen(t)
			echo(t, i.Listener(l), &calls)
			err := call(t.Context(), func(ctx context.Context, address string) (net.Conn, error) {
				raw, err := wire.DialTCP(ctx, address)
				if c.config == nil || err != nil {
					return raw, err
				}
				k := c.config.Clone()
				k.RootCAs, k.ServerName = a.Pool(), loopback
				return tls.Client(raw, k), nil
			}, l.Addr().String())
			if (err == nil) != c.client || (calls.Load() == 1) != c.client {
				t.Errorf("as a client: got %v after %d calls, want accepted %v", err, calls.Load(), c.client)
			}

			calls.Store(0)
			s := listen(t)
			if c.config != nil {
				s = tls.NewListener(s, c.config)
			}
			echo(t, s, &calls)
			err = call(t.Context(), i.Dialer(wire.DialTCP), s.Addr().String())
			if (err == nil) != c.server || (calls.Load() == 1) != c.server {
				t.Errorf("as a server: got %v after %d calls, want accepted %v", err, calls.Load(), c.server)
			}
			if e := errkind.From(err); err != nil && (e.Kind != errkind.ConnectFailed || e.Execution != errkind.NotRun) {
				t.Errorf("as a server: got kind %s, %s, want ConnectFailed, not-run", e.Kind, e.Execution)
			}
		})
	}
}

// Guards against connections that stall in the handshake and block others or stay open
// forever.
func TestStalledHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, _ := newAuthority(t).identity("server", logr.Discard())
		n := standin.NewNetwork()
		l, err := n.Listen("server:1")
		must(t, err)
		var calls atomic.Int32
		echo(t, i.Listener(l), &calls)
		var stalled []net.Conn
		for range 20 {
			c, err := n.Dial(t.Context(), "server:1")
			must(t, err)
			stalled = append(stalled, c)
		}
		start := time.Now()
		must(t, call(t.Context(), i.Dialer(n.Dial), "server:1"))
		if d := time.Since(start); d > 0 {
			t.Errorf("got a call after %s, want one at once", d)
		}
		for _, c := range stalled {
			c.SetReadDeadline(start.Add(time.Minute)) // fails on a closed connection
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("got %v, want the connection closed", err)
			}
		}
	})
}

// Guards against a process that starts with files that other processes refuse: it would
// look healthy, but could not communicate.
func TestFilesAreChecked(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	good := a.write(t.TempDir(), a.issue(loopback, time.Hour))
	other := b.write(t.TempDir(), b.issue(loopback, time.Hour))
	empty := filepath.Join(t.TempDir(), "empty")
	must(t, os.WriteFile(empty, []byte("-"), 0o600))
	leaf := a.issue(loopback, time.Hour, x509.ExtKeyUsageServerAuth)
	for name, c := range map[string]struct {
		files settings.TLS
		want  string
	}{
		"good":                  {good, ""},
		"no certificate file":   {settings.TLS{Certificate: "none", Key: good.Key, Authority: good.Authority}, "TLS.Certificate: cannot read the file: open none"},
		"no key file":           {settings.TLS{Certificate: good.Certificate, Key: "none", Authority: good.Authority}, "TLS.Key: cannot read the file"},
		"no authority file":     {settings.TLS{Certificate: good.Certificate, Key: good.Key, Authority: "none"}, "TLS.Authority: cannot read the file"},
		"no PEM":                {settings.TLS{Certificate: empty, Key: good.Key, Authority: good.Authority}, "empty: holds no certificate in PEM"},
		"no PEM in key":         {settings.TLS{Certificate: good.Certificate, Key: empty, Authority: good.Authority}, "empty: holds no key in PEM"},
		"no PEM in authority":   {settings.TLS{Certificate: good.Certificate, Key: good.Key, Authority: empty}, "empty: holds no certificate in PEM"},
		"key as authority":      {settings.TLS{Certificate: good.Certificate, Key: good.Key, Authority: good.Key}, `is not a certificate, but "PRIVATE KEY"`},
		"leaf as authority":     {settings.TLS{Certificate: good.Certificate, Key: good.Key, Authority: good.Certificate}, "is not that of an authority"},
		"key of another":        {settings.TLS{Certificate: good.Certificate, Key: other.Key, Authority: good.Authority}, "does not match TLS.Certificate"},
		"other authority":       {settings.TLS{Certificate: good.Certificate, Key: good.Key, Authority: other.Authority}, "unknown authority"},
		"expired":               {a.write(t.TempDir(), a.issue(loopback, -time.Hour)), "has expired"},
		"for servers only":      {a.write(t.TempDir(), leaf), "incompatible key usage"},
		"of another address":    {a.write(t.TempDir(), a.issue("127.0.0.2", time.Hour)), "does not name 127.0.0.1, by which others reach this process"},
		"of a name, not the IP": {a.write(t.TempDir(), a.issue("localhost", time.Hour)), "does not name 127.0.0.1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := mtls.New(mtls.Config{Files: c.files, Addresses: []string{loopback + ":1", "0.0.0.0:2"}, Log: logr.Discard()})
			if c.want == "" {
				must(t, err)
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) || errkind.Of(err) != errkind.Usage {
				t.Errorf("got %v (kind %s), want %q", err, errkind.Of(err), c.want)
			}
		})
	}
}

// Guards against certificates that only a restart can replace, so that a whole fleet
// fails when they expire, and against using files that are only partly replaced.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failures atomic.Int32
		log := funcr.New(func(_, args string) {
			if strings.Contains(args, "stay in effect") || strings.Contains(args, "has expired") {
				failures.Add(1)
			}
		}, funcr.Options{})
		n, a := standin.NewNetwork(), newAuthority(t)
		server, files := a.identity("server", log)
		client, _ := a.identity("client", logr.Discard())
		l, err := n.Listen("server:1")
		must(t, err)
		var calls atomic.Int32
		echo(t, server.Listener(l), &calls)
		connect := func(what string, ok bool, failed int32) {
			t.Helper()
			time.Sleep(mtls.ReloadInterval)
			failures.Store(0)
			if err := call(t.Context(), client.Dialer(n.Dial), "server:1"); (err == nil) != ok || failures.Load() != failed {
				t.Errorf("%s: got %v and %d log lines, want accepted %v and %d", what, err, failures.Load(), ok, failed)
			}
		}
		connect("at the start", true, 0)
		next := a.issue("server", 48*time.Hour)
		b, err := os.ReadFile(files.Key)
		must(t, err)
		a.write(filepath.Dir(files.Key), next)
		newKey, err := os.ReadFile(files.Key)
		must(t, err)
		must(t, os.WriteFile(files.Key, b, 0o600))
		connect("with the certificate replaced and the key not yet", true, 1)
		must(t, os.WriteFile(files.Key, newKey, 0o600))
		connect("with both replaced", true, 0)
		must(t, os.Remove(files.Authority))
		connect("with a file removed", true, 1)
		a.write(filepath.Dir(files.Key), next)

		time.Sleep(47 * time.Hour)
		client, _ = a.identity("client", logr.Discard())
		connect("shortly before the end", true, 0)
		time.Sleep(time.Hour)
		connect("expired", false, 1)
		a.write(filepath.Dir(files.Key), a.issue("server", time.Hour))
		connect("replaced after it expired", true, 0)
		o := newAuthority(t)
		o.write(filepath.Dir(files.Key), o.issue("server", time.Hour))
		connect("of another authority", false, 0)
		client, _ = o.identity("client", logr.Discard())
		connect("of the same authority again", true, 0)
	})
}

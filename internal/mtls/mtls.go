// Package mtls secures connections between processes with mutual TLS. Both ends must
// present a certificate of the same authority, and the certificate of the called end
// must name the address to which the other end connected. Only the clients of a
// ServerListener need no certificate.
//
// # Usage
//
//	i, err := mtls.New(mtls.Config{Files: s.TLS, Addresses: []string{s.PeerListen}, Log: l})
//	if err != nil {
//		return err // kind errkind.Usage; names the settings key and the file
//	}
//	err = wire.Serve(ctx, i.Listener(listener), mux, options)
//	pool := wire.NewPool(i.Dialer(wire.DialTCP))
//
// The files are reloaded while the process runs. A change takes effect for new
// connections. If the new files are invalid, the error is logged and the previous
// certificate stays in effect. Connections stay open when a certificate expires.
//
// Any certificate of the authority permits all calls between processes, so the
// authority must issue certificates only to the processes of this system.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// ReloadInterval is the minimum time between two reloads of the files. A new
// connection triggers the reload.
const ReloadInterval = 10 * time.Second

// Config configures an Identity.
type Config struct {
	Files settings.TLS
	// Addresses are the addresses by which other processes reach this one. The
	// certificate must name their hosts, except for unspecified IPs.
	Addresses []string
	Log       logr.Logger
}

// Identity holds the certificate of this process and the authority that it trusts. It
// is safe for concurrent use.
type Identity struct {
	c       Config
	current atomic.Pointer[state]

	mu      sync.Mutex // held during a reload
	checked time.Time
	last    fileContents // contents of the files in effect
}

// state is the certificate and the authority from one load of the files. It is
// immutable.
type state struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

// New reads and checks the files.
func New(c Config) (*Identity, error) {
	i := &Identity{c: c, checked: time.Now()}
	l, err := read(c.Files)
	if err != nil {
		return nil, err
	}
	s, err := i.parse(l, i.checked)
	if err != nil {
		return nil, err
	}
	i.last = l
	i.use(s)
	return i, nil
}

func (i *Identity) use(s *state) {
	i.current.Store(s)
	i.c.Log.Info("certificate in effect", "file", i.c.Files.Certificate,
		"subject", s.certificate.Leaf.Subject.String(), "expires", s.certificate.Leaf.NotAfter.UTC().Format(time.RFC3339))
}

// state returns the state in effect. It reloads the files first if ReloadInterval has
// passed, unless another goroutine is doing so.
func (i *Identity) state() *state {
	if i.mu.TryLock() {
		defer i.mu.Unlock()
		if now := time.Now(); now.Sub(i.checked) >= ReloadInterval {
			i.checked = now
			i.reload(now)
		}
	}
	return i.current.Load()
}

// reload puts the files into effect if they changed and are valid. Certificate and key
// are replaced one after the other, so a pair that does not match now may match at a
// later reload.
func (i *Identity) reload(now time.Time) {
	l, err := read(i.c.Files)
	var s *state
	if err == nil {
		if l.equal(i.last) {
			i.warnExpired(now)
			return
		}
		s, err = i.parse(l, now)
	}
	if err != nil {
		i.c.Log.Error(err, "TLS files are invalid; the previous ones stay in effect")
		return
	}
	i.last = l
	i.use(s)
}

// warnExpired logs an error if the certificate in effect has expired, because other
// processes then refuse new connections.
func (i *Identity) warnExpired(now time.Time) {
	if c := i.current.Load().certificate.Leaf; now.After(c.NotAfter) {
		i.c.Log.Error(nil, "certificate has expired; replace the files, the process need not restart",
			"file", i.c.Files.Certificate, "expired", c.NotAfter.UTC().Format(time.RFC3339))
	}
}

// serverConfig returns the TLS configuration of the called end.
func (s *state) serverConfig(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		ClientCAs:    s.pool,
		ClientAuth:   auth,
		// A resumed session would keep the authority of its first connection, even after a
		// reload.
		SessionTicketsDisabled: true,
	}
}

// clientConfig returns the TLS configuration of the calling end.
func (s *state) clientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.pool,
		ServerName:   host,
	}
}

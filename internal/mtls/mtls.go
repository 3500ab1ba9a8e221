// Package mtls secures connections between processes with mutual TLS: both ends
// present a certificate of one authority, and the called end one that names the
// address it was called by.
//
// # Usage
//
//	i, err := mtls.New(mtls.Config{Files: s.TLS, Addresses: []string{s.PeerListen}, Log: l})
//	if err != nil {
//		return err // kind errkind.Usage; names the setting and the file
//	}
//	err = wire.Serve(ctx, i.Listener(listener), mux, options)
//	pool := wire.NewPool(i.Dialer(wire.DialTCP))
//
// The files are read again while the process runs. A change takes effect for new
// connections; files that cannot be used are logged, and the ones before stay in
// effect. Connections stay open when a certificate expires.
//
// Any certificate of the authority allows every inner call, so the authority
// must issue certificates to the processes of this system alone.
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

// ReloadInterval is how often the files are read again, at a new connection.
const ReloadInterval = 10 * time.Second

// Config says what an Identity is.
type Config struct {
	Files settings.TLS
	// Addresses are those by which other processes reach this one. The
	// certificate must name their hosts.
	Addresses []string
	Log       logr.Logger
}

// Identity is the certificate of this process with the authority that it trusts.
// It is safe for concurrent use.
type Identity struct {
	c       Config
	current atomic.Pointer[state]

	mu      sync.Mutex // held while the files are read again
	checked time.Time
	last    content // what was read last, whether or not it is in effect
}

// state is what one reading of the files resulted in. It is immutable.
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

// state returns the newest usable state.
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

// reload uses the files if they changed and are usable. Certificate and key are
// replaced one after the other, so a pair that does not match may match later.
func (i *Identity) reload(now time.Time) {
	l, err := read(i.c.Files)
	var s *state
	if err == nil {
		if l.equal(i.last) {
			i.warn(now)
			return
		}
		s, err = i.parse(l, now)
	}
	if err != nil {
		i.c.Log.Error(err, "TLS files not usable; the ones read before stay in effect")
		return
	}
	i.last = l
	i.use(s)
}

// warn logs that the certificate in effect has expired, since other processes
// then refuse new connections.
func (i *Identity) warn(now time.Time) {
	if c := i.current.Load().certificate.Leaf; now.After(c.NotAfter) {
		i.c.Log.Error(nil, "certificate has expired; replace the files, the process need not restart",
			"file", i.c.Files.Certificate, "expired", c.NotAfter.UTC().Format(time.RFC3339))
	}
}

// server returns the configuration of the called end.
func (s *state) server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		ClientCAs:    s.pool,
		ClientAuth:   auth,
		// A resumed session would keep the authority of its first connection.
		SessionTicketsDisabled: true,
	}
}

// client returns the configuration of the calling end.
func (s *state) client(host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.pool,
		ServerName:   host,
	}
}

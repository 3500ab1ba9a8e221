package mtls

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// maxFileBytes bounds the size of a file, so that a wrong path does not exhaust the
// memory.
const maxFileBytes = 1 << 20

// fileContents holds the contents of the files.
type fileContents struct{ certificate, key, authority []byte }

func (c fileContents) equal(o fileContents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.authority, o.authority)
}

func read(f settings.TLS) (fileContents, error) {
	var c fileContents
	for _, e := range []struct {
		to        *[]byte
		key, name string
	}{
		{&c.certificate, "TLS.Certificate", f.Certificate},
		{&c.key, "TLS.Key", f.Key},
		{&c.authority, "TLS.Authority", f.Authority},
	} {
		b, err := readFile(e.name)
		if err != nil {
			return c, errkind.Wrap(err, errkind.Usage, "%s: cannot read the file", e.key)
		}
		*e.to = b
	}
	return c, nil
}

func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(b) > maxFileBytes {
		err = errkind.New(errkind.TooLarge, "%s exceeds %d bytes", name, maxFileBytes)
	}
	return b, err
}

// ReadAuthority reads a PEM file with the certificates of authorities.
func ReadAuthority(name string) (*x509.CertPool, error) {
	b, err := readFile(name)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "cannot read the authority")
	}
	return parseAuthority(name, b)
}

func parseAuthority(name string, b []byte) (*x509.CertPool, error) {
	p, n := x509.NewCertPool(), 0
	for rest := b; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil || block.Type != "CERTIFICATE" {
			return nil, errkind.New(errkind.Usage, "%s: block %d is not a certificate, but %q; expected certificates of authorities", name, n+1, block.Type)
		}
		if !c.IsCA {
			return nil, errkind.New(errkind.Usage, "%s: the certificate of %q is not that of an authority", name, c.Subject)
		}
		p.AddCert(c)
		n++
	}
	if n == 0 {
		return nil, errkind.New(errkind.Usage, "%s: holds no certificate in PEM", name)
	}
	return p, nil
}

// parse parses the files and checks everything for which another process would refuse
// the certificate.
func (i *Identity) parse(c fileContents, now time.Time) (*state, error) {
	f := i.c.Files
	if block, _ := pem.Decode(c.certificate); block == nil {
		return nil, errkind.New(errkind.Usage, "TLS.Certificate %s: holds no certificate in PEM", f.Certificate)
	}
	if block, _ := pem.Decode(c.key); block == nil {
		return nil, errkind.New(errkind.Usage, "TLS.Key %s: holds no key in PEM", f.Key)
	}
	k, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "TLS.Key %s does not match TLS.Certificate %s", f.Key, f.Certificate)
	}
	p, err := parseAuthority("TLS.Authority "+f.Authority, c.authority)
	if err != nil {
		return nil, err
	}
	s := &state{certificate: k, pool: p}
	return s, i.verify(s, now)
}

func (i *Identity) verify(s *state, now time.Time) error {
	f, leaf := i.c.Files, s.certificate.Leaf
	intermediates := x509.NewCertPool()
	for _, b := range s.certificate.Certificate[1:] {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return errkind.Wrap(err, errkind.Usage, "TLS.Certificate %s", f.Certificate)
		}
		intermediates.AddCert(c)
	}
	for _, u := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := leaf.Verify(x509.VerifyOptions{Roots: s.pool, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{u}})
		if err != nil {
			return errkind.Wrap(err, errkind.Usage,
				"TLS.Certificate %s would be refused by other processes with TLS.Authority %s; it must be valid now, for servers and for clients", f.Certificate, f.Authority)
		}
	}
	for _, a := range i.c.Addresses {
		host, named := hostOf(a)
		if !named {
			continue
		}
		if err := leaf.VerifyHostname(host); err != nil {
			return errkind.Wrap(err, errkind.Usage,
				"TLS.Certificate %s does not name %s, by which others reach this process", f.Certificate, host)
		}
	}
	return nil
}

// hostOf returns the host of an address, and false if it is an unspecified IP, which
// stands for all addresses of the VM.
func hostOf(address string) (string, bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address, true
	}
	ip, err := netip.ParseAddr(host)
	return host, err != nil || !ip.IsUnspecified()
}

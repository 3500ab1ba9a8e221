package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// authorityLifetime is how long the certificate of an Authority is valid.
const authorityLifetime = 1000 * time.Hour

// Authority issues certificates to the processes of a test.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key, which nothing trusts by default.
func NewAuthority() (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the key of the authority")
	}
	now := time.Now()
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(authorityLifetime), KeyUsage: x509.KeyUsageCertSign,
	}
	b, err := x509.CreateCertificate(rand.Reader, c, c, k.Public(), k)
	if err != nil {
		return nil, errors.Wrap(err, "create the certificate of the authority")
	}
	c, err = x509.ParseCertificate(b)
	return &Authority{c, k}, errors.Wrap(err, "parse the certificate of the authority")
}

// Issue returns a certificate for an IP address or a DNS name and for the given uses,
// by default for servers and clients. It is valid for the given time, or already
// expired if that time is negative.
func (a *Authority) Issue(name string, valid time.Duration, usage ...x509.ExtKeyUsage) (tls.Certificate, error) {
	if usage == nil {
		usage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "generate the key of %s", name)
	}
	now := time.Now()
	c := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name}, ExtKeyUsage: usage,
		NotBefore: now.Add(min(0, valid) - time.Hour), NotAfter: now.Add(valid),
	}
	if ip := net.ParseIP(name); ip != nil {
		c.IPAddresses = []net.IP{ip}
	} else {
		c.DNSNames = []string{name}
	}
	b, err := x509.CreateCertificate(rand.Reader, c, a.certificate, k.Public(), a.key)
	return tls.Certificate{Certificate: [][]byte{b}, PrivateKey: k}, errors.Wrapf(err, "create the certificate of %s", name)
}

// Pool returns a pool that holds only the certificate of the authority.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.certificate)
	return p
}

// Write writes c and the authority's certificate into a folder and returns the
// settings that name the files.
func (a *Authority) Write(folder string, c tls.Certificate) (settings.TLS, error) {
	f := settings.TLS{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	k, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return f, errors.Wrap(err, "encode the key")
	}
	for name, b := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: c.Certificate[0]},
		f.Key:         {Type: "PRIVATE KEY", Bytes: k},
		f.Authority:   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(b), 0o600); err != nil {
			return f, err
		}
	}
	return f, nil
}

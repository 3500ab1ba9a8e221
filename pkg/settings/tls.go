package settings

import (
	"path/filepath"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
)

// TLS names the files, in PEM, of the TLS connections between processes. Keys
// are in Pascal case, and an initialism keeps its capitals, as in the names of
// Go and in the word that operators search for; so the key is TLS, not Tls.
// Relative names count from the folder of the settings file.
type TLS struct {
	// Certificate is that of this process, followed by the ones between it and
	// the authority. It names the IP addresses by which others reach the process.
	Certificate string
	// Key is the private key of Certificate.
	Key string
	// Authority holds the certificates of the authorities that issue those of
	// all processes.
	Authority string
}

// Enabled reports whether the settings ask for TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// within returns t with names that count from the folder of the settings file.
func (t TLS) within(file string) TLS {
	return TLS{Certificate: beside(file, t.Certificate), Key: beside(file, t.Key), Authority: beside(file, t.Authority)}
}

// beside returns name as it counts from the folder of file.
func beside(file, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(file), name)
}

func (c checker) tls(t TLS) {
	for _, f := range []struct{ key, name string }{{"Certificate", t.Certificate}, {"Key", t.Key}, {"Authority", t.Authority}} {
		if p := jsonc.Path("TLS", f.key); c.d.Valid(p) && f.name == "" {
			c.d.Fault(p, "empty", "a file in PEM")
		}
	}
}

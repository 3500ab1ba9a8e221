package settings

import (
	"path/filepath"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
)

// TLS holds the paths of the PEM files for TLS connections between processes.
// Relative paths are resolved against the folder of the settings file.
//
// Settings keys are in Pascal case, and initialisms keep their capitals as in Go
// names and in the word that operators search for. So the key is TLS, not Tls.
type TLS struct {
	// Certificate is the certificate of this process, followed by the intermediate
	// ones. It must name the IP addresses by which others reach the process.
	Certificate string
	// Key is the private key of Certificate.
	Key string
	// Authority holds the certificates of the authorities that issue the
	// certificates of all processes.
	Authority string
}

// Enabled reports whether the settings enable TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// resolve returns t with its paths resolved against the folder of the settings file.
func (t TLS) resolve(file string) TLS {
	return TLS{Certificate: resolvePath(file, t.Certificate), Key: resolvePath(file, t.Key), Authority: resolvePath(file, t.Authority)}
}

// resolvePath resolves the path name against the folder of file.
func resolvePath(file, name string) string {
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

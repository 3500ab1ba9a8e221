package settings

import (
	"net/netip"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Client holds the settings of the operator commands.
type Client struct {
	// Control lists the Listen addresses of controls.
	Control []string `jsonc:"max=100"`
	// TokenFile is the path of the file with the bearer token. A relative path is
	// resolved against the folder of the settings file.
	TokenFile string `jsonc:"optional"`
	// Authority is the path of a PEM file with the certificates of the authorities
	// that issue the certificates of the controls. It is needed for controls that use
	// TLS. A relative path is resolved like that of TokenFile.
	Authority string `jsonc:"optional"`
}

// ReadClient reads the settings of the operator commands.
func ReadClient(file string) (*Client, error) {
	b, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseClient(file, b)
}

// ParseClient decodes and checks the settings of the operator commands. The file
// name appears in errors, and relative paths are resolved against its folder.
func ParseClient(file string, data []byte) (*Client, error) {
	s := &Client{}
	d := jsonc.Parse(file, data)
	d.Decode(s)
	c := checker{d}
	if d.Valid("Control") && len(s.Control) == 0 {
		d.Fault("Control", "empty", "the Listen address of at least one control")
	}
	seen := map[netip.AddrPort]bool{}
	for i, a := range s.Control {
		c.peerAddress(jsonc.Index("Control", i), a, seen)
	}
	if err := d.Err(); err != nil {
		return nil, errkind.New(errkind.Usage, "%v", err)
	}
	s.TokenFile, s.Authority = resolvePath(file, s.TokenFile), resolvePath(file, s.Authority)
	return s, nil
}

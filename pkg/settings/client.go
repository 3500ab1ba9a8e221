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
	// TokenFile holds the bearer token. A relative name counts from the folder
	// of the settings file.
	TokenFile string `jsonc:"optional"`
	// Authority holds the certificates of the authorities that issue those of
	// the controls, in PEM. It is for controls with TLS in their settings. A
	// relative name counts as that of TokenFile does.
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

// ParseClient decodes and checks the settings of the operator commands. The
// file is named in errors.
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
		c.peer(jsonc.Index("Control", i), a, seen)
	}
	if err := d.Err(); err != nil {
		return nil, errkind.New(errkind.Usage, "%v", err)
	}
	s.TokenFile, s.Authority = beside(file, s.TokenFile), beside(file, s.Authority)
	return s, nil
}

package distribution

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// maxUpdateBytes bounds one update, packed or unpacked.
const maxUpdateBytes = 64 << 20

// assembly collects the chunks of one update.
type assembly struct {
	to   uint64
	data []byte
}

// add returns the whole update once its last chunk arrived.
func (a *assembly) add(c *wire.ConfigChunk) ([]byte, error) {
	if c.To != a.to {
		a.to, a.data = c.To, nil
	}
	if len(a.data)+len(c.Data) > maxUpdateBytes {
		return nil, errors.Errorf("update to version %d exceeds %d bytes", c.To, maxUpdateBytes)
	}
	a.data = append(a.data, c.Data...)
	if !c.Last {
		return nil, nil
	}
	d := a.data
	*a = assembly{}
	if !c.Compressed {
		return d, nil
	}
	r := flate.NewReader(bytes.NewReader(d))
	defer r.Close()
	u, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack update")
	}
	if len(u) > maxUpdateBytes {
		return nil, errors.Errorf("update to version %d exceeds %d bytes", c.To, maxUpdateBytes)
	}
	return u, nil
}

func (s *session) config(c *wire.ConfigChunk) error {
	n := s.client
	d, err := s.assembly.add(c)
	if err != nil {
		return err
	}
	if d == nil {
		return nil
	}
	ack := &wire.Ack{}
	if err := n.applyUpdate(d); err != nil {
		n.c.Log.Error(err, "configuration refused", "refused", c.To, "version", n.Table().Version())
		ack.Refused, ack.Reason = c.To, err.Error()
	}
	ack.Version = n.Table().Version()
	return s.send(&wire.NodeMessage{Ack: ack})
}

// applyUpdate builds a new table from an encoded update, checks it whole and
// puts it in force. Any fault leaves the old table as it is.
func (n *Client) applyUpdate(d []byte) error {
	var u wire.ConfigUpdate
	if err := wire.UnmarshalLarge(d, &u); err != nil {
		return err
	}
	t := n.Table()
	if u.To <= t.Version() {
		return nil // late or doubled
	}
	next, err := nextTable(t, &u)
	if err != nil {
		return err
	}
	n.table.Store(next)
	n.c.Log.Info("configuration in force", "version", next.Version(), "from", u.From)
	if n.c.Applied != nil {
		n.c.Applied(next)
	}
	return nil
}

// nextTable returns the table after u, or an error without any effect.
func nextTable(t *table.Table, u *wire.ConfigUpdate) (*table.Table, error) {
	if u.From != 0 && u.From != t.Version() {
		return nil, errors.Errorf("update starts at version %d", u.From)
	}
	base := t
	if u.From == 0 {
		base = table.Empty
	}
	changed := map[string]*customer.Config{}
	for _, d := range u.Changes {
		c := changed[d.Customer]
		if c == nil {
			c = base.Configs()[d.Customer]
		}
		if c == nil {
			c = customer.NewConfig(d.Customer)
		}
		c, err := c.WithChange(d)
		if err != nil {
			return nil, errors.Wrapf(err, "customer %q", d.Customer)
		}
		changed[d.Customer] = c
	}
	l := make([]*customer.Config, 0, len(changed))
	for c := range maps.Values(changed) {
		l = append(l, c)
	}
	next, err := base.With(u.To, l)
	if err != nil {
		return nil, err
	}
	if got := next.Digest(); got != u.Digest {
		return nil, errors.Errorf("digest of version %d is %016x; expected %016x", u.To, got, u.Digest)
	}
	return next, nil
}

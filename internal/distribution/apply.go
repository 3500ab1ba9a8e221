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

// maxUpdateBytes is the maximum size of one update, both compressed and
// decompressed. It is half of the memory that a node may use; 2,300 services with
// ten routes each take about 5 MiB.
const maxUpdateBytes = 32 << 20

// chunkAssembler collects the chunks of one update.
type chunkAssembler struct {
	to   uint64
	data []byte
	err  error
}

// add stores one chunk. After the last chunk of an update it returns the data or an
// error, and last is true. It returns no error before that, so that each update is
// answered once.
func (a *chunkAssembler) add(c *wire.ConfigChunk) (data []byte, last bool, err error) {
	if c.Offset == 0 {
		*a = chunkAssembler{to: c.To}
	}
	switch {
	case a.err != nil:
	case c.To != a.to || c.Offset != len(a.data):
		a.err = errors.Errorf("part at byte %d of version %d follows byte %d of version %d", c.Offset, c.To, len(a.data), a.to)
	case len(a.data)+len(c.Data) > maxUpdateBytes:
		a.err = errors.Errorf("update exceeds %d bytes", maxUpdateBytes)
	default:
		a.data = append(a.data, c.Data...)
	}
	if !c.Last {
		return nil, false, nil
	}
	d, err := a.data, a.err
	*a = chunkAssembler{}
	if err == nil && c.Compressed {
		d, err = decompress(d)
	}
	return d, true, err
}

// decompress inflates d. It returns an error if the result exceeds maxUpdateBytes.
func decompress(d []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(d))
	defer r.Close()
	u, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack update")
	}
	if len(u) > maxUpdateBytes {
		return nil, errors.Errorf("update exceeds %d bytes unpacked", maxUpdateBytes)
	}
	return u, nil
}

// handleChunk adds a chunk. It acknowledges each complete update with the version in
// force, and with the reason if the update was refused.
func (s *session) handleChunk(c *wire.ConfigChunk) error {
	n := s.client
	d, last, err := s.assembly.add(c)
	if !last {
		return nil
	}
	if err == nil {
		s.silenceTimer.Stop() // applying a large update may take longer than the timeout
		err = n.applyUpdate(c.To, d)
		s.silenceTimer.Reset(silenceTimeout)
	}
	ack := &wire.Ack{}
	if err != nil {
		n.c.Log.Error(err, "configuration refused", "refused", c.To, "version", n.Table().Version())
		ack.Refused, ack.Reason = c.To, err.Error()
	}
	ack.Version = n.Table().Version()
	return s.send(&wire.NodeMessage{Ack: ack})
}

// applyUpdate builds a new table from an encoded update, validates it and puts it in
// force. On an error the old table stays in force.
func (n *Client) applyUpdate(to uint64, d []byte) error {
	var u wire.ConfigUpdate
	if err := wire.UnmarshalLarge(d, &u); err != nil {
		return err
	}
	if l := n.lineageInForce(); u.Lineage != l {
		return errors.Errorf("update is of lineage %q; expected %q", u.Lineage, l)
	}
	if u.To != to {
		return errors.Errorf("update to version %d came as version %d", u.To, to)
	}
	t := n.Table()
	if u.To <= t.Version() {
		return nil // delayed or duplicate update
	}
	next, err := nextTable(t, &u)
	if err != nil {
		return err
	}
	n.table.Store(next)
	n.c.Log.Info("configuration in force", "version", next.Version(), "from", u.From)
	if n.c.OnApplied != nil {
		n.c.OnApplied(next)
	}
	return nil
}

// nextTable returns the table that results from applying u to t, and checks its
// digest. It does not modify t.
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

package versions

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// minPackBytes is the size from which compression is worthwhile. Whole
// configurations shrink to about a tenth, both in transit and on disk.
const minPackBytes = 4 << 10

// packed is the body of a Packed command.
type packed struct {
	Command []byte `cbor:"1,keyasint"`
}

// pack compresses an encoded command into a Packed command.
func pack(c []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack command")
	}
	if _, err := w.Write(c); err != nil {
		return nil, errors.Wrap(err, "pack command")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack command")
	}
	return encode(typePacked, packed{Command: b.Bytes()})
}

// unpack decompresses and decodes the command inside a Packed command. Packed
// commands must not be nested.
func unpack(e envelope) (any, error) {
	var p packed
	if err := unmarshal(e.Body, &p); err != nil {
		return nil, errors.Wrap(err, "decode packed command")
	}
	r := flate.NewReader(bytes.NewReader(p.Command))
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, MaxCommandBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack command")
	}
	if len(b) > MaxCommandBytes {
		return nil, errors.Errorf("packed command exceeds %d bytes", MaxCommandBytes)
	}
	var inner envelope
	if err := unmarshal(b, &inner); err != nil {
		return nil, errors.Wrap(err, "decode packed envelope")
	}
	if inner.Type == typePacked {
		return nil, errors.New("packed command inside a packed one")
	}
	return decode(b)
}

package versions

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// MaxCommandBytes bounds an encoded command. It leaves room in an inner message
// of 4 MiB for the fields around the log entry.
const MaxCommandBytes = 3 << 20

// MaxNameBytes bounds customer names, request IDs, authors and file names.
const MaxNameBytes = 256

// commandVersion is the newest version of commands that this release reads, and
// the one that it proposes. A release that changes what a command does, also by
// a check or a bound, raises it, and applies commands of earlier versions as the
// earlier releases do. A member that reads a later version stops, so a release
// reads a new version before the next release proposes it.
const commandVersion = 1

type commandType string

const (
	typeAccept        commandType = "Accept"
	typeRememberNodes commandType = "RememberNodes"
	typeForgetNodes   commandType = "ForgetNodes"
	// typePacked holds the compressed form of another command.
	typePacked commandType = "Packed"
)

// envelope is the encoded form of every command.
type envelope struct {
	Version int             `cbor:"1,keyasint"`
	Type    commandType     `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Accept makes a new version of one customer. It carries the compiled resources
// beside the file, because members with another release could compile the file
// to something else.
type Accept struct {
	Customer  string              `cbor:"1,keyasint"`
	Base      uint64              `cbor:"2,keyasint"`
	RequestID string              `cbor:"3,keyasint"`
	Author    string              `cbor:"4,keyasint"`
	Time      time.Time           `cbor:"5,keyasint"`
	FileName  string              `cbor:"6,keyasint"`
	File      []byte              `cbor:"7,keyasint"`
	Resources []customer.Resource `cbor:"8,keyasint"`
	// Number is the operator's own number of the version and BaseNumber that of
	// the version it builds on. With a Number, BaseNumber replaces Base.
	Number     uint64 `cbor:"9,keyasint,omitempty"`
	BaseNumber uint64 `cbor:"10,keyasint,omitempty"`
}

// RememberNodes adds nodes to the known nodes. The time of each node in Nodes
// is ignored; Time counts.
type RememberNodes struct {
	Nodes []Node    `cbor:"1,keyasint"`
	Time  time.Time `cbor:"2,keyasint"`
}

// ForgetNodes removes nodes from the known nodes.
type ForgetNodes struct {
	Names []string `cbor:"1,keyasint"`
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	// The default encoding of times drops the fraction of a second.
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

func newDecoder() cbor.DecMode {
	// A snapshot at the target holds 37,000 nodes and 26,000 request IDs.
	// Unknown fields are those of a newer release.
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 1 << 20, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

// Encode returns the command to propose.
func (a Accept) Encode() ([]byte, error) {
	c, err := encode(typeAccept, a)
	if err != nil || a.Number == 0 || len(c) < packFrom {
		return c, err
	}
	return pack(c)
}

// Encode returns the command to propose.
func (r RememberNodes) Encode() ([]byte, error) { return encode(typeRememberNodes, r) }

// Encode returns the command to propose.
func (f ForgetNodes) Encode() ([]byte, error) { return encode(typeForgetNodes, f) }

func encode(t commandType, body any) ([]byte, error) {
	b, err := encoder.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", t)
	}
	c, err := encoder.Marshal(envelope{Version: commandVersion, Type: t, Body: b})
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", t)
	}
	if len(c) > MaxCommandBytes {
		return nil, errkind.New(errkind.TooLarge, "the compiled file takes %d bytes, more than %d", len(c), MaxCommandBytes)
	}
	return c, nil
}

// Check reports why this release cannot read a command. The kind is Outdated for
// one of a newer release.
func Check(command []byte) error {
	c, err := decode(command)
	if a, ok := c.(Accept); ok && err == nil {
		_, err = a.config(customer.NewConfig(a.Customer))
	}
	return err
}

// decode returns the command that b holds. An error has kind Outdated if a newer
// release may take b for something else than a malformed command.
func decode(b []byte) (any, error) {
	var e envelope
	if err := unmarshal(b, &e); err != nil {
		return nil, errors.Wrap(err, "decode envelope")
	}
	if e.Version < 1 {
		return nil, errors.Errorf("command version %d", e.Version)
	}
	if e.Version > commandVersion {
		return nil, errkind.New(errkind.Outdated, "command version %d, this release reads up to %d", e.Version, commandVersion)
	}
	switch e.Type {
	case typePacked:
		return unpack(e)
	case typeAccept:
		return decodeBody[Accept](e)
	case typeRememberNodes:
		return decodeBody[RememberNodes](e)
	case typeForgetNodes:
		return decodeBody[ForgetNodes](e)
	}
	return nil, errkind.New(errkind.Outdated, "unknown command type %q", e.Type)
}

// unmarshal decodes b. An error has kind Outdated if b has a field that v lacks.
func unmarshal(b []byte, v any) error {
	err := decoder.Unmarshal(b, v)
	if u := (*cbor.UnknownFieldError)(nil); errors.As(err, &u) {
		return errkind.Wrap(err, errkind.Outdated, "unknown field of a newer release")
	}
	return err
}

func decodeBody[T any](e envelope) (any, error) {
	var c T
	err := unmarshal(e.Body, &c)
	return c, errors.Wrapf(err, "decode %s", e.Type)
}

func (a Accept) check() error {
	for _, f := range []struct {
		name, value string
		optional    bool
	}{
		{"Customer", a.Customer, false},
		{"RequestID", a.RequestID, false},
		{"Author", a.Author, true},
		{"FileName", a.FileName, true},
	} {
		if f.value == "" && !f.optional {
			return errors.Errorf("%s is missing", f.name)
		}
		if len(f.value) > MaxNameBytes {
			return errors.Errorf("%s has %d bytes, at most %d are allowed", f.name, len(f.value), MaxNameBytes)
		}
	}
	return nil
}

// content identifies what the operator asked for. Author and file name are left
// out: a resend from another folder or with another token asks for the same.
// The compiled resources are left out because they follow from the file.
func (a Accept) content() [32]byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(a.Customer)))
	b = append(b, a.Customer...)
	b = binary.BigEndian.AppendUint64(b, a.Base)
	return sha256.Sum256(append(b, a.File...))
}

// config returns the configuration that a makes of old, the present one of the
// customer.
func (a Accept) config(old *customer.Config) (*customer.Config, error) {
	c, err := old.WithResources(a.Resources)
	if err != nil {
		return nil, err
	}
	return c, c.Check()
}

// Result is the outcome of a command. It can be encoded, for members that
// forward a proposal.
type Result struct {
	Version uint64 `cbor:"1,keyasint"`
	// Repeated is set when the request ID had made Version before.
	Repeated bool `cbor:"2,keyasint,omitempty"`
	// Kind and Reason are set when the command was refused and changed nothing.
	Kind   errkind.Kind `cbor:"3,keyasint,omitempty"`
	Reason string       `cbor:"4,keyasint,omitempty"`
}

// Outcome returns the version, or the error that the command was refused with.
// Every refusal is not-run, because Apply changed nothing.
func (r Result) Outcome() (uint64, error) {
	if r.Kind != "" {
		return 0, errkind.New(r.Kind, "%s", r.Reason).WithExecution(errkind.NotRun)
	}
	return r.Version, nil
}

func refused(k errkind.Kind, format string, args ...any) Result {
	return Result{Kind: k, Reason: fmt.Sprintf(format, args...)}
}

func refusal(err error) Result {
	e := errkind.From(err)
	return Result{Kind: e.Kind, Reason: e.Error()}
}

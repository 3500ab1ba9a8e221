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

// MaxCommandBytes is the maximum size of an encoded command. It leaves room for
// the fields around the log entry in a message of at most 4 MiB.
const MaxCommandBytes = 3 << 20

// MaxNameBytes is the maximum size of customer names, request IDs, authors and
// file names.
const MaxNameBytes = 256

// commandVersion is the newest command version that this release reads, and the
// one that it proposes. A release that changes the effect of a command, including
// a check or a limit, raises it, and applies commands of earlier versions as
// earlier releases do. A member stops at a command of a later version, so a new
// version must be readable in one release before the next one proposes it.
const commandVersion = 1

type commandType string

const (
	typeAccept         commandType = "Accept"
	typeRememberNodes  commandType = "RememberNodes"
	typeForgetNodes    commandType = "ForgetNodes"
	typeStartRollout   commandType = "StartRollout"
	typeAdvanceRollout commandType = "AdvanceRollout"
	typeLeaseHolders   commandType = "LeaseHolders"
	// typePacked holds the compressed form of another command.
	typePacked commandType = "Packed"
)

// envelope is the encoded form of every command.
type envelope struct {
	Version int             `cbor:"1,keyasint"`
	Type    commandType     `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Accept creates a new version of one customer's configuration. It carries the
// compiled resources along with the file, because members that run another
// release could compile the file to different resources.
type Accept struct {
	Customer  string              `cbor:"1,keyasint"`
	Base      uint64              `cbor:"2,keyasint"`
	RequestID string              `cbor:"3,keyasint"`
	Author    string              `cbor:"4,keyasint"`
	Time      time.Time           `cbor:"5,keyasint"`
	FileName  string              `cbor:"6,keyasint"`
	File      []byte              `cbor:"7,keyasint"`
	Resources []customer.Resource `cbor:"8,keyasint"`
	// Number is the operator's own number of the version, and BaseNumber that of
	// the version it is based on. If Number is set, BaseNumber is used and not Base.
	Number     uint64 `cbor:"9,keyasint,omitempty"`
	BaseNumber uint64 `cbor:"10,keyasint,omitempty"`
}

// RememberNodes adds nodes to the known nodes. Time becomes the Since of each
// node; the Since fields in Nodes are ignored.
type RememberNodes struct {
	Nodes []Node    `cbor:"1,keyasint"`
	Time  time.Time `cbor:"2,keyasint"`
}

// ForgetNodes removes nodes from the known nodes.
type ForgetNodes struct {
	Names []string `cbor:"1,keyasint"`
}

// LeaseHolders changes the set of nodes that may hold leases of account limits. A leader
// adds a node before it grants the first share to it, and removes it after its lease has
// ended, so that the next leader knows whose shares may be outstanding.
type LeaseHolders struct {
	Add    []string `cbor:"1,keyasint,omitempty"`
	Remove []string `cbor:"2,keyasint,omitempty"`
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	// The default encoding of times drops the fraction of a second.
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return m
}

func newDecoder() cbor.DecMode {
	// At the target size, a snapshot holds 37,000 nodes and 26,000 request IDs.
	// An unknown field means that the data comes from a newer release.
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 1 << 20, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return m
}

// Encode returns the encoded command to propose. A large command with a Number is
// compressed.
func (a Accept) Encode() ([]byte, error) {
	c, err := encode(typeAccept, a)
	if err != nil || a.Number == 0 || len(c) < minPackBytes {
		return c, err
	}
	return pack(c)
}

// Encode returns the encoded command to propose.
func (r RememberNodes) Encode() ([]byte, error) { return encode(typeRememberNodes, r) }

// Encode returns the encoded command to propose.
func (f ForgetNodes) Encode() ([]byte, error) { return encode(typeForgetNodes, f) }

// Encode returns the encoded command to propose.
func (h LeaseHolders) Encode() ([]byte, error) { return encode(typeLeaseHolders, h) }

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

// Check returns an error if this release cannot read a command. Its kind is
// Outdated if the command comes from a newer release.
func Check(command []byte) error {
	c, err := decode(command)
	if a, ok := c.(Accept); ok && err == nil {
		_, err = a.config(customer.NewConfig(a.Customer))
	}
	return err
}

// decode decodes an encoded command. The kind of an error is Outdated if b may be
// a valid command of a newer release.
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
	case typeStartRollout:
		return decodeBody[StartRollout](e)
	case typeAdvanceRollout:
		return decodeBody[AdvanceRollout](e)
	case typeLeaseHolders:
		return decodeBody[LeaseHolders](e)
	}
	return nil, errkind.New(errkind.Outdated, "unknown command type %q", e.Type)
}

// unmarshal decodes b into v. The kind of an error is Outdated if b has a field
// that v does not have.
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

// contentHash returns a hash of what the operator requested. It excludes the author
// and the file name, because a resend from another folder or with another token
// requests the same change, and the compiled resources, because they follow from
// the file.
func (a Accept) contentHash() [32]byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(a.Customer)))
	b = append(b, a.Customer...)
	b = binary.BigEndian.AppendUint64(b, a.Base)
	return sha256.Sum256(append(b, a.File...))
}

// config returns the configuration after a is applied to old, the current one of
// the customer.
func (a Accept) config(old *customer.Config) (*customer.Config, error) {
	c, err := old.WithResources(a.Resources)
	if err != nil {
		return nil, err
	}
	return c, c.Check()
}

// Result is the result of applying a command. It can be encoded, for members that
// forward a proposal.
type Result struct {
	Version uint64 `cbor:"1,keyasint"`
	// Repeated is set if an earlier command with the same request ID had already
	// created Version.
	Repeated bool `cbor:"2,keyasint,omitempty"`
	// Kind and Reason are set if the command was refused and changed nothing.
	Kind   errkind.Kind `cbor:"3,keyasint,omitempty"`
	Reason string       `cbor:"4,keyasint,omitempty"`
}

// Outcome returns the version, or an error if the command was refused. The error's
// execution is not-run, because a refused command changes nothing.
func (r Result) Outcome() (uint64, error) {
	if r.Kind != "" {
		return 0, errkind.New(r.Kind, "%s", r.Reason).WithExecution(errkind.NotRun)
	}
	return r.Version, nil
}

func refused(k errkind.Kind, format string, args ...any) Result {
	return Result{Kind: k, Reason: fmt.Sprintf(format, args...)}
}

func refusedWith(err error) Result {
	e := errkind.From(err)
	return Result{Kind: e.Kind, Reason: e.Error()}
}

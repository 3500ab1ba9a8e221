// Package wire implements the internal protocol: the messages that control and node
// processes exchange over drpc, their CBOR encoding, and helpers to serve and call
// methods.
//
// # Usage
//
// A server registers handlers by method name and serves a listener:
//
//	m := wire.NewMux()
//	wire.HandleUnary(m, wire.MethodClaim, s.claim)
//	m.HandleStream(wire.MethodSubscribe, s.subscribe)
//	err := wire.Serve(ctx, listener, m, wire.ServeOptions{Log: l})
//
// A client invokes a unary method on a connection:
//
//	a, err := wire.Call[wire.ClaimRequest, wire.ClaimResponse](ctx, conn, wire.MethodClaim, &r)
//
// An error with a kind is sent as a Fault inside the response, so that the caller gets
// the same kind and the same information on whether the request can have run.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// MaxMessageBytes is the maximum size of a message between processes.
const MaxMessageBytes = 4 << 20

// Method names.
const (
	MethodSubscribe    = "/node/Subscribe"
	MethodControlState = "/node/ControlState"
	MethodClaim        = "/node/Claim"
	MethodComplete     = "/node/Complete"
	MethodRelease      = "/node/Release"
	MethodForward      = "/peer/Forward"
	MethodRaft         = "/control/Raft"
	MethodPropose      = "/control/Propose"
	MethodJoin         = "/control/Join"
	MethodProbe        = "/control/Probe"
	MethodBootstrap    = "/control/Bootstrap"
	MethodRegistrySync = "/control/RegistrySync"
	MethodNodeReports  = "/control/NodeReports"
	// With the following methods, a member forwards a node's call to the leader of a
	// claim group.
	MethodLeaderClaim    = "/control/Claim"
	MethodLeaderComplete = "/control/Complete"
	MethodLeaderRelease  = "/control/Release"
)

// Encoding is the drpc encoding of all messages: CBOR with integer keys.
type Encoding struct{}

var (
	encoder = newEncoder()
	decoder = newDecoder(cbor.ExtraDecErrorNone)
	strict  = newDecoder(cbor.ExtraDecErrorUnknownField)
)

func newEncoder() cbor.EncMode {
	// The default encoding of times drops the fraction of a second. Encoded as a float64
	// in seconds, a time takes 9 bytes and keeps microseconds; as text it takes 32 bytes.
	m, err := cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

func newDecoder(e cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 1 << 18, MaxMapPairs: 1 << 16,
		// HTTP header values may contain arbitrary bytes.
		UTF8:              cbor.UTF8DecodeInvalid,
		ExtraReturnErrors: e,
	}.DecMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

// Raw is an encoded message. It allows a message for many streams to be encoded once.
type Raw []byte

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(m drpc.Message) ([]byte, error) {
	if r, ok := m.(Raw); ok {
		return r, nil
	}
	return Marshal(m)
}

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(b []byte, m drpc.Message) error { return Unmarshal(b, m) }

// Marshal encodes m.
func Marshal(m any) ([]byte, error) {
	b, err := encoder.Marshal(m)
	return b, errors.Wrap(err, "encode message")
}

// Unmarshal decodes b into m.
func Unmarshal(b []byte, m any) error {
	if len(b) > MaxMessageBytes {
		return malformed{errors.Errorf("message of %d bytes exceeds %d", len(b), MaxMessageBytes)}
	}
	if err := decoder.Unmarshal(b, m); err != nil {
		return malformed{errors.Wrap(err, "decode message")}
	}
	return nil
}

// malformed is the error of a message that cannot be decoded or is too large.
type malformed struct{ error }

// Unwrap returns the underlying error.
func (m malformed) Unwrap() error { return m.error }

// IsMalformed reports whether err comes from a message that cannot be decoded or is too
// large.
func IsMalformed(err error) bool {
	var m malformed
	return errors.As(err, &m)
}

// UnmarshalStrict decodes b into m like Unmarshal, but returns an error of kind Outdated
// for fields that m does not have. It is used for replicated data: a member that ignored
// such fields would diverge from members of the release that wrote them.
func UnmarshalStrict(b []byte, m any) error {
	if len(b) > MaxMessageBytes {
		return errors.Errorf("message of %d bytes exceeds %d", len(b), MaxMessageBytes)
	}
	err := strict.Unmarshal(b, m)
	if u := (*cbor.UnknownFieldError)(nil); errors.As(err, &u) {
		return errkind.Wrap(err, errkind.Outdated, "message from a newer release")
	}
	return errors.Wrap(err, "decode message")
}

// UnmarshalLarge decodes b without a size limit. It is used for data that was assembled
// from several messages.
func UnmarshalLarge(b []byte, m any) error {
	return errors.Wrap(decoder.Unmarshal(b, m), "decode update")
}

// Fault is the encoding of an error with its kind.
type Fault struct {
	Kind      errkind.Kind      `cbor:"1,keyasint"`
	Execution errkind.Execution `cbor:"2,keyasint"`
	Reason    string            `cbor:"3,keyasint"`
}

// NewFault returns the Fault for err, or nil if err is nil.
func NewFault(err error) *Fault {
	if err == nil {
		return nil
	}
	e := errkind.From(err)
	return &Fault{Kind: e.Kind, Execution: e.Execution, Reason: e.Error()}
}

// Err returns the error that f encodes, or nil if f is nil.
func (f *Fault) Err() error {
	if f == nil {
		return nil
	}
	return errkind.New(f.Kind, "%s", f.Reason).WithExecution(f.Execution)
}

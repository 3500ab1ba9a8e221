package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Maximum sizes of the fields of a request. Larger ones are refused.
const (
	MaxNameBytes    = 256
	MaxKeyBytes     = 256
	MaxClaimIDBytes = 64
	MaxDigestBytes  = 64
)

// Defaults of Limits.
const (
	DefaultRetention    = 24 * time.Hour
	DefaultRecords      = 1_000_000
	DefaultOutcomeBytes = 256 << 20
)

// maxRetention ensures that the time between a claim's deadline and its expiry
// fits in 32 bits of milliseconds.
const maxRetention = 30 * 24 * time.Hour

// Limits are the limits of one claim group. Each log entry carries them:
// members with different settings would otherwise keep different records, and
// a new leader could grant a key that the old one had already granted.
type Limits struct {
	// Retention is how long a record is kept after the claim.
	Retention time.Duration `cbor:"1,keyasint,omitempty"`
	// Records is the maximum number of records in the group.
	Records int `cbor:"2,keyasint,omitempty"`
	// OutcomeBytes is the maximum total size of the group's encoded outcomes.
	OutcomeBytes int `cbor:"3,keyasint,omitempty"`
}

// WithDefaults returns l with the default in place of each value that is not
// positive. Retention and Records are reduced to their maximum if they exceed it.
func (l Limits) WithDefaults() Limits {
	if l.Retention <= 0 {
		l.Retention = DefaultRetention
	}
	l.Retention = min(l.Retention, maxRetention)
	if l.Records <= 0 {
		l.Records = DefaultRecords
	}
	l.Records = min(l.Records, maxSlots)
	if l.OutcomeBytes <= 0 {
		l.OutcomeBytes = DefaultOutcomeBytes
	}
	return l
}

// Command is one log entry. Exactly one of Claim, Complete, Release and Batch
// is set. Stamp and Limits of a batch apply to all its commands; those of the
// commands inside it are ignored.
type Command struct {
	// Stamp is the proposer's time in Unix milliseconds.
	Stamp    int64                 `cbor:"1,keyasint,omitempty"`
	Limits   Limits                `cbor:"2,keyasint,omitzero"`
	Claim    *wire.ClaimRequest    `cbor:"3,keyasint,omitempty"`
	Complete *wire.CompleteRequest `cbor:"4,keyasint,omitempty"`
	Release  *wire.ReleaseRequest  `cbor:"5,keyasint,omitempty"`
	// Batch holds encoded commands. They are decoded one by one, so that a
	// malformed command does not affect the others.
	Batch []cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

// Encode returns c encoded as a log entry.
func (c Command) Encode() ([]byte, error) { return wire.Marshal(&c) }

// Result is the result of one command. Apply returns a []Result for a batch, in
// the order of its commands.
type Result struct {
	Claim wire.ClaimResponse `cbor:"1,keyasint"`
	Fault *wire.Fault        `cbor:"2,keyasint,omitempty"`
}

func refusal(k errkind.Kind, format string, args ...any) Result {
	return Result{Fault: wire.NewFault(errkind.New(k, format, args...))}
}

// check validates the sizes and values of the command's fields.
func (c *Command) check() error {
	switch {
	case c.Claim != nil:
		q := c.Claim
		if len(q.Digest) == 0 || len(q.Digest) > MaxDigestBytes || len(q.Node) > MaxNameBytes {
			return errors.New("claim needs a digest and a node name within bounds")
		}
		if q.Remaining < 0 {
			return errors.New("claim has a negative remaining time")
		}
		return checkNames(q.Customer, q.Key, q.ClaimID)
	case c.Complete != nil:
		return checkNames(c.Complete.Customer, c.Complete.Key, c.Complete.ClaimID)
	case c.Release != nil:
		return checkNames(c.Release.Customer, c.Release.Key, c.Release.ClaimID)
	}
	return errors.New("command has no content")
}

func checkNames(customer, key, claimID string) error {
	switch {
	case customer == "" || len(customer) > MaxNameBytes:
		return errors.Errorf("customer needs 1 to %d bytes", MaxNameBytes)
	case key == "" || len(key) > MaxKeyBytes:
		return errors.Errorf("key needs 1 to %d bytes", MaxKeyBytes)
	case claimID == "" || len(claimID) > MaxClaimIDBytes:
		return errors.Errorf("claim ID needs 1 to %d bytes", MaxClaimIDBytes)
	}
	return nil
}

// keyHash identifies a customer's key. Callers choose the keys, so it holds 128
// bits of a cryptographic hash: no customer can construct a key that collides
// with the key of another.
type keyHash [16]byte

func hashKey(customer, key string) keyHash {
	b := make([]byte, 0, 8+MaxNameBytes+MaxKeyBytes)
	b = binary.BigEndian.AppendUint64(b, uint64(len(customer)))
	b = append(append(b, customer...), key...)
	h := sha256.Sum256(b)
	return keyHash(h[:16])
}

// hash64 shortens a digest or a claim ID. 64 bits are enough because the hash
// is compared only with the one value recorded under the same key.
func hash64[T string | []byte](v T) uint64 {
	h := sha256.Sum256([]byte(v))
	return binary.BigEndian.Uint64(h[:8])
}

// group returns the index of the claim group, out of n, that holds k.
func (k keyHash) group(n int) int {
	return int(binary.BigEndian.Uint64(k[8:]) % uint64(n))
}

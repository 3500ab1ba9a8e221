// Package claims decides which request with an idempotency key may be executed.
// It contains the replicated state machine of one claim group and the service
// that a control process offers to nodes.
//
// # Usage
//
// A control process creates one StateMachine for each claim group, passes it to
// the group's replica, and serves nodes with a Service over all groups:
//
//	m := claims.NewStateMachine()
//	g, err := replica.New(c, m, transport)
//	s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{g}, Leader: leaderOf})
//	a, err := s.Claim(ctx, &request)
//
// # Rules
//
// The first claim of a customer's key is granted. A repeat with the same claim
// ID is granted again until an outcome is recorded. Other claims of the key get
// its state: in progress, recorded outcome, or outcome unknown. A release by the
// holder frees the key. The released claim ID is remembered, so that a delayed
// claim with that ID is not granted. After it has sent a release, the holder must
// not execute the request.
//
// A record is kept for Limits.Retention after the claim, measured in the time of
// the state machine. That time is the highest timestamp of any log entry, so a
// clock that goes back only keeps records longer. A clock that is ahead drops
// them too early: the clocks of the members must agree to within a small part of
// the retention.
//
// A group that is full refuses new keys; it does not evict records.
package claims

import (
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// These constants affect the result of applying a log entry. Members that run
// with different values would diverge.
const (
	// gracePeriod is the time allowed between a request's deadline and the
	// arrival of its outcome.
	gracePeriod = 5 * time.Second
	// maxExpiredPerCommand limits how many expired records, and how many expired
	// IDs of released claims, one command removes.
	maxExpiredPerCommand = 64
	// maxStamp is the highest timestamp that is accepted from a log entry; a higher
	// one is ignored. It keeps sums of times far from overflow.
	maxStamp = 1 << 52
)

// canonical encodes equal outcomes to equal bytes, so that all members write
// identical snapshots.
var canonical = newCanonical()

func newCanonical() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return m
}

// StateMachine is the replicated state machine of one claim group. Apply, Snapshot
// and Restore must not run concurrently; Stats may be called at any time.
type StateMachine struct {
	now      int64
	table    table
	outcomes arena
	released releasedIDs
	stats    [3]atomic.Int64
}

// NewStateMachine returns a state machine without records.
func NewStateMachine() *StateMachine {
	return &StateMachine{table: newTable(), released: newReleasedIDs()}
}

// Stats holds the sizes of a claim group's state.
type Stats struct {
	Records      int
	OutcomeBytes int
	Released     int
}

// Stats returns the sizes after the last applied log entry.
func (m *StateMachine) Stats() Stats {
	return Stats{int(m.stats[0].Load()), int(m.stats[1].Load()), int(m.stats[2].Load())}
}

func (m *StateMachine) publish() {
	m.stats[0].Store(int64(m.table.size()))
	m.stats[1].Store(int64(m.outcomes.bytes))
	m.stats[2].Store(int64(m.released.size()))
}

// Apply applies one log entry and returns a Result, or a []Result for a batch.
// A malformed entry changes nothing on any member. For an entry of a newer
// release, Apply changes nothing and returns an error, so that the member stops:
// members that run the newer release do change their state, and the states would
// diverge.
func (m *StateMachine) Apply(index uint64, command []byte) any {
	var c Command
	err := wire.UnmarshalStrict(command, &c)
	batch, faults := decodeBatch(c.Batch)
	for _, f := range append(faults, err) {
		if errkind.Of(f) == errkind.Outdated {
			return errkind.Wrap(f, errkind.Outdated, "entry %d of the log is of a newer release; upgrade this member", index)
		}
	}
	if err != nil {
		return refusal(errkind.BadRequest, "malformed command: %v", err)
	}
	defer m.publish()
	if c.Stamp <= maxStamp {
		m.now = max(m.now, c.Stamp)
	}
	l := c.Limits.WithDefaults()
	if c.Batch == nil {
		return m.applyOne(&c, l)
	}
	r := make([]Result, len(batch))
	for i := range batch {
		if faults[i] != nil {
			r[i] = refusal(errkind.BadRequest, "malformed command: %v", faults[i])
			continue
		}
		r[i] = m.applyOne(&batch[i], l)
	}
	return r
}

// decodeBatch decodes the commands of a batch and returns the error of each.
func decodeBatch(l []cbor.RawMessage) ([]Command, []error) {
	batch, faults := make([]Command, len(l)), make([]error, len(l))
	for i, b := range l {
		faults[i] = wire.UnmarshalStrict(b, &batch[i])
	}
	return batch, faults
}

func (m *StateMachine) applyOne(c *Command, l Limits) Result {
	m.expire()
	if err := c.check(); err != nil {
		return refusal(errkind.BadRequest, "%v", err)
	}
	switch {
	case c.Claim != nil:
		return m.claim(c.Claim, l)
	case c.Complete != nil:
		return m.complete(c.Complete, l)
	}
	return m.release(c.Release)
}

// expire removes a bounded number of expired records and released IDs. Other
// expired records stay in the table for now, but find no longer returns them.
func (m *StateMachine) expire() {
	for range maxExpiredPerCommand {
		r := m.table.oldest()
		if r == nil || r.expiry > m.now {
			break
		}
		m.remove(r)
	}
	m.released.expire(m.now, maxExpiredPerCommand)
}

func (m *StateMachine) remove(r *record) {
	m.outcomes.drop(r.outcome)
	m.table.remove(r)
}

// find returns the record of k unless it has expired.
func (m *StateMachine) find(k keyHash) *record {
	r := m.table.find(k)
	if r == nil || r.expiry <= m.now {
		return nil
	}
	return r
}

func (m *StateMachine) claim(q *wire.ClaimRequest, l Limits) Result {
	k, id, digest := hashKey(q.Customer, q.Key), hash64(q.ClaimID), hash64(q.Digest)
	r := m.find(k)
	switch {
	case r == nil:
		return m.grant(k, id, digest, q.Remaining, l)
	case r.digest != digest:
		return stateResult(wire.Mismatch)
	case r.outcome.chunk != 0:
		return m.recordedResult(r)
	case r.claim == id:
		return stateResult(wire.Granted)
	case r.inProgress(m.now):
		return stateResult(wire.InProgress)
	}
	return stateResult(wire.OutcomeUnknown)
}

func stateResult(s wire.ClaimState) Result { return Result{Claim: wire.ClaimResponse{State: s}} }

func (m *StateMachine) recordedResult(r *record) Result {
	var o wire.Outcome
	if err := wire.Unmarshal(m.outcomes.get(r.outcome), &o); err != nil {
		return stateResult(wire.OutcomeUnknown) // possible only with a damaged snapshot
	}
	return Result{Claim: wire.ClaimResponse{State: wire.Recorded, Outcome: &o}}
}

// grant adds a record for a key that has none or only an expired one.
func (m *StateMachine) grant(k keyHash, id, digest uint64, remaining time.Duration, l Limits) Result {
	if m.released.has(id, m.now) {
		return stateResult(wire.Released)
	}
	inProgressFor := remaining + gracePeriod
	if remaining > l.Retention || inProgressFor > l.Retention {
		return refusal(errkind.BadRequest, "remaining time %v exceeds the retention of claims, %v", remaining, l.Retention)
	}
	if old := m.table.find(k); old != nil {
		m.remove(old)
	}
	if m.table.size() >= l.Records || m.outcomes.bytes >= l.OutcomeBytes {
		return refusal(errkind.QueueFull, "claim group is full: %d records, %d bytes of outcomes",
			m.table.size(), m.outcomes.bytes)
	}
	m.table.add(record{
		key: k, claim: id, digest: digest,
		expiry:     m.now + l.Retention.Milliseconds(),
		unknownFor: uint32((l.Retention - inProgressFor).Milliseconds()),
	})
	return stateResult(wire.Granted)
}

func (m *StateMachine) complete(q *wire.CompleteRequest, l Limits) Result {
	r := m.find(hashKey(q.Customer, q.Key))
	if r == nil || r.claim != hash64(q.ClaimID) {
		return refusal(errkind.Conflict, "claim is not held")
	}
	if r.outcome.chunk != 0 {
		return Result{}
	}
	b, err := m.encodeOutcome(q.Outcome.Bounded(), l)
	if err != nil {
		return refusal(errkind.BadRequest, "encode outcome: %v", err)
	}
	r.outcome = m.outcomes.add(b)
	return Result{}
}

// encodeOutcome omits the body if it would exceed the group's limit. The headers
// of claims granted before the group was full can still exceed the limit.
func (m *StateMachine) encodeOutcome(o wire.Outcome, l Limits) ([]byte, error) {
	b, err := canonical.Marshal(&o)
	if err == nil && m.outcomes.bytes+len(b) > l.OutcomeBytes && len(o.Body) > 0 {
		o = o.WithoutBody()
		b, err = canonical.Marshal(&o)
	}
	return b, err
}

func (m *StateMachine) release(q *wire.ReleaseRequest) Result {
	id := hash64(q.ClaimID)
	r := m.find(hashKey(q.Customer, q.Key))
	if r != nil && r.claim == id {
		if r.outcome.chunk != 0 {
			return Result{}
		}
		m.remove(r)
	}
	m.released.add(id, m.now)
	return Result{}
}

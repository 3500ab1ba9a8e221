// Package claims decides which request with an idempotency key may run. It
// holds the state machine of one claim group and the service that a control
// process offers to nodes.
//
// # Usage
//
// A control process creates one Machine for each claim group, hands it to the
// group's replica, and serves nodes with a Service over all groups:
//
//	m := claims.NewStateMachine()
//	g, err := replica.New(c, m, transport)
//	s := claims.NewService(claims.ServiceConfig{Groups: []claims.Group{g}, Leader: leaderOf})
//	a, err := s.Claim(ctx, &request)
//
// # Rules
//
// The first claim of a customer's key is granted, and so is a repeat with the
// same claim ID until there is an outcome. Other claims of the key are told
// what became of it. A release by the holder frees the key; its claim ID is
// remembered, so that a claim which arrives late is not granted. The holder
// must not execute the request after it sent a release.
//
// A record is kept for Limits.Retention after the claim, in the machine's time.
// That time is the highest stamp of any log entry, so a clock that goes back
// only keeps records for longer. A clock that is ahead drops them too early:
// the clocks of the members must agree to a small part of the retention.
//
// A group that is full refuses new keys and forgets none.
package claims

import (
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// The constants below decide what a log entry does. Members that run with
// different values would diverge.
const (
	// grace covers the time from a request's deadline to the arrival of its
	// outcome.
	grace = 5 * time.Second
	// expireStep bounds the records that one command drops.
	expireStep = 64
	// maxStamp keeps sums of times far from overflow.
	maxStamp = 1 << 52
)

// canonical encodes equal outcomes to equal bytes, so that the snapshots of
// all members are equal.
var canonical = newCanonical()

func newCanonical() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

// StateMachine is the state machine of one claim group. Apply, Snapshot and Restore
// must not run at the same time; Stats may be called at any time.
type StateMachine struct {
	now      int64
	table    table
	outcomes arena
	released released
	stats    [3]atomic.Int64
}

// NewStateMachine returns an empty machine.
func NewStateMachine() *StateMachine { return &StateMachine{table: newTable(), released: newReleased()} }

// Stats is the size of a group.
type Stats struct {
	Records      int
	OutcomeBytes int
	Released     int
}

// Stats returns the size of the group after the last log entry.
func (m *StateMachine) Stats() Stats {
	return Stats{int(m.stats[0].Load()), int(m.stats[1].Load()), int(m.stats[2].Load())}
}

func (m *StateMachine) publish() {
	m.stats[0].Store(int64(m.table.size()))
	m.stats[1].Store(int64(m.outcomes.bytes))
	m.stats[2].Store(int64(m.released.size()))
}

// Apply executes one log entry and returns a Result, or a []Result for a
// batch. A malformed entry changes nothing, on every member alike. For an entry
// of a newer release Apply returns an error instead and changes nothing, so that
// the member stops: members of the newer release change their state by it.
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
		return refuse(errkind.BadRequest, "malformed command: %v", err)
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
			r[i] = refuse(errkind.BadRequest, "malformed command: %v", faults[i])
			continue
		}
		r[i] = m.applyOne(&batch[i], l)
	}
	return r
}

// decodeBatch decodes the commands of a batch. A malformed one has a fault.
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
		return refuse(errkind.BadRequest, "%v", err)
	}
	switch {
	case c.Claim != nil:
		return m.claim(c.Claim, l)
	case c.Complete != nil:
		return m.complete(c.Complete, l)
	}
	return m.release(c.Release)
}

// expire drops a bounded number of records. The rest stay in the table but
// find no longer returns them.
func (m *StateMachine) expire() {
	for range expireStep {
		r := m.table.oldest()
		if r == nil || r.expiry > m.now {
			break
		}
		m.remove(r)
	}
	m.released.expire(m.now, expireStep)
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
		return state(wire.Mismatch)
	case r.outcome.chunk != 0:
		return m.recorded(r)
	case r.claim == id:
		return state(wire.Granted)
	case r.inProgress(m.now):
		return state(wire.InProgress)
	}
	return state(wire.OutcomeUnknown)
}

func state(s wire.ClaimState) Result { return Result{Claim: wire.ClaimResponse{State: s}} }

func (m *StateMachine) recorded(r *record) Result {
	var o wire.Outcome
	if err := wire.Unmarshal(m.outcomes.get(r.outcome), &o); err != nil {
		return state(wire.OutcomeUnknown) // only a damaged snapshot can hold such an outcome
	}
	return Result{Claim: wire.ClaimResponse{State: wire.Recorded, Outcome: &o}}
}

// grant adds a record for a key that has none.
func (m *StateMachine) grant(k keyHash, id, digest uint64, remaining time.Duration, l Limits) Result {
	if m.released.has(id, m.now) {
		return state(wire.Released)
	}
	open := remaining + grace
	if remaining > l.Retention || open > l.Retention {
		return refuse(errkind.BadRequest, "remaining time %v exceeds the retention of claims, %v", remaining, l.Retention)
	}
	if old := m.table.find(k); old != nil {
		m.remove(old)
	}
	if m.table.size() >= l.Records || m.outcomes.bytes >= l.OutcomeBytes {
		return refuse(errkind.QueueFull, "claim group is full: %d records, %d bytes of outcomes",
			m.table.size(), m.outcomes.bytes)
	}
	m.table.add(record{
		key: k, claim: id, digest: digest,
		expiry:     m.now + l.Retention.Milliseconds(),
		unknownFor: uint32((l.Retention - open).Milliseconds()),
	})
	return state(wire.Granted)
}

func (m *StateMachine) complete(q *wire.CompleteRequest, l Limits) Result {
	r := m.find(hashKey(q.Customer, q.Key))
	if r == nil || r.claim != hash64(q.ClaimID) {
		return refuse(errkind.Conflict, "claim is not held")
	}
	if r.outcome.chunk != 0 {
		return Result{}
	}
	b, err := m.encodeOutcome(q.Outcome.Bounded(), l)
	if err != nil {
		return refuse(errkind.BadRequest, "encode outcome: %v", err)
	}
	r.outcome = m.outcomes.add(b)
	return Result{}
}

// encodeOutcome leaves out the body where the group has no room for it. Claims
// granted before the group was full can exceed the bound by their headers.
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

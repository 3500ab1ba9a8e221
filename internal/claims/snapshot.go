package claims

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// A snapshot consists of a header, the time of the state machine, the records in
// the order of their claims, each followed by its outcome, and the released claim
// IDs in the order of their releases. Integers are big-endian.
const (
	snapshotHeader     = "gooseberrypick claims 1\n"
	snapshotRecordSize = len(keyHash{}) + 8 + 8 + 8 + 4
	// maxStoredOutcome is larger than the encoding of any outcome that
	// wire.Outcome.Bounded returns.
	maxStoredOutcome = 1 << 20
)

// Snapshot returns the encoded state. State machines that applied the same
// entries return the same bytes.
func (m *StateMachine) Snapshot() ([]byte, error) {
	n := len(snapshotHeader) + 24 + m.table.size()*(snapshotRecordSize+3) + m.outcomes.bytes + 16*m.released.size()
	b := append(make([]byte, 0, n), snapshotHeader...)
	b = binary.BigEndian.AppendUint64(b, uint64(m.now))
	b = binary.BigEndian.AppendUint64(b, uint64(m.table.size()))
	for r := m.table.oldest(); r != nil; r = m.table.newer(r) {
		b = append(b, r.key[:]...)
		b = binary.BigEndian.AppendUint64(b, r.digest)
		b = binary.BigEndian.AppendUint64(b, r.claim)
		b = binary.BigEndian.AppendUint64(b, uint64(r.expiry))
		b = binary.BigEndian.AppendUint32(b, r.unknownFor)
		o := m.outcomes.get(r.outcome)
		b = append(binary.AppendUvarint(b, uint64(len(o))), o...)
	}
	b = binary.BigEndian.AppendUint64(b, uint64(m.released.size()))
	for _, e := range m.released.order[m.released.head:] {
		b = binary.BigEndian.AppendUint64(b, e.claim)
		b = binary.BigEndian.AppendUint64(b, uint64(e.expiry))
	}
	return b, nil
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (m *StateMachine) Restore(snapshot []byte) error {
	r := reader{b: snapshot}
	if string(r.take(len(snapshotHeader))) != snapshotHeader {
		return errors.New("claims snapshot has another format")
	}
	n := NewStateMachine()
	n.now = int64(r.uint64())
	for i := r.uint64(); i > 0 && !r.short; i-- {
		if err := n.restoreRecord(&r); err != nil {
			return err
		}
	}
	for i := r.uint64(); i > 0 && !r.short; i-- {
		e := release{r.uint64(), int64(r.uint64())}
		if !r.short {
			n.released.append(e)
		}
	}
	if r.short || len(r.b) > 0 {
		return errors.New("claims snapshot has the wrong length")
	}
	m.now, m.table, m.outcomes, m.released = n.now, n.table, n.outcomes, n.released
	m.publish()
	return nil
}

func (m *StateMachine) restoreRecord(r *reader) error {
	var e record
	copy(e.key[:], r.take(len(e.key)))
	e.digest, e.claim, e.expiry, e.unknownFor = r.uint64(), r.uint64(), int64(r.uint64()), r.uint32()
	o := r.take(r.length())
	if r.short {
		return errors.New("claims snapshot ends within a record")
	}
	if m.table.find(e.key) != nil {
		return errors.New("claims snapshot holds a key twice")
	}
	if len(o) > 0 {
		e.outcome = m.outcomes.add(o)
	}
	m.table.add(e)
	return nil
}

// reader decodes fields from the front of b. Once b is too short for a field, it
// sets short and returns zero values.
type reader struct {
	b     []byte
	short bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.short, r.b = true, nil
		return nil
	}
	f := r.b[:n]
	r.b = r.b[n:]
	return f
}

func (r *reader) uint64() uint64 {
	if f := r.take(8); f != nil {
		return binary.BigEndian.Uint64(f)
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if f := r.take(4); f != nil {
		return binary.BigEndian.Uint32(f)
	}
	return 0
}

func (r *reader) length() int {
	v, k := binary.Uvarint(r.b)
	if k <= 0 || v > maxStoredOutcome {
		r.short = true
		return -1
	}
	r.b = r.b[k:]
	return int(v)
}

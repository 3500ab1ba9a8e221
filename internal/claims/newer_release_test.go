package claims

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// A member that ignored an unknown field of a newer release's entry would diverge
// from the other members, and a key could be granted twice. A malformed entry must
// not stop a member, because it would stop all of them.
func TestApplyEntriesOfOtherReleases(t *testing.T) {
	claim := map[uint64]any{1: "c", 2: "key", 3: []byte("digest"), 4: "id", 5: "n", 6: 1000}
	newer := map[uint64]any{1: "c", 2: "key2", 3: []byte("digest"), 4: "id2", 5: "n", 6: 1000, 99: 1}
	encode := func(v any) cbor.RawMessage {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	entry := func(claim any) map[uint64]any { return map[uint64]any{3: claim} }
	for name, c := range map[string]struct {
		entry []byte
		stops bool
	}{
		"this release":           {encode(entry(claim)), false},
		"unknown field":          {encode(entry(newer)), true},
		"unknown command":        {encode(map[uint64]any{99: claim}), true},
		"unknown field in batch": {encode(map[uint64]any{6: []any{entry(claim), entry(newer)}}), true},
		"malformed in batch":     {encode(map[uint64]any{6: []any{entry(claim), entry("x")}}), false},
		"malformed":              {[]byte("x"), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewStateMachine()
			before, _ := m.Snapshot()
			err, stops := m.Apply(7, c.entry).(error)
			after, _ := m.Snapshot()
			if stops != c.stops || stops && (errkind.Of(err) != errkind.Outdated || !bytes.Equal(before, after)) {
				t.Errorf("got %v, want stop %v without a change", err, c.stops)
			}
		})
	}
	r, ok := NewStateMachine().Apply(7, encode(map[uint64]any{6: []any{entry("x"), entry(claim)}})).([]Result)
	if !ok || len(r) != 2 || r[0].Fault == nil || r[1].Claim.State != wire.Granted {
		t.Errorf("got %+v, want the second claim granted", r)
	}
}

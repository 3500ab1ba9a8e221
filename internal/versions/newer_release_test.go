package versions

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// withField returns the encoded value with one field set.
func withField(t *testing.T, b []byte, field uint64, value any) []byte {
	t.Helper()
	m := map[uint64]any{}
	if err := cbor.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	m[field] = value
	n, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func encodeCommand(t *testing.T, c interface{ Encode() ([]byte, error) }) []byte {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A command that members of two releases apply differently makes their states
// diverge, so a member must stop at a command of a newer release. It must not stop
// at a malformed one, because that would stop all members at once.
func TestApplyCommandsOfOtherReleases(t *testing.T) {
	base := func() Accept { return newAccept(newConfig("p", "a"), 0, "r", "file") }
	forget := encodeCommand(t, ForgetNodes{Names: []string{"n"}})
	resource := func(f func(r *customer.Resource)) []byte {
		a := base()
		f(&a.Resources[0])
		return encodeCommand(t, a)
	}
	field := func(r *customer.Resource) { r.Data = withField(t, r.Data, 99, "x") }
	stale := base()
	stale.Base = 9
	field(&stale.Resources[0])
	body := func(b []byte) cbor.RawMessage { return withField(t, b, 99, "x") }
	for name, c := range map[string]struct {
		command []byte
		stops   bool
		want    errkind.Kind // of the refusal otherwise
	}{
		"this release":             {encodeCommand(t, base()), false, ""},
		"later version":            {withField(t, forget, 1, commandVersion+1), true, ""},
		"unknown type":             {withField(t, forget, 2, "Quota"), true, ""},
		"unknown field":            {withField(t, forget, 4, 1), true, ""},
		"unknown field in command": {withField(t, forget, 3, body([]byte{0xa0})), true, ""},
		"unknown resource":         {resource(func(r *customer.Resource) { r.Kind = "Quota" }), true, ""},
		"unknown resource field":   {resource(field), true, ""},
		// A newer release refuses this command as well.
		"unknown field above the base": {encodeCommand(t, stale), false, errkind.BadRequest},
		"no version":                   {withField(t, forget, 1, 0), false, errkind.BadRequest},
		"no CBOR":                      {[]byte("x"), false, errkind.BadRequest},
		"no data of a resource":        {resource(func(r *customer.Resource) { r.Data = nil }), false, errkind.InvalidFile},
	} {
		t.Run(name, func(t *testing.T) {
			if got := errkind.Of(Check(c.command)); c.stops && got != errkind.Outdated {
				t.Errorf("check: got kind %q, want %s", got, errkind.Outdated)
			}
			m := New()
			before, _ := m.Snapshot()
			switch got := m.Apply(7, c.command).(type) {
			case error:
				if after, _ := m.Snapshot(); !c.stops || errkind.Of(got) != errkind.Outdated || !bytes.Equal(before, after) {
					t.Errorf("got %v, want stop %v and no change", got, c.stops)
				}
			case Result:
				if c.stops || got.Kind != c.want {
					t.Errorf("got %+v, want stop %v, kind %q", got, c.stops, c.want)
				}
			}
		})
	}
}

// A member that ignored a field of a newer release's snapshot would lose that state
// permanently. If it reported the snapshot as corrupt, the operator would delete its
// data folder.
func TestRestoreSnapshotOfNewerRelease(t *testing.T) {
	m := New()
	apply(t, m, newAccept(newConfig("p", "a"), 0, "r", "file"))
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		snapshot []byte
		want     errkind.Kind
	}{
		"later format":  {withField(t, b, 1, snapshotFormat+1), errkind.Outdated},
		"unknown field": {withField(t, b, 99, "x"), errkind.Outdated},
		"cut":           {b[:len(b)-1], errkind.Corrupt},
	} {
		t.Run(name, func(t *testing.T) {
			if got := errkind.Of(New().Restore(c.snapshot)); got != c.want {
				t.Errorf("got kind %s, want %s", got, c.want)
			}
		})
	}
}

package versions

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// with returns the encoded value with a field set.
func with(t *testing.T, b []byte, field uint64, value any) []byte {
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

func encoded(t *testing.T, c interface{ Encode() ([]byte, error) }) []byte {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A command that members of two releases take differently forks their state, and
// one that a member need not stop at stops all members at once.
func TestCommandsOfOtherReleases(t *testing.T) {
	base := func() Accept { return command(config("p", "a"), 0, "r", "file") }
	forget := encoded(t, ForgetNodes{Names: []string{"n"}})
	resource := func(f func(r *customer.Resource)) []byte {
		a := base()
		f(&a.Resources[0])
		return encoded(t, a)
	}
	field := func(r *customer.Resource) { r.Data = with(t, r.Data, 99, "x") }
	stale := base()
	stale.Base = 9
	field(&stale.Resources[0])
	body := func(b []byte) cbor.RawMessage { return with(t, b, 99, "x") }
	for name, c := range map[string]struct {
		command []byte
		stops   bool
		want    errkind.Kind // of the refusal otherwise
	}{
		"this release":             {encoded(t, base()), false, ""},
		"later version":            {with(t, forget, 1, commandVersion+1), true, ""},
		"unknown type":             {with(t, forget, 2, "Quota"), true, ""},
		"unknown field":            {with(t, forget, 4, 1), true, ""},
		"unknown field in command": {with(t, forget, 3, body([]byte{0xa0})), true, ""},
		"unknown resource":         {resource(func(r *customer.Resource) { r.Kind = "Quota" }), true, ""},
		"unknown resource field":   {resource(field), true, ""},
		// A newer release refuses it as well.
		"unknown field above the base": {encoded(t, stale), false, errkind.BadRequest},
		"no version":                   {with(t, forget, 1, 0), false, errkind.BadRequest},
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

// A member that leaves out a part of a newer snapshot loses it for good, and one
// that calls it corrupt makes the operator throw its folder away.
func TestSnapshotOfNewerRelease(t *testing.T) {
	m := New()
	apply(t, m, command(config("p", "a"), 0, "r", "file"))
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		snapshot []byte
		want     errkind.Kind
	}{
		"later format":  {with(t, b, 1, snapshotVersion+1), errkind.Outdated},
		"unknown field": {with(t, b, 99, "x"), errkind.Outdated},
		"cut":           {b[:len(b)-1], errkind.Corrupt},
	} {
		t.Run(name, func(t *testing.T) {
			if got := errkind.Of(New().Restore(c.snapshot)); got != c.want {
				t.Errorf("got kind %s, want %s", got, c.want)
			}
		})
	}
}

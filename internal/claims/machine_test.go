package claims_test

import (
	"bytes"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/gooseberrypick/gooseberrypick/internal/claims"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	day              = claims.DefaultRetention
	remaining        = 20 * time.Second
	gracePeriod      = 5 * time.Second
	releaseRetention = 10 * time.Minute
)

// The seed is fixed so that every run has the same result.
func init() { flag.Set("rapid.seed", "1") }

var epoch = time.UnixMilli(1_800_000_000_000)

func claim(key, id, digest string) claims.Command {
	return claims.Command{Claim: &wire.ClaimRequest{
		Customer: "pichler", Key: key, ClaimID: id, Digest: []byte(digest), Node: "n1", Remaining: remaining,
	}}
}

func complete(key, id string, o wire.Outcome) claims.Command {
	return claims.Command{Complete: &wire.CompleteRequest{Customer: "pichler", Key: key, ClaimID: id, Outcome: o}}
}

func release(key, id string) claims.Command {
	return claims.Command{Release: &wire.ReleaseRequest{Customer: "pichler", Key: key, ClaimID: id}}
}

func encode(t testing.TB, c claims.Command) []byte {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func apply(t testing.TB, m *claims.StateMachine, at time.Duration, l claims.Limits, c claims.Command) claims.Result {
	t.Helper()
	c.Stamp, c.Limits = epoch.Add(at).UnixMilli(), l
	return m.Apply(1, encode(t, c)).(claims.Result)
}

// resultName returns the kind of the result's fault, the claim state, or "ok".
func resultName(r claims.Result) string {
	switch {
	case r.Fault != nil:
		return string(r.Fault.Kind)
	case r.Claim.State != "":
		return string(r.Claim.State)
	}
	return "ok"
}

type step struct {
	at   time.Duration
	do   claims.Command
	want string
}

// check applies the steps and checks the result of each, and that every recorded
// outcome equals want.
func check(t *testing.T, m *claims.StateMachine, l claims.Limits, want wire.Outcome, steps ...step) {
	t.Helper()
	for i, s := range steps {
		r := apply(t, m, s.at, l, s.do)
		if got := resultName(r); got != s.want {
			t.Errorf("step %d: got %s, want %s", i, got, s.want)
		}
		if o := r.Claim.Outcome; o != nil && !reflect.DeepEqual(*o, want) {
			t.Errorf("step %d: got outcome %.80v, want %.80v", i, *o, want)
		}
	}
}

// Each case is an order of messages that, if handled wrongly, would cause a second
// execution, an incorrect not-run, or a key that stays blocked needlessly.
func TestMessageOrders(t *testing.T) {
	ran, other := wire.Outcome{Status: 200, Body: []byte("done")}, wire.Outcome{Status: 500}
	a, b, c := claim("k", "a", "d"), claim("k", "b", "d"), claim("k", "c", "d")
	long := claim("k", "a", "d")
	long.Claim.Remaining = day
	for name, steps := range map[string][]step{
		"answer to the claim lost": {{0, a, "Granted"}, {0, a, "Granted"}},
		"two nodes get the key":    {{0, a, "Granted"}, {0, b, "InProgress"}, {0, complete("k", "a", ran), "ok"}, {0, b, "Recorded"}},
		"node dies after claim": {
			{0, a, "Granted"},
			{remaining + gracePeriod - time.Millisecond, b, "InProgress"},
			{remaining + gracePeriod, b, "OutcomeUnknown"},
			{day - time.Millisecond, b, "OutcomeUnknown"},
		},
		"outcome after the deadline":     {{0, a, "Granted"}, {time.Hour, complete("k", "a", ran), "ok"}, {time.Hour, b, "Recorded"}},
		"repeated claim after outcome":   {{0, a, "Granted"}, {0, complete("k", "a", ran), "ok"}, {0, a, "Recorded"}},
		"release frees the key":          {{0, a, "Granted"}, {0, release("k", "a"), "ok"}, {0, b, "Granted"}},
		"release overtakes claim":        {{0, release("k", "a"), "ok"}, {0, a, "Released"}, {0, b, "Granted"}},
		"claim repeated after release":   {{0, a, "Granted"}, {0, release("k", "a"), "ok"}, {0, a, "Released"}},
		"release while another holds":    {{0, a, "Granted"}, {0, release("k", "b"), "ok"}, {0, c, "InProgress"}, {0, release("k", "a"), "ok"}, {0, b, "Released"}},
		"release repeated late":          {{0, a, "Granted"}, {0, release("k", "a"), "ok"}, {0, b, "Granted"}, {0, release("k", "a"), "ok"}, {0, c, "InProgress"}},
		"release after outcome":          {{0, a, "Granted"}, {0, complete("k", "a", ran), "ok"}, {0, release("k", "a"), "ok"}, {0, b, "Recorded"}},
		"release is forgotten at last":   {{0, release("k", "a"), "ok"}, {releaseRetention - 1, a, "Released"}, {releaseRetention, a, "Granted"}},
		"outcome by another claim":       {{0, a, "Granted"}, {0, complete("k", "b", other), "Conflict"}, {0, b, "InProgress"}},
		"outcome after release":          {{0, a, "Granted"}, {0, release("k", "a"), "ok"}, {0, complete("k", "a", ran), "Conflict"}, {0, b, "Granted"}},
		"outcome after expiry":           {{0, a, "Granted"}, {day, complete("k", "a", ran), "Conflict"}, {day, b, "Granted"}},
		"outcome repeated":               {{0, a, "Granted"}, {0, complete("k", "a", ran), "ok"}, {0, complete("k", "a", other), "ok"}, {0, b, "Recorded"}},
		"key used for another request":   {{0, a, "Granted"}, {0, claim("k", "b", "e"), "Mismatch"}, {0, claim("k", "a", "e"), "Mismatch"}},
		"clock goes back":                {{time.Hour, a, "Granted"}, {0, b, "InProgress"}, {0, claim("l", "x", "d"), "Granted"}, {day + time.Hour - 1, c, "OutcomeUnknown"}, {day + time.Hour, c, "Granted"}},
		"clock goes back for long":       {{0, a, "Granted"}, {time.Hour, claim("l", "x", "d"), "Granted"}, {0, b, "OutcomeUnknown"}, {0, claim("m", "y", "d"), "Granted"}, {day, claim("m", "z", "d"), "OutcomeUnknown"}},
		"request outlives the retention": {{0, long, "BadRequest"}},
	} {
		t.Run(name, func(t *testing.T) {
			check(t, claims.NewStateMachine(), claims.Limits{}, ran, steps...)
		})
	}
}

// A full group must not evict records, because their requests could then be
// executed again.
func TestFullGroupRefusesNewKeys(t *testing.T) {
	m, l := claims.NewStateMachine(), claims.Limits{Records: 2, OutcomeBytes: 1000}
	long := map[string][]string{"A": {string(make([]byte, 1000))}}
	check(
		t, m, l, wire.Outcome{},
		step{0, claim("k", "a", "d"), "Granted"},
		step{1 * time.Second, claim("l", "b", "d"), "Granted"},
		step{2 * time.Second, claim("m", "c", "d"), "QueueFull"},
		step{2 * time.Second, claim("k", "c", "d"), "InProgress"},
		step{2 * time.Second, release("l", "b"), "ok"},
		step{2 * time.Second, complete("k", "a", wire.Outcome{Status: 201, Body: make([]byte, 1001)}), "ok"},
		step{3 * time.Second, claim("m", "c", "d"), "Granted"},
		step{3 * time.Second, complete("m", "c", wire.Outcome{Status: 201, Header: long}), "ok"},
		step{day, claim("l", "e", "d"), "QueueFull"}, // one record, but too many bytes of outcomes
		step{day + 3*time.Second, claim("l", "e", "d"), "Granted"},
	)
	if got, want := m.Stats(), (claims.Stats{Records: 1, Released: 0}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Removing all expired records in one command would stall the group after an idle
// day. Records that are expired but not removed yet must not block their keys.
func TestExpiryIsBoundedAndExact(t *testing.T) {
	const n, perCommand = 500, 64
	m := claims.NewStateMachine()
	for i := range n {
		apply(t, m, 0, claims.Limits{}, claim(fmt.Sprint(i), "a", "d"))
	}
	for i, s := range []step{
		{day, complete("499", "a", wire.Outcome{Status: 200}), "Conflict"},
		{day, claim("498", "b", "d"), "Granted"},
		{day, claim("498", "c", "d"), "InProgress"},
	} {
		check(t, m, claims.Limits{}, wire.Outcome{}, s)
		if got, want := m.Stats().Records, n-(i+1)*perCommand; got != want {
			t.Errorf("step %d: got %d records, want %d", i, got, want)
		}
	}
}

// A body that is too large must be omitted, not cut: a resend would take the part
// for the whole response.
func TestLargeOutcomeIsTruncated(t *testing.T) {
	h := map[string][]string{"A": {"b"}}
	for name, c := range map[string]struct{ in, want wire.Outcome }{
		"largest body":     {wire.Outcome{Status: 200, Header: h, Body: make([]byte, 16<<10)}, wire.Outcome{Status: 200, Header: h, Body: make([]byte, 16<<10)}},
		"body too large":   {wire.Outcome{Status: 200, Header: h, Body: make([]byte, 16<<10+1)}, wire.Outcome{Status: 200, Header: h, Truncated: true}},
		"too many headers": {wire.Outcome{Status: 200, Header: map[string][]string{"A": make([]string, 1<<10)}}, wire.Outcome{Status: 200, Truncated: true}},
		"header too large": {wire.Outcome{Status: 200, Header: map[string][]string{"A": {string(make([]byte, 8<<10))}}}, wire.Outcome{Status: 200, Truncated: true}},
	} {
		t.Run(name, func(t *testing.T) {
			check(t, claims.NewStateMachine(), claims.Limits{}, c.want,
				step{0, claim("k", "a", "d"), "Granted"}, step{0, complete("k", "a", c.in), "ok"}, step{0, claim("k", "b", "d"), "Recorded"})
		})
	}
}

// A malformed command must not fail its batch, or the other claims of the batch
// would be granted without the callers learning of it.
func TestMalformedCommandInBatch(t *testing.T) {
	nested := claims.Command{Batch: []cbor.RawMessage{encode(t, claim("l", "a", "d"))}}
	batch := claims.Command{Batch: []cbor.RawMessage{
		encode(t, claim("k", "a", "d")), {0x01}, encode(t, nested), encode(t, claim("", "a", "d")), encode(t, claim("k", "b", "d")),
	}}
	m := claims.NewStateMachine()
	var got []string
	for _, r := range m.Apply(1, encode(t, batch)).([]claims.Result) {
		got = append(got, resultName(r))
	}
	want := []string{"Granted", "BadRequest", "BadRequest", "BadRequest", "InProgress"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func drawCommand(t *rapid.T) claims.Command {
	key := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key")
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return release(key, id)
	case 1:
		h := map[string][]string{}
		for i := range 8 {
			h[string(rune('A'+i))] = []string{id}
		}
		return complete(key, id, wire.Outcome{Status: 200, Header: h, Body: make([]byte, rapid.IntRange(0, 300).Draw(t, "size"))})
	}
	return claim(key, id, rapid.SampledFrom([]string{"d", "d", "e"}).Draw(t, "digest"))
}

// If a member that restarted from a snapshot gave other results than the rest, it
// would grant a key twice after becoming leader.
func TestRestoreEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replayed, restored := claims.NewStateMachine(), claims.NewStateMachine()
		l := claims.Limits{Records: 2, OutcomeBytes: 500, Retention: time.Hour}
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				b, _ := restored.Snapshot()
				restored = claims.NewStateMachine()
				if err := restored.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
			at += time.Duration(rapid.IntRange(-60, 1200).Draw(t, "seconds")) * time.Second
			c := drawCommand(t)
			c.Stamp, c.Limits = epoch.Add(at).UnixMilli(), l
			e, _ := c.Encode()
			want, got := replayed.Apply(1, e), restored.Apply(1, e)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
		want, _ := replayed.Snapshot()
		if got, _ := restored.Snapshot(); !bytes.Equal(got, want) {
			t.Fatalf("got snapshot %x, want %x", got, want)
		}
	})
}

// FuzzApply looks for log entries and snapshots that crash the state machine,
// which would crash every member, and for state that a snapshot does not preserve.
func FuzzApply(f *testing.F) {
	held := encode(f, claim("k", "a", "d"))
	for _, c := range []claims.Command{
		claim("k", "b", "d"), complete("k", "a", wire.Outcome{Status: 200, Header: map[string][]string{"A": {"b"}}}),
		release("k", "a"),
		{Stamp: 1 << 60, Batch: []cbor.RawMessage{held, {0x01}}},
	} {
		f.Add(encode(f, c))
	}
	m := claims.NewStateMachine()
	m.Apply(1, held)
	snapshot, _ := m.Snapshot()
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, n := claims.NewStateMachine(), claims.NewStateMachine()
		m.Apply(1, held)
		m.Apply(2, b)
		m.Apply(3, held)
		want, _ := m.Snapshot()
		if err := n.Restore(want); err != nil {
			t.Fatal(err)
		}
		if got, _ := n.Snapshot(); !bytes.Equal(got, want) {
			t.Errorf("got snapshot %x, want %x", got, want)
		}
		if n.Restore(b) == nil {
			n.Apply(4, held)
		}
	})
}

package wire_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// If an error lost its kind between processes, a request that provably did not run would
// be reported as unknown, or the reverse.
func TestFaultKeepsKindAndExecution(t *testing.T) {
	m := wire.NewMux()
	wire.HandleUnary(m, wire.MethodClaim, func(context.Context, *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		return nil, errkind.New(errkind.NoQuorum, "2 of 3 members unreachable")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go wire.Serve(t.Context(), l, m, wire.ServeOptions{Log: logr.Discard()})

	c, err := wire.Dial(t.Context(), wire.DialTCP, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = wire.Call[wire.ClaimRequest, wire.ClaimResponse](t.Context(), c, wire.MethodClaim, &wire.ClaimRequest{})
	got, want := errkind.From(err), errkind.New(errkind.NoQuorum, "2 of 3 members unreachable")
	if got.Kind != want.Kind || got.Execution != want.Execution || got.Reason != want.Reason {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// If a field were lost in encoding, the receiver would process an incomplete message.
func TestNodeMessageRoundTrip(t *testing.T) {
	want := wire.NodeMessage{Ack: &wire.Ack{Version: 7, Refused: 8, Reason: "digest differs"}}
	b, err := wire.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}
	var got wire.NodeMessage
	if err := wire.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if got.Ack == nil || *got.Ack != *want.Ack || got.Hello != nil {
		t.Errorf("got %+v, want %+v", got.Ack, want.Ack)
	}
}

// A time without its fraction would start the warm-up ramp of an upstream up to a second
// early, which skips a short ramp completely. The zero time means no ramp.
func TestTimeKeepsFraction(t *testing.T) {
	for _, want := range []time.Time{{}, time.Unix(1772366400, 0), time.Unix(1772366400, 987654321), time.Unix(4102444799, 999999000)} {
		b, err := wire.Marshal(&wire.Upstream{Since: want})
		if err != nil {
			t.Fatal(err)
		}
		var u wire.Upstream
		if err := wire.Unmarshal(b, &u); err != nil {
			t.Fatal(err)
		}
		if got := u.Since; got.Sub(want).Abs() > time.Microsecond || got.IsZero() != want.IsZero() {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// If a Latin-1 header value could not be decoded, the recorded outcome of a request that
// ran would be lost, and the connection that carries it would fail.
func TestHeaderKeepsAnyBytes(t *testing.T) {
	want := "filename=\xe4.pdf"
	b, err := wire.Marshal(&wire.Outcome{Header: map[string][]string{"Content-Disposition": {want}}})
	if err != nil {
		t.Fatal(err)
	}
	var got wire.Outcome
	if err := wire.Unmarshal(b, &got); err != nil || got.Header["Content-Disposition"][0] != want {
		t.Errorf("got %q and %v, want %q", got.Header, err, want)
	}
}

// FuzzUnmarshal checks that no message from a faulty or malicious peer causes a panic.
func FuzzUnmarshal(f *testing.F) {
	for _, m := range []any{
		&wire.NodeMessage{Ping: &wire.Ping{Version: 3}},
		&wire.ControlMessage{Config: &wire.ConfigChunk{To: 1, Data: []byte("x"), Last: true}},
		&wire.ForwardRequest{Head: &wire.RequestHead{RequestID: "r", Header: map[string][]string{"A": {"b"}}}},
	} {
		b, err := wire.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		for _, m := range []any{
			&wire.NodeMessage{}, &wire.ControlMessage{}, &wire.ForwardRequest{}, &wire.ForwardResponse{},
			&wire.ClaimRequest{}, &wire.CompleteRequest{}, &wire.ConfigUpdate{},
		} {
			_ = wire.Unmarshal(b, m) // may return an error but must not panic
		}
	})
}

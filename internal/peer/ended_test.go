package peer

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Guards that a response whose deadline passes while it waits for the link never looks
// complete, with and without a stated length.
func TestDeadlineWhileWaitingForLink(t *testing.T) {
	for _, length := range []int64{-1, 500 << 10} {
		synctest.Test(t, func(t *testing.T) {
			c, p, u := startOwner(t, 500<<10)
			u.length = length
			a, err := get(t.Context(), c, 300*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, a.Body); err == nil || n >= 500<<10 {
				t.Errorf("length %d: got %d bytes, %v, want a part and an error", length, n, err)
			}
			a.Body.Close()
			assertNothingHeld(t, p, c)
		})
	}
}

// Guards that a response to a caller whose piece was not sent stays cut off, however often it
// is read: the piece is missing.
func TestEndedWhileWaitingForLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p, _ := startOwner(t, 500<<10)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		a, err := p.c.Outlet.ToCallers(p.c.Transport).Call(ctx, &call.Request{RequestHead: wire.RequestHead{RequestID: "r", Remaining: time.Minute, WholeBody: true}})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			if n, err := io.Copy(io.Discard, a.Body); err == nil || i > 0 && n > 0 {
				t.Errorf("read %d: got %d bytes, %v, want an error", i, n, err)
			}
			time.Sleep(100 * time.Millisecond) // the link is free again
		}
		a.Body.Close()
		assertNothingHeld(t, p, c)
	})
}

// loadTransport is a transport that knows the load of its upstream.
type loadTransport struct{ transportFunc }

func (loadTransport) Load(*call.Request) *wire.Load { return &wire.Load{Limit: 9} }

// Guards that a refusal for the link reports the load of the upstream and of the link, by
// which the entry node chooses another one.
func TestRefusalReportsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, p, u := startOwner(t, 100<<10)
		o := p.c.Outlet
		o.recordSize("GET downloads", 100<<10)
		r := &call.Request{RequestHead: wire.RequestHead{RequestID: "r", Route: "GET downloads", Remaining: time.Minute, WholeBody: true}}
		transport := o.ToCallers(loadTransport{u.call})
		for range 10 {
			a, err := transport.Call(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
		}
		r.Remaining = 500 * time.Millisecond
		_, err := transport.Call(t.Context(), r)
		var l *call.LoadError
		if !errors.As(err, &l) || l.Load == nil || l.Load.Limit != 9 || l.Load.LinkDelayMillis < 500 {
			t.Errorf("got %#v, want a refusal with the load", err)
		}
	})
}

package upstream

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Guards against requests that are sent to an upstream although they were canceled: the
// cancellation arrived together with the request.
func TestCanceledRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		n := startUpstream(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
		send := func(ctx context.Context) error {
			a, err := n.Call(ctx, &call.Request{RequestHead: wire.RequestHead{
				Service: "levels", Upstream: "u", Rank: "urgent", Route: "r", Method: "GET", Path: "/", Host: "h",
			}})
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, a.Body)
			return err
		}
		if err := send(t.Context()); err != nil { // leaves a connection that the next one can use at once
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 8 { // twice the slots
			if err := send(ctx); errkind.Of(err) != errkind.Canceled || errkind.From(err).Execution != errkind.NotRun {
				t.Errorf("got %v, want Canceled and not-run", err)
			}
		}
		synctest.Wait()
		if got := ran.Load(); got != 1 {
			t.Errorf("the upstream ran %d requests, want 1", got)
		}
		if got := n.Loads(time.Now())["u"].InFlight; got != 0 {
			t.Errorf("slots in use: got %d, want 0", got)
		}
	})
}

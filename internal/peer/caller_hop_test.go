package peer

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// startEntry starts an owner node whose link is fast, and an entry node on a thin link. The
// upstream answers with n bytes after the time that the path of the request says.
func startEntry(t *testing.T, n int) *Client {
	network := standin.NewNetwork()
	startServerOn(t, network, func(ctx context.Context, r *call.Request) (*call.Response, error) {
		d, err := time.ParseDuration(r.Path)
		if err != nil {
			return nil, err
		}
		time.Sleep(d)
		return newResponse(r.RequestID, int64(n), newUpstreamBody(ctx, n)), nil
	})
	c := NewClient(ClientConfig{Dial: network.Dial, TCPUserTimeout: time.Second, Outlet: NewOutlet(OutletConfig{
		Link: link.New(thinMbps),
		Rank: func(_, rank string) (int, time.Duration) { return len(rank), 5 * time.Second },
	})})
	t.Cleanup(func() { c.Close() })
	return c
}

// request sends a request of a rank to an upstream that takes d.
func request(c *Client, rank string, d time.Duration) (*call.Response, error) {
	return c.Call(context.Background(), "owner:3", &call.Request{RequestHead: wire.RequestHead{
		RequestID: "r", Method: "GET", Rank: rank, Path: d.String(), Remaining: time.Minute, WholeBody: true,
	}})
}

// Guards that the entry node sends responses on to callers in the order of their urgency,
// counted from their requests: an upstream that takes longer must not make them less urgent.
func TestOrderToCallers(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second string // ranks
		want          string
	}{
		{"same rank", "a", "b", "first"},
		{"second more urgent", "aa", "b", "second"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startEntry(t, 300<<10)
				done := make(chan string, 2)
				receive := func(name, rank string, d time.Duration) {
					a, err := request(c, rank, d)
					if err != nil {
						t.Error(err)
						return
					}
					defer a.Body.Close()
					if n, err := io.Copy(io.Discard, a.Body); n != 300<<10 || err != nil {
						t.Errorf("%s: got %d bytes, %v, want 300 KiB", name, n, err)
					}
					done <- name
				}
				go receive("first", tt.first, 400*time.Millisecond)
				time.Sleep(300 * time.Millisecond)
				go receive("second", tt.second, 50*time.Millisecond)
				got := []string{<-done, <-done}
				if got[0] != tt.want {
					t.Errorf("got %q, want the %s one first", got, tt.want)
				}
			})
		})
	}
}

// Guards against a caller that does not read and delays others, and against more memory for
// it than a piece.
func TestCallerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startEntry(t, 300<<10)
		stopped, err := request(c, "a", 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stopped.Body.Read(make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		a, err := request(c, "aaa", 0)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, a.Body); n != 300<<10 || err != nil {
			t.Errorf("got %d bytes, %v, want 300 KiB", n, err)
		}
		a.Body.Close()
		if took, most := time.Since(start), 350*time.Millisecond; took > most {
			t.Errorf("300 KiB at 8.1 Mbit/s: got %s, want at most %s", took, most)
		}
		if got := c.c.Outlet.AheadBytes(); got != 0 {
			t.Errorf("memory: got %d bytes, want none", got)
		}
		b, err := io.ReadAll(stopped.Body)
		if len(b) != 299<<10 || err != nil || slices.ContainsFunc(b, func(v byte) bool { return v != 0 }) {
			t.Errorf("once it reads again: got %d bytes, %v, want the rest", len(b), err)
		}
		stopped.Body.Close()
		if got := c.c.Outlet.LinkStats().Bodies; got != 0 {
			t.Errorf("bodies: got %d, want none", got)
		}
	})
}

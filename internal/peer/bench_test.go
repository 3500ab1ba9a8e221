package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// BenchmarkSmallResponse measures what the scheduling of the link costs for a small response
// at the owner node, on a link that is not busy.
func BenchmarkSmallResponse(b *testing.B) {
	for _, mbps := range []float64{0, 18} {
		b.Run(fmt.Sprint(mbps, " Mbit per s"), func(b *testing.B) {
			o := NewOutlet(OutletConfig{Link: link.New(mbps), Rank: func(string, string) (int, time.Duration) { return 1, time.Second }})
			r := &call.Request{RequestHead: wire.RequestHead{Route: "GET levels", Method: "GET", Remaining: time.Second}}
			a := &call.Response{Head: wire.ResponseHead{Status: 200, ContentLength: 1000}}
			l := &wire.Load{}
			for b.Loop() {
				d, err := o.admit(r)
				if err != nil {
					b.Fatal(err)
				}
				if d != nil {
					d.start(a)
				}
				if err := d.pace(context.Background(), 1000); err != nil {
					b.Fatal(err)
				}
				o.load(l)
				d.complete(200)
				d.close()
			}
		})
	}
}

package versions_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// BenchmarkApplyWhole applies successive whole configurations that differ in one
// route, as a member does when it replays the log after a restart.
func BenchmarkApplyWhole(b *testing.B) {
	for _, routes := range []int{30, 300, 1200} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			m := versions.New()
			n := uint64(0)
			for b.Loop() {
				b.StopTimer()
				c := customer.NewConfig("whole").
					WithService(customer.Service{Name: "s", Slots: 5, Connections: 100}).
					WithRank(customer.Rank{Name: "r", Order: 1, Target: time.Second})
				for i := range routes {
					d := time.Second
					if i == int(n)%routes {
						d += time.Duration(n+1) * time.Millisecond
					}
					c = c.WithRoute(customer.Route{Host: "h.example", Method: customer.AnyMethod, Path: fmt.Sprintf("/p%d/", i), Service: "s", Rank: "r", Deadline: d, Execution: customer.Once})
				}
				a, err := versions.Accept{
					Customer: "whole", RequestID: fmt.Sprint("id-", n), Time: time.Now(), File: make([]byte, 100*routes),
					Resources: c.Resources(), Number: n + 1, BaseNumber: n,
				}.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				if r := m.Apply(n+1, a).(versions.Result); r.Kind != "" {
					b.Fatal(r.Reason)
				}
				n++
			}
		})
	}
}

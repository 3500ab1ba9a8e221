package customer_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// randomConfig returns a configuration with some of a few names of each kind.
func randomConfig(r *rand.Rand) *customer.Config {
	c := customer.NewConfig("c")
	for i := range 6 {
		if n := fmt.Sprint("n", i); r.IntN(2) == 0 {
			c = c.WithService(customer.Service{Name: n, Slots: r.IntN(2)})
		}
		if n := fmt.Sprint("n", i); r.IntN(2) == 0 {
			c = c.WithRank(customer.Rank{Name: n, Order: r.IntN(2)})
		}
		if n := fmt.Sprint("n", i); r.IntN(2) == 0 {
			c = c.WithAccount(customer.Account{Name: n, RatePerSecond: float64(r.IntN(2))})
		}
		if r.IntN(2) == 0 {
			c = c.WithRoute(customer.Route{Host: "h", Method: "GET", Path: fmt.Sprint("/", i), Deadline: time.Duration(r.IntN(2))})
		}
	}
	if r.IntN(2) == 0 {
		c = c.WithLimits(customer.Limits{HeaderBytes: 1 + r.IntN(2)})
	}
	return c
}

// Guards against nodes and controls that compute different digests for the same
// configuration, because one of them merged a change into its encoded resources wrongly:
// a node would refuse every later version.
func TestChangedResourcesEqualEncodedOnes(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		o, n := randomConfig(r), randomConfig(r)
		d := customer.Diff(o, n)
		r.Shuffle(len(d.Upsert), func(i, j int) { d.Upsert[i], d.Upsert[j] = d.Upsert[j], d.Upsert[i] })
		got, err := o.WithChange(d)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Resources(), n.Resources()) || got.Digest() != n.Digest() {
			t.Fatalf("seed %d: got resources\n%v, want\n%v", seed, got.Resources(), n.Resources())
		}
		got, err = o.WithResources(n.Resources())
		if err != nil {
			t.Fatal(err)
		}
		if got.Digest() != n.Digest() {
			t.Fatalf("seed %d: got digest %x of the whole list, want %x", seed, got.Digest(), n.Digest())
		}
	}
}

package customer_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// drawConfig generates a configuration with valid references from few names, so that
// two configurations share some resources.
func drawConfig(t *rapid.T, label string) *customer.Config {
	names := []string{"a", "b", "c", "d"}
	c := customer.NewConfig("c")
	services := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID).Draw(t, label+" services")
	for _, n := range services {
		c = c.WithService(customer.Service{Name: n, Slots: rapid.IntRange(1, 2).Draw(t, "slots"), Connections: 1})
	}
	ranks := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID).Draw(t, label+" ranks")
	for i, n := range ranks {
		c = c.WithRank(customer.Rank{Name: n, Order: i + 1, Target: time.Second})
	}
	for range rapid.IntRange(0, 6).Draw(t, label+" routes") {
		c = c.WithRoute(customer.Route{
			Host:    rapid.SampledFrom(names).Draw(t, "host"),
			Path:    rapid.SampledFrom([]string{"/", "/a", "/b"}).Draw(t, "path"),
			Service: rapid.SampledFrom(services).Draw(t, "service"),
			Rank:    rapid.SampledFrom(ranks).Draw(t, "rank"),
		})
	}
	return c
}

// Guards against a change that does not result in the accepted configuration, or that
// removes a service before its route. Both would break nodes during an update.
func TestDiffWithChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, n := drawConfig(t, "old"), drawConfig(t, "new")
		before := o.Digest()
		d := customer.Diff(o, n)
		got, err := o.WithChange(d)
		if err != nil || got.Digest() != n.Digest() {
			t.Fatalf("got %v, %v, want %v", got, err, n)
		}
		whole, err := o.WithResources(n.Resources())
		if err != nil || whole.Digest() != n.Digest() {
			t.Fatalf("with all resources: got %v, %v, want %v", whole, err, n)
		}
		for i := range len(d.Upsert) + len(d.Remove) + 1 {
			u := min(i, len(d.Upsert))
			p, err := o.WithChange(customer.Change{Upsert: d.Upsert[:u], Remove: d.Remove[:i-u]})
			if err == nil {
				err = p.Check()
			}
			if err != nil {
				t.Fatalf("after %d steps of %+v: %v", i, d, err)
			}
		}
		if o.Digest() != before {
			t.Fatalf("got a changed original, want it unchanged")
		}
		if e := customer.Diff(n, n); len(e.Upsert)+len(e.Remove) != 0 {
			t.Fatalf("got %+v, want no change between equals", e)
		}
	})
}

// Guards against a resource whose name differs from that in its data, because a removal
// would not find it.
func TestWithChangeRefusesOtherName(t *testing.T) {
	c := customer.NewConfig("c").WithService(customer.Service{Name: "s", Slots: 1, Connections: 1})
	l := slices.Clone(c.Resources())
	l[0].Name = "x"
	if _, err := c.WithChange(customer.Change{Customer: "c", Upsert: l}); err == nil {
		t.Error("got no error, want a refusal of the name")
	}
}

// Guards against a resource that is listed twice or has another name than its data,
// because it could not be removed later.
func TestWithResourcesRefusesNames(t *testing.T) {
	o := customer.NewConfig("c").WithService(customer.Service{Name: "a", Slots: 1, Connections: 1})
	r := o.Resources()[0]
	renamed := r
	renamed.Name = "b"
	for name, l := range map[string][]customer.Resource{
		"twice":              {r, r},
		"another name":       {renamed},
		"kind of the future": {{Kind: "Policy", Name: "a"}},
		"no data":            {{Kind: customer.KindService, Name: "z"}},
	} {
		if c, err := o.WithResources(l); err == nil {
			t.Errorf("%s: got %v, want an error", name, c)
		}
	}
}

package versions

import (
	"testing"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// If two customers had a service name or a route in common, every node would refuse
// the version after it was accepted.
func TestAcceptRefusesOverlap(t *testing.T) {
	taken := newConfig("pichler", "level")
	route := taken.Routes()[0]
	service := customer.NewConfig("vinetanorte").WithService(customer.Service{Name: route.Service})
	match := newConfig("vinetanorte", "swaps")
	route.Service = match.Services()[0].Name
	match = match.WithRoute(route)
	tests := []struct {
		name   string
		config *customer.Config
		want   errkind.Kind
	}{
		{"same service", service, errkind.InvalidFile},
		{"same route", match, errkind.InvalidFile},
		{"same customer", taken, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			apply(t, m, newAccept(taken, 0, "a", "1"))
			if got := apply(t, m, newAccept(c.config, 1, "b", "2")).Kind; got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

package versions

import (
	"maps"
	"slices"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// CheckOverlap returns an error if c has a service name or the match of a route in
// common with another customer. Upstreams announce a service without a customer,
// and nodes match routes across all customers, so nodes would refuse such a version.
func (v *View) CheckOverlap(c *customer.Config) error {
	for _, name := range slices.Sorted(maps.Keys(v.configs)) {
		if name == c.Customer() {
			continue
		}
		if err := overlap(c, v.configs[name]); err != nil {
			return err
		}
	}
	return nil
}

func overlap(c, o *customer.Config) error {
	for _, s := range c.Services() {
		if _, ok := o.Service(s.Name); ok {
			return errkind.New(errkind.InvalidFile, "service %q belongs to customer %q; choose another name, for example with the customer's name in front", s.Name, o.Customer())
		}
	}
	for _, r := range c.Routes() {
		if _, ok := o.Route(r.Name()); ok {
			return errkind.New(errkind.InvalidFile, "route %q belongs to customer %q; no two customers can share host, method and path", r.Name(), o.Customer())
		}
	}
	return nil
}

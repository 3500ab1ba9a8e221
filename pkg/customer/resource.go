package customer

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// ResourceKind names the kind of a resource.
type ResourceKind string

// Kinds of resources, in the order in which a change adds them.
const (
	KindService ResourceKind = "Service"
	KindRank    ResourceKind = "Rank"
	KindAccount ResourceKind = "Account"
	KindLimits  ResourceKind = "Limits"
	KindRoute   ResourceKind = "Route"
	KindRollout ResourceKind = "Rollout"
)

// limitsName is the name of the one resource of kind KindLimits.
const limitsName = "limits"

// Resource is an encoded service, rank, account, route or rollout of a configuration, or
// its limits.
type Resource struct {
	Kind ResourceKind `cbor:"1,keyasint"`
	Name string       `cbor:"2,keyasint"`
	Data []byte       `cbor:"3,keyasint,omitempty"`
}

// Change is the difference between two versions of a customer's configuration. It
// adds services, ranks and accounts before routes, and removes routes first, so that no
// intermediate state has a route without its service.
type Change struct {
	Customer string     `cbor:"1,keyasint"`
	Upsert   []Resource `cbor:"2,keyasint,omitempty"`
	Remove   []Resource `cbor:"3,keyasint,omitempty"`
}

// Resources returns all resources of c: services, ranks, accounts, limits, routes, then
// rollouts, each in the order of their names. The caller must not modify the list.
func (c *Config) Resources() []Resource {
	c.encoded.Do(c.encode)
	return c.resources
}

// Digest returns a hash over all resources of c.
func (c *Config) Digest() uint64 {
	c.encoded.Do(c.encode)
	return c.digest
}

func (c *Config) encode() {
	l := make([]Resource, 0, len(c.services)+len(c.ranks)+len(c.accounts)+len(c.routes)+len(c.rollouts)+1)
	for _, s := range c.Services() {
		l = append(l, encode(KindService, s.Name, s))
	}
	for _, r := range c.Ranks() {
		l = append(l, encode(KindRank, r.Name, r))
	}
	for _, a := range c.Accounts() {
		l = append(l, encode(KindAccount, a.Name, a))
	}
	if c.limits != (Limits{}) {
		l = append(l, encode(KindLimits, limitsName, c.limits))
	}
	for _, r := range c.Routes() {
		l = append(l, encode(KindRoute, r.Name(), r))
	}
	for _, r := range c.Rollouts() {
		l = append(l, encode(KindRollout, r.Service, r))
	}
	c.resources, c.digest = l, digest(l)
}

// digest returns a hash over the resources of a configuration.
func digest(l []Resource) uint64 {
	h := xxhash.New()
	var b []byte
	for _, r := range l {
		b = append(append(append(append(b[:0], r.Kind...), 0), r.Name...), 0)
		b = append(strconv.AppendInt(b, int64(len(r.Data)), 10), 0)
		_, _ = h.Write(b) // never fails
		_, _ = h.Write(r.Data)
	}
	return h.Sum64()
}

// setResources stores the encoded resources of c, so that they need not be encoded again.
// l must have the order of Resources.
func (c *Config) setResources(l []Resource) {
	c.encoded.Do(func() { c.resources, c.digest = l, digest(l) })
}

// NewResource encodes v, a Service, Rank, Account or Route, as a resource.
func NewResource(k ResourceKind, name string, v any) Resource { return encode(k, name, v) }

// NewLimitsResource encodes l as a resource.
func NewLimitsResource(l Limits) Resource { return encode(KindLimits, limitsName, l) }

func encode(k ResourceKind, name string, v any) Resource {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // all fields of these types can be encoded
	}
	return Resource{Kind: k, Name: name, Data: b}
}

// Diff returns the change from o to n. If o is nil, the customer does not exist yet.
func Diff(o, n *Config) Change {
	if o == nil {
		o = NewConfig(n.customer)
	}
	type key struct {
		kind ResourceKind
		name string
	}
	old := make(map[key]Resource, len(o.Resources()))
	for _, r := range o.Resources() {
		old[key{r.Kind, r.Name}] = r
	}
	d := Change{Customer: n.customer}
	for _, r := range n.Resources() {
		k := key{r.Kind, r.Name}
		if p, ok := old[k]; !ok || !bytes.Equal(p.Data, r.Data) {
			d.Upsert = append(d.Upsert, r)
		}
		delete(old, k)
	}
	for _, r := range slices.Backward(o.Resources()) {
		if _, ok := old[key{r.Kind, r.Name}]; ok {
			d.Remove = append(d.Remove, Resource{Kind: r.Kind, Name: r.Name})
		}
	}
	slices.SortStableFunc(d.Remove, func(a, b Resource) int { return removalOrder(a.Kind) - removalOrder(b.Kind) })
	return d
}

// removalOrder returns the position of k in the order in which resources are removed:
// none is removed before those that refer to it.
func removalOrder(k ResourceKind) int {
	switch k {
	case KindRoute:
		return 0
	case KindAccount:
		return 1
	}
	return 2
}

// WithResources returns the configuration of the same customer that has exactly the
// given resources. Resources that are equal in c are not decoded again. It does not
// check references; call Check on the result.
func (c *Config) WithResources(l []Resource) (*Config, error) {
	n := NewConfig(c.customer)
	own := c.Resources()
	for _, r := range l {
		i, found := slices.BinarySearchFunc(own, r, compareResources)
		if found && bytes.Equal(own[i].Data, r.Data) {
			n.copyFrom(c, r)
			continue
		}
		if err := n.upsert(r); err != nil {
			return nil, errors.Wrapf(err, "%s %q", r.Kind, r.Name)
		}
	}
	if k := n.count(); k != len(l) {
		return nil, errors.Errorf("%d resources have %d names", len(l), k)
	}
	if slices.IsSortedFunc(l, compareResources) {
		n.setResources(l)
	}
	return n, nil
}

// count returns the number of resources.
func (c *Config) count() int {
	n := len(c.services) + len(c.ranks) + len(c.accounts) + len(c.routes) + len(c.rollouts)
	if c.limits != (Limits{}) {
		n++
	}
	return n
}

// copyFrom copies the resource with the kind and name of r from o.
func (c *Config) copyFrom(o *Config, r Resource) {
	switch r.Kind {
	case KindService:
		c.services[r.Name] = o.services[r.Name]
	case KindRank:
		c.ranks[r.Name] = o.ranks[r.Name]
	case KindAccount:
		c.accounts[r.Name] = o.accounts[r.Name]
	case KindLimits:
		c.limits = o.limits
	case KindRoute:
		c.routes[r.Name] = o.routes[r.Name]
	case KindRollout:
		c.rollouts[r.Name] = o.rollouts[r.Name]
	}
}

// compareResources compares resources in the order of Config.Resources.
func compareResources(a, b Resource) int {
	return cmp.Or(cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)), strings.Compare(a.Name, b.Name))
}

func kindOrder(k ResourceKind) int {
	switch k {
	case KindService:
		return 0
	case KindRank:
		return 1
	case KindAccount:
		return 2
	case KindLimits:
		return 3
	case KindRoute:
		return 4
	}
	return 5
}

// WithChange returns a copy of c with d applied. It does not check references;
// call Check on the result.
func (c *Config) WithChange(d Change) (*Config, error) {
	n := c.clone()
	for _, r := range d.Upsert {
		if err := n.upsert(r); err != nil {
			return nil, errors.Wrapf(err, "%s %q", r.Kind, r.Name)
		}
	}
	for _, r := range d.Remove {
		switch r.Kind {
		case KindService:
			delete(n.services, r.Name)
		case KindRank:
			delete(n.ranks, r.Name)
		case KindAccount:
			delete(n.accounts, r.Name)
		case KindLimits:
			n.limits = Limits{}
		case KindRoute:
			delete(n.routes, r.Name)
		case KindRollout:
			delete(n.rollouts, r.Name)
		default:
			return nil, errors.Errorf("unknown resource kind %q", r.Kind)
		}
	}
	n.setResources(mergeResources(c.Resources(), d))
	return n, nil
}

// mergeResources returns the sorted resources l after the change d.
func mergeResources(l []Resource, d Change) []Resource {
	upsert := slices.Clone(d.Upsert)
	slices.SortStableFunc(upsert, compareResources)
	remove := slices.SortedFunc(slices.Values(d.Remove), compareResources)
	n := make([]Resource, 0, len(l)+len(upsert))
	add := func(r Resource) {
		if _, removed := slices.BinarySearchFunc(remove, r, compareResources); removed {
			return
		}
		if k := len(n) - 1; k >= 0 && compareResources(n[k], r) == 0 {
			n[k] = r // the later one of two with the same name counts
			return
		}
		n = append(n, r)
	}
	for _, r := range l {
		for len(upsert) > 0 && compareResources(upsert[0], r) < 0 {
			add(upsert[0])
			upsert = upsert[1:]
		}
		add(r)
	}
	for _, r := range upsert {
		add(r)
	}
	return n
}

func (c *Config) upsert(r Resource) error {
	switch r.Kind {
	case KindService:
		return decode(c.services, r, func(s Service) string { return s.Name })
	case KindRank:
		return decode(c.ranks, r, func(r Rank) string { return r.Name })
	case KindAccount:
		return decode(c.accounts, r, func(a Account) string { return a.Name })
	case KindLimits:
		m := map[string]Limits{}
		err := decode(m, r, func(Limits) string { return limitsName })
		c.limits = m[limitsName]
		return err
	case KindRoute:
		return decode(c.routes, r, Route.Name)
	case KindRollout:
		return decode(c.rollouts, r, func(r Rollout) string { return r.Service })
	}
	return errkind.New(errkind.Outdated, "unknown resource kind of a newer release")
}

var decoder = newDecoder()

// newDecoder returns a decoder that refuses unknown fields. A process that ignored a
// field of a newer release would have a different configuration than the others.
func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

// decode decodes r into m. It refuses data whose name differs from that of the
// resource, because a later removal would not find it.
func decode[T any](m map[string]T, r Resource, name func(T) string) error {
	var v T
	err := decoder.Unmarshal(r.Data, &v)
	if u := (*cbor.UnknownFieldError)(nil); errors.As(err, &u) {
		return errkind.Wrap(err, errkind.Outdated, "unknown field of a newer release")
	}
	if err != nil {
		return errors.Wrap(err, "decode")
	}
	if n := name(v); n != r.Name {
		return errors.Errorf("data is named %q", n)
	}
	m[r.Name] = v
	return nil
}

// Check returns an error for the first account or route that refers to a missing service
// or rank, or for a key that two accounts have.
func (c *Config) Check() error {
	if err := c.checkAccounts(); err != nil {
		return err
	}
	if c.referencesResolve() {
		return nil
	}
	for _, r := range c.Routes() {
		for _, p := range r.WeightedServices() {
			if _, ok := c.services[p.Service]; !ok {
				return errors.Errorf("route %q needs service %q, which customer %q lacks", r.Name(), p.Service, c.customer)
			}
		}
		if _, ok := c.ranks[r.Rank]; !ok {
			return errors.Errorf("route %q needs rank %q, which customer %q lacks", r.Name(), r.Rank, c.customer)
		}
	}
	return nil
}

// referencesResolve reports whether the services and the rank of each route exist.
func (c *Config) referencesResolve() bool {
	for _, r := range c.routes {
		for _, p := range r.WeightedServices() {
			if _, ok := c.services[p.Service]; !ok {
				return false
			}
		}
		if _, ok := c.ranks[r.Rank]; !ok {
			return false
		}
	}
	return true
}

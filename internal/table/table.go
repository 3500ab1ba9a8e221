// Package table implements the immutable routing table of a node: the configurations
// of all customers at one version, and an index of the routes by host.
//
// # Usage
//
//	t, err := table.New(version, configs) // checks the whole configuration
//	m, ok := t.Match("levels.pichler.example", "GET", "/v1/levels/17")
//	fmt.Println(m.Customer, m.Route.Service, m.Rank.Order)
//
// A node activates a new Table by swapping one pointer; each request uses the table
// that was active when it started.
package table

import (
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// Match is the route of a request with the rank and the services that it refers to.
type Match struct {
	Customer string
	Route    customer.Route
	Rank     customer.Rank
	Service  customer.Service
	// WeightedServices are the services of a split route; Service is empty then.
	WeightedServices []WeightedService
	// Name is the name of the route, cached.
	Name string
	// Account is the account that sent the request; its name is empty if there is none.
	Account customer.Account
	// Weight is the account's share of slot time relative to that of other callers.
	Weight float64
}

// WeightedService is a service of a split route with its weight.
type WeightedService struct {
	Service customer.Service
	Weight  int
}

// WithService returns a copy of m that sends all its requests to the service of p.
func (m Match) WithService(p WeightedService) Match {
	m.Service, m.Route.Service, m.WeightedServices = p.Service, p.Service.Name, nil
	return m
}

// Table is an immutable routing table.
type Table struct {
	version uint64
	// digest is the XOR of digests, so that an update needs to hash only the
	// changed customers.
	digest  uint64
	digests map[string]uint64
	configs map[string]*customer.Config
	// hosts holds the matches of each host in lower case, most specific first.
	hosts map[string][]*Match
	// serviceCustomer maps a service name to its customer.
	serviceCustomer map[string]string
	// keys maps the digests of API keys to their accounts.
	keys map[customer.KeyDigest]*account
}

// account is an account with the ranks of its requests.
type account struct {
	customer.Account
	customer string
	// ranks maps the ranks of routes to those that replace them.
	ranks  map[string]customer.Rank
	weight float64
}

// Empty is the table of a node without configuration.
var Empty = &Table{
	digests:         map[string]uint64{},
	configs:         map[string]*customer.Config{},
	hosts:           map[string][]*Match{},
	serviceCustomer: map[string]string{},
	keys:            map[customer.KeyDigest]*account{},
}

// New builds a table. It returns an error if a reference does not resolve, or if two
// customers have a service of the same name, routes with the same match or the same API key.
func New(version uint64, configs map[string]*customer.Config) (*Table, error) {
	return Empty.With(version, slices.Collect(maps.Values(configs)))
}

// Version returns the version of t.
func (t *Table) Version() uint64 { return t.version }

// Digest returns the digest over all customers, as versions.Digest computes it.
func (t *Table) Digest() uint64 { return t.digest }

// Configs returns the configurations by customer. The caller must not modify the map.
func (t *Table) Configs() map[string]*customer.Config { return t.configs }

// With returns a copy of t with the given version, in which the configurations of the
// given customers are replaced. It fails under the same conditions as New.
func (t *Table) With(version uint64, changed []*customer.Config) (*Table, error) {
	n := &Table{
		version:         version,
		digest:          t.digest,
		digests:         maps.Clone(t.digests),
		configs:         maps.Clone(t.configs),
		hosts:           maps.Clone(t.hosts),
		serviceCustomer: maps.Clone(t.serviceCustomer),
		keys:            maps.Clone(t.keys),
	}
	for _, c := range changed {
		n.remove(n.configs[c.Customer()])
	}
	for _, c := range changed {
		if err := n.add(c); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (t *Table) remove(c *customer.Config) {
	if c == nil {
		return
	}
	for _, s := range c.Services() {
		delete(t.serviceCustomer, s.Name)
	}
	for _, a := range c.Accounts() {
		for _, k := range a.Keys {
			delete(t.keys, k)
		}
	}
	hosts := map[string]bool{}
	for r := range c.AllRoutes() {
		hosts[strings.ToLower(r.Host)] = true
	}
	for h := range hosts {
		l := slices.DeleteFunc(slices.Clone(t.hosts[h]), func(m *Match) bool { return m.Customer == c.Customer() })
		if len(l) == 0 {
			delete(t.hosts, h)
			continue
		}
		t.hosts[h] = l
	}
	delete(t.configs, c.Customer())
	t.digest ^= t.digests[c.Customer()]
	delete(t.digests, c.Customer())
}

func (t *Table) add(c *customer.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	for _, s := range c.Services() {
		if o, ok := t.serviceCustomer[s.Name]; ok {
			return errors.Errorf("service %q of customer %q belongs to customer %q", s.Name, c.Customer(), o)
		}
		t.serviceCustomer[s.Name] = c.Customer()
	}
	accounts := c.Accounts()
	rate := meanRate(accounts)
	for _, a := range accounts {
		if err := t.addAccount(c, a, rate); err != nil {
			return err
		}
	}
	added := map[string][]*Match{}
	for r := range c.AllRoutes() {
		s, _ := c.Service(r.Service)
		k, _ := c.Rank(r.Rank)
		h := strings.ToLower(r.Host)
		added[h] = append(added[h], &Match{Customer: c.Customer(), Route: r, Rank: k, Service: s, WeightedServices: weightedServices(c, r), Name: r.Name()})
	}
	for h, l := range added {
		l = append(slices.Clone(t.hosts[h]), l...)
		sortMatches(l)
		if err := checkDistinct(l); err != nil {
			return err
		}
		t.hosts[h] = l
	}
	t.configs[c.Customer()] = c
	t.digests[c.Customer()] = versions.CustomerDigest(c)
	t.digest ^= t.digests[c.Customer()]
	return nil
}

// meanRate returns the mean limit of the accounts that have one.
func meanRate(l []customer.Account) float64 {
	sum, n := 0.0, 0
	for _, a := range l {
		if a.RatePerSecond > 0 {
			sum += a.RatePerSecond
			n++
		}
	}
	return sum / float64(max(1, n))
}

// addAccount adds an account of c, whose accounts have the given mean limit. Accounts
// share slot time in proportion to their limits.
func (t *Table) addAccount(c *customer.Config, a customer.Account, mean float64) error {
	n := &account{Account: a, customer: c.Customer(), ranks: make(map[string]customer.Rank, len(a.Ranks)), weight: 1}
	if a.RatePerSecond > 0 {
		n.weight = a.RatePerSecond / mean
	}
	for _, o := range a.Ranks {
		n.ranks[o.Rank], _ = c.Rank(o.Use)
	}
	for _, k := range a.Keys {
		if o := t.keys[k]; o != nil && o.customer != n.customer {
			return errors.Errorf("account %q of customer %q has a key of account %q of customer %q", a.Name, n.customer, o.Name, o.customer)
		}
		t.keys[k] = n
	}
	return nil
}

// Authenticate returns m with the account that holds key and with the rank of its
// requests. It returns false if the route needs a key and the customer has no account
// with this one.
func (t *Table) Authenticate(m Match, key string) (Match, bool) {
	if key == "" || len(t.keys) == 0 {
		return m, !m.Route.KeyRequired
	}
	a := t.keys[customer.DigestKey(key)]
	if a == nil || a.customer != m.Customer {
		return m, !m.Route.KeyRequired
	}
	m.Account, m.Weight = a.Account, a.weight
	if r, ok := a.ranks[m.Rank.Name]; ok {
		m.Rank = r
	}
	return m, true
}

// Accounts returns the accounts of all customers.
func (t *Table) Accounts() []customer.Account {
	var l []customer.Account
	for _, c := range t.configs {
		l = append(l, c.Accounts()...)
	}
	return l
}

// weightedServices returns the services of a split route, none for another route.
func weightedServices(c *customer.Config, r customer.Route) []WeightedService {
	if len(r.Split) == 0 {
		return nil
	}
	l := make([]WeightedService, 0, len(r.Split))
	for _, p := range r.Split {
		s, _ := c.Service(p.Service)
		l = append(l, WeightedService{Service: s, Weight: p.Weight})
	}
	return l
}

// Service returns the service with the given name, which is unique across customers.
func (t *Table) Service(name string) (customer.Service, bool) {
	c := t.configs[t.serviceCustomer[name]]
	if c == nil {
		return customer.Service{}, false
	}
	return c.Service(name)
}

// Rollout returns the rollout of the named service.
func (t *Table) Rollout(service string) (customer.Rollout, bool) {
	c := t.configs[versions.RolloutCustomer]
	if c == nil {
		return customer.Rollout{}, false
	}
	return c.Rollout(service)
}

// RunningRollouts returns the rollouts that are running.
func (t *Table) RunningRollouts() []customer.Rollout {
	c := t.configs[versions.RolloutCustomer]
	if c == nil {
		return nil
	}
	return slices.DeleteFunc(c.Rollouts(), func(r customer.Rollout) bool { return !r.Running() })
}

// Ranks returns the ranks of the customer that owns the named service.
func (t *Table) Ranks(service string) []customer.Rank {
	c := t.configs[t.serviceCustomer[service]]
	if c == nil {
		return nil
	}
	return c.Ranks()
}

// sortMatches sorts longer paths first, so that the first match is the most specific.
func sortMatches(l []*Match) {
	slices.SortFunc(l, func(a, b *Match) int {
		if d := len(b.Route.Path) - len(a.Route.Path); d != 0 {
			return d
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// checkDistinct returns an error if two matches of the sorted list have the same name.
func checkDistinct(l []*Match) error {
	for i := 1; i < len(l); i++ {
		if l[i].Name == l[i-1].Name {
			return errors.Errorf("route %q of customer %q belongs to customer %q too", l[i].Name, l[i].Customer, l[i-1].Customer)
		}
	}
	return nil
}

// Match returns the most specific route for a request.
func (t *Table) Match(host, method, path string) (Match, bool) {
	for _, m := range t.hosts[normalize(host)] {
		if (m.Route.Method == method || m.Route.Method == customer.AnyMethod) && hasPathPrefix(path, m.Route.Path) {
			return *m, true
		}
	}
	return Match{}, false
}

// normalize removes the port from a host and converts it to lower case.
func normalize(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}

// hasPathPrefix reports whether path starts with prefix and the prefix ends at a
// segment boundary, so that "/levels" does not match "/levelsets".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

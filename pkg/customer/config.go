package customer

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"time"
)

// Execution determines how often a request on a route may run.
type Execution string

// Executions of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Execution = "Idempotent"
	// AtMostOnce requests carry an idempotency key and run at most once.
	AtMostOnce Execution = "AtMostOnce"
	// Once requests carry no idempotency key and are never retried after they may have
	// run.
	Once Execution = "Once"
)

// Service is a named set of upstreams that serve the same requests.
type Service struct {
	Name        string        `cbor:"1,keyasint"`
	Slots       int           `cbor:"2,keyasint"`
	Connections int           `cbor:"3,keyasint"`
	ColdStart   time.Duration `cbor:"4,keyasint"`
}

// Rank is a class of requests with a priority and a target latency.
type Rank struct {
	Name string `cbor:"1,keyasint"`
	// Order is 1 for the most urgent rank.
	Order  int           `cbor:"2,keyasint"`
	Target time.Duration `cbor:"3,keyasint"`
	Worth  float64       `cbor:"4,keyasint"`
	// Floor is the share of an upstream's capacity, from 0 to 1, that the rank keeps
	// while any of its requests wait.
	Floor float64 `cbor:"5,keyasint"`
}

// Limits bounds what callers may send, and how long they may take or stay idle. A zero
// field means the default of the node.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// AnyMethod is the Method of a route that matches requests of every method.
const AnyMethod = "*"

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route maps requests to a service and a rank.
type Route struct {
	Host      string        `cbor:"1,keyasint"`
	Method    string        `cbor:"2,keyasint"`
	Path      string        `cbor:"3,keyasint"`
	Service   string        `cbor:"4,keyasint"`
	Rank      string        `cbor:"5,keyasint"`
	Deadline  time.Duration `cbor:"6,keyasint"`
	Execution Execution     `cbor:"7,keyasint"`
	// Attempts bounds the number of upstreams that one request is sent to. If it is
	// zero, only the retry budget limits them.
	Attempts int `cbor:"8,keyasint,omitempty"`
	// Split replaces Service where several services share the requests in
	// proportion to their weights.
	Split []WeightedService `cbor:"9,keyasint,omitempty"`
	// KeyRequired says that requests need the API key of an account.
	KeyRequired bool `cbor:"10,keyasint,omitempty"`
}

// WeightedServices returns the services that serve the requests of r, with their
// weights.
func (r Route) WeightedServices() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Name returns the method, host and path of r, which identify it within a customer.
func (r Route) Name() string { return r.Method + " " + r.Host + r.Path }

// Config is the compiled, immutable configuration of one customer.
type Config struct {
	customer string
	services map[string]Service
	ranks    map[string]Rank
	accounts map[string]Account
	routes   map[string]Route
	rollouts map[string]Rollout
	limits   Limits

	// encoded guards resources and digest, which the first call of Resources or Digest
	// computes.
	encoded   sync.Once
	resources []Resource
	digest    uint64
}

// NewConfig returns an empty configuration of the named customer.
func NewConfig(name string) *Config {
	return &Config{
		customer: name,
		services: map[string]Service{},
		ranks:    map[string]Rank{},
		accounts: map[string]Account{},
		routes:   map[string]Route{},
		rollouts: map[string]Rollout{},
	}
}

// Customer returns the customer's name.
func (c *Config) Customer() string { return c.customer }

// Service returns the named service.
func (c *Config) Service(name string) (Service, bool) { s, ok := c.services[name]; return s, ok }

// Rank returns the named rank.
func (c *Config) Rank(name string) (Rank, bool) { r, ok := c.ranks[name]; return r, ok }

// Account returns the named account.
func (c *Config) Account(name string) (Account, bool) { a, ok := c.accounts[name]; return a, ok }

// Route returns the route with the given name; see Route.Name.
func (c *Config) Route(name string) (Route, bool) { r, ok := c.routes[name]; return r, ok }

// Services returns all services in the order of their names.
func (c *Config) Services() []Service { return sorted(c.services) }

// Ranks returns all ranks in the order of their names.
func (c *Config) Ranks() []Rank { return sorted(c.ranks) }

// Accounts returns all accounts in the order of their names.
func (c *Config) Accounts() []Account { return sorted(c.accounts) }

// Limits returns the limits for callers.
func (c *Config) Limits() Limits { return c.limits }

// Routes returns all routes in the order of their names.
func (c *Config) Routes() []Route { return sorted(c.routes) }

// AllRoutes iterates over the routes in no particular order.
func (c *Config) AllRoutes() iter.Seq[Route] { return maps.Values(c.routes) }

// WithService returns a copy of c in which s is added or replaced.
func (c *Config) WithService(s Service) *Config {
	n := c.clone()
	n.services[s.Name] = s
	return n
}

// WithRank returns a copy of c in which r is added or replaced.
func (c *Config) WithRank(r Rank) *Config {
	n := c.clone()
	n.ranks[r.Name] = r
	return n
}

// WithAccount returns a copy of c in which a is added or replaced.
func (c *Config) WithAccount(a Account) *Config {
	n := c.clone()
	n.accounts[a.Name] = a
	return n
}

// WithLimits returns a copy of c with the limits l.
func (c *Config) WithLimits(l Limits) *Config {
	n := c.clone()
	n.limits = l
	return n
}

// WithRoute returns a copy of c in which r is added or replaced.
func (c *Config) WithRoute(r Route) *Config {
	n := c.clone()
	n.routes[r.Name()] = r
	return n
}

func (c *Config) clone() *Config {
	return &Config{
		customer: c.customer,
		services: maps.Clone(c.services),
		ranks:    maps.Clone(c.ranks),
		accounts: maps.Clone(c.accounts),
		routes:   maps.Clone(c.routes),
		rollouts: maps.Clone(c.rollouts),
		limits:   c.limits,
	}
}

func sorted[T any](m map[string]T) []T {
	l := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		l = append(l, m[k])
	}
	return l
}

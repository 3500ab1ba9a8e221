package table

import (
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// config returns a customer with an urgent and an ordinary rank, a public route and one
// that needs a key, and the given accounts.
func config(name string, l ...customer.Account) *customer.Config {
	c := customer.NewConfig(name).
		WithService(customer.Service{Name: "work-" + name}).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: time.Second}).
		WithRank(customer.Rank{Name: "ordinary", Order: 2, Target: time.Second})
	for path, keyed := range map[string]bool{"/open": false, "/keyed": true} {
		c = c.WithRoute(customer.Route{Host: name, Method: "GET", Path: path, Service: "work-" + name, Rank: "ordinary", Deadline: time.Second, Execution: customer.Idempotent, KeyRequired: keyed})
	}
	for _, a := range l {
		c = c.WithAccount(a)
	}
	return c
}

func newAccount(name string, rate float64, keys ...string) customer.Account {
	a := customer.Account{Name: name, RatePerSecond: rate}
	for _, k := range keys {
		a.Keys = append(a.Keys, customer.DigestKey(k))
	}
	return a
}

// Guards against requests that run with an unknown or withdrawn key, or in the name, rank
// or share of another account.
func TestAuthenticate(t *testing.T) {
	big := newAccount("big", 30, "k1", "k2")
	big.Ranks = []customer.RankOverride{{Rank: "ordinary", Use: "urgent"}}
	first, err := New(1, map[string]*customer.Config{"a": config("a", big, newAccount("small", 10, "k3")), "b": config("b", newAccount("other", 0, "k4"))})
	if err != nil {
		t.Fatal(err)
	}
	big.Keys = big.Keys[1:]
	second, err := first.With(2, []*customer.Config{config("a", big, newAccount("small", 10))})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		table     *Table
		path, key string
		ok        bool
		account   string
		rank      string
		weight    float64
	}{
		"key":                            {first, "/keyed", "k1", true, "big", "urgent", 1.5},
		"second key":                     {first, "/keyed", "k2", true, "big", "urgent", 1.5},
		"account without override":       {first, "/keyed", "k3", true, "small", "ordinary", 0.5},
		"no key":                         {first, "/keyed", "", false, "", "ordinary", 0},
		"unknown key":                    {first, "/keyed", "k5", false, "", "ordinary", 0},
		"key of another customer":        {first, "/keyed", "k4", false, "", "ordinary", 0},
		"public":                         {first, "/open", "", true, "", "ordinary", 0},
		"public with a key":              {first, "/open", "k1", true, "big", "urgent", 1.5},
		"public with an unknown key":     {first, "/open", "k5", true, "", "ordinary", 0},
		"withdrawn key":                  {second, "/keyed", "k1", false, "", "ordinary", 0},
		"kept key":                       {second, "/keyed", "k2", true, "big", "urgent", 1.5},
		"account that lost its only key": {second, "/keyed", "k3", false, "", "ordinary", 0},
	} {
		t.Run(name, func(t *testing.T) {
			m, found := c.table.Match("a", "GET", c.path)
			if !found {
				t.Fatal("no route")
			}
			m, ok := c.table.Authenticate(m, c.key)
			if ok != c.ok || m.Account.Name != c.account || m.Rank.Name != c.rank || m.Weight != c.weight {
				t.Errorf("got %v, account %q, rank %q, weight %v; want %v, %q, %q, %v", ok, m.Account.Name, m.Rank.Name, m.Weight, c.ok, c.account, c.rank, c.weight)
			}
		})
	}
}

// Guards against one key that stands for two accounts, whose requests would be mixed up.
func TestSharedKeys(t *testing.T) {
	a, b := newAccount("x", 0, "k1"), newAccount("y", 0, "k1")
	if err := config("a", a, b).Check(); err == nil {
		t.Error("one customer: no error")
	}
	if _, err := New(1, map[string]*customer.Config{"a": config("a", a), "b": config("b", b)}); err == nil {
		t.Error("two customers: no error")
	}
}

// BenchmarkAuthenticate measures what the key costs each request.
func BenchmarkAuthenticate(b *testing.B) {
	t, err := New(1, map[string]*customer.Config{"a": config("a", newAccount("big", 30, "hhacruddedev3nax7u27"))})
	if err != nil {
		b.Fatal(err)
	}
	m, _ := t.Match("a", "GET", "/keyed")
	for b.Loop() {
		if _, ok := t.Authenticate(m, "hhacruddedev3nax7u27"); !ok {
			b.Fatal("not authenticated")
		}
	}
}

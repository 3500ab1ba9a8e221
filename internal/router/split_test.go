package router

import (
	"testing"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

func splitMatch(weights ...int) table.Match {
	m := table.Match{Name: "* levels.example/"}
	for i, w := range weights {
		n := string(rune('a' + i))
		m.Route.Split = append(m.Route.Split, customer.WeightedService{Service: n, Weight: w})
		m.WeightedServices = append(m.WeightedServices, table.WeightedService{Service: customer.Service{Name: n}, Weight: w})
	}
	return m
}

// Guards against shares that hold only in the long run.
func TestSplitShares(t *testing.T) {
	m := splitMatch(70, 20, 10)
	for seed := range uint64(50) {
		s, got := newSplits(seed), map[string]int{}
		for range 100 {
			got[s.choose(m).Route.Service]++
		}
		for k, want := range map[string]int{"a": 70, "b": 20, "c": 10} {
			if got[k] != want {
				t.Errorf("seed %d: service %s got %d of 100 requests, want %d", seed, k, got[k], want)
			}
		}
	}
}

// Guards against all nodes sending their first request to the same service.
func TestSplitStartsAtRandomTurn(t *testing.T) {
	first := map[string]int{}
	for seed := range uint64(1000) {
		first[newSplits(seed).choose(splitMatch(70, 30)).Route.Service]++
	}
	if n := first["b"]; n < 200 || n > 400 {
		t.Errorf("the service of weight 30 got %d of 1000 first requests, want about 300", n)
	}
}

// Guards against a changed split that keeps using the old weights.
func TestSplitFollowsConfiguration(t *testing.T) {
	s := newSplits(1)
	s.choose(splitMatch(1, 1))
	m := splitMatch(1, 0)
	for range 10 {
		if got := s.choose(m).Route.Service; got != "a" {
			t.Fatalf("a service of weight 0 was chosen: %s", got)
		}
	}
}

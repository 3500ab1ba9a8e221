package operator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// A plan must show the old and new values of a changed resource: its name alone
// would not reveal a target that was changed by mistake.
func TestPlanShowsValues(t *testing.T) {
	c := customer.NewConfig("pichler").
		WithService(customer.Service{Name: "levels", Slots: 4, Connections: 8}).
		WithRank(customer.Rank{Name: "urgent", Order: 1, Target: 100 * time.Millisecond, Worth: 1})
	m := versions.New()
	b, err := versions.Accept{Customer: "pichler", RequestID: "id", File: []byte("x"), Resources: c.Resources()}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(1, b)
	n := c.WithRank(customer.Rank{Name: "urgent", Order: 1, Target: 80 * time.Millisecond, Worth: 2}).
		WithRank(customer.Rank{Name: "bulk", Order: 2})
	p := operator.Compare(m.Current(), n)
	want := []operator.ValueChange{
		{Name: "urgent", Key: "Target", Old: "100ms", New: "80ms"},
		{Name: "urgent", Key: "Worth", Old: "1", New: "2"},
	}
	if got := p.Ranks.Values; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := p.Services.Values; len(got) > 0 {
		t.Errorf("services: got %v, want none", got)
	}
}

package operator

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Parse parses a customer file. Its error has kind InvalidFile unless the parser
// set another kind.
func Parse(name string, file []byte) (*customer.Config, error) {
	c, err := customer.Parse(name, file)
	if err == nil {
		return c, nil
	}
	if e := (*errkind.Error)(nil); errors.As(err, &e) {
		return nil, err
	}
	return nil, errkind.New(errkind.InvalidFile, "%s", err.Error())
}

// Compile parses the file of r and returns the state machine command that accepts
// it.
func Compile(author string, r AcceptRequest, now time.Time) (versions.Accept, error) {
	c, err := Parse(r.FileName, []byte(r.File))
	if err != nil {
		return versions.Accept{}, err
	}
	return versions.Accept{
		Customer: c.Customer(), Base: r.Base, RequestID: r.RequestID, Author: author, Time: now,
		FileName: r.FileName, File: []byte(r.File), Resources: c.Resources(),
	}, nil
}

// NewPlan parses the file of r and compares it with v.
func NewPlan(v *versions.View, r PlanRequest) (Plan, error) {
	c, err := Parse(r.FileName, []byte(r.File))
	if err != nil {
		return Plan{}, err
	}
	if err := v.CheckOverlap(c); err != nil {
		return Plan{}, err
	}
	return Compare(v, c), nil
}

// Compare returns what changes if c replaces its customer's configuration in v.
func Compare(v *versions.View, c *customer.Config) Plan {
	p := Plan{Customer: c.Customer(), Base: v.Version()}
	if e, ok := v.Newest(c.Customer()); ok {
		p.Newest = e.Version
	}
	old, _ := v.Config(c.Customer())
	known := map[[2]string]bool{}
	if old != nil {
		for _, r := range old.Resources() {
			known[[2]string{string(r.Kind), r.Name}] = true
		}
	}
	lists := map[customer.ResourceKind]*Difference{
		customer.KindService: &p.Services, customer.KindRank: &p.Ranks, customer.KindAccount: &p.Accounts, customer.KindRoute: &p.Routes,
	}
	d := customer.Diff(old, c)
	for _, r := range d.Upsert {
		l := lists[r.Kind]
		if l == nil {
			continue // only whole configurations have limits
		}
		if known[[2]string{string(r.Kind), r.Name}] {
			l.Changed = append(l.Changed, r.Name)
			l.Values = append(l.Values, changedValues(r, old, c)...)
		} else {
			l.Added = append(l.Added, r.Name)
		}
	}
	for _, r := range d.Remove {
		if l := lists[r.Kind]; l != nil {
			l.Removed = append(l.Removed, r.Name)
		}
	}
	for _, l := range lists {
		slices.Sort(l.Removed)
	}
	return p
}

// changedValues returns the fields of resource r that differ between the
// configurations o and n, with the old and new values.
func changedValues(r customer.Resource, o, n *customer.Config) []ValueChange {
	before, after := reflect.ValueOf(resourceValue(o, r)), reflect.ValueOf(resourceValue(n, r))
	var l []ValueChange
	for f, v := range before.Fields() {
		if a, b := fmt.Sprint(v), fmt.Sprint(after.FieldByIndex(f.Index)); a != b {
			l = append(l, ValueChange{Name: r.Name, Key: f.Name, Old: a, New: b})
		}
	}
	return l
}

// resourceValue returns the service, rank, account or route of c that r names.
func resourceValue(c *customer.Config, r customer.Resource) (v any) {
	switch r.Kind {
	case customer.KindService:
		v, _ = c.Service(r.Name)
	case customer.KindRank:
		v, _ = c.Rank(r.Name)
	case customer.KindAccount:
		v, _ = c.Account(r.Name)
	case customer.KindRoute:
		v, _ = c.Route(r.Name)
	}
	return v
}

// NewHistory lists the versions of v that r selects.
func NewHistory(v *versions.View, r HistoryRequest) History {
	h := History{Versions: []Metadata{}}
	for _, m := range v.History() {
		if len(h.Versions) == r.Limit {
			break
		}
		if r.Customer == "" || r.Customer == m.Customer {
			h.Versions = append(h.Versions, newMetadata(m))
		}
	}
	return h
}

// NewVersion returns the version of v that r selects.
func NewVersion(v *versions.View, r VersionRequest) (Version, error) {
	n := r.Number
	if n == 0 {
		n = v.Version()
	}
	e, ok := v.Entry(n)
	if r.Customer != "" {
		e, ok = v.Newest(r.Customer)
	}
	switch {
	case ok:
		return Version{Metadata: newMetadata(e.Metadata), FileKept: e.FileKept, File: string(e.File)}, nil
	case r.Customer != "":
		return Version{}, errkind.New(errkind.NotFound, "customer %q has no version", r.Customer)
	case v.Version() == 0:
		return Version{}, errkind.New(errkind.NotFound, "no version was accepted yet; start with accept FILE --base 0")
	case n > v.Version():
		return Version{}, errkind.New(errkind.NotFound, "version %d does not exist; the latest is %d", n, v.Version())
	}
	return Version{}, errkind.New(errkind.NotFound, "version %d is no longer kept; run history to see which are", n)
}

func newMetadata(m versions.Metadata) Metadata {
	return Metadata{
		Version: m.Version, Customer: m.Customer, Author: m.Author, Time: m.Time.UTC(), Base: m.Base,
		RequestID: m.RequestID, FileName: m.FileName, Digest: fmt.Sprintf("%016x", m.Digest),
		Services: m.Services, Ranks: m.Ranks, Routes: m.Routes,
	}
}

// NewForgotten returns which nodes of r are known and thus removed. It returns a
// Conflict error if reports show that one of them was heard from since the given
// time.
func NewForgotten(r ForgetRequest, known []versions.Node, reports []Node, members []Member, since time.Time) (Forgotten, error) {
	connected := map[string]string{}
	for _, n := range reports {
		if !n.LastHeard.Before(since) {
			connected[n.Name] = n.Control
		}
	}
	stored := map[string]bool{}
	for _, n := range known {
		stored[n.Name] = true
	}
	f := Forgotten{Removed: []string{}}
	var refused []string
	for _, n := range slices.Compact(slices.Sorted(slices.Values(r.Nodes))) {
		switch c, ok := connected[n]; {
		case ok:
			refused = append(refused, fmt.Sprintf("%s (by %s)", n, c))
		case stored[n]:
			f.Removed = append(f.Removed, n)
		default:
			f.Unknown = append(f.Unknown, n)
		}
	}
	if len(refused) > 0 {
		return Forgotten{}, errkind.New(errkind.Conflict, "heard from just now: %s; only nodes that no longer exist can be forgotten, so stop them first and try again 10s later", strings.Join(refused, ", "))
	}
	for _, m := range members {
		if m.Role == Unreachable {
			f.Silent = append(f.Silent, m.Name)
		}
	}
	return f, nil
}

// NewNodes lists the known nodes and those in reports. If a node has several
// reports, the one heard last counts. A node without a report is listed as not
// heard. BehindBy is computed from the latest version.
func NewNodes(known []versions.Node, reports []Node, latest uint64) []Node {
	m := map[string]Node{}
	for _, n := range known {
		m[n.Name] = Node{Name: n.Name, AvailabilityZone: n.AvailabilityZone}
	}
	for _, r := range reports {
		if o := m[r.Name]; !o.Heard || r.LastHeard.After(o.LastHeard) {
			r.Heard = true
			m[r.Name] = r
		}
	}
	l := slices.SortedFunc(maps.Values(m), func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	for i, n := range l {
		l[i].BehindBy = latest - min(latest, n.Version)
	}
	return l
}

package versions

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// snapshotState is the encoded form of a snapshot. All lists are sorted or in log
// order, so that members with the same state write the same bytes.
type snapshotState struct {
	Format    int             `cbor:"1,keyasint"`
	Version   uint64          `cbor:"2,keyasint"`
	Customers []customerState `cbor:"3,keyasint"`
	History   []*record       `cbor:"4,keyasint"`
	Requests  []request       `cbor:"5,keyasint"`
	Nodes     []Node          `cbor:"6,keyasint"`
	// LeaseHolders is absent in snapshots of earlier releases.
	LeaseHolders []string `cbor:"7,keyasint,omitempty"`
}

type customerState struct {
	Name      string              `cbor:"1,keyasint"`
	Resources []customer.Resource `cbor:"2,keyasint"`
	Newest    *record             `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v := m.current.Load()
	s := snapshotState{Format: snapshotFormat, Version: v.version, History: v.history, Nodes: m.sortedNodes(), LeaseHolders: slices.Sorted(maps.Keys(m.leaseHolders))}
	for _, k := range slices.Sorted(maps.Keys(v.configs)) {
		r := *v.newest[k]
		r.Change = nil // the history holds it
		s.Customers = append(s.Customers, customerState{Name: k, Resources: v.resources[k], Newest: &r})
	}
	for _, id := range m.requestOrder {
		s.Requests = append(s.Requests, m.requests[id])
	}
	b, err := encoder.Marshal(s)
	return b, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (m *StateMachine) Restore(snapshot []byte) error {
	var s snapshotState
	if err := unmarshal(snapshot, &s); err != nil {
		return restoreError(err)
	}
	v, err := s.view()
	if err != nil {
		return restoreError(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests, m.requestOrder, m.nodes = map[string]request{}, nil, map[string]Node{}
	for _, r := range s.Requests {
		m.storeRequest(r)
	}
	for _, n := range s.Nodes {
		m.nodes[n.Name] = n
	}
	m.leaseHolders = map[string]bool{}
	for _, n := range s.LeaseHolders {
		m.leaseHolders[n] = true
	}
	close(m.current.Swap(v).superseded)
	return nil
}

// restoreError distinguishes a snapshot of a newer release, which requires an
// upgrade, from a corrupt one, which requires another copy.
func restoreError(err error) error {
	if errkind.Of(err) == errkind.Outdated {
		return errkind.Wrap(err, errkind.Outdated, "the snapshot of the config group is of a newer release; upgrade this member")
	}
	return errkind.Wrap(err, errkind.Corrupt, "snapshot of the config group")
}

func (s snapshotState) view() (*View, error) {
	if s.Format > snapshotFormat {
		return nil, errkind.New(errkind.Outdated, "format %d, this release reads up to %d", s.Format, snapshotFormat)
	}
	if s.Format != snapshotFormat {
		return nil, errors.Errorf("format %d, this release reads %d", s.Format, snapshotFormat)
	}
	v := newView()
	v.version = s.Version
	for _, c := range s.Customers {
		if c.Newest == nil {
			return nil, errors.Errorf("customer %q without a version", c.Name)
		}
		n, err := Accept{Customer: c.Name, Resources: c.Resources}.config(customer.NewConfig(c.Name))
		if err != nil {
			return nil, errors.Wrapf(err, "customer %q", c.Name)
		}
		v.configs[c.Name], v.resources[c.Name], v.newest[c.Name] = n, n.Resources(), c.Newest
	}
	// The digest is recomputed, because a release that adds a field to a resource
	// changes the digest.
	v.digest = Digest(v.configs)
	if (len(s.History) == 0) != (s.Version == 0) {
		return nil, errors.Errorf("%d history entries for version %d", len(s.History), s.Version)
	}
	for i, r := range s.History {
		if r == nil || r.Metadata.Version+uint64(len(s.History)-1-i) != s.Version {
			return nil, errors.Errorf("history entry %d is out of order", i)
		}
	}
	v.history = s.History
	v.resumable = oldestResumable(v.history)
	return v, nil
}

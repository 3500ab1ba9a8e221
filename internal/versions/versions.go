// Package versions implements the replicated state machine of the config group. It
// holds the accepted versions with their history, the request IDs, the rollouts of
// service versions, and the names of the known nodes.
//
// Versions are numbered in one sequence for the whole system; each version replaces
// the configuration of one customer. An accept names the base version that it was
// made against and succeeds if no version of that customer is newer than the base
// (compare-and-set). A repeated request ID with the same content returns the version
// that it created the first time, so that an accept can be resent after its answer
// was lost.
//
// The package starts no goroutine and reads no clock. Apply depends only on the
// state and the command, so that all members reach the same state.
//
// # Usage
//
// The control process passes a StateMachine to its replica, proposes encoded
// commands and reads the Result:
//
//	m := versions.New()
//	c, err := versions.Accept{Customer: "pichler", Base: 7, ...}.Encode()
//	answer, err := group.Propose(ctx, c)
//	version, err := answer.(versions.Result).Outcome()
//
// Readers can get an immutable View at any time, also while Apply runs:
//
//	v := m.Current()
//	changes, ok := v.ChangeFrom(6)
//	if !ok {
//		changes = v.FullChanges()
//	}
//	<-v.Superseded() // closed when a newer version was accepted
package versions

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxHistory is how many versions keep their metadata.
	maxHistory = 1000
	// maxHistoryFiles is how many versions keep their file. The newest version of
	// each customer always keeps its file.
	maxHistoryFiles = 200
	// maxRequests is how many request IDs are kept. At the target of 26,000 changes
	// per day, an accept can be resent for one day.
	maxRequests = 26_000
	// maxChangeBytes limits the total size of the changes kept for nodes that
	// resume. A node that is further behind gets the full configuration, which is
	// then smaller anyway.
	maxChangeBytes = 16 << 20
	// maxNodes limits the known nodes to about three times the target number, so
	// that a node that reports made-up names cannot exhaust the members' memory.
	maxNodes = 120_000
)

// Node is a node that has reported to a control and was not forgotten since.
type Node struct {
	Name             string `cbor:"1,keyasint"`
	AvailabilityZone string `cbor:"2,keyasint"`
	// Since is when the node was first stored with its current zone.
	Since time.Time `cbor:"3,keyasint"`
}

// request is the stored record of an accepted request ID.
type request struct {
	ID      string   `cbor:"1,keyasint"`
	Content [32]byte `cbor:"2,keyasint"`
	Version uint64   `cbor:"3,keyasint"`
}

// StateMachine is the replicated state machine of the config group. Other goroutines
// may read from it while Apply, Restore or Snapshot runs.
type StateMachine struct {
	current atomic.Pointer[View]

	mu           sync.RWMutex // guards the fields below and serializes writers
	requests     map[string]request
	requestOrder []string // request IDs, oldest first
	nodes        map[string]Node
	leaseHolders map[string]bool
}

// New returns a state machine without versions.
func New() *StateMachine {
	m := &StateMachine{requests: map[string]request{}, nodes: map[string]Node{}, leaseHolders: map[string]bool{}}
	m.current.Store(newView())
	return m
}

// Current returns the newest view.
func (m *StateMachine) Current() *View { return m.current.Load() }

// Nodes returns the known nodes, sorted by name.
func (m *StateMachine) Nodes() []Node {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedNodes()
}

// LeaseHolders returns the names of the nodes that may hold leases of account limits, in
// their order.
func (m *StateMachine) LeaseHolders() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Sorted(maps.Keys(m.leaseHolders))
}

func (m *StateMachine) changeLeaseHolders(c LeaseHolders) Result {
	if len(m.leaseHolders)+len(c.Add) > maxNodes {
		return refused(errkind.TooLarge, "%d nodes may hold leases", maxNodes)
	}
	for _, n := range c.Add {
		m.leaseHolders[n] = true
	}
	for _, n := range c.Remove {
		delete(m.leaseHolders, n)
	}
	return Result{}
}

func (m *StateMachine) sortedNodes() []Node {
	return slices.SortedFunc(maps.Values(m.nodes), func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
}

// HasNode reports whether the named node is known and in zone. A control uses it to
// propose RememberNodes only for nodes that are new or have moved.
func (m *StateMachine) HasNode(name, zone string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n, ok := m.nodes[name]
	return ok && n.AvailabilityZone == zone
}

// Apply applies one encoded command and returns its Result. A malformed command is
// refused and changes nothing on any member. For a command of a newer release,
// Apply returns an error, so that the member stops: members that run the newer
// release do change their state, and the states would diverge. The index is not
// needed to detect repeats: an accept that occurs twice in the log is recognized by
// its request ID.
func (m *StateMachine) Apply(index uint64, command []byte) any {
	r, err := m.apply(command)
	if err != nil {
		return errkind.Wrap(err, errkind.Outdated, "entry %d of the log is of a newer release; upgrade this member", index)
	}
	return r
}

func (m *StateMachine) apply(command []byte) (Result, error) {
	c, err := decode(command)
	if errkind.Of(err) == errkind.Outdated {
		return Result{}, err
	}
	if err != nil {
		return refused(errkind.BadRequest, "malformed command: %v", err), nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c := c.(type) {
	case Accept:
		return m.accept(c)
	case RememberNodes:
		return m.rememberNodes(c), nil
	case ForgetNodes:
		for _, n := range c.Names {
			delete(m.nodes, n)
		}
		return Result{}, nil
	case StartRollout:
		return m.startRollout(c), nil
	case AdvanceRollout:
		return m.advanceRollout(c), nil
	case LeaseHolders:
		return m.changeLeaseHolders(c), nil
	}
	return refused(errkind.BadRequest, "unknown command"), nil
}

// accept applies a. The checks that do not depend on the resources come first, so
// that an accept that fails them is refused by a newer release as well. It returns
// an error for resources of a newer release.
func (m *StateMachine) accept(a Accept) (Result, error) {
	if err := a.check(); err != nil {
		return refused(errkind.BadRequest, "%v", err), nil
	}
	content := a.contentHash()
	if r, ok := m.requests[a.RequestID]; ok {
		if r.Content != content {
			return refused(errkind.KeyReused, "request ID %q already made version %d from another customer, base or file; use a new request ID for new content", a.RequestID, r.Version), nil
		}
		return Result{Version: r.Version, Repeated: true}, nil
	}
	v := m.current.Load()
	if err := v.check(a); err != nil {
		return refusedWith(err), nil
	}
	old, ok := v.configs[a.Customer]
	if !ok {
		old = customer.NewConfig(a.Customer)
	}
	n, err := a.config(old)
	if errkind.Of(err) == errkind.Outdated {
		return Result{}, err
	}
	if err != nil {
		return refused(errkind.InvalidFile, "%v", err), nil
	}
	if err := v.CheckOverlap(n); err != nil {
		return refusedWith(err), nil
	}
	next := v.withAccept(a, n)
	m.storeRequest(request{ID: a.RequestID, Content: content, Version: next.version})
	m.current.Store(next)
	close(v.superseded)
	return Result{Version: next.version}, nil
}

func (m *StateMachine) storeRequest(r request) {
	m.requests[r.ID] = r
	m.requestOrder = append(m.requestOrder, r.ID)
	if len(m.requestOrder) > maxRequests {
		delete(m.requests, m.requestOrder[0])
		m.requestOrder = m.requestOrder[1:]
	}
}

func (m *StateMachine) rememberNodes(c RememberNodes) Result {
	for _, n := range c.Nodes {
		if n.Name == "" {
			return refused(errkind.BadRequest, "a node without a name")
		}
	}
	for _, n := range c.Nodes {
		o, ok := m.nodes[n.Name]
		if ok && o.AvailabilityZone == n.AvailabilityZone {
			continue
		}
		if !ok && len(m.nodes) >= maxNodes {
			return refused(errkind.TooLarge, "%d nodes are known; forget nodes that no longer exist", maxNodes)
		}
		m.nodes[n.Name] = Node{Name: n.Name, AvailabilityZone: n.AvailabilityZone, Since: c.Time.UTC()}
	}
	return Result{}
}

// Digest returns the digest over the configurations of all customers: the XOR of
// their CustomerDigests, and zero without customers. The order of the customers
// does not matter, so a node that has the digest of its version can verify an
// update from the changed customers alone:
//
//	d ^= versions.CustomerDigest(old) ^ versions.CustomerDigest(next)
func Digest(configs map[string]*customer.Config) uint64 {
	var d uint64
	for _, c := range configs {
		d ^= CustomerDigest(c)
	}
	return d
}

// Package versions is the state machine of the config group: accepted versions
// with their history, request IDs, and the names of known nodes.
//
// A version is a number in one sequence for the whole system and replaces one
// customer's configuration. An accept names the base it was made against and
// succeeds when no version of that customer is newer than the base. A repeated
// request ID with the same content returns the version that it made the first
// time, so that an accept can be resent after a lost answer.
//
// The package starts no goroutine and reads no clock. Apply is a function of
// the state and the command alone, so that all members reach the same state.
//
// # Usage
//
// The control process hands a Machine to its replica, proposes encoded commands
// and reads the Result:
//
//	m := versions.New()
//	c, err := versions.Accept{Customer: "pichler", Base: 7, ...}.Encode()
//	answer, err := group.Propose(ctx, c)
//	version, err := answer.(versions.Result).Outcome()
//
// Readers take an immutable View at any time, also while Apply runs:
//
//	v := m.Current()
//	changes, ok := v.ChangeFrom(6)
//	if !ok {
//		changes = v.Full()
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
	// historyKept is the number of versions whose metadata is kept.
	historyKept = 1000
	// filesKept is the number of versions whose file text is kept. The text of
	// each customer's newest version is kept as well.
	filesKept = 200
	// requestsKept is the number of request IDs kept; the target of 26,000
	// changes a day makes this one day of resends.
	requestsKept = 26_000
	// changeBytesKept bounds the changes kept for nodes that resume. A node
	// that is further behind gets a snapshot, which is then smaller anyway.
	changeBytesKept = 16 << 20
	// nodesKept bounds the known nodes to about three times the target fleet,
	// so that a node that invents names cannot fill the memory of the members.
	nodesKept = 120_000
)

// Node is a node that reported to a control at some time and was not forgotten.
type Node struct {
	Name             string `cbor:"1,keyasint"`
	AvailabilityZone string `cbor:"2,keyasint"`
	// Since is when the node was first remembered in its zone.
	Since time.Time `cbor:"3,keyasint"`
}

// request is what is remembered of an accepted request ID.
type request struct {
	ID      string   `cbor:"1,keyasint"`
	Content [32]byte `cbor:"2,keyasint"`
	Version uint64   `cbor:"3,keyasint"`
}

// StateMachine is the state machine. Apply, Restore and Snapshot may be called while
// other goroutines read.
type StateMachine struct {
	current atomic.Pointer[View]

	mu       sync.RWMutex // guards the fields below and orders the writers
	requests map[string]request
	order    []string // request IDs, oldest first
	nodes    map[string]Node
}

// New returns a machine without versions.
func New() *StateMachine {
	m := &StateMachine{requests: map[string]request{}, nodes: map[string]Node{}}
	m.current.Store(newView())
	return m
}

// Current returns the newest view.
func (m *StateMachine) Current() *View { return m.current.Load() }

// Nodes returns the known nodes by name.
func (m *StateMachine) Nodes() []Node {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedNodes()
}

func (m *StateMachine) sortedNodes() []Node {
	return slices.SortedFunc(maps.Values(m.nodes), func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
}

// HasNode reports whether the named node is known in zone, so that a control
// proposes RememberNodes only for nodes that are new or have moved.
func (m *StateMachine) HasNode(name, zone string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n, ok := m.nodes[name]
	return ok && n.AvailabilityZone == zone
}

// Apply runs one encoded command and returns its Result. A malformed command is
// refused and changes nothing, on every member alike. For a command of a newer
// release Apply returns an error instead, so that the member stops: members of
// the newer release change their state by it. Commands need no index to be told
// apart: an accept that occurs twice in the log is recognized by its request ID.
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
		return m.remember(c), nil
	case ForgetNodes:
		for _, n := range c.Names {
			delete(m.nodes, n)
		}
		return Result{}, nil
	}
	return refused(errkind.BadRequest, "unknown command"), nil
}

// accept applies a. It refuses what does not depend on the resources first, as a
// newer release does, and fails for resources of a newer release.
func (m *StateMachine) accept(a Accept) (Result, error) {
	if err := a.check(); err != nil {
		return refused(errkind.BadRequest, "%v", err), nil
	}
	content := a.content()
	if r, ok := m.requests[a.RequestID]; ok {
		if r.Content != content {
			return refused(errkind.KeyReused, "request ID %q already made version %d from another customer, base or file; use a new request ID for new content", a.RequestID, r.Version), nil
		}
		return Result{Version: r.Version, Repeated: true}, nil
	}
	v := m.current.Load()
	if err := v.check(a); err != nil {
		return refusal(err), nil
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
		return refusal(err), nil
	}
	next := v.with(a, n)
	m.keepRequest(request{ID: a.RequestID, Content: content, Version: next.version})
	m.current.Store(next)
	close(v.superseded)
	return Result{Version: next.version}, nil
}

func (m *StateMachine) keepRequest(r request) {
	m.requests[r.ID] = r
	m.order = append(m.order, r.ID)
	if len(m.order) > requestsKept {
		delete(m.requests, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *StateMachine) remember(c RememberNodes) Result {
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
		if !ok && len(m.nodes) >= nodesKept {
			return refused(errkind.TooLarge, "%d nodes are known; forget nodes that no longer exist", nodesKept)
		}
		m.nodes[n.Name] = Node{Name: n.Name, AvailabilityZone: n.AvailabilityZone, Since: c.Time.UTC()}
	}
	return Result{}
}

// Digest returns the digest over the configurations of all customers: the
// exclusive or of one CustomerDigest per customer, and zero without customers.
// The order of customers does not matter, so a node that holds the digest of
// its version can verify an update from the changed customers alone:
//
//	d ^= versions.CustomerDigest(old) ^ versions.CustomerDigest(next)
func Digest(configs map[string]*customer.Config) uint64 {
	var d uint64
	for _, c := range configs {
		d ^= CustomerDigest(c)
	}
	return d
}

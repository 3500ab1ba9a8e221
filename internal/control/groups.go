package control

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	// configGroup is the name of the group that stores accepted versions.
	configGroup = "config"
	// configSnapshotEntries is the number of changes between snapshots of the config
	// group. Applying a whole configuration takes milliseconds, and a restarted member
	// does not serve requests until it has applied every entry since the snapshot.
	configSnapshotEntries = 32
	// raftQueueLength is the number of messages that may wait for one member. Further
	// ones are dropped; Raft sends them again.
	raftQueueLength = 1024
	// raftConnectTimeout limits connecting to a member. Without it, messages to a member
	// that is reachable again would wait for an earlier attempt to an address that does
	// not respond.
	raftConnectTimeout = time.Second
	// raftSilenceLimit is how long a message may remain without a sign that the member has
	// received it. Further ones then get a new connection, because open connections may go
	// silent without an error while new ones work.
	raftSilenceLimit = time.Second
)

func claimGroupName(i int) string { return fmt.Sprintf("claims-%d", i) }

// transport sends Raft messages to the other members, on one stream per member. It
// implements replica.Transport.
type transport struct {
	ctx       context.Context
	dial      wire.Dialer
	log       logr.Logger
	directory *directory
	mu        sync.Mutex
	queues    map[string]chan wire.RaftMessage
	// echoes holds the highest Echo received from each member: the time, on the clock of
	// this process, at which the newest message that the member has received was sent.
	echoes map[string]int64
	// observers are told when the VM of a member refuses a connection.
	observers []func(member string)
	running   sync.WaitGroup
}

func newTransport(ctx context.Context, d *directory, dial wire.Dialer, l logr.Logger) *transport {
	return &transport{ctx: ctx, dial: dial, log: l, directory: d, queues: map[string]chan wire.RaftMessage{}, echoes: map[string]int64{}}
}

// observeRefusals makes the transport call f when the VM of a member refuses a
// connection.
func (t *transport) observeRefusals(f func(member string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observers = append(t.observers, f)
}

func (t *transport) reportRefusal(member string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.observers {
		f(member)
	}
}

// Send implements replica.Transport. It drops the message when the queue is full.
func (t *transport) Send(to string, m wire.RaftMessage) {
	select {
	case t.queue(to) <- m:
	default:
	}
}

// queue returns the queue of a member. For a new queue it starts a goroutine that sends
// the messages.
func (t *transport) queue(to string) chan wire.RaftMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[to]
	if q != nil || t.ctx.Err() != nil {
		return q
	}
	q = make(chan wire.RaftMessage, raftQueueLength)
	t.queues[to] = q
	t.running.Go(func() {
		var unsent *wire.RaftMessage
		for t.ctx.Err() == nil {
			unsent = t.runStream(to, q, unsent)
		}
	})
	return q
}

// recordEcho records what a message of a member says about the messages that the member
// has received.
func (t *transport) recordEcho(member string, echo int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.echoes) >= maxLearnedAddresses {
		clear(t.echoes)
	}
	t.echoes[member] = max(t.echoes[member], echo)
}

// unconfirmed is the oldest message of a stream of which the member has not said that it
// received it.
type unconfirmed struct {
	sent int64 // as in the message
	at   time.Time
}

// silent reports whether u is unconfirmed for longer than raftSilenceLimit.
func (t *transport) silent(member string, u unconfirmed) bool {
	return u.sent != 0 && time.Since(u.at) > raftSilenceLimit && !t.confirmed(member, u)
}

func (t *transport) confirmed(member string, u unconfirmed) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.echoes[member] >= u.sent
}

// runStream waits for a message to send unless there is an unsent one, opens a stream and
// uses it until it fails or the member falls silent. It then returns the message that it
// did not send, if any. A message whose sending fails is lost.
func (t *transport) runStream(to string, q chan wire.RaftMessage, unsent *wire.RaftMessage) *wire.RaftMessage {
	var first wire.RaftMessage
	if unsent != nil {
		first = *unsent
	} else {
		select {
		case <-t.ctx.Done():
			return nil
		case first = <-q:
		}
	}
	address, ok := t.directory.address(to)
	if !ok {
		return nil
	}
	dial, cancel := context.WithTimeout(t.ctx, raftConnectTimeout)
	defer cancel()
	c, err := wire.Dial(dial, t.dial, address)
	if err != nil {
		t.log.V(1).Info("member unreachable", "member", to, "cause", err.Error())
		if errors.Is(err, syscall.ECONNREFUSED) {
			t.reportRefusal(to)
		}
		return nil
	}
	defer c.Close()
	s, err := c.NewStream(t.ctx, wire.MethodRaft, wire.Encoding{})
	if err != nil {
		return nil
	}
	var oldest unconfirmed
	for next := first; ; {
		if t.silent(to, oldest) {
			t.log.V(1).Info("member silent, connecting again", "member", to)
			return &next
		}
		if next.Sent != 0 && (oldest.sent == 0 || t.confirmed(to, oldest)) {
			oldest = unconfirmed{next.Sent, time.Now()}
		}
		if err := s.MsgSend(&next, wire.Encoding{}); err != nil {
			t.log.V(1).Info("stream to member ended", "member", to, "cause", err.Error())
			return nil
		}
		select {
		case <-t.ctx.Done():
			return nil
		case <-c.Closed():
			return nil
		case next = <-q:
		}
		if a, _ := t.directory.address(to); a != address {
			return nil // the member has a new address
		}
	}
}

// memberClient calls methods of other members. It implements replica.Peers.
type memberClient struct {
	pool      *wire.Pool
	directory *directory
}

func callMember[Q, A any](ctx context.Context, p *memberClient, name, method string, q *Q) (*A, error) {
	a, ok := p.directory.address(name)
	if !ok {
		return nil, errkind.New(errkind.NotLeader, "address of member %q is unknown", name)
	}
	return wire.PoolCall[Q, A](ctx, p.pool, a, method, q)
}

// Probe implements replica.Peers.
func (p *memberClient) Probe(ctx context.Context, name string, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return callMember[wire.ProbeRequest, wire.ProbeResponse](ctx, p, name, wire.MethodProbe, r)
}

// Bootstrap implements replica.Peers.
func (p *memberClient) Bootstrap(ctx context.Context, name string, r *wire.BootstrapRequest) (*wire.Empty, error) {
	return callMember[wire.BootstrapRequest, wire.Empty](ctx, p, name, wire.MethodBootstrap, r)
}

// Join implements replica.Peers.
func (p *memberClient) Join(ctx context.Context, name string, r *wire.JoinRequest) (*wire.JoinResponse, error) {
	return callMember[wire.JoinRequest, wire.JoinResponse](ctx, p, name, wire.MethodJoin, r)
}

// groups holds the replicas of this control by group name.
type groups map[string]*replica.Group

// failure returns the error that stopped a group of this control, or nil.
func (g groups) failure() error {
	for _, n := range slices.Sorted(maps.Keys(g)) {
		if err := g[n].Status().Failure; err != nil {
			return errors.Wrapf(err, "group %s stopped", n)
		}
	}
	return nil
}

// openGroup starts the replica of a group. Its files are in a subfolder of the data
// folder.
func openGroup(name string, s settings.Control, m replica.StateMachine, t *transport, p replica.Peers, l logr.Logger) (*replica.Group, error) {
	k := make([]replica.Member, 0, len(s.Members))
	for _, e := range s.Members {
		k = append(k, replica.Member{Name: e.Name, Address: e.Address})
	}
	if len(s.Seeds) > 0 {
		k = []replica.Member{{Name: s.Name, Address: s.PeerListen}}
	}
	entries := replica.DefaultSnapshotEntries
	if name == configGroup {
		entries = configSnapshotEntries
	}
	g, err := replica.New(replica.Config{
		SnapshotEntries: entries,
		Group:           name,
		Name:            s.Name,
		Members:         k,
		ElectionTimeout: s.ElectionTimeout,
		Zone:            s.AvailabilityZone,
		Seeds:           s.Seeds, Voters: 2*s.Losses + 1, FirstStart: s.FirstStart,
		Folder: filepath.Join(s.DataFolder, name),
		Peers:  p,
		Log:    l.WithName(name),
	}, m, t)
	if err != nil {
		return nil, errors.Wrapf(err, "open group %s", name)
	}
	t.observeRefusals(g.ObserveRefusal)
	return g, nil
}

func (g groups) find(name string) (*replica.Group, error) {
	r, ok := g[name]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no group %q; the ClaimGroups setting must be the same on all members", name)
	}
	return r, nil
}

// register registers the methods that members call on each other.
func (g groups) register(m *wire.Mux, t *transport) {
	m.HandleStream(wire.MethodRaft, func(s drpc.Stream) error {
		for {
			var q wire.RaftMessage
			if err := s.MsgRecv(&q, wire.Encoding{}); err != nil {
				return err
			}
			r, err := g.find(q.Group)
			if err != nil {
				return err
			}
			t.directory.learnAddress(q.FromName, q.FromAddress)
			t.recordEcho(q.FromName, q.Echo)
			r.Step(q)
		}
	})
	wire.HandleUnary(m, wire.MethodProbe, func(ctx context.Context, q *wire.ProbeRequest) (*wire.ProbeResponse, error) {
		r, err := g.find(q.Group)
		if err != nil {
			return nil, err
		}
		return r.Probe(ctx, q)
	})
	wire.HandleUnary(m, wire.MethodBootstrap, func(ctx context.Context, q *wire.BootstrapRequest) (*wire.Empty, error) {
		r, err := g.find(q.Group)
		if err != nil {
			return nil, err
		}
		return r.Bootstrap(ctx, q)
	})
	wire.HandleUnary(m, wire.MethodJoin, func(ctx context.Context, q *wire.JoinRequest) (*wire.JoinResponse, error) {
		r, err := g.find(q.Group)
		if err != nil {
			return nil, err
		}
		return r.Join(ctx, q)
	})
}

func (g groups) close() {
	for _, r := range g {
		r.Close()
	}
}

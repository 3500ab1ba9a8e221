// Package replica runs one member of a Raft group: it drives the timers, the disk
// writes, the messages and the state machine of the member.
//
// # Usage
//
// A control process creates one Group for each Raft group, each with its own
// folder:
//
//	g, err := replica.New(replica.Config{
//		Group: "config", Name: settings.Name, Members: members,
//		Folder: filepath.Join(settings.DataFolder, "config"),
//		Peers: peers, Log: log,
//	}, machine, transport)
//	defer g.Close()
//
// transport sends each message on a drpc stream of method wire.MethodRaft to the
// named member. It drops the message if the stream is down or its queue is full.
// peers calls the named member with a deadline:
//
//	func (p *peers) Probe(ctx context.Context, name string, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
//		return wire.Call[wire.ProbeRequest, wire.ProbeResponse](ctx, p.conn(name), wire.MethodProbe, r)
//	}
//
// The control serves the same methods and passes each message to the group that it
// names:
//
//	mux.HandleStream(wire.MethodRaft, func(s drpc.Stream) error {
//		for {
//			var m wire.RaftMessage
//			if err := s.MsgRecv(&m, wire.Encoding{}); err != nil {
//				return err
//			}
//			groups[m.Group].Step(m)
//		}
//	})
//	wire.HandleUnary(mux, wire.MethodProbe, func(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
//		return groups[r.Group].Probe(ctx, r)
//	})
//	wire.HandleUnary(mux, wire.MethodBootstrap, ...) // Group.Bootstrap
//	wire.HandleUnary(mux, wire.MethodJoin, ...)      // Group.Join
//	wire.HandleUnary(mux, wire.MethodPropose, ...)   // Group.Propose, result encoded by the control
//
// Propose works on the leader only. A follower returns errkind.NotLeader, and the
// control forwards the command to Status().Leader with wire.MethodPropose.
// ReadBarrier works on every member:
//
//	result, err := g.Propose(ctx, command) // what StateMachine.Apply returned
//	if err := g.ReadBarrier(ctx); err != nil { ... }
//	// the state machine now holds everything that was committed when ReadBarrier began
//
// StateMachine.Apply runs on the goroutine of the group, so a state machine that is
// also read by other goroutines needs its own lock. Status().Current tells whether
// a majority confirmed the member within the lease. A member that is cut off by a
// network partition stops being current without any error.
//
// # Snapshots
//
// After SnapshotEntries commands or SnapshotBytes of them, StateMachine.Snapshot is
// called between two commands, and its result is written in the background. Then
// the entries that it covers are dropped, except for some trailing entries. A
// member that lacks dropped entries receives the newest snapshot in chunks, and its
// StateMachine.Restore is called with it.
//
// # Bootstrap and replacement
//
// A member with an empty folder probes all configured members. If all of them
// answer and all folders are empty, the member with the lowest name bootstraps the
// group. Otherwise the member joins as a learner with a new identity. Once the
// learner has caught up, it votes in place of the old identity of the same name. With
// Seeds, a learner with a new name takes the vote of a member that does not respond;
// a member that lost its vote so asks for admission again when it is back. Until the
// member belongs to the group, Propose and ReadBarrier return errkind.NotReady.
package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// inboxSize bounds the messages that wait for the goroutine of the group.
	// Further messages are dropped.
	inboxSize = 1024
	// callsSize bounds the calls that wait for the goroutine of the group. Further
	// calls block.
	callsSize = 256
	// maxCommandBytes leaves room for the other fields of the message.
	maxCommandBytes = wire.MaxMessageBytes - 64<<10
)

// Group runs this process's member of a Raft group. Its methods are safe for
// concurrent use.
type Group struct {
	c         Config
	inbox     chan wire.RaftMessage
	calls     chan func(*engine, time.Duration)
	detached  chan struct{} // holds a value once the member should ask for admission
	status    atomic.Pointer[publishedStatus]
	start     time.Time
	clockBase time.Duration
	stop      context.CancelFunc
	stopped,
	done chan struct{}
	membershipLoops sync.WaitGroup
	snapshotWrites  sync.WaitGroup // snapshots being written in the background
	closed          sync.Once
}

// New opens the member's folder and starts the member. It does not wait until the
// member is ready, which Status reports.
func New(c Config, m StateMachine, t Transport) (*Group, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	l, err := wal.Open(wal.Options{
		Folder: c.Folder, FS: c.FS,
		Identity: wal.Identity{Identity: randomID(c.Rand), Name: c.Name},
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &Group{
		c: c, stop: stop, start: time.Now(),
		inbox: make(chan wire.RaftMessage, inboxSize),
		calls: make(chan func(*engine, time.Duration), callsSize), detached: make(chan struct{}, 1),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	// The clock continues after a restart, so that a delayed echo of a time of the
	// previous process is not taken for a recent one.
	g.clockBase = time.Duration(g.start.UnixNano())
	e, err := newEngine(c, l, m, runtime{clock: g.now, background: g.snapshotWrites.Go, send: t})
	if err != nil {
		stop()
		_ = l.Close() // the first error is returned
		return nil, err
	}
	g.publish(e, g.now())
	f, r := newBootstrapper(c, l.State().Identity.Identity), newRejoiner(c, l.State().Identity.Identity)
	forming := e.node == nil
	go func() {
		defer close(g.done)
		g.run(e)
	}()
	g.membershipLoops.Go(func() {
		if forming {
			f.run(ctx, g)
		}
		if c.dynamic() {
			r.run(ctx, g)
		}
	})
	return g, nil
}

// now returns the time of the member's monotonic clock.
func (g *Group) now() time.Duration { return g.clockBase + time.Since(g.start) }

// run is the main loop of the group. It handles all events on one goroutine.
func (g *Group) run(e *engine) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-g.stopped:
			g.snapshotWrites.Wait()
			e.close()
			return
		case m := <-g.inbox:
			e.step(g.now(), m)
		case f := <-g.calls:
			f(e, g.now())
		case w := <-e.written:
			e.finishSnapshot(g.now(), w)
		case <-t.C:
		}
		g.drain(e)
		now := g.now()
		e.tick(now)
		e.flush(now)
		now = g.now()
		g.publish(e, now)
		t.Reset(max(0, e.deadline()-now))
	}
}

// drain handles the messages and calls that have arrived in the meantime, so that
// they share one sync.
func (g *Group) drain(e *engine) {
	for range inboxSize {
		select {
		case m := <-g.inbox:
			e.step(g.now(), m)
		case f := <-g.calls:
			f(e, g.now())
		default:
			return
		}
	}
}

// call queues f to run on the goroutine of the group.
func (g *Group) call(ctx context.Context, f func(*engine, time.Duration)) error {
	select {
	case <-g.stopped:
		return errClosed()
	default:
	}
	select {
	case g.calls <- f:
		return nil
	case <-ctx.Done():
		return contextError(ctx).WithExecution(errkind.NotRun)
	case <-g.stopped:
		return errClosed()
	}
}

// Step passes a received message to the member. It drops the message if the inbox
// is full.
func (g *Group) Step(m wire.RaftMessage) {
	select {
	case g.inbox <- m:
	default:
	}
}

// ObserveRefusal is called when the VM of the named member has refused a connection. The
// VM then exists, and only the process does not run.
func (g *Group) ObserveRefusal(name string) {
	select {
	case g.calls <- func(e *engine, now time.Duration) { e.observeRefusal(now, name) }:
	default: // busy; the transport connects again soon
	}
}

// Propose appends command to the log and returns what StateMachine.Apply returned
// for it. Errors before the command is appended have the execution NotRun. Later
// errors are of kind OutcomeUnknown, unless the entry is known to have been
// overwritten.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	return g.ProposeIn(ctx, 0, command)
}

// ProposeIn is like Propose, but appends the command only in the given term, if it is not
// 0. It is for commands that depend on what a leader has learned in its term.
func (g *Group) ProposeIn(ctx context.Context, term uint64, command []byte) (any, error) {
	if len(command) > maxCommandBytes {
		return nil, errkind.New(errkind.TooLarge, "command of %d bytes exceeds %d", len(command), maxCommandBytes)
	}
	p := newProposal()
	p.onlyIn = term
	if err := g.call(ctx, func(e *engine, now time.Duration) { e.propose(now, p, command) }); err != nil {
		return nil, err
	}
	return g.waitForProposal(ctx, p)
}

func (g *Group) waitForProposal(ctx context.Context, p *proposal) (any, error) {
	select {
	case r := <-p.done:
		return r.value, r.err
	case <-ctx.Done():
		if p.cancel() {
			return nil, contextError(ctx).WithExecution(errkind.NotRun)
		}
		return nil, errkind.Wrap(context.Cause(ctx), errkind.OutcomeUnknown, "the command may still be committed")
	case <-g.done:
	}
	select {
	case r := <-p.done:
		return r.value, r.err
	default:
		return nil, errClosed() // the proposal was never handled
	}
}

// ReadBarrier returns when the state machine holds everything that was committed
// when ReadBarrier was called. It works on every member that reaches the leader.
func (g *Group) ReadBarrier(ctx context.Context) error {
	r := &readRequest{done: make(chan error, 1)}
	if err := g.call(ctx, func(e *engine, now time.Duration) { e.read(now, r) }); err != nil {
		return err
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		r.canceled.Store(true)
		return errkind.Wrap(context.Cause(ctx), errkind.NotCurrent, "no majority confirmed the read")
	case <-g.done:
		return errClosed()
	}
}

// Close stops the member. Pending proposals return OutcomeUnknown.
func (g *Group) Close() error {
	g.closed.Do(func() {
		g.stop()
		close(g.stopped)
	})
	<-g.done
	g.membershipLoops.Wait()
	return nil
}

func errClosed() error { return errkind.New(errkind.NotReady, "the group member is closed") }

func contextError(ctx context.Context) *errkind.Error {
	k := errkind.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		k = errkind.DeadlineExceeded
	}
	return errkind.Wrap(context.Cause(ctx), k, "the command was not appended")
}

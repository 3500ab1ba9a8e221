package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Defaults of Config.
const (
	// DefaultElectionTimeout allows for a slow sync of a busy disk, during which
	// the member neither sends nor handles messages.
	DefaultElectionTimeout = time.Second
	// DefaultHeartbeatInterval allows several heartbeats to be lost within a lease.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultSnapshotEntries is the number of applied entries between two
	// snapshots.
	DefaultSnapshotEntries = 4096
	// DefaultSnapshotBytes is the size of the applied entries between two
	// snapshots. It also determines the size of the log in memory.
	DefaultSnapshotBytes = 16 << 20
)

// Member is a configured member of a group.
type Member struct{ Name, Address string }

// StateMachine is the replicated state machine. All methods are called from one
// goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result. A result of type
	// error means that this member cannot determine what the command does on other
	// members. The member then stops before the command, since its state would
	// differ from theirs permanently.
	Apply(index uint64, command []byte) any
	// Snapshot returns the encoded state of the state machine.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Transport sends messages to other members. Send must not block and may drop
// messages. The argument to is the name of a configured member.
type Transport interface {
	Send(to string, m wire.RaftMessage)
}

// Peers calls other members by name while a member with an empty folder bootstraps
// or joins the group. The calls end with ctx.
type Peers interface {
	Probe(ctx context.Context, name string, r *wire.ProbeRequest) (*wire.ProbeResponse, error)
	Bootstrap(ctx context.Context, name string, r *wire.BootstrapRequest) (*wire.Empty, error)
	Join(ctx context.Context, name string, r *wire.JoinRequest) (*wire.JoinResponse, error)
}

// Config describes one member of a group.
type Config struct {
	// Group names the group in messages.
	Group string
	// Name is the name of this member in Members.
	Name string
	// Zone is the availability zone of this member's VM.
	Zone string
	// Members are all configured members, including this one. With Seeds, it holds
	// only this member.
	Members []Member
	// Seeds are addresses of members. If set, the other members are discovered
	// through them and can join and leave at run time. Peers and Transport must
	// then also accept addresses in place of names.
	Seeds []string
	// Voters is the number of voters that the leader of a group with Seeds tries to
	// reach.
	Voters int
	// FirstStart allows a member with an empty folder to bootstrap a group with
	// Seeds. It must be false once the group has existed.
	FirstStart bool
	// Folder holds the state of this group only.
	Folder string
	// Peers is not needed for a group with a single member.
	Peers Peers
	Log   logr.Logger

	// Zero values of the following fields select the defaults.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// A snapshot is taken when SnapshotEntries entries or SnapshotBytes bytes of
	// entries have been applied since the last one.
	SnapshotEntries int
	SnapshotBytes   int
	FS              wal.FS
	// Rand randomizes timeouts and generates identities. The default has a random
	// seed.
	Rand *mathrand.Rand

	// chunkBytes bounds the snapshot data in one message, batchBytes the size of
	// the entries.
	chunkBytes, batchBytes int
}

func (c Config) withDefaults() (Config, error) {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.chunkBytes == 0 {
		c.chunkBytes, c.batchBytes = maxMessageData, maxMessageData
	}
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	if c.Rand == nil {
		c.Rand = newRand()
	}
	c.Members = slices.Clone(c.Members)
	slices.SortFunc(c.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	if _, ok := c.member(c.Name); !ok {
		return c, errkind.New(errkind.Usage, "group %s: member %q is not among the configured members", c.Group, c.Name)
	}
	if c.dynamic() && len(c.Members) != 1 {
		return c, errkind.New(errkind.Usage, "group %s: %d members are configured beside the seeds; expected this member alone", c.Group, len(c.Members))
	}
	if (len(c.Members) > 1 || c.dynamic()) && c.Peers == nil {
		return c, errkind.New(errkind.Usage, "group %s: %d members need Peers", c.Group, len(c.Members))
	}
	return c, nil
}

// dynamic reports whether members are discovered through seeds.
func (c Config) dynamic() bool { return len(c.Seeds) > 0 }

// self returns the configuration of this member.
func (c Config) self() Member {
	m, _ := c.member(c.Name) // withDefaults has checked that it exists
	return m
}

func (c Config) member(name string) (Member, bool) {
	for _, m := range c.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

func newRand() *mathrand.Rand {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(b[:]), binary.LittleEndian.Uint64(b[8:])))
}

// randomID returns 128 random bits as hexadecimal digits.
func randomID(r *mathrand.Rand) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], r.Uint64())
	binary.LittleEndian.PutUint64(b[8:], r.Uint64())
	return hex.EncodeToString(b[:])
}

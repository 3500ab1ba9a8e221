package control

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// newerStateMachine is the state machine of a newer release: it also accepts commands of
// version 2, which have the same effect as those of version 1.
type newerStateMachine struct{ *versions.StateMachine }

func (m newerStateMachine) Apply(index uint64, command []byte) any {
	var e map[int]any
	if cbor.Unmarshal(command, &e) == nil && e[1] == uint64(2) {
		e[1], e[3] = 1, cbor.RawMessage(mustEncode(e[3]))
		command = mustEncode(e)
	}
	return m.StateMachine.Apply(index, command)
}

func mustEncode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func rememberCommand(version int, node string) []byte {
	return mustEncode(map[int]any{1: version, 2: "RememberNodes", 3: map[int]any{1: []any{map[int]any{1: node, 2: "z"}}}})
}

// A member that skipped a command of a newer release would differ from the others
// permanently, even after its own upgrade.
func TestMemberStopsAtNewerCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := "" // the member of this release
		g := newGroup(t, func(name string, m *versions.StateMachine) replica.StateMachine {
			if name == old {
				return m
			}
			return newerStateMachine{m}
		})
		defer g.close()
		for _, n := range memberNames {
			if n != g.leader() {
				old = n
			}
		}
		g.stops[old]()
		g.start(old)
		l := g.leader()
		// The leader checks forwarded commands as this release does, so it refuses this
		// one.
		_, err := g.configs[old].propose(t.Context(), rememberCommand(2, "n"))
		if e := errkind.From(err); e == nil || e.Kind != errkind.Outdated || e.Execution != errkind.NotRun {
			t.Errorf("forwarded: got %v, want Outdated and not-run", err)
		}
		for i, version := range []int{1, 2, 1} {
			if _, err := g.configs[l].group.Propose(t.Context(), rememberCommand(version, fmt.Sprint("n", i))); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		s := g.configs[old].group.Status()
		if nodes := g.configs[old].Nodes(); s.Role != replica.Failed || s.Current || len(nodes) != 1 ||
			!strings.Contains(s.Failure.Error(), "is of a newer release; upgrade this member: command version 2") {
			t.Errorf("got role %s, failure %v, nodes %v; want Failed with n0 alone", s.Role, s.Failure, nodes)
		}

		o := old
		g.stops[o]()
		old = "" // upgraded
		g.start(o)
		time.Sleep(5 * time.Second)
		got, err := g.configs[o].Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		want, err := g.configs[l].Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) || len(g.configs[o].Nodes()) != 3 {
			t.Errorf("after the upgrade: got nodes %v, want the state of the others", g.configs[o].Nodes())
		}
	})
}

package node

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Guards against requests that a node does not count, which would be missing from the
// report of the fleet.
func TestNodeCountsByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "n")
		var c counter
		m.serve("n", "u", http.HandlerFunc(c.echo))
		m.do("HTTP/1.1", "n", "GET", "/", nil)
		m.do("HTTP/1.1", "n", "POST", "/keyed", nil)
		m.do("HTTP/1.1", "n", "DELETE", "/", nil)
		got := m.nodes["n"].ranks.Sample()
		want := []wire.RankStats{
			{RankCounts: wire.RankCounts{Caller: 1}},
			{Customer: "pichler", Rank: "urgent", RankCounts: wire.RankCounts{Answers: 1, InTarget: 1, Worth: 1, Caller: 1}},
		}
		if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

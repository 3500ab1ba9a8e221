package control

import (
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Guards against the removal of a lease holder whose earlier process stopped: the next
// grantor would not wait for the shares of the process that runs.
func TestLateReportOfStoppedProcess(t *testing.T) {
	runGrantor(t, func(t *testing.T, s *quotaTestSource, g *grantor) {
		report := func(incarnation, seq uint64, leaving bool) {
			t.Helper()
			q := &wire.ShareRequest{Node: "a", Incarnation: incarnation, Seq: seq, Full: true, Epoch: 3, Leaving: leaving}
			if _, err := g.handle(t.Context(), q, (*quota.Ledger).Renew); err != nil {
				t.Fatal(err)
			}
		}
		report(1, 1, false)
		g.updateHolders(t.Context())
		report(2, 1, false)
		report(1, 2, true)
		g.updateHolders(t.Context())
		if got := s.LeaseHolders(); !slices.Equal(got, []string{"a"}) {
			t.Errorf("got lease holders %v, want a", got)
		}
	})
}

// Guards against a removal that a control decided before a suspension and appends when it
// leads again: the node may hold shares of the later term.
func TestRemovalOfAnEarlierTerm(t *testing.T) {
	runGrantor(t, func(t *testing.T, s *quotaTestSource, g *grantor) {
		report := func(epoch, seq uint64) {
			t.Helper()
			q := &wire.ShareRequest{Node: "a", Incarnation: 1, Seq: seq, Full: true, Epoch: epoch}
			if _, err := g.handle(t.Context(), q, (*quota.Ledger).Renew); err != nil {
				t.Fatal(err)
			}
		}
		report(3, 1)
		g.updateHolders(t.Context())
		time.Sleep(holderSilence + time.Second)
		s.beforeAppend = func() {
			s.term = 5
			report(5, 2)
			report(5, 3)
		}
		g.updateHolders(t.Context())
		if got := s.LeaseHolders(); !slices.Equal(got, []string{"a"}) || !g.holders.mayHold("a") {
			t.Errorf("got lease holders %v, want a, which holds shares", got)
		}
	})
}

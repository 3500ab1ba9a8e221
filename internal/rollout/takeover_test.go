package rollout

import (
	"testing"
	"time"
)

// Guards against decisions of a new leader that has not yet heard of all upstreams, as
// after a restart of all controls.
func TestNewLeaderKnowsFewUpstreams(t *testing.T) {
	for name, i := range map[string]Input{
		"one new upstream is known before the step": {Elapsed: 4 * time.Second, Share: 50, Canaries: 1, NewUpstreams: 1, NewSlots: 9},
		"one old upstream is known after the step":  {Elapsed: 11 * time.Second, Share: fullShare, OldUpstreams: 1, OldSlots: 9},
	} {
		t.Run(name, func(t *testing.T) {
			i.Within, i.Counting = 12*time.Second, 100*time.Millisecond
			if got := Decide(i); got.Action != Wait {
				t.Errorf("got %+v, want to wait for the reports of the nodes", got)
			}
		})
	}
}

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

// Guards against a step to a version that has answered no request: refusals for lack of
// capacity are not counted, so a version that refuses everything leaves no evidence.
func TestNoAnswerOfNewVersion(t *testing.T) {
	i := Input{
		Within: 12 * time.Second, Elapsed: 11 * time.Second, Counting: 11 * time.Second, Appeared: 9 * time.Second, Share: 250, Canaries: 3,
		OldUpstreams: 9, NewUpstreams: 9, OldSlots: 81, NewSlots: 81,
		Evidence: Evidence{Old: Counts{"r": same(9, spread(300, 8, 0, 0))}, New: Counts{}, Recent: Counts{}},
	}
	if got := Decide(i); got.Action != RollBack {
		t.Errorf("got %+v, want to roll back", got)
	}
	i.Appeared = time.Second
	if got := Decide(i); got.Action != SetShare {
		t.Errorf("new upstreams that appeared a moment ago: got %+v, want the step", got)
	}
}

package rollout

import (
	"fmt"
	"testing"
	"time"
)

// spread returns n answers of an upstream around a bucket, of which the given number came
// late, and failures besides.
func spread(n float64, bucket int, late, failures float64) Count {
	c := Count{Requests: n + failures, Failures: failures}
	c.Times[bucket-1], c.Times[bucket], c.Times[bucket+1] = (n-late)/4, (n-late)/2, (n-late)/4
	c.Times[bucket+4] += late
	return c
}

// upstreamsOf returns the counts of upstreams on one route.
func upstreamsOf(l ...Count) map[string]Count {
	m := map[string]Count{}
	for i, c := range l {
		m[fmt.Sprintf("u%d", i)] = c
	}
	return m
}

// same returns the counts of n upstreams that are alike.
func same(n int, c Count) map[string]Count {
	l := make([]Count, n)
	for i := range l {
		l[i] = c
	}
	return upstreamsOf(l...)
}

// with returns m with another count of its first upstream.
func with(m map[string]Count, c Count) map[string]Count {
	m["u0"] = c
	return m
}

// Guards against differences that the upstreams or chance explain but the version is
// blamed for, and against those that only the version explains.
func TestCompare(t *testing.T) {
	const usual = 6
	good := same(9, spread(100, usual, 0, 0))
	for name, c := range map[string]struct {
		old, next map[string]Count
		want      bool
	}{
		"alike":                             {good, same(9, spread(20, usual, 0, 0)), false},
		"failures at all":                   {good, same(9, spread(20, usual, 0, 2)), true},
		"as many failures at the old ones":  {same(9, spread(100, usual, 0, 10)), same(9, spread(20, usual, 0, 2)), false},
		"failures at one":                   {good, with(same(9, spread(20, usual, 0, 0)), spread(10, usual, 0, 10)), false},
		"one stands out beside few others":  {good, upstreamsOf(spread(29, usual, 0, 5), spread(12, usual, 0, 1), spread(19, usual, 0, 1), spread(23, usual, 0, 0)), false},
		"the only upstream with failures":   {good, upstreamsOf(spread(4, usual, 0, 6)), false},
		"very many failures at the only":    {good, upstreamsOf(spread(4, usual, 0, 40)), true},
		"an old one that fails":             {with(same(9, spread(100, usual, 0, 0)), spread(50, usual, 0, 50)), same(9, spread(20, usual, 0, 2)), true},
		"slower":                            {good, same(9, spread(20, usual+3, 0, 0)), true},
		"one slower":                        {good, with(same(9, spread(20, usual, 0, 0)), spread(20, usual+3, 0, 0)), false},
		"one of two slower":                 {good, with(same(2, spread(20, usual, 0, 0)), spread(20, usual+3, 0, 0)), false},
		"one of three far slower":           {same(9, spread(100, 3, 0, 0)), with(same(3, spread(20, 3, 0, 0)), spread(20, 11, 0, 0)), false},
		"some answers late":                 {good, same(9, spread(20, usual, 5, 0)), true},
		"as many late at the old ones":      {same(9, spread(100, usual, 25, 0)), same(9, spread(20, usual, 5, 0)), false},
		"late answers at one":               {good, with(same(9, spread(20, usual, 0, 0)), spread(20, usual, 8, 0)), false},
		"old upstreams of different speeds": {upstreamsOf(spread(100, usual-1, 0, 0), spread(100, usual, 0, 0), spread(100, usual+1, 0, 0)), same(3, spread(20, usual+1, 0, 0)), false},
	} {
		t.Run(name, func(t *testing.T) {
			e := Evidence{Old: Counts{"r": c.old}, New: Counts{"r": c.next}}
			if v := e.compare(Input{NewUpstreams: 9}); v.bad != c.want {
				t.Errorf("got bad %t (%s: %s), want %t", v.bad, v.reason, v.detail, c.want)
			}
		})
	}
}

// Guards against a bad route that good ones hide, and against a bad present that a good
// past hides.
func TestCompareParts(t *testing.T) {
	good, bad := same(9, spread(100, 6, 0, 0)), same(9, spread(4, 6, 0, 1))
	old := Counts{"a": good, "b": good}
	for name, e := range map[string]Evidence{
		"route":  {Old: old, New: Counts{"a": same(9, spread(400, 6, 0, 0)), "b": bad}},
		"recent": {Old: old, New: Counts{"a": same(9, spread(400, 6, 0, 1))}, Recent: Counts{"a": bad}},
	} {
		if v := e.compare(Input{NewUpstreams: 9}); !v.bad {
			t.Errorf("%s: got %+v, want bad", name, v)
		}
	}
}

// Guards against a canary that idles, so that a version which is bad under load is not
// found, and against one that gets more than its part of the exposure.
func TestCanaryShare(t *testing.T) {
	e := Evidence{Old: Counts{"r": same(9, spread(200, 8, 0, 0))}, New: Counts{"r": same(9, spread(5, 8, 0, 0))}}
	i := Input{
		Elapsed: 7 * time.Second, Within: 12 * time.Second, Counting: 7 * time.Second, Appeared: 6 * time.Second, Share: 20, Canaries: 1,
		OldUpstreams: 9, NewUpstreams: 9, OldSlots: 81, NewSlots: 81, Deadline: time.Second, Evidence: e,
	}
	late := Decide(i)
	if late.Action != SetShare || late.Share < 100 || late.Share > maxCanaryShare {
		t.Errorf("got %+v, want at least the load of an old upstream", late)
	}
	i.Appeared = time.Second
	if cold := Decide(i); cold.Share/max(1, cold.Canaries) > late.Share/late.Canaries/2 {
		t.Errorf("got %+v while the upstreams warm up, want at most half the load of %+v", cold, late)
	}
	i.Appeared, i.Evidence.New = 6*time.Second, Counts{"r": same(9, spread(60, 8, 0, 0))}
	if spent := Decide(i); spent.Action != SetShare || spent.Share > 20 {
		t.Errorf("got %+v after the exposure was used, want less", spent)
	}
}

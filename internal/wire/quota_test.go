package wire

import (
	"reflect"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
)

// Guards against a field that is lost on the way, so that the grantor and a node disagree
// about what the node holds.
func TestShareMessageRoundTrip(t *testing.T) {
	r := quota.Report{Node: "n", Incarnation: 7, Seq: 8, Epoch: 9, Full: true, Items: []quota.ReportItem{
		{Account: "c/a", Share: quota.Share{Rate: 1, Burst: quota.Whole}, Demand: 12.5, Want: 3, Refund: 1.5},
	}}
	var q ShareRequest
	roundTrip(t, NewShareRequest(r), &q)
	assertDeepEqual(t, q.Report(), r)
	g := quota.Grant{
		Epoch: 9, Tolerance: quota.Tolerance{Window: time.Second, Share: 0.1, Requests: 20}, Resync: true, Stale: true,
		Items: []quota.GrantItem{{Account: "c/a", Changed: true, Share: quota.Share{Rate: 2, Burst: 3}, Tokens: 4.5, Granted: 5, Wait: 6 * time.Millisecond}},
	}
	var a ShareResponse
	roundTrip(t, NewShareResponse(g), &a)
	assertDeepEqual(t, a.Grant(), g)
}

func roundTrip(t *testing.T, from, to any) {
	t.Helper()
	b, err := Marshal(from)
	if err == nil {
		err = Unmarshal(b, to)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%T: %d bytes", from, len(b))
}

func assertDeepEqual(t *testing.T, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

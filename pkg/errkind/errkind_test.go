package errkind_test

import (
	"testing"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Guards against a status that promises not-run for a request that may have run, and
// against one that hides from a caller that it may repeat a request that did not run.
func TestStatusFollowsExecution(t *testing.T) {
	for _, c := range []struct {
		kind errkind.Kind
		x    errkind.Execution
		want int
	}{
		{errkind.QueueFull, errkind.NotRun, 503},
		{errkind.QueueFull, errkind.Unknown, 502},
		{errkind.Leaving, errkind.Unknown, 502},
		{errkind.DeadlineExceeded, errkind.NotRun, 503},
		{errkind.DeadlineExceeded, errkind.Unknown, 504},
		{errkind.UpstreamFailed, errkind.Unknown, 502},
		{errkind.NoRoute, errkind.NotRun, 404},
	} {
		if got := errkind.New(c.kind, "x").WithExecution(c.x).HTTPStatus(); got != c.want {
			t.Errorf("%s, %s: got %d, want %d", c.kind, c.x, got, c.want)
		}
	}
}

package caller

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// deadlineRouter refuses requests and keeps the time left of the last one.
type deadlineRouter struct{ left time.Duration }

func (r *deadlineRouter) Route(ctx context.Context, _ table.Match, _ *call.Request) (*call.Response, error) {
	d, _ := ctx.Deadline()
	r.left = time.Until(d)
	return nil, errkind.New(errkind.QueueFull, "full").WithExecution(errkind.NotRun)
}

// Guards against responses that end only when the stop of the node cancels its requests:
// the deadline that is passed on leaves time to write them.
func TestDeadlineWhileDraining(t *testing.T) {
	for _, tt := range []struct {
		name      string
		deadline  string
		end, want time.Duration
	}{
		{"long stop", "30s", 8 * time.Second, 7500 * time.Millisecond},
		{"end of the stop", "30s", time.Second, 900 * time.Millisecond},
		{"deadline before the end", "2s", 8 * time.Second, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, r := newTable(t), &deadlineRouter{}
				h := New(Config{Table: func() *table.Table { return b }, Log: logr.Discard(), Router: r})
				h.StartDraining(time.Now().Add(tt.end))
				q := httptest.NewRequest("POST", "http://h/", nil)
				q.Header.Set("Gooseberrypick-Deadline", tt.deadline)
				h.ServeHTTP(httptest.NewRecorder(), q)
				if r.left != tt.want {
					t.Errorf("got %s left, want %s", r.left, tt.want)
				}
			})
		})
	}
}

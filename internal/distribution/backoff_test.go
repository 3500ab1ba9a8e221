package distribution

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// A node with a configuration must find a control that is available again within
// MaxBackoff, however long all controls were unavailable, so that accepted versions are
// in force soon after that.
func TestMaxBackoffBetweenDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex // several controls are dialed in parallel
		var last time.Time
		var longest time.Duration
		c := New(Config{
			Node: "n", Controls: []string{"a:1", "b:1", "c:1"}, Registry: registry.New(), Log: logr.Discard(), Seed: 1, MaxBackoff: time.Second,
			Dial: func(context.Context, string) (net.Conn, error) {
				mu.Lock()
				defer mu.Unlock()
				now := time.Now()
				if !last.IsZero() {
					longest = max(longest, now.Sub(last))
				}
				last = now
				return nil, errors.New("connection refused")
			},
		})
		b, err := table.New(1, map[string]*customer.Config{})
		if err != nil {
			t.Fatal(err)
		}
		c.table.Store(b)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		c.Run(ctx)
		if most := time.Second; longest > most || longest == 0 {
			t.Errorf("longest pause: got %s, want at most %s", longest, most)
		}
	})
}

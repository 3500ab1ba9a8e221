package router

import (
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Guards that the balancer sees what the owner node reported, in its own units.
func TestLoadReport(t *testing.T) {
	got := *New(Config{}).load(&wire.Load{
		InFlight: 1, Waiting: 2, Limit: 3, QueueWait: 4, Version: 5, SlotTime: 6, BusyPercent: 70, LinkDelayMillis: 80,
	})
	want := balance.Load{InFlight: 1, Waiting: 2, Limit: 3, QueueWait: 4, SlotTime: 6, Busy: 0.7, LinkDelay: 80 * time.Millisecond}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

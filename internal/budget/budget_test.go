package budget

import (
	"testing"
	"testing/synctest"
)

// Guards against the wrong connection being closed: one whose request has been passed on,
// an older one, or one that holds little.
func TestClosedHolder(t *testing.T) {
	for _, tt := range []struct {
		name      string
		held      []int64
		protected int // index, or -1
		asks      int64
		want      int // index of the holder that is closed, -1 for the one that asks
	}{
		{"the one that holds most", []int64{40, 10, 40}, -1, 15, 2},
		{"the newest of about the same size", []int64{40, 33, 20}, -1, 15, 1},
		{"not one that is protected", []int64{10, 40, 40}, 2, 15, 1},
		{"the one that asks for most", []int64{30, 30, 30}, -1, 64, -1},
		{"the one that asks, if all others are protected", []int64{90}, 0, 15, -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, got := New(100), -1
				for i, n := range tt.held {
					h := b.Open(func() { got = i })
					h.Protect(i == tt.protected)
					if !h.Set(n) {
						t.Fatalf("holder %d was refused", i)
					}
				}
				allowed := b.Open(func() {}).Set(tt.asks)
				synctest.Wait()
				if got != tt.want || allowed != (tt.want >= 0) {
					t.Errorf("got %d, allowed %v, want %d", got, allowed, tt.want)
				}
			})
		})
	}
}

// Guards against bytes that stay counted after a connection has ended, which would refuse
// everybody in the end.
func TestReleasedBytes(t *testing.T) {
	b := New(200)
	for range 10 {
		h := b.Open(func() { t.Error("gave way") })
		if !h.Set(80) || h.TrySet(101) || !h.TrySet(90) {
			t.Fatal("refused")
		}
		h.Close()
	}
	if got, _ := b.Held(); got != 0 {
		t.Errorf("got %d bytes, want 0", got)
	}
}

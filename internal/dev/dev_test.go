package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// safeBuffer is a buffer for concurrent use that collects what the system prints.
type safeBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (p *safeBuffer) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *safeBuffer) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// reservePorts returns the first of a block of free ports below the ephemeral range.
// It listens on the port before it, so that other tests take other blocks.
func reservePorts(t *testing.T) int {
	const first, size, blocks = 10000, 64, 300
	for range 100 {
		b := first + rand.IntN(blocks)*size
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b))
		if err == nil {
			t.Cleanup(func() { l.Close() })
			return b + 1
		}
	}
	t.Fatal("no free block of ports")
	return 0
}

// Ctrl-C must stop the system without an error. Stopping nodes must still reach the
// control, or each of them waits for it until its stop limit.
func TestStopWithoutError(t *testing.T) {
	out := &safeBuffer{}
	s, err := New(Config{BasePort: reservePorts(t), Folder: t.TempDir(), Log: logr.Discard(), Out: out})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	for end := time.Now().Add(startTimeout); !strings.Contains(out.String(), "Stop with Ctrl-C"); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("the system did not start")
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

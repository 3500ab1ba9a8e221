// Package logging makes the structured logger of a process: logr over the
// standard JSON handler.
//
// # Usage
//
//	l, err := logging.New(os.Stderr, "info")
//	l.Info("choose upstream", "requestId", id, "upstream", name, "reason", reason)
//
// Lines are written by one goroutine from a bounded buffer, so that a slow disk
// or terminal does not delay requests. When the buffer is full, lines are
// dropped and counted.
package logging

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// bufferLines bounds the lines that wait to be written.
const bufferLines = 4096

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"error": slog.LevelError,
}

// New returns a logger that writes to w without blocking.
func New(w io.Writer, level string) (logr.Logger, *Writer, error) {
	v, ok := levels[level]
	if !ok {
		return logr.Logger{}, nil, errkind.New(errkind.Usage, "log level %q; expected debug, info or error", level)
	}
	b := NewWriter(w)
	h := slog.NewJSONHandler(b, &slog.HandlerOptions{Level: v})
	return logr.FromSlogHandler(h), b, nil
}

// Writer passes lines to another writer in the background.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	closing sync.Once
	mu      sync.RWMutex
	closed  bool
	dropped atomic.Int64
}

// NewWriter returns a Writer over w.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for l := range b.lines {
			_, _ = w.Write(l) // nowhere is left to report a failing log
		}
	}()
	return b
}

// Write implements io.Writer. It never blocks.
func (b *Writer) Write(p []byte) (int, error) {
	l := make([]byte, len(p))
	copy(l, p)
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(p), nil
	}
	select {
	case b.lines <- l:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that did not fit the buffer.
func (b *Writer) Dropped() int64 { return b.dropped.Load() }

// Close writes what is buffered.
func (b *Writer) Close() error {
	b.closing.Do(func() {
		b.mu.Lock()
		b.closed = true
		b.mu.Unlock()
		close(b.lines)
	})
	<-b.done
	return nil
}

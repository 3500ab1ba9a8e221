// Package logging makes the structured logger of a process: logr over the
// standard JSON handler.
//
// # Usage
//
//	l, err := logging.New(os.Stderr, "info")
//	l.Info("choose upstream", "requestId", id, "upstream", name, "reason", reason)
//
// Lines are written by one goroutine from a bounded buffer, so that a slow disk
// or terminal does not delay requests. When the buffer is full, or a second has
// had its share of lines, lines are dropped and counted. A line with the count
// follows.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// bufferBytes bounds the lines that wait to be written. At 2,000 requests/s
	// with two lines each it covers a pause of about a second.
	bufferBytes = 1 << 20
	// maxLines bounds the lines of one second, so that a flood of requests does not
	// become a flood of writes. A node at the target has 192 requests/s with about
	// three lines each.
	maxLines = 5000
	// closeLimit bounds the writing of the last lines at a stop.
	closeLimit = time.Second
)

var dropped atomic.Int64

// Dropped returns the number of lines that this process dropped.
func Dropped() int64 { return dropped.Load() }

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
	wake chan struct{}
	done chan struct{}

	mu     sync.Mutex
	buffer []byte
	closed bool
	// second is when the present share of lines began; lines counts its lines.
	second time.Time
	lines  int
	// missing counts the dropped lines that no line has told yet.
	missing int
}

// NewWriter returns a Writer over w.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		var l []byte
		for range b.wake {
			l = b.swap(l)
			_, _ = w.Write(l) // nowhere is left to report a failing log
		}
		_, _ = w.Write(b.swap(nil))
	}()
	return b
}

// swap returns the buffered lines and goes on with empty as the buffer.
func (b *Writer) swap(empty []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.buffer
	b.buffer = empty[:0]
	return l
}

// Write implements io.Writer. It never waits for the other writer.
func (b *Writer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.second) >= time.Second {
		b.second, b.lines = now, 0
	}
	if b.closed || b.lines >= maxLines || len(b.buffer)+len(p) > bufferBytes {
		dropped.Add(1)
		b.missing++
		return len(p), nil
	}
	b.lines++
	if b.missing > 0 {
		b.buffer = fmt.Appendf(b.buffer, `{"time":%q,"level":"INFO","msg":"log lines left out","lines":%d}`+"\n", now.Format(time.RFC3339Nano), b.missing)
		b.missing = 0
	}
	b.buffer = append(b.buffer, p...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close writes what is buffered, unless the other writer takes too long.
func (b *Writer) Close() error {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.wake)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
		return nil
	case <-time.After(closeLimit):
		return errkind.New(errkind.Internal, "the log was not written to its end within %s", closeLimit)
	}
}

// Package logging creates the structured logger of a process: a logr.Logger on the
// JSON handler of log/slog.
//
// # Usage
//
//	l, w, err := logging.New(os.Stderr, "info")
//	if err != nil {
//		return err
//	}
//	defer w.Close() // writes the buffered lines
//	l.Info("choose upstream", "requestId", id, "upstream", name, "reason", reason)
//
// One goroutine writes the lines from a bounded buffer, so that a slow disk or
// terminal does not delay requests. If the buffer is full, or the limit of lines per
// second is reached, lines are dropped and counted. A later line reports the count.
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
	// bufferBytes bounds the lines that wait to be written. At 2,000 requests/s with two
	// lines each it covers a pause of about a second.
	bufferBytes = 1 << 20
	// maxLinesPerSecond bounds the lines in one second, so that a flood of requests does
	// not become a flood of writes. A node at its target load has 192 requests/s with
	// about three lines each.
	maxLinesPerSecond = 5000
	// closeTimeout bounds the time for writing the last lines at a stop.
	closeTimeout = time.Second
)

var dropped atomic.Int64

// Dropped returns the number of lines that this process dropped.
func Dropped() int64 { return dropped.Load() }

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"error": slog.LevelError,
}

// New returns a logger that writes to w in the background, and its Writer, which must be
// closed at the end. The level is "debug", "info" or "error".
func New(w io.Writer, level string) (logr.Logger, *Writer, error) {
	v, ok := levels[level]
	if !ok {
		return logr.Logger{}, nil, errkind.New(errkind.Usage, "log level %q; expected debug, info or error", level)
	}
	b := NewWriter(w)
	h := slog.NewJSONHandler(b, &slog.HandlerOptions{Level: v})
	return logr.FromSlogHandler(h), b, nil
}

// Writer writes lines to another writer in the background.
type Writer struct {
	wake chan struct{}
	done chan struct{}

	mu     sync.Mutex
	buffer []byte
	closed bool
	// windowStart is the start of the current window of one second; windowLines counts
	// the lines in it.
	windowStart time.Time
	windowLines int
	// unreported counts the dropped lines that the log has not reported yet.
	unreported int
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		var l []byte
		for range b.wake {
			l = b.swap(l)
			_, _ = w.Write(l) // an error of the log cannot be reported anywhere
		}
		_, _ = w.Write(b.swap(nil))
	}()
	return b
}

// swap returns the buffered lines and continues with empty as the buffer.
func (b *Writer) swap(empty []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.buffer
	b.buffer = empty[:0]
	return l
}

// Write implements io.Writer. It never blocks on the other writer.
func (b *Writer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.windowStart) >= time.Second {
		b.windowStart, b.windowLines = now, 0
	}
	if b.closed || b.windowLines >= maxLinesPerSecond || len(b.buffer)+len(p) > bufferBytes {
		dropped.Add(1)
		b.unreported++
		return len(p), nil
	}
	b.windowLines++
	if b.unreported > 0 {
		b.buffer = fmt.Appendf(b.buffer, `{"time":%q,"level":"INFO","msg":"log lines left out","lines":%d}`+"\n", now.Format(time.RFC3339Nano), b.unreported)
		b.unreported = 0
	}
	b.buffer = append(b.buffer, p...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close writes the buffered lines. It returns an error if the other writer takes longer
// than closeTimeout.
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
	case <-time.After(closeTimeout):
		return errkind.New(errkind.Internal, "the last log lines were not written within %s", closeTimeout)
	}
}

package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	bytes.Buffer
	open chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.open
	return s.Buffer.Write(p)
}

// Guards against a blocked output of the log that delays requests or the end of the
// process, or uses unbounded memory, and against dropped lines that are not counted.
func TestBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{open: make(chan struct{})}
		b := NewWriter(w)
		before := Dropped()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 3 * bufferBytes / 1024
		for range lines {
			b.Write(line)
		}
		if b.Close() == nil {
			t.Error("Close: got no error, want one about lines not written")
		}
		close(w.open)
		<-b.done
		written := int64(bytes.Count(w.Bytes(), line)) // without the line that reports dropped ones
		if got := Dropped() - before; got == 0 || got+written != lines {
			t.Errorf("got %d dropped and %d written, want %d together", got, written, lines)
		}
	})
}

// Guards against a flood of lines that exceeds the limit, against a log that does not
// report how many lines it dropped, and against dropped lines after the flood.
func TestFloodOfLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w bytes.Buffer
		b := NewWriter(&w)
		before := Dropped()
		line := []byte("{\"msg\":\"x\"}\n")
		const flood = 3 * maxLinesPerSecond
		for range flood {
			b.Write(line)
		}
		time.Sleep(time.Second)
		b.Write(line)
		if err := b.Close(); err != nil {
			t.Fatal(err)
		}
		if got, want := bytes.Count(w.Bytes(), line), maxLinesPerSecond+1; got != want {
			t.Errorf("lines: got %d, want %d", got, want)
		}
		if got, want := Dropped()-before, int64(flood-maxLinesPerSecond); got != want {
			t.Errorf("dropped: got %d, want %d", got, want)
		}
		if want := fmt.Sprintf(`"msg":"log lines left out","lines":%d}`, flood-maxLinesPerSecond); !strings.Contains(w.String(), want) {
			t.Errorf("got no line with %s", want)
		}
	})
}

package logging

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
)

// stuck is a writer that accepts nothing until it is closed.
type stuck struct {
	bytes.Buffer
	open chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	return s.Buffer.Write(p)
}

// Guards that a log that is not written holds up neither requests nor the end
// of the process, takes a bounded amount of memory, and that dropped lines are
// counted.
func TestStuckWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuck{open: make(chan struct{})}
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
		written := int64(bytes.Count(w.Bytes(), []byte("\n")))
		if got := Dropped() - before; got == 0 || got+written != lines {
			t.Errorf("got %d dropped and %d written, want %d together", got, written, lines)
		}
	})
}

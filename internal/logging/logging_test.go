package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
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

// Guards that a flood of lines stays bounded, that the log says how much it left
// out, and that it goes on with all lines after the flood.
func TestFloodOfLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w bytes.Buffer
		b := NewWriter(&w)
		before := Dropped()
		line := []byte("{\"msg\":\"x\"}\n")
		const flood = 3 * maxLines
		for range flood {
			b.Write(line)
		}
		time.Sleep(time.Second)
		b.Write(line)
		if err := b.Close(); err != nil {
			t.Fatal(err)
		}
		if got, want := bytes.Count(w.Bytes(), line), maxLines+1; got != want {
			t.Errorf("lines: got %d, want %d", got, want)
		}
		if got, want := Dropped()-before, int64(flood-maxLines); got != want {
			t.Errorf("dropped: got %d, want %d", got, want)
		}
		if want := fmt.Sprintf(`"msg":"log lines left out","lines":%d}`, flood-maxLines); !strings.Contains(w.String(), want) {
			t.Errorf("got no line with %s", want)
		}
	})
}

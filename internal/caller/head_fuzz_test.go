package caller

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// FuzzHeadLimits guards against heads above the limits that reach a handler, against
// ordinary heads that are refused, and against bytes that stay counted in the budget. The
// stream is before, then unit as often as repeat says, then after.
func FuzzHeadLimits(f *testing.F) {
	const chunked = "POST /a/0s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, s := range []struct {
		before, unit, after string
		repeat              int
	}{
		{getHead, "a:b\r\n", "\r\n", 20},
		{getHead, "a:b\r\n", "\r\n", 300},
		{getHead, "a:\n", "\n", 3000},
		{getHead, "x: " + strings.Repeat("y", 500) + "\r\n", "\r\n", 30},
		{getHead + "a: b\r\n", " c\r\n", "\r\n", 300},
		{"", "\r\n", getHead + "\r\n", 300},
		{"GET /", "x", " HTTP/1.1\r\nHost: h\r\n\r\n", 20000},
		{"", getHead + "\r\n", "", 40},
		{chunked, "1\r\n\n\r\n", "0\r\n\r\n" + getHead + "\r\n", 1000},
		{chunked + "0\r\n", "a:b\r\n", "\r\n" + getHead + "\r\n", 1000},
		{chunked + "0\r\n\r\n" + getHead, "a:b\r\n", "\r\n", 1000},
		{"POST /a/0s HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n", "\n", getHead + "\r\n", 900},
		{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\n", "", 300},
	} {
		f.Add(s.before, s.unit, s.after, s.repeat, 4096)
		f.Add(s.before, s.unit, s.after, s.repeat, 1<<16)
	}
	f.Fuzz(func(t *testing.T, before, unit, after string, repeat, segment int) {
		repeat, segment = max(repeat, 0), max(segment, 1)
		if len(unit)*repeat > 1<<16 || len(before)+len(after) > 4096 || (len(unit)*repeat+8192)/segment > 256 {
			return // more work, but no further case
		}
		stream := before + strings.Repeat(unit, repeat) + after
		synctest.Test(t, func(t *testing.T) {
			b := budget.New(1 << 20)
			p, u := newGuarded(t, func(c *Config) { c.Budget = b })
			u.longest = 10 * time.Millisecond
			k := p.s.Handler
			p.s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// Beyond what is checked before, one buffer of net/http may hold more lines.
				if n, lines := headSize(r.Header); n > testHeaderBytes+2*wire.HeadAllowance || lines > wire.MaxHeaderLines+wire.HeadAllowance/len("a:\n") {
					t.Errorf("got a head of %d bytes in %d lines", n, lines)
				}
				k.ServeHTTP(w, r)
			})
			got := exchangeStream(t, p, stream, segment)
			if want, ok := ordinaryStream(stream); ok && strings.Count(got, "HTTP/1.1 200") < want {
				t.Errorf("got %q, want %d responses", got, want)
			}
			if held, _ := b.Held(); held != 0 {
				t.Errorf("got %d bytes held, want 0", held)
			}
		})
	})
}

// exchangeStream returns what the node answers to stream.
func exchangeStream(t *testing.T, p *pipelining, stream string, segment int) string {
	t.Helper()
	read := make(chan string)
	go func() {
		b, _ := io.ReadAll(p.c)
		read <- string(b)
	}()
	for b := []byte(stream); len(b) > 0; {
		k := min(segment, len(b))
		_ = p.c.SetWriteDeadline(time.Now().Add(requestTime)) // the server may not read on
		if _, err := io.Copy(p.c, bytes.NewReader(b[:k])); err != nil {
			break
		}
		b = b[k:]
	}
	time.Sleep(requestTime)
	p.c.Close()
	got := <-read
	time.Sleep(2 * lingerTime)
	synctest.Wait()
	return got
}

// ordinaryStream returns the number of requests in stream, if it consists of plain GET
// requests without further headers.
func ordinaryStream(stream string) (int, bool) {
	const plain = getHead + "\r\n"
	n := strings.Count(stream, plain)
	return n, len(stream) == n*len(plain)
}

package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkPipelining measures requests of one caller that sends depth of them before it
// reads the responses, with an upstream of 2 ms and with one that answers at once. "In turn"
// is net/http without the listener of this package.
func BenchmarkPipelining(b *testing.B) {
	for _, delay := range []string{"0s", "2ms"} {
		for _, depth := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("upstream %s/depth %d/at once", delay, depth), func(b *testing.B) { benchmarkDepth(b, delay, depth, true) })
			b.Run(fmt.Sprintf("upstream %s/depth %d/in turn", delay, depth), func(b *testing.B) { benchmarkDepth(b, delay, depth, false) })
		}
	}
}

func benchmarkDepth(b *testing.B, delay string, depth int, atOnce bool) {
	h := New(pipeliningConfig(b, &slowUpstream{}))
	s := NewServer(h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := l.Addr().String()
	if atOnce {
		l = NewListener(l, 1, h)
	}
	served := make(chan error)
	go func() { served <- s.Serve(l) }()
	defer func() { s.Close(); <-served }()
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	requests := strings.Repeat("GET /a/"+delay+" HTTP/1.1\r\nHost: h\r\n\r\n", depth)
	var took []time.Duration
	for b.Loop() {
		start := time.Now()
		if _, err := io.WriteString(c, requests); err != nil {
			b.Fatal(err)
		}
		for range depth {
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			took = append(took, time.Since(start))
		}
	}
	slices.Sort(took)
	b.ReportMetric(float64(len(took))/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}

package distribution

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// An update that never ends, or that decompresses to far more than its size, must not
// exhaust the memory of a node.
func TestUpdateSizeIsLimited(t *testing.T) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	part := make([]byte, 1<<20)
	for range maxUpdateBytes/len(part) + 1 {
		w.Write(part)
	}
	w.Flush()
	packed.WriteString("\xff\xff") // invalid data, which is an error only if decompression goes on beyond the limit
	for _, c := range []struct {
		name       string
		data       []byte
		parts      int
		compressed bool
	}{
		{"without end", part, 2 * maxUpdateBytes / len(part), false},
		{"unpacks to too much", packed.Bytes(), 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a chunkAssembler
			for i := range c.parts {
				data, last, err := a.add(&wire.ConfigChunk{To: 1, Offset: i * len(c.data), Data: c.data, Last: i == c.parts-1, Compressed: c.compressed})
				if len(a.data) > maxUpdateBytes || len(data) > maxUpdateBytes {
					t.Fatalf("part %d: %d bytes are held", i, len(a.data)+len(data))
				}
				if last && (err == nil || !strings.Contains(err.Error(), "exceeds")) {
					t.Errorf("got error %v, want one about the size", err)
				}
			}
		})
	}
}

// If the node's own record exceeded the limits, every control would refuse the node.
func TestOwnRecordIsLimited(t *testing.T) {
	long := strings.Repeat("x", wire.MaxNameBytes)
	for _, c := range []struct {
		name      string
		upstreams []wire.Upstream
		want      int
	}{
		{"too many", make([]wire.Upstream, wire.MaxUpstreams+1), wire.MaxUpstreams},
		{"one too long", []wire.Upstream{{Name: "a"}, {Name: strings.Repeat(long, 40)}, {Name: "b"}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry.New()
			n := New(Config{Node: "n", Registry: r, Log: logr.Discard()})
			n.SetUpstreams(c.upstreams)
			got, _ := r.Record("n")
			if err := got.Check(); err != nil || len(got.Upstreams) != c.want {
				t.Errorf("got %d upstreams, %v; want %d", len(got.Upstreams), err, c.want)
			}
		})
	}
}

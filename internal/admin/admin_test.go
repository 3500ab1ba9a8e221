package admin_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/admin"
)

// Checks the text format of metrics: a collector drops the whole scrape if one line
// is malformed.
func TestWriteFormat(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(`answers{rank="urgent",kind=""}`, r).Inc(3)
	metrics.GetOrRegisterGauge("version", r).Update(7)
	metrics.GetOrRegisterHistogram(`wait_micros{rank="urgent"}`, r, metrics.NewUniformSample(10)).Update(5)
	var b bytes.Buffer
	admin.Write(&b, r)
	want := `gooseberrypick_answers{rank="urgent",kind=""} 3
gooseberrypick_version 7
gooseberrypick_wait_micros{rank="urgent",quantile="0.5"} 5
gooseberrypick_wait_micros{rank="urgent",quantile="0.9"} 5
gooseberrypick_wait_micros{rank="urgent",quantile="0.99"} 5
gooseberrypick_wait_micros_count{rank="urgent"} 1
gooseberrypick_wait_micros_sum{rank="urgent"} 5
`
	if got := b.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// A process that is not ready must report so, or it would be sent requests.
// Profiles must not be served unless the settings enable them.
func TestEndpoints(t *testing.T) {
	h := admin.New(admin.Config{
		Metrics: metrics.NewRegistry(),
		Ready:   func() error { return errors.New("no configuration yet") },
		Version: func() any { return map[string]int{"Version": 4} },
	})
	tests := []struct {
		path, body string
		status     int
	}{
		{"/livez", "ok", http.StatusOK},
		{"/readyz", "no configuration yet", http.StatusServiceUnavailable},
		{"/v1/version", `"Version": 4`, http.StatusOK},
		{"/debug/pprof/", "", http.StatusNotFound},
	}
	for _, c := range tests {
		t.Run(c.path, func(t *testing.T) {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
			if got := w.Code; got != c.status || !strings.Contains(w.Body.String(), c.body) {
				t.Errorf("got %d %q, want %d with %q", got, w.Body.String(), c.status, c.body)
			}
		})
	}
}

// Package admin serves the administrative HTTP endpoints of a process:
// liveness, readiness, metrics, version and, where allowed, profiles.
//
// # Usage
//
//	h := admin.New(admin.Config{
//		Metrics: metrics.DefaultRegistry,
//		Ready:   func() error { return nil },
//		Version: func() any { return status },
//	})
//	server := &http.Server{Handler: h}
package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Config configures the handler.
type Config struct {
	Metrics metrics.Registry
	// Ready returns an error while the process is not ready.
	Ready func() error
	// Version returns the value for /v1/version.
	Version func() any
	// Pprof enables the profiling endpoints.
	Pprof bool
}

// New returns a handler for the endpoints.
func New(c Config) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := c.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		Write(w, c.Metrics)
	})
	m.HandleFunc("GET /v1/version", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(c.Version()) // fails only if the client is gone
	})
	if c.Pprof {
		m.HandleFunc("GET /debug/pprof/", pprof.Index)
		m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return m
}

// quantiles are the quantiles written for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99}

// Write writes all metrics of r in the Prometheus text format. A name may carry
// labels in braces, as in `requests{rank="urgent"}`.
func Write(w io.Writer, r metrics.Registry) {
	values := map[string]any{}
	r.Each(func(n string, v any) { values[n] = v })
	names := make([]string, 0, len(values))
	for n := range values {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		writeMetric(w, n, values[n])
	}
}

func writeMetric(w io.Writer, name string, v any) {
	switch m := v.(type) {
	case metrics.Counter:
		writeValue(w, name, "", float64(m.Count()))
	case metrics.Gauge:
		writeValue(w, name, "", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(w, name, "", m.Value())
	case metrics.Meter:
		writeValue(w, name, "", float64(m.Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Count(), s.Sum())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Count(), s.Sum())
	}
}

func writeSummary(w io.Writer, name string, p []float64, count, sum int64) {
	for i, q := range quantiles {
		writeValue(w, name, fmt.Sprintf("quantile=%q", fmt.Sprint(q)), p[i])
	}
	base, labels := splitLabels(name)
	writeValue(w, base+"_count"+labels, "", float64(count))
	writeValue(w, base+"_sum"+labels, "", float64(sum))
}

func writeValue(w io.Writer, name, label string, v float64) {
	base, labels := splitLabels(name)
	if label != "" {
		if labels == "" {
			labels = "{" + label + "}"
		} else {
			labels = strings.TrimSuffix(labels, "}") + "," + label + "}"
		}
	}
	fmt.Fprintf(w, "gooseberrypick_%s%s %v\n", base, labels, v)
}

func splitLabels(name string) (base, labels string) {
	if i := strings.IndexByte(name, '{'); i >= 0 {
		return name[:i], name[i:]
	}
	return name, ""
}

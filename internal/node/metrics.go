package node

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Sizes of the decaying sample of a histogram.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// nodeMetrics are the metrics of one node. Times are in microseconds.
type nodeMetrics struct{ registry metrics.Registry }

func newMetrics() *nodeMetrics { return &nodeMetrics{registry: metrics.NewRegistry()} }

func (m *nodeMetrics) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

func (m *nodeMetrics) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// answered counts one answer to a caller.
func (m *nodeMetrics) answered(t table.Match, status int, kind errkind.Kind, took time.Duration) {
	m.counter(fmt.Sprintf("answers{customer=%q,rank=%q,status=\"%d\",kind=%q}", t.Customer, t.Rank.Name, status, kind)).Inc(1)
	if t.Customer == "" {
		return
	}
	m.histogram(fmt.Sprintf("answer_micros{customer=%q,rank=%q}", t.Customer, t.Rank.Name)).Update(took.Microseconds())
	if kind == "" && took <= t.Rank.Target {
		m.counter(fmt.Sprintf("answers_in_target{customer=%q,rank=%q}", t.Customer, t.Rank.Name)).Inc(1)
	}
}

func (m *nodeMetrics) queued(service, rank string, wait time.Duration) {
	m.histogram(fmt.Sprintf("queue_wait_micros{service=%q,rank=%q}", service, rank)).Update(wait.Microseconds())
}

func (m *nodeMetrics) retried(service string) {
	m.counter(fmt.Sprintf("retries{service=%q}", service)).Inc(1)
}

func (m *nodeMetrics) applied(t *table.Table) {
	metrics.GetOrRegisterGauge("version", m.registry).Update(int64(t.Version()))
}

// sample reads gauges that nothing else updates.
func (m *nodeMetrics) sample(n *Node) {
	metrics.GetOrRegisterGauge("nodes", m.registry).Update(int64(n.registry.Len()))
	connected := int64(0)
	if n.distribution.Control() != "" {
		connected = 1
	}
	metrics.GetOrRegisterGauge("control_connected", m.registry).Update(connected)
}

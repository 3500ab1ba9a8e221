package node

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/logging"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Parameters of a histogram's exponentially decaying sample.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// nodeMetrics holds the metrics of one node. Durations are in microseconds. The
// values of labels come from the configuration and from fixed lists, never from
// callers, so that callers cannot create metrics.
type nodeMetrics struct {
	registry metrics.Registry
	ranks    sync.Map // rankKey to *rankMetrics
	waits    sync.Map // rankKey to metrics.Histogram
}

// rankKey identifies a rank of a customer or of a service.
type rankKey struct{ owner, rank string }

// rankMetrics holds the metrics of one rank of a customer.
type rankMetrics struct {
	registry metrics.Registry
	labels   string
	inTarget metrics.Counter
	latency  metrics.Histogram
	// classes counts responses of upstreams by the first digit of their status.
	classes [10]metrics.Counter
	// refusals counts by kind the error responses that the node itself sent.
	refusals sync.Map // errkind.Kind to metrics.Counter
}

func newMetrics() *nodeMetrics { return &nodeMetrics{registry: metrics.NewRegistry()} }

func newHistogram(r metrics.Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

func newRankMetrics(r metrics.Registry, k rankKey) *rankMetrics {
	l := fmt.Sprintf("customer=%q,rank=%q", k.owner, k.rank)
	m := &rankMetrics{
		registry: r,
		labels:   l,
		inTarget: metrics.GetOrRegisterCounter("answers_in_target{"+l+"}", r),
		latency:  newHistogram(r, "answer_micros{"+l+"}"),
	}
	for i := range m.classes {
		if i >= 2 && i <= 5 {
			m.classes[i] = metrics.GetOrRegisterCounter(fmt.Sprintf("answers{%s,class=\"%dxx\"}", l, i), r)
		} else {
			m.classes[i] = metrics.GetOrRegisterCounter("answers{"+l+",class=\"other\"}", r)
		}
	}
	return m
}

// loadOrCreate returns the value of k in m. If there is none, it stores a new one.
func loadOrCreate[K comparable, V any](m *sync.Map, k K, newValue func() V) V {
	if v, ok := m.Load(k); ok {
		return v.(V)
	}
	v, _ := m.LoadOrStore(k, newValue())
	return v.(V)
}

// observeResponse records one response to a caller.
func (m *nodeMetrics) observeResponse(t table.Match, status int, kind errkind.Kind, took time.Duration) {
	k := rankKey{t.Customer, t.Rank.Name}
	r := loadOrCreate(&m.ranks, k, func() *rankMetrics { return newRankMetrics(m.registry, k) })
	r.latency.Update(took.Microseconds())
	if kind != "" {
		loadOrCreate(&r.refusals, kind, func() metrics.Counter {
			return metrics.GetOrRegisterCounter(fmt.Sprintf("refusals{%s,kind=%q}", r.labels, kind), r.registry)
		}).Inc(1)
		return
	}
	r.classes[min(status/100, len(r.classes)-1)].Inc(1)
	if status < http.StatusInternalServerError && took <= t.Rank.Target {
		r.inTarget.Inc(1)
	}
}

func (m *nodeMetrics) observeQueueWait(service, rank string, wait time.Duration) {
	k := rankKey{service, rank}
	loadOrCreate(&m.waits, k, func() metrics.Histogram {
		return newHistogram(m.registry, fmt.Sprintf("queue_wait_micros{service=%q,rank=%q}", service, rank))
	}).Update(wait.Microseconds())
}

func (m *nodeMetrics) countRetry(service string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("retries{service=%q}", service), m.registry).Inc(1)
}

func (m *nodeMetrics) countTry(service string, own bool) {
	zone := "other"
	if own {
		zone = "own"
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("tries{service=%q,zone=%q}", service, zone), m.registry).Inc(1)
}

func (m *nodeMetrics) countCrossing(service, reason string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("zone_crossings{service=%q,reason=%q}", service, reason), m.registry).Inc(1)
}

func (m *nodeMetrics) countCrossedBytes(service string, n int64) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("zone_crossing_bytes{service=%q}", service), m.registry).Inc(n)
}

func (m *nodeMetrics) setVersion(t *table.Table) {
	metrics.GetOrRegisterGauge("version", m.registry).Update(int64(t.Version()))
}

// sample sets the gauges that are not updated by events.
func (m *nodeMetrics) sample(n *Node) {
	metrics.GetOrRegisterGauge("nodes", m.registry).Update(int64(n.registry.Len()))
	metrics.GetOrRegisterGauge("requests", m.registry).Update(n.handler.InFlight())
	held, limit := n.budget.Held()
	metrics.GetOrRegisterGauge("connection_bytes", m.registry).Update(held)
	metrics.GetOrRegisterGauge("connection_bytes_limit", m.registry).Update(limit)
	k := n.budget.Counts()
	metrics.GetOrRegisterGauge("connections_closed_for_memory", m.registry).Update(k.Closed)
	metrics.GetOrRegisterGauge("connections_refused_for_memory", m.registry).Update(k.Refused)
	n.handler.Refusals(func(reason string, v int64) {
		metrics.GetOrRegisterGauge(fmt.Sprintf("caller_refusals{reason=%q}", reason), m.registry).Update(v)
	})
	metrics.GetOrRegisterGauge("log_lines_dropped", m.registry).Update(logging.Dropped())
	for name, l := range n.local.Loads(time.Now()) {
		metrics.GetOrRegisterGauge(fmt.Sprintf("upstream_in_flight{upstream=%q}", name), m.registry).Update(int64(l.InFlight))
		metrics.GetOrRegisterGauge(fmt.Sprintf("upstream_waiting{upstream=%q}", name), m.registry).Update(int64(l.Waiting))
		metrics.GetOrRegisterGauge(fmt.Sprintf("upstream_limit{upstream=%q}", name), m.registry).Update(int64(l.Limit))
	}
	n.router.Budgets(func(service, rank string, left float64) {
		metrics.GetOrRegisterGaugeFloat64(fmt.Sprintf("retry_budget{service=%q,rank=%q}", service, rank), m.registry).Update(left)
	})
	n.limits.sample()
	arriving, waiting := n.peerServer.LargeBodies()
	metrics.GetOrRegisterGauge("large_bodies_arriving", m.registry).Update(int64(arriving))
	metrics.GetOrRegisterGauge("large_bodies_waiting", m.registry).Update(int64(waiting))
	m.sampleLink(n)
	connected := int64(0)
	if n.distribution.Control() != "" {
		connected = 1
	}
	metrics.GetOrRegisterGauge("control_connected", m.registry).Update(connected)
}

// sampleLink sets the gauges of the VM's link. They exist only if its rate is known.
func (m *nodeMetrics) sampleLink(n *Node) {
	if n.c.Settings.LinkMbps <= 0 {
		return
	}
	s := n.outlet.LinkStats()
	for name, v := range map[string]int64{
		"link_bytes{kind=\"small\"}": s.SmallBytes,
		"link_bytes{kind=\"large\"}": s.LargeBytes,
		"link_refusals":              s.Refusals,
		"link_ended":                 s.Ended,
		"link_bodies":                int64(s.Bodies),
		"link_pieces_waiting":        int64(s.Waiting),
		"link_backlog_micros":        s.Backlog.Microseconds(),
		"link_read_ahead_bytes":      n.outlet.AheadBytes(),
	} {
		metrics.GetOrRegisterGauge(name, m.registry).Update(v)
	}
}

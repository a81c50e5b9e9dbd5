package dataplane

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics of a data plane. Values are computed only when they are collected. Label values are bounded by the configuration and by
// the kinds of errors and outcomes.
var (
	requestsInFlight = prometheus.NewDesc("ferryspar_requests_in_flight", "Requests of clients being served.", nil, nil)
	rejectionsTotal  = prometheus.NewDesc("ferryspar_rejections_total",
		"Requests answered with an error of this data plane's own, by reason.", []string{"reason"}, nil)
	attemptsTotal = prometheus.NewDesc("ferryspar_attempts_total",
		"Attempts at replicas, by backend and by how they ended.", []string{"backend", "outcome"}, nil)
	bodyBytesHeld = prometheus.NewDesc("ferryspar_body_bytes",
		"Bytes of request bodies in memory, of bodies that are arriving and of complete ones.", []string{"state"}, nil)
	configurationRevision = prometheus.NewDesc("ferryspar_configuration_revision", "Revision of the configuration in use.", nil, nil)
	isReady               = prometheus.NewDesc("ferryspar_ready", "1 while the data plane takes new connections.", nil, nil)
)

// collector collects a node's metrics. It implements prometheus.Collector.
type collector struct{ node *Node }

// Describe implements prometheus.Collector.
func (collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		requestsInFlight, rejectionsTotal, attemptsTotal, bodyBytesHeld, configurationRevision, isReady,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	bodies := c.node.bodies.Usage()
	gauge(bodyBytesHeld, float64(bodies.Reading), "arriving")
	gauge(bodyBytesHeld, float64(bodies.Held), "complete")
	gauge(requestsInFlight, float64(c.node.proxy.InFlight()))
	gauge(configurationRevision, float64(c.node.state.position.revision.Load()))
	ready := 0.0
	if c.node.state.Ready() && !c.node.draining.Load() {
		ready = 1
	}
	gauge(isReady, ready)
	for reason, count := range c.node.proxy.Rejections.Snapshot() {
		metrics <- prometheus.MustNewConstMetric(rejectionsTotal, prometheus.CounterValue, float64(count), reason)
	}
	for backend, outcomes := range c.node.proxy.Attempts.ByBackend() {
		for outcome, count := range outcomes {
			metrics <- prometheus.MustNewConstMetric(attemptsTotal, prometheus.CounterValue, float64(count), backend, outcome)
		}
	}
}

// metricsHandler serves the node's metrics in the Prometheus text format.
func (n *Node) metricsHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{n})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

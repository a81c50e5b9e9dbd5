package controlplane

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsPath is the path at which a control plane serves its metrics.
const metricsPath = "/ferryspar/metrics"

// Metrics of a control plane. They are computed when they are scraped. The configuration bounds the number of label values.
var (
	configurationRevision = prometheus.NewDesc("ferryspar_configuration_revision", "Revision of the configuration in force.", nil, nil)
	confirmedAge          = prometheus.NewDesc("ferryspar_confirmed_age_seconds",
		"Time since a majority confirmed the state of this member; absent before the first time.", nil, nil)
	rosterAge = prometheus.NewDesc("ferryspar_replica_list_age_seconds",
		"Age of the platform's list of replicas; absent before the first one.", nil, nil)
	replicasListed = prometheus.NewDesc("ferryspar_replicas_listed", "Replicas in the platform's list.", nil, nil)
	leaseFence     = prometheus.NewDesc("ferryspar_placement_lease_fence",
		"Fencing token of the placement lease while this node holds it, else 0.", nil, nil)
	usageClosed = prometheus.NewDesc("ferryspar_usage_closed_window",
		"Newest window whose usage is final, as far as this node knows.", nil, nil)
	usagePending = prometheus.NewDesc("ferryspar_usage_pending_reports",
		"Usage reports that the platform has not accepted, at the node that sends them.", nil, nil)
	replicasWanted = prometheus.NewDesc("ferryspar_replicas_wanted",
		"Replicas planned for a zone, at the node that orders them.", []string{"backend", "zone"}, nil)
)

// collector collects a node's metrics. It implements prometheus.Collector.
type collector struct{ node *Node }

// Describe implements prometheus.Collector.
func (collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		configurationRevision, confirmedAge, rosterAge, replicasListed, leaseFence, usageClosed, usagePending, replicasWanted,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	now, snapshot := c.node.clock(), c.node.publisher.Current()
	age := func(description *prometheus.Desc, at time.Time) {
		if !at.IsZero() {
			gauge(description, now.Sub(at).Seconds())
		}
	}
	gauge(configurationRevision, float64(snapshot.Revision))
	age(confirmedAge, snapshot.ConfirmedAt)
	age(rosterAge, snapshot.RosterAsOf)
	gauge(replicasListed, float64(len(snapshot.Replicas)))
	fence := uint64(0)
	if grant := c.node.scheduler.Lease().Grant(); grant != nil && c.node.scheduler.Lease().Holds() {
		fence = grant.Record.Fence
	}
	gauge(leaseFence, float64(fence))
	if c.node.usageReporter != nil {
		status := c.node.usageReporter.Status()
		gauge(usageClosed, float64(status.ClosedUpTo))
		gauge(usagePending, float64(status.Pending))
	}
	if c.node.capacityOrders != nil && fence > 0 {
		for _, wanted := range c.node.capacityOrders.DesiredReplicas() {
			gauge(replicasWanted, float64(wanted.Replicas), wanted.Backend, wanted.Zone)
		}
	}
}

// metricsHandler returns a handler that serves the node's metrics in the Prometheus text format.
func (n *Node) metricsHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{n})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

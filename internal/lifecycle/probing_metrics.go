package lifecycle

import (
	"github.com/prometheus/client_golang/prometheus"

	"capersail/internal/fleet/probing"
)

// probingMetrics is the collector of the metrics of shared probing, where some relays probe each server and
// gossip the readings to the others. The metrics are read when they are scraped.
//
//	relay_looks_relays                 gauge    relays that share readings, including this one
//	relay_looks_total                  counter  probes of servers that this relay made for all relays
//	relay_looks_taken_total            counter  readings of other relays that this relay did not have yet
//	relay_looks_left_out_total{reason} counter  readings of other relays that were ignored, by reason
//	relay_looks_doubted                gauge    quarantined relays, whose readings are ignored
type probingMetrics struct {
	report                                         func() (probing.Report, bool)
	relays, probes, received, dropped, quarantined *prometheus.Desc
}

func newProbingMetrics(report func() (probing.Report, bool)) *probingMetrics {
	d := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("relay_looks"+name, help, labels, nil)
	}
	return &probingMetrics{report: report,
		relays:   d("_relays", "Relays that share readings, this one too."),
		probes:   d("_total", "Probes of servers made for all relays."),
		received: d("_taken_total", "Readings of other relays that were new here."),
		dropped: d("_left_out_total",
			"Readings of other relays that were left out, by reason.", "reason"),
		quarantined: d("_doubted",
			"Quarantined relays, whose readings are left out as two others contradict them."),
	}
}

// Describe sends the descriptions of all metrics.
func (m *probingMetrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.relays, m.probes, m.received, m.dropped, m.quarantined} {
		ch <- d
	}
}

// Collect sends the metrics, or none while there is no report.
func (m *probingMetrics) Collect(ch chan<- prometheus.Metric) {
	r, ok := m.report()
	if !ok {
		return
	}
	gauge := func(d *prometheus.Desc, x float64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x)
	}
	count := func(d *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	gauge(m.relays, float64(r.Relays))
	count(m.probes, r.Probes)
	count(m.received, r.ReadingsReceived)
	for why, n := range r.DroppedByReason {
		count(m.dropped, n, why)
	}
	gauge(m.quarantined, float64(len(r.QuarantinedRelays)))
}

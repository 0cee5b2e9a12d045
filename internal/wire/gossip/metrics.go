package gossip

import (
	"github.com/prometheus/client_golang/prometheus"

	"capersail/internal/fleet/membership"
)

// fleetCollector collects the metrics of the membership and of cells. Values are read at each collection.
//
//	relay_members{state}                 gauge    relays by state, this one as "here"
//	relay_members_in_view                gauge    members of the view
//	relay_members_epoch                  gauge    epoch of the view
//	relay_members_phase{phase}           gauge    1 for the current phase, 0 for the others
//	relay_members_agreed_seconds         gauge    seconds since the view was last agreed, -1 for never
//	relay_members_share                  gauge    this relay's share of a budget of the fleet, 0 to 1
//	relay_members_dropped_total{reason}  counter  packets and messages dropped
//	relay_members_bytes_total{way}       counter  bytes of packets, out and in
type fleetCollector struct {
	node                                                         *Node
	members, inView, epoch, phase, agreed, share, dropped, bytes *prometheus.Desc
	cells                                                        cellMetrics
}

// Collector returns a collector of the Node's metrics.
func (n *Node) Collector() prometheus.Collector {
	d := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("relay_members"+name, help, labels, nil)
	}
	return &fleetCollector{
		node:    n,
		members: d("", "Relays known, by state.", "state"),
		inView:  d("_in_view", "Members of the view."),
		epoch:   d("_epoch", "Epoch of the view."),
		phase:   d("_phase", "How far the view is agreed: 1 for the phase that is on.", "phase"),
		agreed:  d("_agreed_seconds", "Since the view was agreed last, -1 for never."),
		share:   d("_share", "This relay's share of a budget of the fleet."),
		dropped: d("_dropped_total", "Packets and messages dropped, by reason.", "reason"),
		bytes:   d("_bytes_total", "Bytes of packets between relays.", "way"),
		cells:   newCellMetrics(),
	}
}

// Describe implements prometheus.Collector.
func (f *fleetCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		f.members, f.inView, f.epoch, f.phase, f.agreed, f.share, f.dropped, f.bytes,
	} {
		ch <- d
	}
	f.cells.describe(ch)
}

// Collect implements prometheus.Collector.
func (f *fleetCollector) Collect(ch chan<- prometheus.Metric) {
	report := f.node.Report()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	count := func(d *prometheus.Desc, v uint64, label string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), label)
	}
	states, members := map[string]float64{"here": 0, "alive": 0, "failed": 0, "left": 0, "unheard": 0}, 0.0
	for _, m := range report.Members {
		states[m.State]++
		if m.Member {
			members++
		}
	}
	for state, relays := range states {
		gauge(f.members, relays, state)
	}
	gauge(f.inView, members)
	gauge(f.epoch, float64(report.Epoch))
	for phase := membership.PhaseStarting; phase <= membership.PhaseCutOff; phase++ {
		gauge(f.phase, boolGauge(phase.String() == report.Phase), phase.String())
	}
	gauge(f.agreed, seconds(report.SinceAgreedMs))
	gauge(f.share, report.BudgetShare)
	for reason := range dropReasonCount {
		count(f.dropped, f.node.dropped.total[reason].Load(), reason.String())
	}
	out, in := f.node.Traffic()
	count(f.bytes, out, "out")
	count(f.bytes, in, "in")
	f.cells.collect(ch, f.node)
}

// boolGauge returns the value of a gauge for a condition: 1 if it holds, else 0.
func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// seconds converts an age in milliseconds, negative for never, to the value of a gauge: seconds, or -1.
func seconds(ms float64) float64 {
	if ms < 0 {
		return -1
	}
	return ms / 1000
}

package gossip

import (
	"github.com/prometheus/client_golang/prometheus"
)

// cellMetrics holds the descriptions of the metrics of cells. A flat fleet without a plan exports none of
// them. At a relay that is not its cell's representative, the figures of other cells are those of the
// representative's last directory and a few seconds old.
//
//	relay_cells{region,state}          gauge    other cells: heard, or unheard for three rounds
//	relay_cells_relays{region}         gauge    relays in the other cells
//	relay_cells_plan                   gauge    number of the plan in this cell's view
//	relay_cells_file_plan              gauge    number of the plan in this relay's plan file
//	relay_cells_entered                gauge    newest plan: no relay of the cell acts by an earlier one
//	relay_cells_opened                 gauge    newest plan that every cell has joined
//	relay_cells_speaker                gauge    1 at the relay that is its cell's representative
//	relay_cells_mismatched             gauge    other cells with another table under the same plan number
//	relay_cells_far_share              gauge    this relay's share of a budget outside its region, 0 to 1
//	relay_cells_directory_seconds      gauge    age of the representative's directory, -1 if there is none
//	relay_cells_bytes_total{way}       counter  bytes of summaries and directories, out and in
//	relay_cells_dropped_total{reason}  counter  summaries and directories dropped
type cellMetrics struct {
	cells, relays                        *prometheus.Desc
	plan, filePlan, joined, activated    *prometheus.Desc
	representative, mismatched, farShare *prometheus.Desc
	directory, bytes, dropped            *prometheus.Desc
}

func newCellMetrics() cellMetrics {
	d := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("relay_cells"+name, help, labels, nil)
	}
	return cellMetrics{
		cells:          d("", "Other cells, by region and whether their summaries come.", "region", "state"),
		relays:         d("_relays", "Relays in other cells.", "region"),
		plan:           d("_plan", "Number of the plan that the cell goes by."),
		filePlan:       d("_file_plan", "Number of the file's plan."),
		joined:         d("_entered", "Newest plan that nobody in the cell acts by an earlier one of."),
		activated:      d("_opened", "Newest plan that every cell is known to have joined."),
		representative: d("_speaker", "1 where this relay is its cell's representative."),
		mismatched:     d("_mismatched", "Other cells that have another table under the plan's number."),
		farShare:       d("_far_share", "This relay's share of a budget outside its region."),
		directory:      d("_directory_seconds", "Since the representative's directory came, -1 for never."),
		bytes:          d("_bytes_total", "Bytes of summaries and directories.", "way"),
		dropped:        d("_dropped_total", "Summaries and directories dropped, by reason.", "reason"),
	}
}

func (f cellMetrics) describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		f.cells, f.relays, f.plan, f.filePlan, f.joined, f.activated,
		f.representative, f.mismatched, f.farShare, f.directory, f.bytes, f.dropped,
	} {
		ch <- d
	}
}

func (f cellMetrics) collect(ch chan<- prometheus.Metric, n *Node) {
	r, ok := n.CellsReport()
	if !ok {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	count := func(d *prometheus.Desc, v uint64, label string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), label)
	}
	mismatched := 0.0
	for _, region := range r.Regions {
		for _, c := range region.CellReports {
			if c.PlanMismatch {
				mismatched++
			}
		}
		if region.Cells == 0 {
			continue
		}
		gauge(f.cells, float64(region.KnownCells), region.Name, "heard")
		gauge(f.cells, float64(region.Cells-region.KnownCells), region.Name, "unheard")
		gauge(f.relays, float64(region.Relays), region.Name)
	}
	gauge(f.plan, float64(r.Plan))
	gauge(f.filePlan, float64(r.FilePlan))
	gauge(f.joined, float64(r.JoinedPlan))
	gauge(f.activated, float64(r.ActivatedPlan))
	gauge(f.representative, boolGauge(r.Representative == n.cfg.Name))
	gauge(f.mismatched, mismatched)
	gauge(f.farShare, n.FleetEstimate().FarBudgetShare)
	gauge(f.directory, seconds(r.DirectoryAgeMs))
	out, in := n.CellTraffic()
	count(f.bytes, out, "out")
	count(f.bytes, in, "in")
	count(f.dropped, r.Drops.Malformed, "malformed")
	count(f.dropped, r.Drops.UnknownCell, "unknown cell")
	count(f.dropped, r.Drops.Stale, "stale")
}

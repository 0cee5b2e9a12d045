package cells

import (
	"slices"
	"strconv"
	"time"

	"capersail/internal/fleet/duration"
)

// Report is what a relay knows about the cells, for operators.
type Report struct {
	Cell           string `json:"cell"`
	Region         string `json:"region"`
	Representative string `json:"speaker"` // of this cell, "" for none
	Plan           uint64 `json:"plan"`    // of the view
	PlanHash       string `json:"plan_hash"`
	JoinedPlan     uint64 `json:"entered"`
	ActivatedPlan  uint64 `json:"opened"`
	FilePlan       uint64 `json:"file_plan"`
	// DirectoryAgeMs is the age of the representative's directory, negative if there is none.
	DirectoryAgeMs float64        `json:"directory_ms"`
	Regions        []RegionReport `json:"regions"`
	Drops          DropCounters   `json:"dropped"`
}

// RegionReport is one region in a Report: the totals of the other cells, and the cells including this one.
type RegionReport struct {
	RegionTotals
	CellReports []CellReport `json:"rows"`
}

// CellReport is one cell in a Report. At a relay that is not the representative, most cells are known only
// through the totals of their region.
type CellReport struct {
	Name            string   `json:"cell"`
	OwnCell         bool     `json:"own,omitempty"`
	Known           bool     `json:"heard"` // a summary arrived recently
	AgeMs           float64  `json:"age_ms"`
	Representative  string   `json:"speaker"`
	Epoch           uint64   `json:"epoch"`
	Plan            uint64   `json:"plan"`
	PlanHash        string   `json:"plan_hash"`
	PlanMismatch    bool     `json:"mismatch"` // its plan has this cell's plan number but different contents
	JoinedPlan      uint64   `json:"entered"`
	Relays          int      `json:"relays"`
	ServingRelays   int      `json:"serving"`
	RequestRate     float64  `json:"per_s"`
	OpenConnections int      `json:"held"`
	DrainRate       float64  `json:"sent_per_s"`
	DepartedRelays  []string `json:"departed,omitempty"`
	Contact         string   `json:"contact"` // address to which the last summary was sent
}

// Report returns what the Coordinator knows.
func (c *Coordinator) Report(now time.Duration) Report {
	own, _ := c.plan.FindCell(c.cfg.Cell)
	report := Report{
		Cell:           c.cfg.Cell,
		Region:         own.Region,
		Representative: c.election.representative,
		Plan:           c.local.Plan,
		PlanHash:       formatHash(c.local.PlanHash),
		JoinedPlan:     c.local.JoinedPlan,
		ActivatedPlan:  c.activatedPlan,
		FilePlan:       c.plan.Number,
		DirectoryAgeMs: -1,
		Drops:          c.drops,
	}
	if c.directory.updatedAt >= 0 {
		report.DirectoryAgeMs = duration.Millis(now - c.directory.updatedAt)
	}
	for _, row := range c.knownRegions(now) {
		report.Regions = append(report.Regions, RegionReport{RegionTotals: row})
	}
	report.addCell(own.Region, c.ownReport())
	for _, name := range c.cellNames {
		r := c.remotes[name]
		report.addCell(r.region, c.cellReport(now, r))
	}
	return report
}

// addCell adds a cell to its region, or to the last region if the regions beyond MaxRegions are summed.
func (r *Report) addCell(region string, cell CellReport) {
	find := func(name string) int {
		return slices.IndexFunc(r.Regions, func(row RegionReport) bool { return row.Name == name })
	}
	i := find(region)
	if i < 0 {
		i = find(otherRegions)
	}
	if i < 0 {
		r.Regions = append(r.Regions, RegionReport{RegionTotals: RegionTotals{Name: region}})
		i = len(r.Regions) - 1
	}
	r.Regions[i].CellReports = append(r.Regions[i].CellReports, cell)
}

// ownReport returns the entry of this cell.
func (c *Coordinator) ownReport() CellReport {
	l := c.local
	return CellReport{
		Name:            c.cfg.Cell,
		OwnCell:         true,
		Known:           true,
		Representative:  c.election.representative,
		Epoch:           l.Epoch,
		Plan:            l.Plan,
		PlanHash:        formatHash(l.PlanHash),
		JoinedPlan:      l.JoinedPlan,
		Relays:          l.Members,
		ServingRelays:   l.ServingMembers,
		RequestRate:     l.RequestRate,
		OpenConnections: l.OpenConnections,
		DrainRate:       l.DrainRate,
		DepartedRelays:  l.DepartedRelays,
	}
}

// cellReport returns the entry of another cell.
func (c *Coordinator) cellReport(now time.Duration, r *remoteCell) CellReport {
	s := r.summary
	report := CellReport{
		Name:            r.name,
		Known:           !c.isUnknown(now, r),
		AgeMs:           -1,
		Representative:  s.Representative,
		Epoch:           s.Epoch,
		Plan:            s.Plan,
		PlanHash:        formatHash(s.PlanHash),
		PlanMismatch:    r.planMismatch,
		JoinedPlan:      s.JoinedPlan,
		Relays:          s.Members,
		ServingRelays:   s.ServingMembers,
		RequestRate:     s.RequestRate,
		OpenConnections: s.OpenConnections,
		DrainRate:       s.DrainRate,
		DepartedRelays:  s.DepartedRelays,
		Contact:         r.lastAddress,
	}
	if r.summaryAt >= 0 {
		report.AgeMs = duration.Millis(now - r.summaryAt)
	}
	return report
}

func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

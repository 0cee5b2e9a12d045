package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"capersail/internal/fleet/duration"
)

// Report is what one relay knows of the fleet, for operators.
type Report struct {
	Relay    string `json:"relay"`
	Site     string `json:"site"`
	Phase    string `json:"phase"`
	Epoch    uint64 `json:"epoch"`
	ViewHash string `json:"hash"`
	// SinceAgreedMs is the time since the view was last agreed, negative for never.
	SinceAgreedMs    float64           `json:"agreed_ms"`
	Relays           int               `json:"relays"` // in the fleet, as this relay counts them
	BudgetShare      float64           `json:"share"`  // part of a fleet-wide budget, 0 to 1
	ShareReason      string            `json:"why"`
	OtherRequestRate float64           `json:"others_per_s"` // negative if not known
	UnreleasedSlots  int               `json:"unclaimed"`    // number of slots that are not released
	Members          []MemberReport    `json:"members"`
	DroppedPackets   map[string]uint64 `json:"dropped"` // by reason
	Cell             *CellReport       `json:"cell,omitempty"`
}

// CellReport is what a relay of a cell knows of its plan.
type CellReport struct {
	Name           string   `json:"name"`
	Plan           uint64   `json:"plan"`
	PlanHash       string   `json:"plan_hash"`
	Activated      bool     `json:"open"`
	NearBudget     float64  `json:"near"`
	FarBudget      float64  `json:"far"`
	NearZones      []string `json:"near_zones"`
	FarBudgetShare float64  `json:"far_share"` // of this relay
	FilePlan       uint64   `json:"file_plan"`
	PendingReason  string   `json:"waits"`
}

// cellReport returns what the relay knows of its plan, nil without cells.
func (n *Node) cellReport(e FleetEstimate) *CellReport {
	a := n.view.Allocation
	if a == nil && n.plans.filePlan == nil {
		return nil
	}
	c := &CellReport{Name: n.plans.cell, PendingReason: n.PlanPending().String(),
		FarBudgetShare: e.FarBudgetShare}
	if n.plans.filePlan != nil {
		c.FilePlan = n.plans.filePlan.Number
	}
	if a != nil {
		c.Plan, c.PlanHash = a.Plan, strconv.FormatUint(a.PlanHash, 16)
		c.Activated, c.NearZones = a.Activated, a.NearZones
		c.NearBudget, c.FarBudget = fraction(a.NearBudget), fraction(a.FarBudget)
	}
	return c
}

// MemberReport describes one relay in a Report.
type MemberReport struct {
	Name             string  `json:"name"`
	State            string  `json:"state"` // "here" for this relay itself
	Lifecycle        string  `json:"doing"`
	Zone             string  `json:"zone"`
	Member           bool    `json:"member"` // whether it is a member of the view
	Voter            bool    `json:"voter"`
	BudgetShare      float64 `json:"share"`
	OutstandingLimit float64 `json:"bound"`    // what it may still take by an older view
	StateAgeMs       float64 `json:"since_ms"` // time in State
	Source           string  `json:"how"`
	Epoch            uint64  `json:"epoch"` // of the view that it reports to hold
	Incarnation      uint64  `json:"incarnation"`
	RequestRate      float64 `json:"per_s"`
	OpenConnections  int     `json:"held"`
}

// Report returns what the Node knows of the fleet. The driver of the Node fills in Site and DroppedPackets.
func (n *Node) Report(now time.Duration) Report {
	e := n.Estimate(now)
	report := Report{
		Relay:            n.cfg.Name,
		Phase:            e.Phase.String(),
		Epoch:            e.Epoch,
		ViewHash:         strconv.FormatUint(n.viewHash, 16),
		SinceAgreedMs:    -1,
		Relays:           e.Relays,
		BudgetShare:      e.BudgetShare,
		ShareReason:      e.ShareReason,
		OtherRequestRate: e.OtherRequestRate,
		UnreleasedSlots:  len(n.view.UnreleasedSlots),
		Cell:             n.cellReport(e),
	}
	if n.phases.agreedAt >= 0 {
		report.SinceAgreedMs = duration.Millis(now - n.phases.agreedAt)
	}
	own := n.memberReport(n.cfg.Name, n.status())
	own.State, own.Source, own.StateAgeMs = "here", "itself", duration.Millis(now-n.startedAt)
	report.Members = append(report.Members, own)
	for _, p := range n.peers.sorted {
		row := n.memberReport(p.Name, p.Status)
		row.State, row.Source, row.StateAgeMs = p.Health.String(), p.source(),
			duration.Millis(now-p.HealthSince)
		report.Members = append(report.Members, row)
	}
	for _, m := range n.view.Entries {
		if n.peers.byName[m.Name] == nil && m.Name != n.cfg.Name {
			row := n.memberReport(m.Name, Status{BootstrapSlot: -1})
			row.State, row.Source, row.StateAgeMs = HealthUnknown.String(), "the view",
				duration.Millis(now-n.startedAt)
			report.Members = append(report.Members, row)
		}
	}
	slices.SortFunc(report.Members, func(a, b MemberReport) int { return strings.Compare(a.Name, b.Name) })
	return report
}

// memberReport returns the report on a relay, made from the view held and from its status.
func (n *Node) memberReport(name string, status Status) MemberReport {
	m := n.view.Entry(name)
	return MemberReport{
		Name:             name,
		Lifecycle:        status.Lifecycle.String(),
		Zone:             status.Zone,
		Member:           m.IsMember,
		Voter:            slices.Contains(n.view.Voters, n.voterName(name, status.BootstrapSlot)),
		BudgetShare:      fraction(m.BudgetShare),
		OutstandingLimit: fraction(m.OutstandingLimit),
		Epoch:            status.Epoch,
		Incarnation:      status.Incarnation,
		RequestRate:      status.RequestRate,
		OpenConnections:  status.OpenConnections,
	}
}

// source says how this relay knows of a peer.
func (p *Peer) source() string {
	switch {
	case !p.hasStatus():
		return "failure detection, no status yet"
	case p.Health == HealthUnknown:
		return "its status, by gossip"
	}
	return "failure detection"
}

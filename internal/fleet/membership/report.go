package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"capersail/internal/fleet/duration"
)

// Report is what is known of the fleet at one relay, for operators.
type Report struct {
	Relay    string `json:"relay"`
	Site     string `json:"site"`
	Phase    string `json:"phase"`
	Epoch    uint64 `json:"epoch"`
	ViewHash string `json:"hash"`
	// SinceAgreedMs is since the view was agreed last, negative for never.
	SinceAgreedMs    float64           `json:"agreed_ms"`
	Relays           int               `json:"relays"` // in the fleet, as this relay counts them
	BudgetShare      float64           `json:"share"`  // of a budget of the fleet
	ShareReason      string            `json:"why"`
	OtherRequestRate float64           `json:"others_per_s"` // requests at the others, negative if not known
	UnreleasedSlots  int               `json:"unclaimed"`    // slots that their owners keep
	Members          []MemberReport    `json:"members"`
	DroppedPackets   map[string]uint64 `json:"dropped"` // packets, by reason
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
	FarBudgetShare float64  `json:"far_share"` // this relay's
	FilePlan       uint64   `json:"file_plan"`
	PendingReason  string   `json:"waits"`
}

// cellReport is what the relay knows of its plan; nil without cells.
func (n *Node) cellReport(e FleetEstimate) *CellReport {
	a := n.view.Allocation
	if a == nil && n.plans.file == nil {
		return nil
	}
	c := &CellReport{Name: n.plans.cell, PendingReason: n.PlanPending().String(),
		FarBudgetShare: e.FarBudgetShare}
	if n.plans.file != nil {
		c.FilePlan = n.plans.file.Number
	}
	if a != nil {
		c.Plan, c.PlanHash = a.Plan, strconv.FormatUint(a.PlanHash, 16)
		c.Activated, c.NearZones = a.Activated, a.NearZones
		c.NearBudget, c.FarBudget = fraction(a.NearBudget), fraction(a.FarBudget)
	}
	return c
}

// MemberReport is one relay in a Report.
type MemberReport struct {
	Name             string  `json:"name"`
	State            string  `json:"state"` // this relay's own: "here"
	Lifecycle        string  `json:"doing"`
	Zone             string  `json:"zone"`
	Member           bool    `json:"member"` // of the view
	Voter            bool    `json:"voter"`
	BudgetShare      float64 `json:"share"`
	OutstandingLimit float64 `json:"bound"`    // it may still take so much by an older view
	StateAgeMs       float64 `json:"since_ms"` // of the state
	Source           string  `json:"how"`
	Epoch            uint64  `json:"epoch"` // that it says it holds
	Incarnation      uint64  `json:"incarnation"`
	RequestRate      float64 `json:"per_s"`
	OpenConnections  int     `json:"held"`
}

// Report tells what the Node knows. Site and Dropped are its driver's to fill in.
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

// memberReport is a relay's row, by the view held and its status.
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

// source is how this relay knows of a peer.
func (p *Peer) source() string {
	switch {
	case !p.hasStatus():
		return "failure detection, no status yet"
	case p.Health == HealthUnknown:
		return "its status, by gossip"
	}
	return "failure detection"
}

package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"capersail/internal/fleet/duration"
)

// Report is what is known of the fleet at one relay, for people.
type Report struct {
	Relay            string            `json:"relay"`
	Site             string            `json:"site"`
	Phase            string            `json:"phase"`
	Epoch            uint64            `json:"epoch"`
	Hash             string            `json:"hash"`
	AgreedMs         float64           `json:"agreed_ms"` // since the view was agreed last, negative for never
	Relays           int               `json:"relays"`    // reckoned with
	BudgetShare      float64           `json:"share"`     // of a budget of the fleet
	ShareReason      string            `json:"why"`
	OtherRequestRate float64           `json:"others_per_s"` // requests at the others, negative if not known
	UnreleasedSlots  int               `json:"unclaimed"`    // places that their owners keep
	Members          []MemberReport    `json:"members"`
	Dropped          map[string]uint64 `json:"dropped"` // packets, by reason
	Cell             *CellReport       `json:"cell,omitempty"`
}

// CellReport is what a relay of a cell knows of its plan.
type CellReport struct {
	Name           string   `json:"name"`
	Plan           uint64   `json:"plan"`
	PlanHash       string   `json:"plan_hash"`
	Activated      bool     `json:"open"`
	Near           float64  `json:"near"`
	Far            float64  `json:"far"`
	NearZones      []string `json:"near_zones"`
	FarBudgetShare float64  `json:"far_share"` // this relay's
	FilePlan       uint64   `json:"file_plan"`
	Pending        string   `json:"waits"`
}

// cellReport returns nil without cells.
func (n *Node) cellReport(r FleetEstimate) *CellReport {
	a := n.view.Allocation
	if a == nil && n.plans.file == nil {
		return nil
	}
	c := &CellReport{Name: n.plans.cell, Pending: n.PlanPending().String(), FarBudgetShare: r.FarBudgetShare}
	if n.plans.file != nil {
		c.FilePlan = n.plans.file.Number
	}
	if a != nil {
		c.Plan, c.PlanHash, c.Activated, c.NearZones = a.Plan, strconv.FormatUint(a.PlanHash, 16), a.Activated, a.NearZones
		c.Near, c.Far = float64(a.Near)/float64(Whole), float64(a.Far)/float64(Whole)
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
	SinceMs          float64 `json:"since_ms"` // of the state
	Source           string  `json:"how"`
	Epoch            uint64  `json:"epoch"` // that it says it holds
	Incarnation      uint64  `json:"incarnation"`
	RequestRate      float64 `json:"per_s"`
	OpenConnections  int     `json:"held"`
}

// Report tells what the Node knows. Site and Dropped are its driver's to fill in.
func (n *Node) Report(now time.Duration) Report {
	r := n.Estimate(now)
	out := Report{Relay: n.cfg.Name, Phase: r.Phase.String(), Epoch: r.Epoch, Hash: strconv.FormatUint(n.viewHash, 16), AgreedMs: -1, Relays: r.Relays,
		BudgetShare: r.BudgetShare, ShareReason: r.ShareReason, OtherRequestRate: r.OtherRequestRate, UnreleasedSlots: len(n.view.UnreleasedSlots), Cell: n.cellReport(r)}
	if n.phases.agreedAt >= 0 {
		out.AgreedMs = duration.Millis(now - n.phases.agreedAt)
	}
	row := func(name, state, how string, since time.Duration, d Status) {
		s := n.view.Member(name)
		out.Members = append(out.Members, MemberReport{Name: name, State: state, Lifecycle: d.Lifecycle.String(), Zone: d.Zone, Member: s.In,
			Voter:       slices.Contains(n.view.Voters, n.voterName(name, d.BootstrapSlot)),
			BudgetShare: float64(s.BudgetShare) / float64(Whole), OutstandingLimit: float64(s.OutstandingLimit) / float64(Whole),
			SinceMs: duration.Millis(since), Source: how, Epoch: d.Epoch, Incarnation: d.Incarnation, RequestRate: d.RequestRate, OpenConnections: d.OpenConnections})
	}
	row(n.cfg.Name, "here", "itself", now-n.startedAt, n.status())
	for _, p := range n.peers.sorted {
		how := "failure detection"
		switch {
		case p.StatusAt < 0:
			how += ", no digest yet"
		case p.Health == Unknown:
			how = "its digest, passed on"
		}
		row(p.Name, p.Health.String(), how, now-p.HealthSince, p.Status)
	}
	for _, s := range n.view.Entries {
		if n.peers.byName[s.Name] == nil && s.Name != n.cfg.Name {
			row(s.Name, Unknown.String(), "the view", now-n.startedAt, Status{BootstrapSlot: -1})
		}
	}
	slices.SortFunc(out.Members, func(a, b MemberReport) int { return strings.Compare(a.Name, b.Name) })
	return out
}

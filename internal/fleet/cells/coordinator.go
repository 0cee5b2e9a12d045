package cells

import (
	"slices"
	"time"

	"capersail/internal/fleet/cellplan"
)

// maxCells limits the number of other cells: those of the plan file and those of the view's plan.
const maxCells = 2 * cellplan.MaxCells

// DropCounters count received messages that were dropped.
type DropCounters struct {
	Malformed   uint64 `json:"malformed"`
	UnknownCell uint64 `json:"unknown_cell"` // of a cell that no current plan names
	Stale       uint64 `json:"stale"`        // duplicated, or older than one already received
}

// Coordinator is one relay's part in the exchange between cells. It is not safe for concurrent use.
//
// Invariants: remotes holds exactly the other cells that a current plan names, and cellNames their names in
// sorted order; only the representative sends summaries and publishes directories; activatedPlan never
// decreases.
type Coordinator struct {
	cfg             Config
	plan            cellplan.Plan // of the plan file
	local           LocalCell
	localCellKnown  bool // a LocalCell has been received
	remotes         map[string]*remoteCell
	cellNames       []string
	election        election
	pacer           pacer
	summarySeq      uint64
	nextLostCheckAt time.Duration
	directory       directoryState
	activatedPlan   uint64 // 0 for none
	drops           DropCounters
}

// New returns a Coordinator that knows only its plan, which must have passed Check.
func New(now time.Duration, cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, remotes: map[string]*remoteCell{}, directory: directoryState{updatedAt: -1}}
	c.setPlan(now, cfg.Plan)
	return c
}

// Handle processes one event, appends the resulting actions to out and returns it.
func (c *Coordinator) Handle(now time.Duration, ev Event, out []Action) []Action {
	switch ev := ev.(type) {
	case LocalCell:
		out = c.updateLocalCell(now, ev, out)
	case SummaryReceived:
		out = c.receiveSummary(now, ev.Summary, out)
	case DirectoryReceived:
		out = c.receiveDirectory(now, ev.Directory, out)
	case PlanChanged:
		c.setPlan(now, ev.Plan)
		out = c.checkActivation(out)
	}
	if !c.election.isRepresentative {
		return out
	}
	out = c.detectLostCells(now, out)
	out = c.publishDirectoryDue(now, out)
	return c.sendSummaryDue(now, out)
}

// updateLocalCell processes a new state of the relay's own cell.
func (c *Coordinator) updateLocalCell(now time.Duration, l LocalCell, out []Action) []Action {
	before := c.local
	c.local = l
	if !slices.Equal(before.RequiredCells, l.RequiredCells) {
		c.updateKnownCells(now)
	}
	changed := !c.localCellKnown || !l.hasSameState(before)
	c.localCellKnown = true
	represented := c.election.isRepresentative
	out = c.electRepresentative(now, out)
	if represented && changed {
		c.expedite(now)
	}
	return c.checkActivation(out)
}

// hasSameState reports whether two LocalCells differ only in what need not be sent to other cells
// immediately.
func (l LocalCell) hasSameState(old LocalCell) bool {
	return l.Members == old.Members && l.Epoch == old.Epoch &&
		l.Plan == old.Plan && l.JoinedPlan == old.JoinedPlan
}

// setPlan replaces the plan of the plan file.
func (c *Coordinator) setPlan(now time.Duration, p cellplan.Plan) {
	c.plan = p
	c.updateKnownCells(now)
}

// updateKnownCells keeps the other cells that a current plan names and forgets all others. If the view names
// more cells than the maximum, none of them is kept, so that its plan is never activated here.
func (c *Coordinator) updateKnownCells(now time.Duration) {
	names := c.plan.CellNames()
	if len(c.local.RequiredCells) <= cellplan.MaxCells {
		names = append(names, c.local.RequiredCells...)
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == c.cfg.Cell })
	slices.Sort(names)
	c.cellNames = slices.Compact(names)
	for name := range c.remotes {
		if _, named := slices.BinarySearch(c.cellNames, name); !named {
			delete(c.remotes, name)
		}
	}
	for _, name := range c.cellNames {
		r := c.remotes[name]
		if r == nil {
			r = &remoteCell{name: name, summaryAt: -1, contactRotatedAt: now}
			c.remotes[name] = r
		}
		if cell, ok := c.plan.FindCell(name); ok {
			r.region, r.weight, r.planContacts = cell.Region, cell.Relays, cell.Contacts
		}
	}
	c.pacer.expeditedLeft = min(c.pacer.expeditedLeft, len(c.cellNames))
	c.directory.dirty = true
}

// receiveSummary processes a summary of another cell.
func (c *Coordinator) receiveSummary(now time.Duration, s Summary, out []Action) []Action {
	if s.Check() != nil {
		c.drops.Malformed++
		return out
	}
	r := c.remotes[s.Cell]
	if r == nil {
		c.drops.UnknownCell++
		return out
	}
	if to := c.forwardTarget(now); to != "" && !s.Forwarded {
		forwarded := s
		forwarded.Forwarded = true
		out = append(out, ForwardSummary{To: to, Summary: forwarded})
	}
	r.recordJoinedPlan(s)
	out = c.checkMismatch(r, s, out)
	out = c.checkActivation(out)
	return c.updateRemoteCell(now, r, s, out)
}

// updateRemoteCell replaces what is known of a cell by a summary if it is the newest.
func (c *Coordinator) updateRemoteCell(now time.Duration, r *remoteCell, s Summary, out []Action) []Action {
	unknown := c.isUnknown(now, r)
	fromOldView := s.Epoch < r.summary.Epoch && !unknown // from relays that still have an older view
	if !r.acceptSummary(now, s, unknown) || fromOldView {
		c.drops.Stale++
		return out
	}
	before := r.summary
	reappeared := r.summaryAt < 0 || r.reportedLost
	r.summary, r.summaryAt, r.contactIndex = s, now, 0
	if r.recordRepresentative(now, contactRotationRounds*c.round()) {
		out = append(out, CellChanged{Kind: RepresentativeChanged, Cell: r.name,
			Representative: s.Representative})
	}
	if _, ok := c.plan.FindCell(r.name); !ok {
		r.region = s.Region
	}
	if reappeared || before.Members != s.Members || before.ServingMembers != s.ServingMembers {
		c.directory.dirty = true
	}
	if c.election.isRepresentative {
		if r.sentElsewhere(s) {
			r.summaryDueEarly = true // the cell has a new representative that may know nothing yet
		}
		if r.reportedLost {
			c.expedite(now)
		}
	}
	if reappeared {
		r.reportedLost = false
		out = append(out, CellChanged{Kind: CellKnown, Cell: r.name, Representative: s.Representative})
	}
	return out
}

// detectLostCells reports cells from which no summary has arrived for too long.
func (c *Coordinator) detectLostCells(now time.Duration, out []Action) []Action {
	if now < c.nextLostCheckAt {
		return out
	}
	c.nextLostCheckAt = now + lostCheckInterval
	limit := UnknownAfterRounds * c.round()
	for _, name := range c.cellNames {
		r := c.remotes[name]
		since := max(r.summaryAt, c.election.representingSince)
		if !r.reportedLost && now-since > limit {
			r.reportedLost = true
			c.directory.dirty = true
			out = append(out, CellChanged{Kind: CellLost, Cell: name})
		}
	}
	return out
}

// summary returns a summary of this cell with the current sequence number.
func (c *Coordinator) summary() Summary {
	l := c.local
	own, _ := c.plan.FindCell(c.cfg.Cell)
	s := Summary{
		Cell:            c.cfg.Cell,
		Region:          own.Region,
		Representative:  c.cfg.Name,
		Incarnation:     c.cfg.Incarnation,
		Seq:             c.summarySeq,
		Epoch:           l.Epoch,
		Plan:            l.Plan,
		PlanHash:        l.PlanHash,
		JoinedPlan:      l.JoinedPlan,
		Bootstrapped:    l.Bootstrapped,
		Members:         l.Members,
		ServingMembers:  min(l.ServingMembers, l.Members),
		RequestRate:     l.RequestRate,
		OpenConnections: l.OpenConnections,
		DrainRate:       l.DrainRate,
	}
	for _, v := range l.Voters { // this relay is the first voter that is alive
		if (v.Alive || v.Name == c.cfg.Name) && v.Address != "" && len(s.Contacts) < MaxContacts {
			s.Contacts = append(s.Contacts, v.Address)
		}
	}
	left := maxDepartedBytes
	for _, name := range l.DepartedRelays {
		left -= len(name) + 2
		if left < 0 || len(s.DepartedRelays) == MaxDeparted {
			break
		}
		s.DepartedRelays = append(s.DepartedRelays, name)
	}
	return s
}

package cells

import (
	"slices"
	"time"

	"capersail/internal/fleet/cellplan"
)

// maxCells bounds the other cells that are kept: those of the file's plan and those of the view's.
const maxCells = 2 * cellplan.MaxCells

// DropCounters counts what came from elsewhere and was not taken.
type DropCounters struct {
	Malformed   uint64 `json:"malformed"`
	UnknownCell uint64 `json:"unknown_cell"` // not named in a plan in force
	Stale       uint64 `json:"stale"`        // doubled, or overtaken by a newer one
}

// Coordinator is one relay's part in what cells know of each other. It is not safe for concurrent use.
//
// Invariants: remotes has just the other cells that a plan in force names, cellNames their names in
// order; only the representative sends summaries and publishes directories; activatedPlan never falls.
type Coordinator struct {
	cfg             Config
	plan            cellplan.Plan // the file's
	local           LocalCell
	localCellKnown  bool // a LocalCell has come
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

// New returns a Coordinator that knows only its plan, which has to have passed Check.
func New(now time.Duration, cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, remotes: map[string]*remoteCell{}, directory: directoryState{updatedAt: -1}}
	c.setPlan(now, cfg.Plan)
	return c
}

// Handle takes one event in and appends what is to be done to out.
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

// updateLocalCell takes in what is known of this relay's own cell.
func (c *Coordinator) updateLocalCell(now time.Duration, l LocalCell, out []Action) []Action {
	before := c.local
	c.local = l
	if !slices.Equal(before.RequiredCells, l.RequiredCells) {
		c.retainNamedCells(now)
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

// hasSameState tells whether two LocalCells differ at most in what other cells need not know at once.
func (l LocalCell) hasSameState(old LocalCell) bool {
	return l.Members == old.Members && l.Epoch == old.Epoch &&
		l.Plan == old.Plan && l.JoinedPlan == old.JoinedPlan
}

// setPlan takes in the file's plan.
func (c *Coordinator) setPlan(now time.Duration, p cellplan.Plan) {
	c.plan = p
	c.retainNamedCells(now)
}

// retainNamedCells keeps the other cells that a plan in force names, and forgets all others. Of a view
// that names more cells than can be none is kept, so that its plan is never activated here.
func (c *Coordinator) retainNamedCells(now time.Duration) {
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

// receiveSummary takes in a summary.
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

// updateRemoteCell takes a summary's figures for the cell's, if it is the newest.
func (c *Coordinator) updateRemoteCell(now time.Duration, r *remoteCell, s Summary, out []Action) []Action {
	unknown := c.isUnknown(now, r)
	fromOldView := s.Epoch < r.summary.Epoch && !unknown // of a part of the cell that is behind
	if !r.acceptSummary(now, s, unknown) || fromOldView {
		c.drops.Stale++
		return out
	}
	before := r.summary
	returned := r.summaryAt < 0 || r.reportedLost
	r.summary, r.summaryAt, r.contactIndex = s, now, 0
	if r.announceRepresentative(now, contactRotationRounds*c.round()) {
		out = append(out, CellChanged{Kind: RepresentativeChanged, Cell: r.name,
			Representative: s.Representative})
	}
	if _, ok := c.plan.FindCell(r.name); !ok {
		r.region = s.Region
	}
	if returned || before.Members != s.Members || before.ServingMembers != s.ServingMembers {
		c.directory.dirty = true
	}
	if c.election.isRepresentative {
		if r.sentElsewhere(s) {
			r.expedited = true // its representative is another now, which may know nothing yet
		}
		if r.reportedLost {
			c.expedite(now)
		}
	}
	if returned {
		r.reportedLost = false
		out = append(out, CellChanged{Kind: CellKnown, Cell: r.name, Representative: s.Representative})
	}
	return out
}

// detectLostCells tells of cells that have become unknown.
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

// summary is this cell's, under the number drawn last.
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
	for _, v := range l.Voters { // this relay is the first that is alive
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

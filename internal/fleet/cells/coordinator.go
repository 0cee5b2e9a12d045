package cells

import (
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// maxCells bounds the other cells that are kept: those of the file's plan and those of the view's.
const maxCells = 2 * cellplan.MaxCells

// DropCounters counts what came from elsewhere and was not taken.
type DropCounters struct {
	Malformed uint64 `json:"malformed"`
	Unknown   uint64 `json:"unknown_cell"` // not named in a plan in force
	Stale     uint64 `json:"stale"`        // doubled, or overtaken by a newer one
}

// Coordinator is one relay's part in what cells know of each other. It is not safe for concurrent use.
type Coordinator struct {
	cfg        Config
	plan       cellplan.Plan
	local      LocalCell
	localKnown bool // a LocalCell has been told
	remotes    map[string]*remote
	cellNames  []string // the names of the other cells, sorted

	representative        string // of this cell, "" for none
	representing          bool
	representingSince     time.Duration
	otherRepresentative   string // another relay of this cell that speaks too
	otherRepresentativeAt time.Duration
	summarySeq            uint64 // of summaries
	pace                  pacer
	nextLostCheckAt       time.Duration // for cells that have become unheard

	directory        Directory     // the newest of this cell
	directoryAt      time.Duration // when it came or was published, negative for never
	directorySeen    []sequenceMark
	directorySeq     uint64
	nextDirectoryAt  time.Duration
	directoryDirty   bool            // something in it has changed
	inheritedRegions []RegionFigures // of the directory before this relay spoke
	activatedPlan    uint64
	drops            DropCounters
}

// New returns a Coordinator that knows only its plan, which has to have passed Check.
func New(now time.Duration, cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, remotes: map[string]*remote{}, directoryAt: -1}
	c.setPlan(now, cfg.Plan)
	return c
}

// Handle takes one event in and appends what is to be done.
func (c *Coordinator) Handle(now time.Duration, ev Event, out []Action) []Action {
	switch ev := ev.(type) {
	case LocalCell:
		out = c.setLocal(now, ev, out)
	case SummaryReceived:
		out = c.receiveSummary(now, ev.Summary, out)
	case DirectoryReceived:
		out = c.receiveDirectory(now, ev.Directory, out)
	case PlanChanged:
		c.setPlan(now, ev.Plan)
		out = c.checkActivation(out)
	}
	if !c.representing {
		return out
	}
	out = c.checkLost(now, out)
	out = c.publishDirectoryDue(now, out)
	return c.sendSummaryDue(now, out)
}

// setLocal takes in what is known of this relay's own cell.
func (c *Coordinator) setLocal(now time.Duration, l LocalCell, out []Action) []Action {
	before := c.local
	cellsChanged := !slices.Equal(before.Cells, l.Cells)
	c.local = l
	if cellsChanged {
		c.retainNamedCells(now)
	}
	changed := !c.localKnown || before.Members != l.Members || before.Epoch != l.Epoch || before.Plan != l.Plan || before.JoinedPlan != l.JoinedPlan
	c.localKnown = true
	spoke := c.representing
	out = c.electRepresentative(now, out)
	if spoke && changed {
		c.expedite(now)
	}
	return c.checkActivation(out)
}

// electRepresentative makes the first voter that is alive the speaker.
func (c *Coordinator) electRepresentative(now time.Duration, out []Action) []Action {
	speaker := ""
	for _, v := range c.local.Voters {
		if v.Alive || v.Name == c.cfg.Name {
			speaker = v.Name
			break
		}
	}
	if speaker == c.representative {
		return out
	}
	c.representative = speaker
	speaking := speaker == c.cfg.Name
	if speaking && !c.representing {
		c.becomeRepresentative(now)
	}
	c.representing = speaking
	return append(out, Changed{Kind: RepresentativeChanged, Cell: c.cfg.Cell, Representative: speaker})
}

// becomeRepresentative makes this relay the speaker: it starts in turn after its own cell's name, and tells all soon.
func (c *Coordinator) becomeRepresentative(now time.Duration) {
	c.representingSince = now
	c.inheritedRegions = c.directory.Regions
	c.directoryDirty = true
	c.nextDirectoryAt = now
	for _, r := range c.remotes {
		r.sentTo = ""
	}
	draw := rand.New(rand.NewPCG(c.cfg.Seed, c.cfg.Incarnation))
	c.pace.position, _ = slices.BinarySearch(c.cellNames, c.cfg.Cell)
	c.pace.position += len(c.cellNames) - 1 // sendNext goes one on
	c.pace.nextSummaryAt = now + duration.Scale(c.summaryInterval(), draw.Float64())
	c.expedite(now)
}

// setPlan takes in the file's plan.
func (c *Coordinator) setPlan(now time.Duration, p cellplan.Plan) {
	c.plan = p
	c.retainNamedCells(now)
}

// retainNamedCells keeps the other cells that a plan in force names, and forgets all others. Of a view that names more cells than can be
// none is kept, so that its plan is never opened here.
func (c *Coordinator) retainNamedCells(now time.Duration) {
	named := map[string]bool{}
	names := c.plan.Names()
	if len(c.local.Cells) <= cellplan.MaxCells {
		names = append(names, c.local.Cells...)
	}
	for _, name := range names {
		if name != c.cfg.Cell {
			named[name] = true
		}
	}
	for name := range c.remotes {
		if !named[name] {
			delete(c.remotes, name)
		}
	}
	c.cellNames = c.cellNames[:0]
	for name := range named {
		r := c.remotes[name]
		if r == nil {
			r = &remote{name: name, summaryAt: -1, rotatedAt: now}
			c.remotes[name] = r
		}
		if cell, ok := c.plan.Find(name); ok {
			r.region, r.weight, r.planContacts = cell.Region, cell.Relays, cell.Contacts
		}
		c.cellNames = append(c.cellNames, name)
	}
	slices.Sort(c.cellNames)
	c.pace.expeditedLeft = min(c.pace.expeditedLeft, len(c.cellNames))
	c.directoryDirty = true
}

// receiveSummary takes in a summary.
func (c *Coordinator) receiveSummary(now time.Duration, s Summary, out []Action) []Action {
	if s.Check() != nil {
		c.drops.Malformed++
		return out
	}
	r := c.remotes[s.Cell]
	if r == nil {
		c.drops.Unknown++
		return out
	}
	if to := c.forwardTarget(now); to != "" && !s.Forwarded {
		passed := s
		passed.Forwarded = true
		out = append(out, ForwardSummary{To: to, Summary: passed})
	}
	r.notePlans(s)
	out = c.checkMismatch(r, s, out)
	out = c.checkActivation(out)
	return c.updateFigures(now, r, s, out)
}

// forwardTarget is a relay of this cell that a summary is to be forwarded to: the speaker or, where two believe that they are, the
// other one; "" for none.
func (c *Coordinator) forwardTarget(now time.Duration) string {
	if !c.representing {
		return c.representative
	}
	if c.otherRepresentative != "" && now-c.otherRepresentativeAt <= UnknownAfterRounds*directoryInterval {
		return c.otherRepresentative
	}
	return ""
}

// updateFigures takes a summary's figures for the cell's, if it is the newest.
func (c *Coordinator) updateFigures(now time.Duration, r *remote, s Summary, out []Action) []Action {
	unheard := r.summaryAt < 0 || now-r.summaryAt > UnknownAfterRounds*c.round()
	older := s.Epoch < r.summary.Epoch && !unheard // of a part of the cell that is behind
	if !r.acceptSummary(now, s, unheard) || older {
		c.drops.Stale++
		return out
	}
	before := r.summary
	first := r.summaryAt < 0
	r.summary, r.summaryAt, r.contact = s, now, 0
	if r.announceRepresentative(now, contactRotationRounds*c.round()) {
		out = append(out, Changed{Kind: RepresentativeChanged, Cell: r.name, Representative: s.Representative})
	}
	if _, ok := c.plan.Find(r.name); !ok {
		r.region = s.Region
	}
	if first || r.lost || before.Members != s.Members || before.Serving != s.Serving {
		c.directoryDirty = true
	}
	if c.representing && len(s.Contacts) > 0 && r.sentTo != "" && r.sentTo != s.Contacts[0] {
		r.expedited = true // it has another speaker, which may know nothing yet
	}
	if c.representing && r.lost {
		c.expedite(now)
	}
	if first || r.lost {
		r.lost = false
		out = append(out, Changed{Kind: CellKnown, Cell: r.name, Representative: s.Representative})
	}
	return out
}

// checkLost tells of cells that have become unheard.
func (c *Coordinator) checkLost(now time.Duration, out []Action) []Action {
	if now < c.nextLostCheckAt {
		return out
	}
	c.nextLostCheckAt = now + lostCheckInterval
	limit := UnknownAfterRounds * c.round()
	for _, name := range c.cellNames {
		r := c.remotes[name]
		since := max(r.summaryAt, c.representingSince)
		if !r.lost && now-since > limit {
			r.lost = true
			c.directoryDirty = true
			out = append(out, Changed{Kind: CellLost, Cell: name})
		}
	}
	return out
}

// summary is this cell's, under the number drawn last.
func (c *Coordinator) summary() Summary {
	l := c.local
	own, _ := c.plan.Find(c.cfg.Cell)
	s := Summary{Cell: c.cfg.Cell, Region: own.Region, Representative: c.cfg.Name, Incarnation: c.cfg.Incarnation, Seq: c.summarySeq, Epoch: l.Epoch,
		Plan: l.Plan, PlanHash: l.PlanHash, JoinedPlan: l.JoinedPlan, Bootstrapped: l.Bootstrapped, Members: l.Members, Serving: min(l.Serving, l.Members), RequestRate: l.RequestRate, OpenConnections: l.OpenConnections, DrainRate: l.DrainRate}
	for _, v := range l.Voters { // this relay is the first that is alive
		if (v.Alive || v.Name == c.cfg.Name) && v.Address != "" && len(s.Contacts) < MaxContacts {
			s.Contacts = append(s.Contacts, v.Address)
		}
	}
	room := maxDepartedBytes
	for _, name := range l.Departed {
		if room -= len(name) + 2; room < 0 || len(s.Departed) == MaxDeparted {
			break
		}
		s.Departed = append(s.Departed, name)
	}
	return s
}

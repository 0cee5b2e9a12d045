package cells

import (
	"cmp"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// directoryInterval is the time between two directories if nothing changes.
	directoryInterval = 5 * time.Second
	// minDirectoryInterval is the minimum time between two directories, after a change. It allows 2.5 times
	// the usual packet rate.
	minDirectoryInterval = 2 * time.Second
	// otherRegions names the row that sums the regions beyond MaxRegions. It sorts after every usual name.
	otherRegions = "\x7e"
)

// directoryState is the newest directory of this cell and the schedule for publishing it. At the
// representative it is the directory that the relay itself published last.
type directoryState struct {
	newest           Directory
	updatedAt        time.Duration // when it was received or published, negative for never
	seenMarks        sequenceMarks // of received directories
	lastSeq          uint64        // of directories published by this relay
	nextPublishAt    time.Duration
	dirty            bool           // its contents have changed since it was published
	inheritedRegions []RegionTotals // of the last directory before this relay became representative
}

// publishDueAt returns when the next directory may be published.
func (d *directoryState) publishDueAt() time.Duration {
	if d.dirty {
		return d.nextPublishAt - directoryInterval + minDirectoryInterval
	}
	return d.nextPublishAt
}

// isOverdue reports whether no directory has been received or published for a long time.
func (d *directoryState) isOverdue(now time.Duration) bool {
	return d.updatedAt < 0 || now-d.updatedAt > UnknownAfterRounds*directoryInterval
}

// Totals are sums over the other cells.
type Totals struct {
	Relays, ServingRelays int
	RequestRate           float64
	OpenConnections       int
	DrainRate             float64
}

// OtherCellTotals returns the sums over the other cells, by what this relay knows; see knownRegions.
func (c *Coordinator) OtherCellTotals(now time.Duration) (sum Totals) {
	for _, r := range c.knownRegions(now) {
		sum.Relays += r.Relays
		sum.ServingRelays += r.ServingRelays
		sum.RequestRate += r.RequestRate
		sum.OpenConnections += r.OpenConnections
		sum.DrainRate += r.DrainRate
	}
	return sum
}

// knownRegions returns the totals of the other cells by region. The representative takes them from the
// summaries, any other relay from the representative's directory, or from the plan while it has no directory.
func (c *Coordinator) knownRegions(now time.Duration) []RegionTotals {
	if c.directory.updatedAt < 0 || c.election.isRepresentative {
		return c.regionTotals(now)
	}
	return c.directory.newest.Regions
}

// regionTotals sums the summaries by region. A cell that has never sent a summary counts with its relays in
// the plan. A region with such a cell counts at least as in the directory from before this relay became
// representative.
func (c *Coordinator) regionTotals(now time.Duration) []RegionTotals {
	regions := map[string]*RegionTotals{}
	incomplete := map[string]bool{}
	for _, name := range c.cellNames {
		r := c.remotes[name]
		if regions[r.region] == nil {
			regions[r.region] = &RegionTotals{Name: r.region}
		}
		if r.summaryAt < 0 {
			incomplete[r.region] = true
		}
		regions[r.region].add(c.cellTotals(now, r))
	}
	rows := make([]RegionTotals, 0, len(regions))
	for _, row := range regions {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b RegionTotals) int { return cmp.Compare(a.Name, b.Name) })
	for i := range rows {
		if incomplete[rows[i].Name] {
			rows[i].raiseTo(c.directory.inheritedRegions)
		}
	}
	return foldRegions(rows)
}

// cellTotals returns the figures of another cell from its last summary, or from the plan if there is none.
func (c *Coordinator) cellTotals(now time.Duration, r *remoteCell) RegionTotals {
	if r.summaryAt < 0 {
		return RegionTotals{Cells: 1, Relays: r.weight, ServingRelays: r.weight}
	}
	s := r.summary
	figures := RegionTotals{
		Cells: 1, Relays: s.Members, ServingRelays: s.ServingMembers,
		RequestRate: s.RequestRate, OpenConnections: s.OpenConnections, DrainRate: s.DrainRate,
	}
	if !c.isUnknown(now, r) {
		figures.KnownCells = 1
	}
	return figures
}

// isUnknown reports whether no summary of a cell has arrived for UnknownAfterRounds rounds.
func (c *Coordinator) isUnknown(now time.Duration, r *remoteCell) bool {
	return r.summaryAt < 0 || now-r.summaryAt > UnknownAfterRounds*c.round()
}

// add adds the figures of another cell or region.
func (r *RegionTotals) add(o RegionTotals) {
	r.Cells += o.Cells
	r.KnownCells += o.KnownCells
	r.Relays += o.Relays
	r.ServingRelays += o.ServingRelays
	r.RequestRate += o.RequestRate
	r.OpenConnections += o.OpenConnections
	r.DrainRate += o.DrainRate
}

// raiseTo raises each figure to at least that of the same region in inherited.
func (r *RegionTotals) raiseTo(inherited []RegionTotals) {
	i := slices.IndexFunc(inherited, func(o RegionTotals) bool { return o.Name == r.Name })
	if i < 0 {
		return
	}
	o := inherited[i]
	r.Relays = max(r.Relays, o.Relays)
	r.ServingRelays = max(r.ServingRelays, o.ServingRelays)
	r.RequestRate = max(r.RequestRate, o.RequestRate)
	r.OpenConnections = max(r.OpenConnections, o.OpenConnections)
	r.DrainRate = max(r.DrainRate, o.DrainRate)
}

// foldRegions sums the regions beyond MaxRegions into one row.
func foldRegions(rows []RegionTotals) []RegionTotals {
	if len(rows) <= MaxRegions {
		return rows
	}
	last := RegionTotals{Name: otherRegions}
	for _, row := range rows[MaxRegions-1:] {
		last.add(row)
	}
	return append(rows[:MaxRegions-1], last)
}

// readyToPublish reports whether a representative has a current summary of every cell, or has waited long
// enough for them.
func (c *Coordinator) readyToPublish(now time.Duration) bool {
	if now-c.election.representingSince >= duration.Scale(c.round(), readyToPublishAfterRounds) {
		return true
	}
	unknown := func(name string) bool { return c.isUnknown(now, c.remotes[name]) }
	return !slices.ContainsFunc(c.cellNames, unknown)
}

// publishDirectoryDue publishes the directory if it is due and complete enough.
func (c *Coordinator) publishDirectoryDue(now time.Duration, out []Action) []Action {
	d := &c.directory
	if now < d.publishDueAt() {
		return out
	}
	d.nextPublishAt = now + directoryInterval
	if !c.readyToPublish(now) { // dirty is set, so this is checked again after minDirectoryInterval
		return out
	}
	d.lastSeq++
	d.newest = Directory{
		Cell:           c.cfg.Cell,
		Representative: c.cfg.Name,
		Incarnation:    c.cfg.Incarnation,
		Seq:            d.lastSeq,
		Epoch:          c.local.Epoch,
		ActivatedPlan:  c.activatedPlan,
		Regions:        c.regionTotals(now),
	}
	d.updatedAt = now
	d.dirty = false
	return append(out, PublishDirectory{d.newest})
}

// receiveDirectory processes a directory of this cell's representative. Its activated plan counts even if the
// directory itself is stale.
func (c *Coordinator) receiveDirectory(now time.Duration, received Directory, out []Action) []Action {
	if received.Check() != nil || received.Cell != c.cfg.Cell {
		c.drops.Malformed++
		return out
	}
	if received.Representative == c.cfg.Name {
		return out
	}
	out = c.activatePlan(received.ActivatedPlan, out)
	d := &c.directory
	mark := sequenceMark{received.Representative, received.Incarnation, received.Seq, now}
	newer := d.seenMarks.isNewer(mark) && received.Epoch >= d.newest.Epoch
	if !newer && !d.isOverdue(now) {
		c.drops.Stale++
		return out
	}
	d.seenMarks.record(mark)
	if c.election.isRepresentative {
		c.election.otherRepresentative, c.election.otherDirectoryAt = received.Representative, now
		return out
	}
	d.newest, d.updatedAt = received, now
	return out
}

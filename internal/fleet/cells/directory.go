package cells

import (
	"cmp"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// directoryInterval is the time between two directories.
	directoryInterval = 5 * time.Second
	// minDirectoryInterval is the least, after a change: 2.5 times the packets of the rest.
	minDirectoryInterval = 2 * time.Second
	// otherRegions is the row in which regions beyond MaxRegions are summed; it sorts after every usual name.
	otherRegions = "\x7e"
)

// directoryState is the newest directory of this cell, this relay's own where it represents the cell, and
// the pace of publishing it.
type directoryState struct {
	newest           Directory
	updatedAt        time.Duration // when it came or was published, negative for never
	seenMarks        sequenceMarks // of those that came
	seq              uint64        // of this relay's own
	nextPublishAt    time.Duration
	dirty            bool           // something in it has changed since it was published
	inheritedRegions []RegionTotals // of the directory before this relay represented the cell
}

// publishDueAt is when the next directory may go.
func (d *directoryState) publishDueAt() time.Duration {
	if d.dirty {
		return d.nextPublishAt - directoryInterval + minDirectoryInterval
	}
	return d.nextPublishAt
}

// isOverdue tells whether no directory has come for long.
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

// OtherCellTotals are the other cells' figures by what this relay knows: see knownRegions.
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

// knownRegions are the other cells' figures by region: the representative's by the summaries, any other
// relay's by the representative's directory, and before there is one by the plan.
func (c *Coordinator) knownRegions(now time.Duration) []RegionTotals {
	if c.directory.updatedAt < 0 || c.election.isRepresentative {
		return c.regionTotals(now)
	}
	return c.directory.newest.Regions
}

// regionTotals sums the summaries by region. A cell that never sent a summary counts by the plan; where
// there is one, and the directory before this relay represented its cell tells more of the region, the
// region counts by that.
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

// cellTotals are one other cell's: its last, or those of the plan.
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

// isUnknown tells whether no summary of a cell has come for long.
func (c *Coordinator) isUnknown(now time.Duration, r *remoteCell) bool {
	return r.summaryAt < 0 || now-r.summaryAt > UnknownAfterRounds*c.round()
}

// add adds other figures of the same region.
func (r *RegionTotals) add(o RegionTotals) {
	r.Cells += o.Cells
	r.KnownCells += o.KnownCells
	r.Relays += o.Relays
	r.ServingRelays += o.ServingRelays
	r.RequestRate += o.RequestRate
	r.OpenConnections += o.OpenConnections
	r.DrainRate += o.DrainRate
}

// raiseTo raises the figures to those of the region's row among the inherited ones.
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

// foldRegions sums the regions beyond what a directory may have in one row.
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

// readyToPublish tells whether a representative has a summary of all cells, or has had the time to get them.
func (c *Coordinator) readyToPublish(now time.Duration) bool {
	if now-c.election.representingSince >= duration.Scale(c.round(), readyToPublishAfterRounds) {
		return true
	}
	unknown := func(name string) bool { return c.isUnknown(now, c.remotes[name]) }
	return !slices.ContainsFunc(c.cellNames, unknown)
}

// publishDirectoryDue publishes the directory, if it is due and tells enough.
func (c *Coordinator) publishDirectoryDue(now time.Duration, out []Action) []Action {
	d := &c.directory
	if now < d.publishDueAt() {
		return out
	}
	d.nextPublishAt = now + directoryInterval
	if !c.readyToPublish(now) { // checked again after minDirectoryInterval, as it is dirty
		return out
	}
	d.seq++
	d.newest = Directory{
		Cell:           c.cfg.Cell,
		Representative: c.cfg.Name,
		Incarnation:    c.cfg.Incarnation,
		Seq:            d.seq,
		Epoch:          c.local.Epoch,
		ActivatedPlan:  c.activatedPlan,
		Regions:        c.regionTotals(now),
	}
	d.updatedAt = now
	d.dirty = false
	return append(out, PublishDirectory{d.newest})
}

// receiveDirectory takes in a directory of this cell's representative. That a plan is activated counts
// whenever it comes.
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

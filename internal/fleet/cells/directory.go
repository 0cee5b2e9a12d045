package cells

import (
	"cmp"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	directoryInterval    = 5 * time.Second
	minDirectoryInterval = 2 * time.Second // at least, after a change: 2.5 times the rest's
	otherRegions         = "\x7e"          // the row in which regions beyond MostRegions are summed; sorts after every usual name
)

// Figures are sums over the other cells.
type Figures struct {
	Relays, Serving int
	RequestRate     float64
	OpenConnections int
	DrainRate       float64
}

// Others are the other cells' figures by what this relay knows: the speaker by the summaries, any other by the speaker's directory, and
// before there is one by the plan.
func (c *Coordinator) Others(now time.Duration) (sum Figures) {
	rows := c.directory.Regions
	if c.directoryAt < 0 || c.representing {
		rows = c.regionRows(now)
	}
	for _, r := range rows {
		sum.Relays += r.Relays
		sum.Serving += r.Serving
		sum.RequestRate += r.RequestRate
		sum.OpenConnections += r.OpenConnections
		sum.DrainRate += r.DrainRate
	}
	return sum
}

// regionRows sums the summaries by region. A cell that was never heard is reckoned with by the plan; where there is one, and the directory
// before this relay spoke tells more of its region, with that.
func (c *Coordinator) regionRows(now time.Duration) []RegionFigures {
	regions := map[string]*RegionFigures{}
	unknown := map[string]bool{}
	for _, name := range c.cellNames {
		r := c.remotes[name]
		row := regions[r.region]
		if row == nil {
			row = &RegionFigures{Name: r.region}
			regions[r.region] = row
		}
		row.Cells++
		if r.summaryAt < 0 {
			unknown[r.region] = true
			row.Relays += r.weight
			row.Serving += r.weight
			continue
		}
		if !c.isUnknown(now, r) {
			row.Known++
		}
		s := r.summary
		row.add(RegionFigures{Relays: s.Members, Serving: s.Serving, RequestRate: s.RequestRate, OpenConnections: s.OpenConnections, DrainRate: s.DrainRate})
	}
	rows := make([]RegionFigures, 0, len(regions))
	for _, row := range regions {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b RegionFigures) int { return cmp.Compare(a.Name, b.Name) })
	for i := range rows {
		if unknown[rows[i].Name] {
			rows[i].atLeast(c.inheritedRegions)
		}
	}
	return foldRegions(rows)
}

// isUnknown tells whether nothing has been heard of a cell for long.
func (c *Coordinator) isUnknown(now time.Duration, r *remote) bool {
	return r.summaryAt < 0 || now-r.summaryAt > UnknownAfterRounds*c.round()
}

func (r *RegionFigures) add(o RegionFigures) {
	r.Cells += o.Cells
	r.Known += o.Known
	r.Relays += o.Relays
	r.Serving += o.Serving
	r.RequestRate += o.RequestRate
	r.OpenConnections += o.OpenConnections
	r.DrainRate += o.DrainRate
}

// atLeast raises the figures to those of the region's row among the inherited ones.
func (r *RegionFigures) atLeast(inherited []RegionFigures) {
	i := slices.IndexFunc(inherited, func(o RegionFigures) bool { return o.Name == r.Name })
	if i < 0 {
		return
	}
	o := inherited[i]
	r.Relays = max(r.Relays, o.Relays)
	r.Serving = max(r.Serving, o.Serving)
	r.RequestRate = max(r.RequestRate, o.RequestRate)
	r.OpenConnections = max(r.OpenConnections, o.OpenConnections)
	r.DrainRate = max(r.DrainRate, o.DrainRate)
}

// foldRegions sums the regions beyond what a directory may have in one row.
func foldRegions(rows []RegionFigures) []RegionFigures {
	if len(rows) <= MaxRegions {
		return rows
	}
	last := RegionFigures{Name: otherRegions}
	for _, row := range rows[MaxRegions-1:] {
		last.add(row)
	}
	return append(rows[:MaxRegions-1], last)
}

// informed tells whether a speaker has heard of all cells, or has had the time to.
func (c *Coordinator) informed(now time.Duration) bool {
	if now-c.representingSince >= duration.Scale(c.round(), informedAfterRounds) {
		return true
	}
	return !slices.ContainsFunc(c.cellNames, func(name string) bool { return c.isUnknown(now, c.remotes[name]) })
}

// directoryDue is when the next directory may go.
func (c *Coordinator) directoryDue() time.Duration {
	due := c.nextDirectoryAt
	if c.directoryDirty {
		due = min(due, c.nextDirectoryAt-directoryInterval+minDirectoryInterval)
	}
	return due
}

func (c *Coordinator) publishDirectoryDue(now time.Duration, out []Action) []Action {
	if now < c.directoryDue() {
		return out
	}
	if !c.informed(now) {
		c.nextDirectoryAt = now + directoryInterval // looked at again after the gap, as it is dirty
		return out
	}
	c.directorySeq++
	c.directory = Directory{Cell: c.cfg.Cell, Representative: c.cfg.Name, Incarnation: c.cfg.Incarnation, Seq: c.directorySeq, Epoch: c.local.Epoch,
		ActivatedPlan: c.activatedPlan, Regions: c.regionRows(now)}
	c.directoryAt = now
	c.directoryDirty = false
	c.nextDirectoryAt = now + directoryInterval
	return append(out, PublishDirectory{c.directory})
}

// receiveDirectory takes in a directory of this cell's speaker. That a plan is open counts whenever it comes.
func (c *Coordinator) receiveDirectory(now time.Duration, d Directory, out []Action) []Action {
	if d.Check() != nil || d.Cell != c.cfg.Cell {
		c.drops.Malformed++
		return out
	}
	if d.Representative == c.cfg.Name {
		return out
	}
	out = c.activatePlan(d.ActivatedPlan, out)
	said := sequenceMark{d.Representative, d.Incarnation, d.Seq, now}
	silent := c.directoryAt < 0 || now-c.directoryAt > UnknownAfterRounds*directoryInterval
	i := slices.IndexFunc(c.directorySeen, func(m sequenceMark) bool { return m.representative == d.Representative })
	if i >= 0 && !c.directorySeen[i].less(said) && !silent || d.Epoch < c.directory.Epoch && !silent {
		c.drops.Stale++
		return out
	}
	if i >= 0 {
		c.directorySeen = slices.Delete(c.directorySeen, i, i+1)
	} else if len(c.directorySeen) == maxRepresentatives {
		c.directorySeen = slices.Delete(c.directorySeen, 0, 1)
	}
	c.directorySeen = append(c.directorySeen, said)
	if c.representing {
		c.otherRepresentative, c.otherRepresentativeAt = d.Representative, now
		return out
	}
	c.directory, c.directoryAt = d, now
	return out
}

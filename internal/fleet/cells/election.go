package cells

import (
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// election is who represents this cell: the first voter that is alive, by each relay's own belief. Two
// may believe that they are it for a while, which costs packets and nothing else.
type election struct {
	representative      string        // "" for none
	isRepresentative    bool          // this relay is it
	representingSince   time.Duration // this relay became it, the last time
	otherRepresentative string        // another relay of this cell that represents it too, "" for none
	otherDirectoryAt    time.Duration // when its directory came
}

// electRepresentative makes the first voter that is alive the representative.
func (c *Coordinator) electRepresentative(now time.Duration, out []Action) []Action {
	elected := ""
	isAlive := func(v Voter) bool { return v.Alive || v.Name == c.cfg.Name }
	if i := slices.IndexFunc(c.local.Voters, isAlive); i >= 0 {
		elected = c.local.Voters[i].Name
	}
	if elected == c.election.representative {
		return out
	}
	c.election.representative = elected
	representing := elected == c.cfg.Name
	if representing && !c.election.isRepresentative {
		c.becomeRepresentative(now)
	}
	c.election.isRepresentative = representing
	return append(out, CellChanged{Kind: RepresentativeChanged, Cell: c.cfg.Cell, Representative: elected})
}

// becomeRepresentative makes this relay the representative: it starts in turn after its own cell's name,
// and tells all soon.
func (c *Coordinator) becomeRepresentative(now time.Duration) {
	c.election.representingSince = now
	c.directory.inheritedRegions = c.directory.newest.Regions
	c.directory.dirty = true
	c.directory.nextPublishAt = now
	for _, r := range c.remotes {
		r.lastAddress = ""
	}
	draw := rand.New(rand.NewPCG(c.cfg.Seed, c.cfg.Incarnation))
	own, _ := slices.BinarySearch(c.cellNames, c.cfg.Cell)
	c.pacer.position = own + len(c.cellNames) - 1 // nextInTurn goes one on
	c.pacer.nextSummaryAt = now + duration.Scale(c.summaryInterval(), draw.Float64())
	c.expedite(now)
}

// forwardTarget is a relay of this cell that a summary is to be forwarded to: the representative or,
// where two believe that they are it, the other one; "" for none.
func (c *Coordinator) forwardTarget(now time.Duration) string {
	e := c.election
	if !e.isRepresentative {
		return e.representative
	}
	if e.otherRepresentative != "" && now-e.otherDirectoryAt <= UnknownAfterRounds*directoryInterval {
		return e.otherRepresentative
	}
	return ""
}

package cells

import (
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// election is the state of choosing the representative: the first voter that this relay believes to be alive.
// For a while two relays may each believe to be the representative, which costs extra packets and has no
// other effect.
type election struct {
	representative      string        // "" for none
	isRepresentative    bool          // whether this relay is the representative
	representingSince   time.Duration // when this relay last became the representative
	otherRepresentative string        // another relay of this cell that acts as representative, "" for none
	otherDirectoryAt    time.Duration // when its last directory arrived
}

// electRepresentative chooses the first voter that is alive.
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

// becomeRepresentative starts this relay's work as representative. Its first round is expedited, and begins
// with the cell that follows its own by name.
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
	c.pacer.lastIndex = own + len(c.cellNames) - 1 // nextInTurn advances it by one
	c.pacer.nextSummaryAt = now + duration.Scale(c.summaryInterval(), draw.Float64())
	c.expedite(now)
}

// forwardTarget returns the relay of this cell to which a summary is to be forwarded: the representative or,
// if this relay and another one both act as representative, the other one. It returns "" for none.
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

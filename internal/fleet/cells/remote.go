package cells

import (
	"slices"
	"time"
)

const (
	maxRepresentatives = 4 // whose numbers are remembered of a cell
	maxPlanJoins       = 4 // of a cell, to have entered a plan
)

// remote is what is known of another cell.
type remote struct {
	name         string
	region       string
	weight       int // its relays by the plan
	planContacts []string

	summaryAt time.Duration // when summary came, negative for never
	lost      bool
	summary   Summary        // the newest
	seen      []sequenceMark // of its speakers, the one heard last at the end
	lastStale sequenceMark   // the last number that was too old; see accept

	joinedThrough uint64 // it has been through all plans up to this one
	planJoins     []planJoin
	mismatch      bool

	contact                 int // index in addresses()
	rotatedAt               time.Duration
	sentTo                  string // the last address, "" for none since this relay speaks
	expedited               bool   // its summary is due out of turn
	sentEarly               bool   // it was told out of turn since its last turn
	announcedRepresentative string // the speaker that people were told of
}

// sequenceMark is the highest number heard of a speaker.
type sequenceMark struct {
	representative string
	incarnation    uint64
	seq            uint64
	receivedAt     time.Duration // when it was heard
}

func (m sequenceMark) less(o sequenceMark) bool {
	return m.incarnation < o.incarnation || m.incarnation == o.incarnation && m.seq < o.seq
}

// planJoin is a cell's word that nobody there acts by an earlier plan than this one, and the table that it has under the number.
type planJoin struct {
	plan, hash   uint64
	bootstrapped bool // by the plan: the cell has come from no earlier one
}

// addresses are where the cell may be reached: what it told itself before what the plan says.
func (r *remote) addresses() []string {
	all := slices.Clone(r.summary.Contacts)
	for _, address := range r.planContacts {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// address is where the next summary goes, "" if there is nowhere. Another contact is tried when nothing has been heard for two
// rounds, and then each round; each time, while nothing has been heard since this relay speaks: the cell doesn't know its address yet.
func (r *remote) address(now, round, speakingSince time.Duration) string {
	all := r.addresses()
	if len(all) == 0 {
		return ""
	}
	silent := now-r.summaryAt > contactRotationRounds*round && now-r.rotatedAt >= round
	if silent || r.summaryAt < speakingSince && r.sentTo != "" {
		r.contact++
		r.rotatedAt = now
	}
	return all[r.contact%len(all)]
}

// acceptSummary tells whether a summary is newer than what is known of its speaker, and notes it. A speaker that has lost its numbers
// would never be newer: once nothing has been heard of the cell for a while, a speaker whose old numbers rise is taken as it is.
func (r *remote) acceptSummary(now time.Duration, s Summary, unheard bool) bool {
	said := sequenceMark{s.Representative, s.Incarnation, s.Seq, now}
	i := slices.IndexFunc(r.seen, func(m sequenceMark) bool { return m.representative == s.Representative })
	if i >= 0 && !r.seen[i].less(said) {
		rises := r.lastStale.representative == s.Representative && r.lastStale.less(said)
		r.lastStale = said
		if !unheard || !rises {
			return false
		}
	}
	if i >= 0 {
		r.seen = slices.Delete(r.seen, i, i+1)
	} else if len(r.seen) == maxRepresentatives {
		r.seen = slices.Delete(r.seen, 0, 1)
	}
	r.seen = append(r.seen, said)
	r.lastStale = sequenceMark{}
	return true
}

// announceRepresentative tells whether the cell is to be told as having another speaker: the one told before has been silent for a while. Two that
// speak at once would be told each time.
func (r *remote) announceRepresentative(now, silence time.Duration) bool {
	speaker := r.summary.Representative
	if speaker == r.announcedRepresentative {
		return false
	}
	heardLately := func(m sequenceMark) bool {
		return m.representative == r.announcedRepresentative && now-m.receivedAt <= silence
	}
	if slices.ContainsFunc(r.seen, heardLately) {
		return false
	}
	first := r.announcedRepresentative == ""
	r.announcedRepresentative = speaker
	return !first
}

// notePlans keeps what a summary tells of plans entered. It is true whenever it comes, so that also an old summary counts, and nothing
// takes it back. A cell enters a plan only after the one before has been opened, by all cells with one table, so that whoever is in
// a later plan has been through the earlier ones.
func (r *remote) notePlans(s Summary) {
	if s.JoinedPlan == 0 {
		return
	}
	if s.Plan > s.JoinedPlan {
		r.joinedThrough = max(r.joinedThrough, s.JoinedPlan)
		return
	}
	r.joinedThrough = max(r.joinedThrough, s.JoinedPlan-1)
	said := planJoin{s.JoinedPlan, s.PlanHash, s.Bootstrapped}
	r.planJoins = slices.DeleteFunc(r.planJoins, func(c planJoin) bool { return c.plan <= r.joinedThrough })
	if said.plan <= r.joinedThrough || slices.Contains(r.planJoins, said) {
		return
	}
	if len(r.planJoins) == maxPlanJoins {
		r.planJoins = slices.Delete(r.planJoins, 0, 1)
	}
	r.planJoins = append(r.planJoins, said)
}

// joined tells whether the cell is known to have joined a plan with this table.
func (r *remote) joined(plan, hash uint64) bool {
	return r.joinedThrough >= plan || slices.ContainsFunc(r.planJoins, func(c planJoin) bool { return c.plan == plan && c.hash == hash })
}

// continued tells whether the cell is known to have come into a plan with this table from the plan before.
func (r *remote) continued(plan, hash uint64) bool {
	return r.joinedThrough >= plan || slices.Contains(r.planJoins, planJoin{plan, hash, false})
}

package cells

import (
	"slices"
	"time"
)

// maxPlanJoins is how many of a cell's words to have joined a plan are remembered.
const maxPlanJoins = 4

// remoteCell is what is known of another cell.
type remoteCell struct {
	name         string
	region       string
	weight       int // its relays by the plan
	planContacts []string

	summary      Summary       // the newest
	summaryAt    time.Duration // when it came, negative for never
	reportedLost bool          // it was reported as lost
	seenMarks    sequenceMarks
	lastRejected sequenceMark // the last that was not newer; see acceptSummary

	joinedThrough uint64 // it has been through all plans up to this one
	planJoins     []planJoin
	planMismatch  bool // it was reported as having another table

	contactIndex            int // index in addresses()
	contactRotatedAt        time.Duration
	lastAddress             string // the last address, "" for none since this relay represents its cell
	expedited               bool   // its summary is due out of turn
	sentOutOfTurn           bool   // it got one out of turn since its last turn
	announcedRepresentative string // that was reported last
}

// planJoin is a cell's word that nobody there acts by an earlier plan than this one, and the table that
// it has under the number.
type planJoin struct {
	plan, hash   uint64
	bootstrapped bool // by the plan: the cell has come from no earlier one
}

// addresses are where the cell may be reached: what it says itself before what the plan says.
func (r *remoteCell) addresses() []string {
	all := slices.Clone(r.summary.Contacts)
	for _, address := range r.planContacts {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// sentElsewhere tells whether the last summary went to another address than that of a summary's sender.
func (r *remoteCell) sentElsewhere(s Summary) bool {
	return len(s.Contacts) > 0 && r.lastAddress != "" && r.lastAddress != s.Contacts[0]
}

// nextAddress is where the next summary goes, "" if there is nowhere. Another contact is taken when nothing
// has been heard for two rounds, and then each round; each time, while nothing has been heard since this
// relay represents its cell: the other cell doesn't know its nextAddress yet.
func (r *remoteCell) nextAddress(now, round, representingSince time.Duration) string {
	all := r.addresses()
	if len(all) == 0 {
		return ""
	}
	silent := now-r.summaryAt > contactRotationRounds*round && now-r.contactRotatedAt >= round
	unanswered := r.summaryAt < representingSince && r.lastAddress != ""
	if silent || unanswered {
		r.contactIndex++
		r.contactRotatedAt = now
	}
	return all[r.contactIndex%len(all)]
}

// acceptSummary tells whether a summary is newer than what is known of its representative, and notes it.
// A representative that has lost its numbers would never be newer: once the cell is unknown, one whose
// old numbers rise is taken as it is.
func (r *remoteCell) acceptSummary(now time.Duration, s Summary, unknown bool) bool {
	mark := sequenceMark{s.Representative, s.Incarnation, s.Seq, now}
	if !r.seenMarks.isNewer(mark) {
		rises := r.lastRejected.representative == s.Representative && r.lastRejected.less(mark)
		r.lastRejected = mark
		if !unknown || !rises {
			return false
		}
	}
	r.seenMarks.record(mark)
	r.lastRejected = sequenceMark{}
	return true
}

// announceRepresentative tells whether it is to be reported that the cell has another representative:
// the one announced before has been silent for a while. Two that represent it at once would be announced
// each time.
func (r *remoteCell) announceRepresentative(now, silence time.Duration) bool {
	current := r.summary.Representative
	if current == r.announcedRepresentative {
		return false
	}
	heardLately := func(m sequenceMark) bool {
		return m.representative == r.announcedRepresentative && now-m.receivedAt <= silence
	}
	if slices.ContainsFunc(r.seenMarks, heardLately) {
		return false
	}
	first := r.announcedRepresentative == ""
	r.announcedRepresentative = current
	return !first
}

// recordJoinedPlan keeps what a summary tells of plans joined. It is true whenever it comes, so that also an old
// summary counts, and nothing takes it back. A cell joins a plan only after the one before has been
// activated, by all cells with one table, so that whoever is in a later plan has been through the earlier
// ones.
func (r *remoteCell) recordJoinedPlan(s Summary) {
	if s.JoinedPlan == 0 {
		return
	}
	if s.Plan > s.JoinedPlan {
		r.joinedThrough = max(r.joinedThrough, s.JoinedPlan)
		return
	}
	r.joinedThrough = max(r.joinedThrough, s.JoinedPlan-1)
	join := planJoin{s.JoinedPlan, s.PlanHash, s.Bootstrapped}
	r.planJoins = slices.DeleteFunc(r.planJoins, func(j planJoin) bool { return j.plan <= r.joinedThrough })
	if join.plan <= r.joinedThrough || slices.Contains(r.planJoins, join) {
		return
	}
	if len(r.planJoins) == maxPlanJoins {
		r.planJoins = slices.Delete(r.planJoins, 0, 1)
	}
	r.planJoins = append(r.planJoins, join)
}

// hasJoined tells whether the cell is known to have hasJoined a plan with this table.
func (r *remoteCell) hasJoined(plan, hash uint64) bool {
	byTable := func(j planJoin) bool { return j.plan == plan && j.hash == hash }
	return r.joinedThrough >= plan || slices.ContainsFunc(r.planJoins, byTable)
}

// hasContinuedInto tells whether the cell is known to have come into a plan with this table from the plan before.
func (r *remoteCell) hasContinuedInto(plan, hash uint64) bool {
	return r.joinedThrough >= plan || slices.Contains(r.planJoins, planJoin{plan, hash, false})
}

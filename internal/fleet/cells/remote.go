package cells

import (
	"slices"
	"time"
)

// maxPlanJoins is the number of plan joins remembered per cell.
const maxPlanJoins = 4

// remoteCell is what is known of another cell.
type remoteCell struct {
	name         string
	region       string
	weight       int // number of its relays in the plan
	planContacts []string

	summary      Summary       // the newest one received
	summaryAt    time.Duration // when summary arrived, negative for never
	reportedLost bool
	seenMarks    sequenceMarks
	lastRejected sequenceMark // the last mark that was not newer; see acceptSummary

	joinedThrough uint64 // the cell has joined all plans up to this number
	planJoins     []planJoin
	planMismatch  bool // a PlanMismatch was reported

	contactIndex            int // in addresses()
	contactRotatedAt        time.Duration
	lastAddress             string // last destination, "" for none since this relay became representative
	summaryDueEarly         bool   // its next summary is due out of turn
	sentOutOfTurn           bool   // it was sent a summary out of turn since its last turn
	announcedRepresentative string // the representative that was reported last
}

// planJoin records a cell's statement that none of its relays acts by an earlier plan, with the hash of the
// plan's contents at that cell.
type planJoin struct {
	plan, hash   uint64
	bootstrapped bool // the cell was bootstrapped with the plan and has joined no earlier one
}

// addresses returns the addresses of the cell: first the contacts of its last summary, then those of the
// plan.
func (r *remoteCell) addresses() []string {
	all := slices.Clone(r.summary.Contacts)
	for _, address := range r.planContacts {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// sentElsewhere reports whether the last summary went to an address other than that of the sender of s.
func (r *remoteCell) sentElsewhere(s Summary) bool {
	return len(s.Contacts) > 0 && r.lastAddress != "" && r.lastAddress != s.Contacts[0]
}

// nextAddress returns the address for the next summary, or "" if there is none. It moves on to the next
// contact once the cell has been silent for two rounds, and then once per round. It moves on each time as
// long as nothing has arrived since this relay became representative, because the other cell does not know
// this relay's address yet.
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

// acceptSummary reports whether a summary is newer than those received from its representative, and records
// it. A representative that has lost its sequence numbers would never be accepted again. Therefore, once the
// cell is unknown, a summary with an old number is accepted if it is higher than the one rejected before.
func (r *remoteCell) acceptSummary(now time.Duration, s Summary, unknown bool) bool {
	mark := sequenceMark{s.Representative, s.Incarnation, s.Seq, now}
	if !r.seenMarks.isNewer(mark) {
		rises := r.lastRejected.representative == s.Representative && r.lastRejected.isBefore(mark)
		r.lastRejected = mark
		if !unknown || !rises {
			return false
		}
	}
	r.seenMarks.record(mark)
	r.lastRejected = sequenceMark{}
	return true
}

// recordRepresentative records the sender of the last summary as the cell's representative, and reports
// whether the change is to be announced; the first representative is not. It waits until the representative
// announced before has been silent for a while; otherwise two relays that act as representative at the same
// time would be announced alternately.
func (r *remoteCell) recordRepresentative(now, silence time.Duration) bool {
	current := r.summary.Representative
	if current == r.announcedRepresentative {
		return false
	}
	heardRecently := func(m sequenceMark) bool {
		return m.representative == r.announcedRepresentative && now-m.receivedAt <= silence
	}
	if slices.ContainsFunc(r.seenMarks, heardRecently) {
		return false
	}
	first := r.announcedRepresentative == ""
	r.announcedRepresentative = current
	return !first
}

// recordJoinedPlan records the plan that a cell has joined, according to a summary. The statement remains
// true, so it counts even in an old summary, and nothing revokes it. A cell joins a plan only after
// the previous one was activated, and so joined by all cells with the same contents; a cell in a later plan
// has therefore joined all earlier ones.
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

// hasJoined reports whether the cell is known to have joined a plan with this hash.
func (r *remoteCell) hasJoined(plan, hash uint64) bool {
	matches := func(j planJoin) bool { return j.plan == plan && j.hash == hash }
	return r.joinedThrough >= plan || slices.ContainsFunc(r.planJoins, matches)
}

// hasContinuedInto reports whether the cell is known to have joined a plan with this hash from the previous
// plan.
func (r *remoteCell) hasContinuedInto(plan, hash uint64) bool {
	return r.joinedThrough >= plan || slices.Contains(r.planJoins, planJoin{plan, hash, false})
}

package probing

import (
	"cmp"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// acceptReading processes a reading that a peer has passed on, and emits a reading to use if it is
// corroborated. It returns why the reading is dropped, or "" if it is used or was already known.
func (sc *Scheduler) acceptReading(r Reading) DropReason {
	if r.Origin == sc.self {
		return ""
	}
	s, o := sc.servers[r.ServerKey], sc.relays[r.Origin]
	if reason := checkReading(r, s, o); reason != "" {
		return reason
	}
	age := o.estimateAge(r, sc.now)
	if age > MaxReadingAge {
		return DropTooOld
	}
	kept := &keptReading{Reading: r, readAt: sc.now - age}
	if !s.keepNewest(kept) { // not newer than what is known of this origin
		return ""
	}
	sc.counters.received++
	corroborated := sc.corroborate(s, kept)
	sc.detectContradictions(s)
	if !sc.skipCorroboration && sc.isQuarantined(r.Origin) {
		s.removeReading(kept)
		return DropQuarantined
	}
	if corroborated == nil {
		return DropUncorroborated
	}
	sc.useReading(s, corroborated)
	return ""
}

// checkReading returns why a reading is invalid by itself, or "" if it is valid. s and o are nil if the
// server or the origin is unknown.
func checkReading(r Reading, s *server, o *origin) DropReason {
	switch {
	case s == nil || o == nil:
		return DropUnknownOrigin
	case !isPlausible(r):
		return DropImplausible
	case placementLoad(r) < 0:
		return DropNoLoad
	case r.Started != s.Started:
		return DropOtherIncarnation
	case r.Incarnation < o.incarnation:
		return DropTooOld
	}
	return ""
}

// useReading emits a reading for placements if it is newer than the one in use.
func (sc *Scheduler) useReading(s *server, kept *keptReading) {
	if kept.readAt <= s.usedReadAt {
		return
	}
	s.usedReadAt, s.usedOrigin = kept.readAt, kept.Origin
	used := kept.Reading
	used.Age = sc.now - kept.readAt
	sc.emit(UseReading{used})
}

// estimateAge returns the age of a reading: the age stated in the message, or more if the message was slower
// than others of the same origin. The fastest message so far is the baseline, and it is trusted less as time
// passes, by the maximum clock drift between two relays. A sliding window of messages would overestimate the
// age of readings from a relay with a slow clock.
func (o *origin) estimateAge(r Reading, now time.Duration) time.Duration {
	if o.incarnation != r.Incarnation {
		o.incarnation, o.clockKnown = r.Incarnation, false
	}
	offset := now - r.ReadAt
	quickest := o.clockOffset + duration.Scale(now-o.clockOffsetAt, MaxClockDrift)
	if !o.clockKnown || offset-r.Age <= quickest {
		o.clockOffset, o.clockOffsetAt, o.clockKnown = offset-r.Age, now, true
		return r.Age
	}
	return offset - quickest
}

// keepNewest stores a reading if it is the newest of its origin, and reports whether it is.
func (s *server) keepNewest(kept *keptReading) bool {
	ofOrigin := func(o *keptReading) bool { return o.Origin == kept.Origin }
	if i := slices.IndexFunc(s.newestByOrigin, ofOrigin); i >= 0 {
		if !s.newestByOrigin[i].isOlderThan(kept) {
			return false
		}
		s.newestByOrigin = slices.Delete(s.newestByOrigin, i, i+1)
	}
	s.newestByOrigin = append(s.newestByOrigin, kept)
	youngestFirst := func(a, b *keptReading) int { return cmp.Compare(b.readAt, a.readAt) }
	slices.SortStableFunc(s.newestByOrigin, youngestFirst)
	s.newestByOrigin = s.newestByOrigin[:min(len(s.newestByOrigin), 2*ProbersPerServer)]
	return true
}

// removeReading removes a stored reading.
func (s *server) removeReading(kept *keptReading) {
	s.newestByOrigin = slices.DeleteFunc(s.newestByOrigin, func(o *keptReading) bool { return o == kept })
}

// isOlderThan reports whether a reading was made before another reading of the same origin, by the origin's
// clock.
func (k *keptReading) isOlderThan(o *keptReading) bool {
	return k.Incarnation < o.Incarnation || k.Incarnation == o.Incarnation && k.ReadAt < o.ReadAt
}

// corroborate returns the reading to use after a reading has arrived: the new reading if a recent reading of
// another origin agrees with it, otherwise the median of the three newest origins, or nil if there are fewer
// than three. A reading of one origin alone is never used, so that a faulty relay can neither drain a server
// nor flood it.
func (sc *Scheduler) corroborate(s *server, kept *keptReading) *keptReading {
	if sc.skipCorroboration {
		return kept
	}
	var others []*keptReading
	for _, o := range s.newestByOrigin {
		if o.Origin != kept.Origin && sc.now-o.readAt <= corroborationSpan && !sc.isQuarantined(o.Origin) {
			others = append(others, o)
		}
	}
	if slices.ContainsFunc(others, func(o *keptReading) bool { return agree(kept.Reading, o.Reading) }) {
		return kept
	}
	if len(others) < 2 {
		return nil
	}
	three := []*keptReading{kept, others[0], others[1]}
	byLoad := func(a, b *keptReading) int {
		return cmp.Compare(placementLoad(a.Reading), placementLoad(b.Reading))
	}
	slices.SortFunc(three, byLoad)
	return three[1]
}

// isQuarantined reports whether a relay's readings are currently ignored.
func (sc *Scheduler) isQuarantined(name string) bool {
	o := sc.relays[name]
	return o != nil && sc.now < o.quarantinedUntil
}

// detectContradictions compares each reading with the next younger and the next older reading of other
// origins. If these two agree with each other and not with the reading between them, a single step of the
// load cannot explain the difference, and the reading counts as a contradiction against its origin. A reading
// that only older readings contradict does not count, because its origin may be the first to see a load
// change.
func (sc *Scheduler) detectContradictions(s *server) {
	for i := 1; i < len(s.newestByOrigin)-1; i++ { // ordered by age, youngest first
		after, kept, before := s.newestByOrigin[i-1], s.newestByOrigin[i], s.newestByOrigin[i+1]
		o := sc.relays[kept.Origin]
		if kept.checked || o == nil || !sc.canCompare(after, before) {
			continue
		}
		kept.checked = true
		switch {
		case agree(kept.Reading, after.Reading) || agree(kept.Reading, before.Reading):
			o.contradictions = max(o.contradictions-0.5, 0)
		case agree(after.Reading, before.Reading):
			sc.countContradiction(kept.Origin, o)
		}
	}
}

// canCompare reports whether a younger and an older reading may be used to check a reading between them.
func (sc *Scheduler) canCompare(after, before *keptReading) bool {
	return !sc.isQuarantined(after.Origin) && !sc.isQuarantined(before.Origin) &&
		after.readAt-before.readAt <= corroborationSpan
}

// countContradiction counts a contradicted reading of a relay, and quarantines the relay when there are too
// many.
func (sc *Scheduler) countContradiction(name string, o *origin) {
	o.contradictions++
	if o.contradictions < maxContradictions || sc.now < o.quarantinedUntil {
		return
	}
	o.quarantinedUntil, o.contradictions = sc.now+quarantineDuration, 0
	sc.emit(RelayQuarantined{Name: name})
}

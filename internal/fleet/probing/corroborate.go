package probing

import (
	"cmp"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// acceptReading weighs a reading that a peer has passed on, and lets the module decide by it if it is
// corroborated. It returns why the reading is left out, "" if it is not, or was known.
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
	if !s.keepNewest(kept) { // it has come before
		return ""
	}
	sc.counters.received++
	corroborated := sc.corroborate(s, kept)
	sc.detectContradictions(s)
	if !sc.skipCorroboration && sc.isQuarantined(r.Origin) {
		s.forget(kept)
		return DropQuarantined
	}
	if corroborated == nil {
		return DropUncorroborated
	}
	sc.useReading(s, corroborated)
	return ""
}

// checkReading tells why a reading cannot count, whatever others say; s and o are nil if they are not known.
func checkReading(r Reading, s *server, o *origin) DropReason {
	switch {
	case s == nil || o == nil:
		return DropUnknownOrigin
	case !plausible(r):
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

// useReading lets the module decide by a reading, if it is newer than what it decides by now.
func (sc *Scheduler) useReading(s *server, kept *keptReading) {
	if kept.readAt <= s.usedReadAt {
		return
	}
	s.usedReadAt, s.usedOrigin = kept.readAt, kept.Origin
	used := kept.Reading
	used.Age = sc.now - kept.readAt
	sc.emit(UseReading{used})
}

// estimateAge is how old a reading is: what it says, or more where it came later than others of its origin
// have. The quickest message counts for less the longer ago it was, as far as two clocks can part; a
// window instead would take the readings of a slow clock for older than they are.
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

// keepNewest keeps a reading if it is the newest of its origin, and tells whether it was.
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

// forget drops a reading that was kept.
func (s *server) forget(kept *keptReading) {
	s.newestByOrigin = slices.DeleteFunc(s.newestByOrigin, func(o *keptReading) bool { return o == kept })
}

// isOlderThan tells whether a reading was made isOlderThan another of the same origin, by its clock.
func (k *keptReading) isOlderThan(o *keptReading) bool {
	return k.Incarnation < o.Incarnation || k.Incarnation == o.Incarnation && k.ReadAt < o.ReadAt
}

// corroborate says which reading to decide by now that one has come: that itself where another origin
// agrees with it, else the median of the newest three, else none. One relay alone is believed by nobody,
// so one that reports nonsense can neither empty nor flood a server.
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

// isQuarantined tells whether a relay's readings are left out.
func (sc *Scheduler) isQuarantined(name string) bool {
	o := sc.relays[name]
	return o != nil && sc.now < o.quarantinedUntil
}

// detectContradictions compares readings that have one of another origin on either side in time, and no more than
// a step of a load can come between: where those two agree with each other and not with it, its origin
// has reported nonsense. A reading that only older ones contradict counts for nothing: it may be the first to
// see a load change.
func (sc *Scheduler) detectContradictions(s *server) {
	for i := 1; i < len(s.newestByOrigin)-1; i++ { // the youngest come first
		after, kept, before := s.newestByOrigin[i-1], s.newestByOrigin[i], s.newestByOrigin[i+1]
		o := sc.relays[kept.Origin]
		if kept.checked || o == nil || !sc.comparable(after, before) {
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

// comparable tells whether two readings may judge one between them.
func (sc *Scheduler) comparable(after, before *keptReading) bool {
	return !sc.isQuarantined(after.Origin) && !sc.isQuarantined(before.Origin) &&
		after.readAt-before.readAt <= corroborationSpan
}

// countContradiction counts a contradicted reading of a relay, and puts it in quarantine for too many.
func (sc *Scheduler) countContradiction(name string, o *origin) {
	o.contradictions++
	if o.contradictions < maxContradictions || sc.now < o.quarantinedUntil {
		return
	}
	o.quarantinedUntil, o.contradictions = sc.now+quarantineDuration, 0
	sc.emit(RelayQuarantined{Name: name})
}

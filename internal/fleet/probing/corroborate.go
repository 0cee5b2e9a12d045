package probing

import (
	"cmp"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// Dropped are the reasons for which readings are left out.
const (
	TooOld           = "too old"
	Impossible       = "impossible"
	UnknownOrigin    = "unknown server or relay"
	OtherIncarnation = "another process of the server"
	Quarantined      = "of a doubted relay"
	Uncorroborated   = "not borne out"
	NoLoad           = "without a load"
)

// acceptReading weighs a reading that a peer has passed on. It returns why it is left out.
func (sc *Scheduler) acceptReading(r Reading) string {
	s, o := sc.servers[r.ServerKey], sc.relays[r.Origin]
	switch {
	case r.Origin == sc.self:
		return ""
	case s == nil || o == nil:
		return UnknownOrigin
	case !plausible(r):
		return Impossible
	case placementLoad(r) < 0:
		return NoLoad
	case r.Started != s.Started:
		return OtherIncarnation
	case r.Incarnation < o.incarnation:
		return TooOld
	}
	age := sc.readingAge(o, r)
	h := &keptReading{Reading: r, readAt: sc.now - age}
	switch {
	case age > MaxReadingAge:
		return TooOld
	case !s.keepNewest(h): // it has come before
		return ""
	}
	sc.receivedReadings++
	b := sc.corroborate(s, h)
	sc.checkOrigins(s)
	if !sc.skipCorroboration && sc.isQuarantined(r.Origin) {
		s.newestByOrigin = slices.DeleteFunc(s.newestByOrigin, func(x *keptReading) bool { return x == h })
		return Quarantined
	}
	if b == nil {
		return Uncorroborated
	}
	if b.readAt > s.usedReadAt {
		s.usedReadAt, s.usedOrigin = b.readAt, b.Origin
		believed := b.Reading
		believed.Age = sc.now - b.readAt
		sc.emit(UseReading{believed})
	}
	return ""
}

// readingAge is how old a reading is: what it says, or more where it came later than others of its origin have. The quickest message
// counts for less the longer ago it was, as far as two clocks can part: with a window of 8 s instead, a slow clock's
// readings were taken for up to 1.6 s older than they were, and the more the longer its origin had said nothing.
func (sc *Scheduler) readingAge(o *origin, r Reading) time.Duration {
	if o.incarnation != r.Incarnation {
		o.incarnation, o.clockKnown = r.Incarnation, false
	}
	offset := sc.now - r.ReadAt
	quickest := o.clockOffset + duration.Scale(sc.now-o.clockOffsetAt, MaxClockDrift)
	if !o.clockKnown || offset-r.Age <= quickest {
		o.clockOffset, o.clockOffsetAt, o.clockKnown = offset-r.Age, sc.now, true
		return r.Age
	}
	return offset - quickest
}

// keepNewest keeps a reading if it is the newest of its origin, and tells whether it was.
func (s *server) keepNewest(h *keptReading) bool {
	i := slices.IndexFunc(s.newestByOrigin, func(o *keptReading) bool { return o.Origin == h.Origin })
	if i >= 0 {
		if o := s.newestByOrigin[i]; o.Incarnation > h.Incarnation || o.Incarnation == h.Incarnation && o.ReadAt >= h.ReadAt {
			return false
		}
		s.newestByOrigin = slices.Delete(s.newestByOrigin, i, i+1)
	}
	s.newestByOrigin = append(s.newestByOrigin, h)
	slices.SortStableFunc(s.newestByOrigin, func(a, b *keptReading) int { return cmp.Compare(b.readAt, a.readAt) })
	s.newestByOrigin = s.newestByOrigin[:min(len(s.newestByOrigin), 2*ProbersPerServer)]
	return true
}

// corroborate says which reading to decide by now that h has come: h itself where another origin corroborates it, else the median
// of the newest three, else none. One relay alone is believed by nobody, so one that tells nonsense can neither empty nor
// flood a server.
func (sc *Scheduler) corroborate(s *server, h *keptReading) *keptReading {
	if sc.skipCorroboration {
		return h
	}
	var others []*keptReading
	for _, o := range s.newestByOrigin {
		if o.Origin != h.Origin && sc.now-o.readAt <= MaxReadingAge+TurnInterval && !sc.isQuarantined(o.Origin) {
			others = append(others, o)
		}
	}
	for _, o := range others {
		if agree(h.Reading, o.Reading) {
			return h
		}
	}
	if len(others) < 2 {
		return nil
	}
	three := []*keptReading{h, others[0], others[1]}
	slices.SortFunc(three, func(a, b *keptReading) int { return cmp.Compare(placementLoad(a.Reading), placementLoad(b.Reading)) })
	return three[1]
}

func (sc *Scheduler) isQuarantined(name string) bool {
	o := sc.relays[name]
	return o != nil && sc.now < o.quarantinedUntil
}

// checkOrigins compares readings that have one of another origin on either side in time, and no more than a step of a load can come
// between: where those two agree with each other and not with it, its origin has told nonsense. A reading that only older
// ones contradict may be the first to see a load change: when all relays had restarted honest ones were quarantined for that.
func (sc *Scheduler) checkOrigins(s *server) {
	for i := 1; i < len(s.newestByOrigin)-1; i++ { // the youngest come first
		after, h, before := s.newestByOrigin[i-1], s.newestByOrigin[i], s.newestByOrigin[i+1]
		o := sc.relays[h.Origin]
		if h.checked || o == nil || sc.isQuarantined(after.Origin) || sc.isQuarantined(before.Origin) || after.readAt-before.readAt > MaxReadingAge+TurnInterval {
			continue
		}
		switch h.checked = true; {
		case agree(h.Reading, after.Reading) || agree(h.Reading, before.Reading):
			o.strikes = max(o.strikes-0.5, 0)
		case agree(after.Reading, before.Reading):
			if o.strikes++; o.strikes >= maxStrikes && sc.now >= o.quarantinedUntil {
				o.quarantinedUntil, o.strikes = sc.now+quarantineFor, 0
				sc.emit(Quarantine{Name: h.Origin})
			}
		}
	}
}

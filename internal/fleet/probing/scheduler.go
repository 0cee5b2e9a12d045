package probing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// server is what is known of one.
type server struct {
	Server
	rank           int // this relay's among the probers, negative if it is none
	probedAt       time.Duration
	newestByOrigin []*keptReading // one of each origin, the youngest first
	usedReadAt     time.Duration  // when the reading that the module decides by was made
	usedOrigin     string         // and whose it is
}

// origin is what is known of a relay as one that passes readings on.
type origin struct {
	incarnation      uint64
	clockOffset      time.Duration // own clock less the origin's, by its quickest message
	clockOffsetAt    time.Duration // when that came
	clockKnown       bool          // a message has come in this incarnation
	placementDedup   DedupWindow
	contradictions   float64 // contradicted readings, less half of the corroborated ones
	quarantinedUntil time.Duration
}

// Scheduler is one relay's part in probing servers by turns. It is not safe for concurrent use.
//
// Invariants: relays has just the others that take part, peerNames their names; servers and serverList
// have the same servers; now never goes back.
type Scheduler struct {
	self         string
	incarnation  uint64
	rng          *rand.Rand
	now          time.Duration // of the event that is handled
	actions      []Action      // of that event, so far
	servers      map[uint64]*server
	serverList   []*server
	relays       map[string]*origin
	peerNames    []string
	nextGossipAt time.Duration
	placements   placements
	counters     counters
	// skipCorroboration, in tests only: all that is received is believed.
	skipCorroboration bool
}

// New returns the Scheduler of a relay that starts.
func New(self string, seed uint64) *Scheduler {
	return &Scheduler{
		self:       self,
		rng:        rand.New(rand.NewPCG(seed, 0x737562736574)),
		servers:    map[uint64]*server{},
		relays:     map[string]*origin{},
		placements: placements{pendingDeltas: map[uint64]int{}},
		counters:   counters{dropped: map[DropReason]uint64{}},
	}
}

// HasPeers tells whether there is anybody to share with.
func (sc *Scheduler) HasPeers() bool { return len(sc.peerNames) > 0 }

// Handle takes one event and appends what is to be done about it to out.
func (sc *Scheduler) Handle(now time.Duration, ev Event, out []Action) []Action {
	sc.now, sc.actions = max(now, sc.now), out
	switch e := ev.(type) {
	case ParticipantsChanged:
		sc.updateParticipants(e)
	case OwnReading:
		sc.noteOwnReading(e)
	case ReadingsReceived:
		sc.acceptReadings(e)
	case LocalPlacement:
		sc.notePlacement(e)
	case PlacementsReceived:
		for _, p := range e.Deltas {
			sc.counters.drop(sc.acceptPlacement(p), 1)
		}
	case Tick:
		if sc.HasPeers() {
			sc.probeDueServers()
			sc.gossip()
		}
	}
	return sc.actions
}

func (sc *Scheduler) emit(a Action) { sc.actions = append(sc.actions, a) }

// acceptReadings takes in what a peer has passed on.
func (sc *Scheduler) acceptReadings(e ReadingsReceived) {
	if sc.relays[e.From] == nil {
		sc.counters.drop(DropUnknownOrigin, len(e.Readings))
		return
	}
	for _, r := range e.Readings {
		sc.counters.drop(sc.acceptReading(r), 1)
	}
}

// updateParticipants takes up who takes part and which servers there are. What is known of a server lives
// on while its process does.
func (sc *Scheduler) updateParticipants(e ParticipantsChanged) {
	sc.incarnation = e.Incarnation
	relays := map[string]*origin{}
	sc.peerNames = sc.peerNames[:0]
	for _, r := range e.Relays {
		if r.Name == sc.self {
			continue
		}
		o := sc.relays[r.Name]
		if o == nil {
			o = &origin{quarantinedUntil: duration.DistantPast}
		}
		relays[r.Name] = o
		sc.peerNames = append(sc.peerNames, r.Name)
	}
	sc.relays = relays
	old := sc.servers
	sc.servers, sc.serverList = make(map[uint64]*server, len(e.Servers)), sc.serverList[:0]
	for i, described := range e.Servers {
		s := old[described.Key]
		if s == nil || s.Started != described.Started {
			s = &server{probedAt: duration.DistantPast, usedReadAt: duration.DistantPast}
		}
		s.Server, s.rank = described, e.Assignment.rank(i, sc.self)
		sc.servers[s.Key] = s
		sc.serverList = append(sc.serverList, s)
	}
}

// noteOwnReading notes this relay's own reading: it is believed by whoever wanted it, and passed on. A
// report that tells no load, as a server's first may, is none: it would contradict those that come after
// it.
func (sc *Scheduler) noteOwnReading(e OwnReading) {
	s := sc.servers[e.ServerKey]
	if s == nil {
		return
	}
	s.probedAt = sc.now
	if max(e.LoadReport.Load, e.CPUUtilization) < 0 {
		return
	}
	own := Reading{
		ServerKey: s.Key, Started: s.Started, Origin: sc.self, Incarnation: sc.incarnation,
		ReadAt: sc.now, LoadReport: e.LoadReport,
	}
	s.keepNewest(&keptReading{Reading: own, readAt: sc.now})
	s.usedReadAt, s.usedOrigin = sc.now, sc.self
}

// probeDueServers probes the servers whose turn it is.
func (sc *Scheduler) probeDueServers() {
	for _, s := range sc.serverList {
		if s.isProbeDue(sc.now) {
			s.probedAt = sc.now
			sc.counters.probes++
			sc.emit(Probe{ServerKey: s.Key})
		}
	}
}

// isProbeDue tells whether it is this relay's turn to probe a server. Probers take turns without a word
// about it: each waits until the newest reading is so old, those of a lower rank a little longer, and
// probes again no sooner than after ProbeInterval.
func (s *server) isProbeDue(now time.Duration) bool {
	if s.rank < 0 || now < s.probedAt+ProbeInterval {
		return false
	}
	newest := duration.DistantPast
	for _, kept := range s.newestByOrigin {
		newest = max(newest, kept.readAt)
	}
	turn := newest + TurnInterval + GossipInterval*time.Duration(s.rank)
	return now >= turn || now >= s.probedAt+2*ProbeInterval
}

// gossip passes the newest readings and placements on to some peers drawn at random.
func (sc *Scheduler) gossip() {
	if sc.now < sc.nextGossipAt {
		return
	}
	sc.nextGossipAt = sc.now + duration.Scale(GossipInterval, 0.9+0.2*sc.rng.Float64())
	readings, rows := sc.readingBatch(), sc.placementBatch()
	for i := range min(GossipFanout, len(sc.peerNames)) {
		j := i + sc.rng.IntN(len(sc.peerNames)-i)
		sc.peerNames[i], sc.peerNames[j] = sc.peerNames[j], sc.peerNames[i]
		if len(readings) > 0 {
			sc.emit(SendReadings{To: sc.peerNames[i], Readings: readings})
		}
		if len(rows) > 0 {
			sc.emit(SendPlacements{To: sc.peerNames[i], Deltas: rows})
		}
	}
}

// readingBatch is what a round passes on of readings: those that the fewest rounds have carried, the
// youngest first.
func (sc *Scheduler) readingBatch() []Reading {
	var fresh []*keptReading
	for _, s := range sc.serverList {
		for _, kept := range s.newestByOrigin {
			if kept.roundsSent < maxGossipRounds && sc.now-kept.readAt < MaxReadingAge {
				fresh = append(fresh, kept)
			}
		}
	}
	slices.SortStableFunc(fresh, func(a, b *keptReading) int {
		return cmp.Or(cmp.Compare(a.roundsSent, b.roundsSent), cmp.Compare(b.readAt, a.readAt))
	})
	fresh = fresh[:min(len(fresh), MaxReadingsPerRound)]
	batch := make([]Reading, len(fresh))
	for i, kept := range fresh {
		kept.roundsSent++
		batch[i] = kept.Reading
		batch[i].Age = sc.now - kept.readAt
	}
	return batch
}

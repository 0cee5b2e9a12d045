package probing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// server is what a relay knows about one server.
type server struct {
	Server
	proberRank     int // of this relay among the server's probers, or -1
	probedAt       time.Duration
	newestByOrigin []*keptReading // one for each origin, youngest first
	usedReadAt     time.Duration  // time of the reading in use
	usedOrigin     string         // origin of the reading in use
}

// origin is what a relay knows about a peer as a source of readings and placements.
type origin struct {
	incarnation      uint64
	clockOffset      time.Duration // this relay's clock minus the origin's, from its fastest message
	clockOffsetAt    time.Duration // arrival of that message
	clockKnown       bool          // a message of this incarnation has arrived
	placementDedup   DedupWindow
	contradictions   float64 // contradicted readings, minus half of the corroborated ones
	quarantinedUntil time.Duration
}

// Scheduler schedules one relay's part in shared probing. It is not safe for concurrent use.
//
// Invariants: relays holds exactly the other relays that take part, and peerNames their names; servers and
// serverList hold the same servers; now never decreases.
type Scheduler struct {
	self         string
	incarnation  uint64
	rng          *rand.Rand
	now          time.Duration // time of the current event
	actions      []Action      // emitted for the current event
	servers      map[uint64]*server
	serverList   []*server
	relays       map[string]*origin
	peerNames    []string
	nextGossipAt time.Duration
	placements   placements
	counters     counters
	// skipCorroboration makes the Scheduler trust all readings. Only tests set it.
	skipCorroboration bool
}

// New returns a Scheduler for a relay that has just started.
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

// HasPeers reports whether other relays take part.
func (sc *Scheduler) HasPeers() bool { return len(sc.peerNames) > 0 }

// Handle processes one event, appends the resulting actions to out and returns it.
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
			sc.counters.countDropped(sc.acceptPlacement(p), 1)
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

// acceptReadings processes readings that a peer has passed on.
func (sc *Scheduler) acceptReadings(e ReadingsReceived) {
	if sc.relays[e.From] == nil {
		sc.counters.countDropped(DropUnknownOrigin, len(e.Readings))
		return
	}
	for _, r := range e.Readings {
		sc.counters.countDropped(sc.acceptReading(r), 1)
	}
}

// updateParticipants replaces the lists of relays and servers. State of a server is kept as long as its
// process runs.
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
		s.Server, s.proberRank = described, e.Assignment.rank(i, sc.self)
		sc.servers[s.Key] = s
		sc.serverList = append(sc.serverList, s)
	}
}

// noteOwnReading stores this relay's own reading of a server, which is used without corroboration and passed
// on. A report without a load is ignored, as a server's first report may be one: it would contradict the
// readings that follow it.
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

// probeDueServers probes the servers for which it is this relay's turn.
func (sc *Scheduler) probeDueServers() {
	for _, s := range sc.serverList {
		if s.isProbeDue(sc.now) {
			s.probedAt = sc.now
			sc.counters.probes++
			sc.emit(Probe{ServerKey: s.Key})
		}
	}
}

// isProbeDue reports whether it is this relay's turn to probe a server. The probers take turns without
// messages: each waits until the newest reading has reached TurnInterval, plus a delay that grows with its
// rank. It does not probe again before ProbeInterval has passed, and always probes after twice that time.
func (s *server) isProbeDue(now time.Duration) bool {
	if s.proberRank < 0 || now < s.probedAt+ProbeInterval {
		return false
	}
	newest := duration.DistantPast
	for _, kept := range s.newestByOrigin {
		newest = max(newest, kept.readAt)
	}
	turn := newest + TurnInterval + GossipInterval*time.Duration(s.proberRank)
	return now >= turn || now >= s.probedAt+2*ProbeInterval
}

// gossip sends the newest readings and placements to random peers.
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

// readingBatch returns the readings for one gossip round: those that the fewest rounds have carried first,
// then the youngest first.
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

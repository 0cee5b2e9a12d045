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
	index          int
	rank           int // this relay's among the probers, negative if it is none
	probedAt       time.Duration
	newestByOrigin []*keptReading // one of each origin, the youngest first
	usedReadAt     time.Duration  // when the reading believed last was taken
	usedOrigin     string         // and whose it was
}

// origin is what is known of a relay's readings.
type origin struct {
	incarnation      uint64
	clockOffset      time.Duration // own clock less the origin's, by its quickest message
	clockOffsetAt    time.Duration // when that came
	clockKnown       bool          // a message has come in this incarnation
	placementDedup   DedupWindow   // of its placements
	strikes          float64
	quarantinedUntil time.Duration // quarantined until then
}

// Scheduler is one relay's part in probing servers by turns. It is not safe for concurrent use.
type Scheduler struct {
	self               string
	rng                *rand.Rand
	incarnation        uint64
	servers            map[uint64]*server
	serverList         []*server
	relays             map[string]*origin
	peerNames          []string // of the others
	nextGossipAt       time.Duration
	pendingPlacements  map[uint64]int      // connections sent to servers since the last round, less those that ended
	gossipedPlacements []gossipedPlacement // placements that are still passed on
	placementSeq       uint64
	skipCorroboration  bool // in tests only: all that is told is believed
	dropCounts         map[string]uint64
	probeCount         uint64
	receivedReadings   uint64
	actions            []Action
	now                time.Duration
}

// New returns the Scheduler of a relay that starts.
func New(me string, seed uint64) *Scheduler {
	return &Scheduler{
		self: me, rng: rand.New(rand.NewPCG(seed, 0x737562736574)),
		servers: map[uint64]*server{}, relays: map[string]*origin{}, pendingPlacements: map[uint64]int{}, dropCounts: map[string]uint64{},
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
		if sc.relays[e.From] == nil {
			sc.dropCounts[UnknownOrigin] += uint64(len(e.Readings))
			break
		}
		for _, r := range e.Readings {
			if why := sc.acceptReading(r); why != "" {
				sc.dropCounts[why]++
			}
		}
	case LocalPlacement:
		sc.notePlacement(e)
	case PlacementsReceived:
		for _, p := range e.Rows {
			if why := sc.acceptPlacement(p); why != "" {
				sc.dropCounts[why]++
			}
		}
	case Tick:
		if sc.HasPeers() {
			sc.probeDue()
			sc.gossip()
		}
	}
	return sc.actions
}

func (sc *Scheduler) emit(a Action) { sc.actions = append(sc.actions, a) }

// updateParticipants takes up who takes part and which servers there are. What is known of a server lives on while its process does.
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
			o = &origin{quarantinedUntil: duration.Never}
		}
		relays[r.Name] = o
		sc.peerNames = append(sc.peerNames, r.Name)
	}
	sc.relays = relays
	old := sc.servers
	sc.servers, sc.serverList = make(map[uint64]*server, len(e.Servers)), sc.serverList[:0]
	for i, s := range e.Servers {
		n := old[s.Key]
		if n == nil || n.Started != s.Started {
			n = &server{probedAt: duration.Never, usedReadAt: duration.Never}
		}
		n.Server, n.index, n.rank = s, i, e.Assignment.rank(i, sc.self)
		sc.servers[s.Key] = n
		sc.serverList = append(sc.serverList, n)
	}
}

// noteOwnReading notes this relay's own reading: it is believed by whoever wanted it, and passed on. A report that tells no load, as a
// server's first may, is none: it contradicted those that came after it, and honest relays were quarantined for it.
func (sc *Scheduler) noteOwnReading(e OwnReading) {
	s := sc.servers[e.ServerKey]
	if s == nil {
		return
	}
	if s.probedAt = sc.now; max(e.LoadReport.Load, e.Busy) < 0 {
		return
	}
	own := Reading{ServerKey: s.Key, Started: s.Started, Origin: sc.self, Incarnation: sc.incarnation, ReadAt: sc.now, LoadReport: e.LoadReport}
	s.keepNewest(&keptReading{Reading: own, readAt: sc.now})
	s.usedReadAt, s.usedOrigin = sc.now, sc.self
}

// probeDue probes the servers whose turn it is. Probers take turns without a word about it: each waits until the newest
// reading is so old, those of a lower rank a little longer, and probes again no sooner than after ProbeInterval.
func (sc *Scheduler) probeDue() {
	for _, s := range sc.serverList {
		if s.rank < 0 || sc.now < s.probedAt+ProbeInterval {
			continue
		}
		newest := duration.Never
		for _, h := range s.newestByOrigin {
			newest = max(newest, h.readAt)
		}
		if sc.now >= newest+TurnInterval+GossipInterval*time.Duration(s.rank) || sc.now >= s.probedAt+2*ProbeInterval {
			s.probedAt = sc.now
			sc.probeCount++
			sc.emit(Probe{ServerKey: s.Key})
		}
	}
}

// gossip passes the newest readings on to some peers drawn at random.
func (sc *Scheduler) gossip() {
	if sc.now < sc.nextGossipAt {
		return
	}
	sc.nextGossipAt = sc.now + duration.Scale(GossipInterval, 0.9+0.2*sc.rng.Float64())
	var news []*keptReading
	for _, s := range sc.serverList {
		for _, h := range s.newestByOrigin {
			if h.rounds < maxGossipRounds && sc.now-h.readAt < MaxReadingAge {
				news = append(news, h)
			}
		}
	}
	slices.SortStableFunc(news, func(a, b *keptReading) int {
		return cmp.Or(cmp.Compare(a.rounds, b.rounds), cmp.Compare(b.readAt, a.readAt))
	})
	news = news[:min(len(news), MaxReadingsPerRound)]
	batch := make([]Reading, len(news))
	for i, h := range news {
		h.rounds++
		batch[i] = h.Reading
		batch[i].Age = sc.now - h.readAt
	}
	rows := sc.placementBatch()
	for i := range min(GossipFanout, len(sc.peerNames)) {
		j := i + sc.rng.IntN(len(sc.peerNames)-i)
		sc.peerNames[i], sc.peerNames[j] = sc.peerNames[j], sc.peerNames[i]
		if len(batch) > 0 {
			sc.emit(SendReadings{To: sc.peerNames[i], Readings: batch})
		}
		if len(rows) > 0 {
			sc.emit(SendPlacements{To: sc.peerNames[i], Rows: rows})
		}
	}
}

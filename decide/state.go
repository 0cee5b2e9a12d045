package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file keeps the books: who is listed, which requests and connections there are, which keys have
// failed. It decides nothing.

type requestPhase uint8

const (
	phaseQueued   requestPhase = iota // waits for readings
	phaseBackoff                      // waits for its second try
	phaseInFlight                     // an attempt is out
	phaseOpen
	phaseDone // answered; an attempt may still be out
)

type request struct {
	Request
	phase            requestPhase
	deadline         time.Duration
	server           ServerID      // of the latest attempt
	attempts         int           // attempts sent
	lastSentAt       time.Duration // when the latest was sent
	wakeAt           time.Duration // an alarm before this is from an earlier wait
	probesAwaited    int           // answers to probes it still waits for
	triedOtherZone   bool          // it has asked other zones
	awaitedFirstList bool          // it has waited for the first list
	subsetWidened    int           // 1 once it has asked beyond its group's circle
	mayHaveRunOn     ServerID      // not safe: where the first attempt that may have run went, or -1
	mayHaveRunAt     time.Duration
}

type serverState struct {
	Endpoint
	zoneIndex                int           // place in its zone's list, -1 if nothing new may go there
	readLoad                 float64       // at the last reading
	readAt                   time.Duration // when that came, -1 if it may not be used
	inPool                   bool
	probePendingUntil        time.Duration   // a probe is under way, or lost, until then
	recentAttempts           []time.Duration // when, own attempts of the last while, as rule 4 counts it
	recentDemand             []time.Duration // when it was asked for as a cold one, of the last while
	unreportedPlacements     []time.Duration // when, own placements that the reading may not count yet
	unreportedPeerPlacements []time.Duration // the same of other relays', where they tell
	connections              []RequestID     // own open connections and attempts
	unreportedCloses         []time.Duration // the same of own connections that are gone
	loadGuessed              bool            // no reading has come yet: the load is what this relay holds there
	ejected                  bool            // failed, erred or silent: out until a good probe
	ejectedUntil             time.Duration
	messagesLateUntil        time.Duration // a message there was late; it is taken for full until then
	consecutiveErrors        int           // failures in a row
	missedProbes             int           // probes in a row that brought no reading
	unansweredProbes         int           // and no answer at all
	excessConnections        int           // own connections that are to move from here
	slowStartAt              time.Duration // start of its warm-up, -1 if warm
}

// Balancer makes one relay's decisions. It is not safe for use by several goroutines at once.
type Balancer struct {
	settings                 Settings
	rng                      *rand.Rand
	timerPhase               float64 // of all periodic timers, fixed by the relay's number
	now                      time.Duration
	actions                  []Action
	servers                  []serverState
	serversByZone            [][]ServerID // backends that may be given work
	subsetScratch            []ServerID   // scratch for circle
	pool                     []ServerID   // those with a usable reading
	requests                 map[RequestID]*request
	queuedRequests           []*request
	retryTokens              []float64 // retry tokens of each tenant; the last are those of requests without one
	setupLatencies           []time.Duration
	setupCursor              int
	probeRTT                 time.Duration
	usualProbeLatency        time.Duration // what probes take that come in good time
	warmLoadMean             float64       // mean of warm backends' readings
	warmConnectionsMean      float64       // mean of the connections they hold
	learnedLoadPerConnection float64       // load that a connection adds, as a part of a backend's capacity
	totalConnectionQuota     float64       // connections of all tenants within their shares, 0 if not told
	maxListed                int           // backends listed at once so far
	poolLoadMean             float64       // load of the pool
	ownConnections           int           // own open connections
	startedAt                time.Duration
	requestsTotal            float64
	recentRequests           float64 // requests of late, fading
	recentUpdatedAt          time.Duration
	keyFailures              keyFailureCounts
	loadWatchScheduled       bool
	consecutiveSetupTimeouts int  // set-ups timed out since the last that came
	consecutivePollFailures  int  // failed calls to discovery in a row
	firstPollPending         bool // the first call to discovery is still to be made
	firstPollExpedited       bool // and is to be made before its turn
	hadUsableList            bool // some list has had a backend to use
	fleetStatus              FleetStatus
	poolPrunedAt             time.Duration // when the pool was pruned
	pooledInHomeZone         int           // and how many of it were of this relay's zone
	groupOrders              map[uint64]groupOrder
	listingVersion           uint64 // rises as backends come to or leave the lists
}

// New returns the Balancer of a relay that has just started. Settings that make no sense are replaced
// by the nearest that do.
func New(set Settings, seed uint64) *Balancer {
	set.Relays = max(set.Relays, 1)
	set.Zones = max(set.Zones, int(set.Zone)+1, 1)
	set.Zone = max(set.Zone, 0)
	set.MaxAttempts = max(set.MaxAttempts, 1)
	if set.Rules.SlowStartCapacity <= 0 || set.Rules.SlowStartCapacity > 1 {
		set.Rules.SlowStartCapacity = 1
	}
	if set.Rules.PollWithin <= 0 {
		set.Rules.PollWithin = 10 * time.Second
	}
	if set.Rules.OverloadWindow <= 0 {
		set.Rules.OverloadWindow = time.Second
	}
	if len(set.Classes) == 0 {
		set.Classes = []ClassInfo{{LatencyObjective: time.Second, Deadline: time.Second}}
	}
	_, golden := math.Modf(float64(set.RelayIndex) * math.Phi)
	b := &Balancer{settings: set, rng: rand.New(rand.NewPCG(seed, uint64(set.RelayIndex))), timerPhase: golden, startedAt: -1, probeRTT: time.Second,
		serversByZone: make([][]ServerID, set.Zones), requests: map[RequestID]*request{}, retryTokens: make([]float64, len(set.Tenants)+1)}
	b.fleetStatus = FleetStatus{Relays: set.Relays, BudgetShare: 1 / float64(set.Relays), PeerRequestRate: -1, PeerConnections: -1}
	for i := range b.retryTokens {
		b.retryTokens[i] = maxRetryTokens
	}
	for _, t := range set.Tenants {
		b.totalConnectionQuota += t.ConnectionQuota
	}
	return b
}

// startSlowStart starts a backend's warm-up: it is another process now.
func (s *serverState) startSlowStart(at time.Duration) {
	s.slowStartAt, s.consecutiveErrors, s.readAt = at, 0, -1
}

// answersWithErrors tells whether it answered the latest probe with an error, as one does that drains before the list tells.
func (s *serverState) answersWithErrors() bool { return s.missedProbes > s.unansweredProbes }

// dropReported drops the placements that a reading counts: those made before it was taken.
func (s *serverState) dropReported(taken time.Duration) {
	for _, list := range []*[]time.Duration{&s.unreportedPlacements, &s.unreportedPeerPlacements, &s.unreportedCloses} {
		*list = slices.DeleteFunc(*list, func(at time.Duration) bool { return at <= taken })
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setTimer(kind, id uint64, after time.Duration) {
	b.emit(Timer{After: max(after, b.settings.Tick), Token: id*timerKinds + kind})
}

// sendProbe asks a backend for its load, unless that is under way.
func (b *Balancer) sendProbe(id ServerID) {
	if s := &b.servers[id]; b.now >= s.probePendingUntil {
		s.probePendingUntil = b.now + readingFreshFor
		b.emit(Probe{Server: id})
	}
}

// stateOf finds a backend's state; one that no list has named yet is made, and is given nothing.
func (b *Balancer) stateOf(id ServerID) *serverState {
	for int(id) >= len(b.servers) {
		b.servers = append(b.servers, serverState{zoneIndex: -1, readAt: -1, slowStartAt: -1})
	}
	return &b.servers[id]
}

// updateEndpoint writes one line of discovery's list into the books.
func (b *Balancer) updateEndpoint(e Endpoint) {
	s := b.stateOf(e.Server)
	was, spot := s.zoneIndex >= 0, s.RendezvousKey
	if s.zoneIndex >= 0 && (e.State != Ready || e.Zone != s.Zone) {
		list := b.serversByZone[s.Zone]
		b.swapInZone(list, s.zoneIndex, len(list)-1)
		b.serversByZone[s.Zone] = list[:len(list)-1]
		s.zoneIndex, s.readAt = -1, -1
	}
	s.Endpoint = e
	if s.zoneIndex < 0 && e.State == Ready && int(e.Zone) < len(b.serversByZone) {
		s.zoneIndex = len(b.serversByZone[e.Zone])
		b.serversByZone[e.Zone] = append(b.serversByZone[e.Zone], e.Server)
	}
	if is := s.zoneIndex >= 0; is != was || is && s.RendezvousKey != spot {
		b.listingVersion++
	}
}

// pruneStaleReadings prunes the pool and counts the readings that are young or on their way. Of a large pool some may be
// older for a moment: to look at all of it for each request would cost more than all else.
func (b *Balancer) pruneStaleReadings() int {
	if len(b.pool) > maxCandidates && b.now-b.poolPrunedAt < readingFreshFor/16 {
		return b.pooledInHomeZone
	}
	n, sum, keep := 0, 0.0, b.pool[:0]
	for _, id := range b.pool {
		s := &b.servers[id]
		if s.readAt < 0 || b.now-s.readAt > b.readingMaxAge() {
			s.inPool = false
			continue
		}
		keep = append(keep, id)
		sum += s.readLoad
		if s.Zone == b.settings.Zone {
			n++
		}
	}
	if b.pool = keep; len(keep) > 0 {
		b.poolLoadMean = sum / float64(len(keep))
	}
	b.poolPrunedAt, b.pooledInHomeZone = b.now, n
	return n
}

// recordGossip takes in what another relay read: evidence with an age. It is no word of a server that failed this relay.
func (b *Balancer) recordGossip(e GossipReading) {
	if e.PlacementDelta != 0 {
		s := b.stateOf(e.Server)
		list, n := &s.unreportedPeerPlacements, e.PlacementDelta
		if n < 0 {
			list, n = &s.unreportedCloses, -n
		}
		if b.now-e.Age+loadReportDelay > s.readAt {
			*list = append(*list, slices.Repeat([]time.Duration{b.now - e.Age}, min(n, max(peerPlacementsKept-len(*list), 0)))...)
		}
		return
	}
	if s := b.stateOf(e.Server); !s.ejected && s.zoneIndex >= 0 && b.now-e.Age > s.readAt {
		s.dropReported(b.now - e.Age - loadReportDelay)
		b.recordReading(s, ProbeResult{Server: e.Server, Report: e.Report})
		s.readAt = b.now - e.Age
	}
}

// candidateLimit is how many readings a placement looks at. Where all relays have the same readings of all backends, each goes by
// two drawn at random: the one that reads least would get all that comes until the next reading. Of nine relays before
// twelve backends one backend got 1.5 to 1.9 of its fair part where all were looked at, 1.1 to 1.7 with four, 1.1 to 1.4 with
// three, 1.1 to 1.2 with two; each going by probes of its own, 1.1 to 1.25.
func (b *Balancer) candidateLimit() int {
	if b.fleetStatus.SharesReadings {
		return probesPerPlacement / 2
	}
	return maxCandidates
}

// peerPlacementsKept bounds what is kept of other relays' placements at one backend.
const peerPlacementsKept = 1024

// unreportedWindow is the time of which neither readings nor, where other relays tell what they send, their word speaks yet: a round of
// word and its way through the fleet.
func (b *Balancer) unreportedWindow() time.Duration {
	if b.fleetStatus.SharesPlacements {
		return loadReportDelay / 2
	}
	return loadReportDelay
}

// readingMaxAge is how old a reading may be that a placement goes by: one that is passed on is older, and comes unasked.
func (b *Balancer) readingMaxAge() time.Duration {
	if b.fleetStatus.SharesReadings {
		return 2 * readingFreshFor
	}
	return readingFreshFor
}

// listedCount is how many backends may be given work.
func (b *Balancer) listedCount() (n int) {
	for _, zone := range b.serversByZone {
		n += len(zone)
	}
	return n
}

func (b *Balancer) swapInZone(list []ServerID, i, j int) {
	list[i], list[j] = list[j], list[i]
	b.servers[list[i]].zoneIndex, b.servers[list[j]].zoneIndex = i, j
}

func (b *Balancer) trackRequest(e Request) *request {
	e.Class = min(max(e.Class, 0), Class(len(b.settings.Classes)-1))
	if e.Tenant < 0 || int(e.Tenant) >= len(b.settings.Tenants) {
		e.Tenant = Tenant(len(b.settings.Tenants))
	}
	if !b.settings.GroupAffinity { // then a group means nothing here
		e.Group = 0
	}
	r := &request{Request: e, deadline: b.now + e.TimeLeft, server: -1, mayHaveRunOn: -1}
	b.requests[e.ID] = r
	return r
}

// endRequest ends a request; while an attempt is out it is kept for the attempt's outcome.
func (b *Balancer) endRequest(r *request) {
	b.dequeueRequest(r)
	r.phase = phaseDone
	if r.server < 0 || !slices.Contains(b.stateOf(r.server).connections, r.ID) {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) dequeueRequest(r *request) {
	if i := slices.Index(b.queuedRequests, r); i >= 0 {
		b.queuedRequests = slices.Delete(b.queuedRequests, i, i+1)
	}
}

func (b *Balancer) addConnection(r *request) {
	s := b.stateOf(r.server)
	s.connections = append(s.connections, r.ID)
	b.ownConnections++
	if r.phase == phaseInFlight {
		b.recentAttemptCount(s)
		s.recentAttempts = append(s.recentAttempts, b.now)
	}
}

// recordDemand notes that a cold backend is asked for, and tells how many more times it was within the window of rule 4.
func (b *Balancer) recordDemand(s *serverState) float64 {
	s.recentDemand = slices.DeleteFunc(s.recentDemand, func(at time.Duration) bool { return b.now-at >= b.settings.Rules.OverloadWindow })
	s.recentDemand = append(s.recentDemand, b.now)
	return float64(len(s.recentDemand) - 1)
}

// recentAttemptCount is how many attempts this relay has sent a backend within the window of rule 4.
func (b *Balancer) recentAttemptCount(s *serverState) float64 {
	s.recentAttempts = slices.DeleteFunc(s.recentAttempts, func(at time.Duration) bool { return b.now-at >= b.settings.Rules.OverloadWindow })
	return float64(len(s.recentAttempts))
}

func (b *Balancer) removeConnection(r *request) {
	s := b.stateOf(r.server)
	if i := slices.Index(s.connections, r.ID); i >= 0 {
		s.connections = slices.Delete(s.connections, i, i+1)
		s.unreportedCloses = append(s.unreportedCloses, b.now)
		b.ownConnections--
	}
}

// failingKeysKept bounds the failing keys remembered, in each of two generations.
const failingKeysKept = 1024

// keyFailureCounts counts the keyFailureCounts of keys. Old keys are forgotten a generation at a time.
type keyFailureCounts struct{ recent, previous map[uint64]int }

// recordFailure counts one more failure of a key and returns how many there were; key 0 stands for none.
func (f *keyFailureCounts) recordFailure(key uint64) int {
	if key == 0 {
		return 1
	}
	n := max(f.recent[key], f.previous[key]) + 1
	if f.recent == nil || len(f.recent) >= failingKeysKept {
		f.recent, f.previous = map[uint64]int{}, f.recent
	}
	f.recent[key] = n
	return n
}

func (f *keyFailureCounts) clearFailures(key uint64) {
	delete(f.recent, key)
	delete(f.previous, key)
}

func (b *Balancer) recordSetupLatency(took time.Duration) {
	if len(b.setupLatencies) < setupLatenciesKept {
		b.setupLatencies = append(b.setupLatencies, took)
		return
	}
	b.setupLatencies[b.setupCursor] = took
	b.setupCursor = (b.setupCursor + 1) % setupLatenciesKept
}

// requestRate is how many requests a second come here now: those of late, over the window of rule 4, and one that
// counts for the time in which one comes at this relay's usual requestRate. Where a relay gets a request in ten seconds,
// the one that it just got would else stand for as many as the window has room for.
func (b *Balancer) requestRate() float64 {
	window := b.settings.Rules.OverloadWindow.Seconds()
	b.recentRequests *= math.Exp(-(b.now - b.recentUpdatedAt).Seconds() / window)
	b.recentUpdatedAt = b.now
	usual := ((b.now - b.startedAt).Seconds() + window) / max(b.requestsTotal, 1) // from one to the next
	return (1 + b.recentRequests) / (usual + window)
}

// recordFleetStatus takes in what the relays know of each other.
func (b *Balancer) recordFleetStatus(f FleetStatus) {
	f.Relays, f.BudgetShare, f.FarBudgetShare = max(f.Relays, 1), max(0, min(f.BudgetShare, 1)), max(0, min(f.FarBudgetShare, 1))
	b.fleetStatus, b.settings.Relays = f, f.Relays
}

// budgetShare is the part of a server's budget for the whole fleet that is this relay's now.
func (b *Balancer) budgetShare(s *serverState) float64 {
	switch {
	case b.fleetStatus.BudgetUntil > 0 && b.now >= b.fleetStatus.BudgetUntil:
		return 0
	case b.fleetStatus.NearZones != nil && !slices.Contains(b.fleetStatus.NearZones, s.Zone):
		return b.fleetStatus.FarBudgetShare
	}
	return b.fleetStatus.BudgetShare
}

// fleetConnections is how many connections fleetConnections relays hold: as they say, or as many each as this one.
func (b *Balancer) fleetConnections() float64 {
	if b.fleetStatus.PeerConnections >= 0 {
		return float64(b.ownConnections + b.fleetStatus.PeerConnections)
	}
	return float64(b.ownConnections * b.settings.Relays)
}

// groupOrder is the beginning of a group's order, as it was at some listing.
type groupOrder struct {
	listingVersion uint64
	order          []ServerID
}

// ringsKept bounds the groups whose order is kept; ringLen is how much of it, since backends may be bad.
const (
	groupOrdersKept = 4096
	groupOrderLen   = 4 * probesPerPlacement
)

// rendezvousOrder returns the beginning of a group's order, or those in it that are well where too few of the
// beginning are.
func (b *Balancer) rendezvousOrder(group uint64) []ServerID {
	r, ok := b.groupOrders[group]
	if !ok || r.listingVersion != b.listingVersion {
		if b.groupOrders == nil || len(b.groupOrders) >= groupOrdersKept {
			b.groupOrders = map[uint64]groupOrder{}
		}
		r = groupOrder{listingVersion: b.listingVersion, order: b.rankServers(group, groupOrderLen, false)}
		b.groupOrders[group] = r
	}
	well := 0
	for _, id := range r.order {
		if s := &b.servers[id]; !s.ejected || b.now >= s.ejectedUntil {
			well++
		}
	}
	if well >= probesPerPlacement || len(r.order) < groupOrderLen {
		return r.order
	}
	return b.rankServers(group, probesPerPlacement, true)
}

// recordProbeLatency notes how long a probe took and tells whether that is far longer than usual: work is piled up where it was. Of the usual
// it learns fast what is shorter and slowly what is longer, as many may be recordProbeLatency at once.
func (b *Balancer) recordProbeLatency(took time.Duration) bool {
	switch {
	case b.usualProbeLatency == 0:
		b.usualProbeLatency = took
	case took < b.usualProbeLatency:
		b.usualProbeLatency += (took - b.usualProbeLatency) / 4
	default:
		b.usualProbeLatency += (min(took, 2*b.usualProbeLatency) - b.usualProbeLatency) / 32
	}
	return took > 4*b.usualProbeLatency+b.settings.Tick
}

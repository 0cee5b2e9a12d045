package relay

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/probing"
)

// Peers gives shared probing access to the other relays. Its methods must not block.
type Peers interface {
	// Participants returns the relays that share probing, including this one, and this relay's incarnation.
	// It returns no relay before the first view is agreed.
	Participants() (relays []probing.Relay, incarnation uint64)
	// SendReadings sends readings to a participant.
	SendReadings(to string, readings []probing.Reading)
	// SendPlacements sends the numbers of placements at servers to a participant.
	SendPlacements(to string, rows []probing.PlacementDelta)
}

const (
	// participantsInterval is the interval at which the participants are checked for changes.
	participantsInterval = 100 * time.Millisecond
	// stepInterval is the interval at which the scheduler checks which probes are due.
	stepInterval = 25 * time.Millisecond
	// reportInterval is the interval at which the result of Report is updated.
	reportInterval = time.Second
	// maxQueuedBatches limits the batches of peers' readings and placements that wait for the event loop.
	// Further batches are dropped.
	maxQueuedBatches = 256
)

// SharedProbing lets a relay and its peers probe servers for each other. Each server is assigned to some of
// the relays. The event loop owns it; other goroutines may only call Receive and Report.
type SharedProbing struct {
	peers        Peers
	table        *RequestTable
	scheduler    *probing.Scheduler
	onQuarantine func(name string)

	queuedBatches atomic.Int64 // batches of peers in the inbox
	report        atomic.Pointer[probing.Report]

	actions   []probing.Action  // buffer that stepScheduler reuses
	outbox    []probing.Action  // messages to send once the fleet status is unlocked
	serverIDs map[uint64]string // ids by ServerKey

	participantsFingerprint uint64 // fingerprint of the participants and servers that were assigned last
	assignmentPending       bool   // an assignment is being computed
	participantsCheckedAt   time.Duration
	steppedAt               time.Duration
	reportedAt              time.Duration
}

// NewSharedProbing returns the SharedProbing of a relay, to be set in its EventLoop. relay is the relay's
// name, seed the random seed of the scheduler. onQuarantine is called with the name of a peer when the
// scheduler starts to ignore that peer's readings.
func NewSharedProbing(
	table *RequestTable, relay string, seed uint64, peers Peers, onQuarantine func(name string),
) *SharedProbing {
	return &SharedProbing{
		peers:        peers,
		table:        table,
		scheduler:    probing.New(relay, seed),
		onQuarantine: onQuarantine,
		serverIDs:    map[uint64]string{},
	}
}

// The inbox carries events for the decision module. These two types of event also pass through it, but the
// event loop handles them itself.
type (
	peerEvent struct {
		decide.PeerMessage
		event probing.Event
	}
	participantsEvent struct {
		decide.PeerMessage
		probing.ParticipantsChanged
		serverIDs map[uint64]string
	}
)

// Receive queues a message of a peer: probing.ReadingsReceived or probing.PlacementsReceived.
func (s *SharedProbing) Receive(ev probing.Event) {
	if s.queuedBatches.Add(1) > maxQueuedBatches {
		s.queuedBatches.Add(-1)
		return
	}
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.post(peerEvent{event: ev})
}

// Report returns the state of shared probing, which is at most about one reportInterval old. It returns false
// before the first report, and for a nil SharedProbing.
func (s *SharedProbing) Report() (probing.Report, bool) {
	if s == nil {
		return probing.Report{}, false
	}
	if r := s.report.Load(); r != nil {
		return *r, true
	}
	return probing.Report{}, false
}

// updateParticipants starts a new assignment if the participants or the ready servers have changed. For a
// large fleet the assignment takes longer than a tick, so it is computed in a goroutine of its own, one at a
// time. The result returns through the inbox.
func (s *SharedProbing) updateParticipants(now time.Duration) {
	if s.assignmentPending || now < s.participantsCheckedAt+participantsInterval {
		return
	}
	s.participantsCheckedAt = now
	relays, incarnation := s.peers.Participants()
	servers, ids := s.table.readyServers()
	stamp := fingerprint(relays, incarnation, servers)
	if stamp == s.participantsFingerprint {
		return
	}
	s.participantsFingerprint, s.assignmentPending = stamp, true
	go func() {
		changed := probing.ParticipantsChanged{
			Relays:      relays,
			Incarnation: incarnation,
			Servers:     servers,
			Assignment:  probing.Assign(relays, servers),
		}
		s.table.mu.Lock()
		defer s.table.mu.Unlock()
		s.table.post(participantsEvent{ParticipantsChanged: changed, serverIDs: ids})
	}()
}

// fingerprint returns a hash of the participants and servers, which is never 0.
func fingerprint(relays []probing.Relay, incarnation uint64, servers []probing.Server) uint64 {
	h := fnv.New64a()
	number := func(n uint64) {
		var b [8]byte
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		h.Write(b[:])
	}
	number(incarnation)
	for _, r := range relays {
		h.Write([]byte(r.Name + "\x00" + r.Zone + "\x00"))
	}
	for _, s := range servers {
		number(s.Key)
		number(uint64(s.Started))
		h.Write([]byte(s.Zone))
	}
	return h.Sum64() | 1
}

// unixMillis converts the start time of a server into Unix time in milliseconds, as relays send it to each
// other. 0 stands for "long ago".
func unixMillis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// readyServers returns the servers that are ready for new connections, and their ids by ServerKey.
func (t *RequestTable) readyServers() (servers []probing.Server, ids map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids = make(map[uint64]string, len(t.endpoints.servers))
	for _, s := range t.endpoints.servers {
		if s.state != decide.Ready {
			continue
		}
		key := ServerKey(s.ID)
		servers = append(servers, probing.Server{Key: key, Zone: s.zone, Started: unixMillis(s.startedWall)})
		ids[key] = s.ID
	}
	return servers, ids
}

// readyServer returns the number of a server, and false if the server is not listed or not ready.
func (t *RequestTable) readyServer(id string) (decide.ServerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints.byID[id]
	if s == nil || s.state != decide.Ready {
		return 0, false
	}
	return s.Number, true
}

// serverKey returns the ServerKey of the server with a number.
func (t *RequestTable) serverKey(id decide.ServerID) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ServerKey(t.endpoints.servers[id].ID)
}

// sendOutbox sends the queued messages of the scheduler to peers.
func (s *SharedProbing) sendOutbox() {
	for _, action := range s.outbox {
		switch a := action.(type) {
		case probing.SendReadings:
			s.peers.SendReadings(a.To, a.Readings)
		case probing.SendPlacements:
			s.peers.SendPlacements(a.To, a.Deltas)
		}
	}
	s.outbox = s.outbox[:0]
}

package relay

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/probing"
)

// Peers is the other relays, as those who probe servers for each other need them. None of its methods may
// block.
type Peers interface {
	// Participants returns who takes part, this relay too, and this relay's incarnation; nobody before any
	// view is agreed.
	Participants() (relays []probing.Relay, incarnation uint64)
	// SendReadings passes readings on to one of them.
	SendReadings(to string, readings []probing.Reading)
	// SendPlacements passes on what relays have sent to servers.
	SendPlacements(to string, rows []probing.PlacementDelta)
}

const (
	// participantsInterval is how often it is checked who takes part.
	participantsInterval = 100 * time.Millisecond
	// stepInterval is how often the scheduler checks which probes are due.
	stepInterval = 25 * time.Millisecond
	// reportInterval is how often Report is made anew.
	reportInterval = time.Second
	// maxQueuedBatches bounds the batches of peers' readings that wait for the event loop; more are dropped.
	maxQueuedBatches = 256
)

// SharedProbing lets a relay and its peers probe servers for each other, by assignment. It is the event
// loop's; other goroutines call Receive and Report only.
type SharedProbing struct {
	peers        Peers
	table        *RequestTable
	scheduler    *probing.Scheduler
	onQuarantine func(name string)

	queuedBatches atomic.Int64 // batches of peers' readings in the inbox
	report        atomic.Pointer[probing.Report]

	actions   []probing.Action  // scratch of stepScheduler
	outbox    []probing.Action  // what is to be sent once the fleet's status is unlocked
	serverIDs map[uint64]string // by ServerKey

	participantsFingerprint uint64 // of the participants and the servers that the scheduler has
	assignmentPending       bool   // an assignment is being made
	participantsCheckedAt   time.Duration
	steppedAt               time.Duration
	reportedAt              time.Duration
}

// NewSharedProbing returns what is to be put into an EventLoop and to Receive what peers send.
// onQuarantine is called when a relay's readings are left out.
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

// The inbox has the decision module's events; these two are the event loop's own, on their way through it.
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

// Receive takes what a peer has passed on: probing.ReadingsReceived or probing.PlacementsReceived.
func (s *SharedProbing) Receive(ev probing.Event) {
	if s.queuedBatches.Add(1) > maxQueuedBatches {
		s.queuedBatches.Add(-1)
		return
	}
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.post(peerEvent{event: ev})
}

// Report returns what was known within the last reportInterval; false before anything was, or of a nil
// SharedProbing.
func (s *SharedProbing) Report() (probing.Report, bool) {
	if s == nil {
		return probing.Report{}, false
	}
	if r := s.report.Load(); r != nil {
		return *r, true
	}
	return probing.Report{}, false
}

// updateParticipants checks who takes part and which servers there are. The assignment of a large fleet
// takes longer than a tick, so it is made beside the event loop, one at a time; it comes back through the
// inbox.
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

// fingerprint tells one set of participants and servers from another. It is never 0.
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

// unixMillis turns a server's start into Unix time in milliseconds, 0 for long ago, as relays send it to
// each other.
func unixMillis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// readyServers returns the servers that new connections may go to, and their ids by ServerKey.
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

// readyServer returns a server's number, while it is listed and ready.
func (t *RequestTable) readyServer(id string) (decide.ServerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints.byID[id]
	if s == nil || s.state != decide.Ready {
		return 0, false
	}
	return s.Number, true
}

// serverKey returns the ServerKey of a server by its number.
func (t *RequestTable) serverKey(id decide.ServerID) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ServerKey(t.endpoints.servers[id].ID)
}

// sendOutbox passes on what the scheduler wants passed on.
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

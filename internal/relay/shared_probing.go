package relay

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/probing"
)

// Peers is the other relays, as those who probe servers by turns need them. None of its methods may block.
type Peers interface {
	// Participants are who takes part, this relay too, and this relay's incarnation; nobody before any view is agreed.
	Participants() (relays []probing.Relay, incarnation uint64)
	// SendReadings passes readings on to one of them.
	SendReadings(to string, readings []probing.Reading)
	// SendPlacements passes on what relays have sent to servers.
	SendPlacements(to string, rows []probing.PlacementDelta)
}

const (
	participantsInterval = 100.0 // ms between two checks of who takes part
	stepInterval         = 25.0  // ms between two steps of the scheduler
	reportInterval       = 1000.0
	maxQueuedEvents      = 256 // batches of peers' readings that wait for the core loop; more are dropped
)

// SharedProbing lets a relay probe servers by turns with its peers. It is the core loop's; other goroutines call Hear and Report.
type SharedProbing struct {
	peers                 Peers
	table                 *RequestTable
	scheduler             *probing.Scheduler
	actions               []probing.Action
	outbox                []probing.Action // what is to be sent once the fleet is released
	participantsStamp     uint64           // of the participants and the list that the scheduler has
	steppedAt             float64
	participantsCheckedAt float64
	reportedAt            float64
	assignmentPending     bool // a table is being made
	serverIDs             map[uint64]string
	queued                atomic.Int64
	report                atomic.Pointer[probing.Report]
	onQuarantine          func(name string)
}

// NewSharedProbing returns what is to be put into a Core and told to the peers. onQuarantine is told when a relay's readings are left out.
func NewSharedProbing(table *RequestTable, relay string, seed uint64, peers Peers, onQuarantine func(name string)) *SharedProbing {
	return &SharedProbing{peers: peers, table: table, scheduler: probing.New(relay, seed), onQuarantine: onQuarantine, serverIDs: map[uint64]string{}}
}

// The core loop's inbox has the module's events; these two are the loop's own, on their way through it.
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

// Receive takes what a peer has passed on: a probing.ReadingsReceived or PlacementsReceived.
func (s *SharedProbing) Receive(ev probing.Event) {
	if s.queued.Add(1) > maxQueuedEvents {
		s.queued.Add(-1)
		return
	}
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.post(peerEvent{event: ev})
}

// Report is what was known within the last second; false before anything was.
func (s *SharedProbing) Report() (probing.Report, bool) {
	if s == nil {
		return probing.Report{}, false
	}
	if r := s.report.Load(); r != nil {
		return *r, true
	}
	return probing.Report{}, false
}

// updateParticipants checks who takes part and which servers there are. A table of 1,000 relays and 5,000 servers takes 0.2 s, so it is
// made beside the loop.
func (s *SharedProbing) updateParticipants(now float64) {
	if s.assignmentPending || now < s.participantsCheckedAt+participantsInterval {
		return
	}
	s.participantsCheckedAt = now
	relays, incarnation := s.peers.Participants()
	servers, ids := s.table.readyServers()
	stamp := fingerprint(relays, incarnation, servers)
	if stamp == s.participantsStamp {
		return
	}
	s.participantsStamp, s.assignmentPending = stamp, true
	go func() {
		table := probing.Assign(relays, servers)
		s.table.mu.Lock()
		defer s.table.mu.Unlock()
		s.table.post(participantsEvent{ParticipantsChanged: probing.ParticipantsChanged{Relays: relays, Incarnation: incarnation, Servers: servers, Assignment: table}, serverIDs: ids})
	}()
}

// fingerprint tells one set of participants and servers from another.
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

// readyServers are the servers that new connections may go to.
func (t *RequestTable) readyServers() (out []probing.Server, ids map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids = make(map[uint64]string, len(t.endpoints.servers))
	for _, s := range t.endpoints.servers {
		if s.mode == decide.Ready {
			key := ServerKey(s.ID)
			out = append(out, probing.Server{Key: key, Zone: s.zone, Started: int64(s.startedUnix)})
			ids[key] = s.ID
		}
	}
	return out, ids
}

// routeProbingEvent gives the scheduler what of the inbox is its own, and tells whether the module is to have it too.
func (l *EventLoop) routeProbingEvent(now float64, ev decide.Event) (modules bool) {
	switch e := ev.(type) {
	case peerEvent:
		l.SharedProbing.queued.Add(-1)
		l.stepScheduler(now, e.event)
		return false
	case participantsEvent:
		l.SharedProbing.assignmentPending, l.SharedProbing.serverIDs = false, e.serverIDs
		l.stepScheduler(now, e.ParticipantsChanged)
		return false
	case decide.Outcome:
		l.stepScheduler(now, probing.LocalPlacement{ServerKey: l.serverKey(e.Server), Delta: -1})
	case decide.ProbeResult:
		if e.Status == decide.OK {
			load := probing.LoadReport{Load: e.Report.Load, Inflight: e.Report.InFlight, Errors: e.Report.ErrorsPerSecond, Busy: e.Report.CPUUtilization}
			l.stepScheduler(now, probing.OwnReading{ServerKey: l.serverKey(e.Server), LoadReport: load})
		}
	}
	return true
}

func (l *EventLoop) serverKey(id decide.ServerID) uint64 {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	return ServerKey(l.table.endpoints.servers[id].ID)
}

// stepScheduler lets the scheduler act. What goes to peers waits until the fleet is released.
func (l *EventLoop) stepScheduler(now float64, ev probing.Event) {
	s := l.SharedProbing
	s.actions = s.scheduler.Handle(duration.FromMillis(now), ev, s.actions[:0])
	for _, a := range s.actions {
		switch a := a.(type) {
		case probing.Probe:
			if id, ok := l.table.readyServer(s.serverIDs[a.ServerKey]); ok {
				l.probe(id)
			}
		case probing.UseReading:
			if id, ok := l.table.readyServer(s.serverIDs[a.ServerKey]); ok {
				load := a.Reading.LoadReport
				if l.table.Recorder != nil {
					l.table.recordPeerReading(id, Millis(a.Age), max(load.Load, load.Busy))
				}
				report := decide.LoadReport{
					Load:            load.Load,
					InFlight:        load.Inflight,
					ErrorsPerSecond: load.Errors,
					CPUUtilization:  load.Busy,
				}
				l.handle(now, decide.GossipReading{Server: id, Age: a.Age.Round(time.Microsecond), Report: report})
			}
		case probing.PeerPlacement:
			if id, ok := l.table.readyServer(s.serverIDs[a.ServerKey]); ok {
				l.handle(now, decide.GossipReading{
					Server:         id,
					Age:            a.Age.Round(time.Microsecond),
					PlacementDelta: a.Delta,
				})
			}
		case probing.Quarantine:
			s.onQuarantine(a.Name)
		default:
			s.outbox = append(s.outbox, a)
		}
	}
}

// readyServer is a server's number, while it is listed and ready.
func (t *RequestTable) readyServer(id string) (decide.ServerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints.byID[id]
	if s == nil || s.mode != decide.Ready {
		return 0, false
	}
	return s.Number, true
}

// stepSchedulerIfDue lets the scheduler see whose turn it is, and returns how long until the next step.
func (l *EventLoop) stepSchedulerIfDue(now float64) float64 {
	s := l.SharedProbing
	if now >= s.steppedAt+stepInterval {
		s.steppedAt = now
		s.applyCorroborationFault()
		l.stepScheduler(now, probing.Tick{})
	}
	if now >= s.reportedAt+reportInterval {
		s.reportedAt = now
		r := s.scheduler.Report(duration.FromMillis(now))
		for i := range r.Servers {
			r.Servers[i].ID = s.serverIDs[r.Servers[i].ServerKey]
		}
		s.report.Store(&r)
	}
	return max(s.steppedAt+stepInterval-now, 0)
}

// sendOutbox passes on what the scheduler wants passed on.
func (s *SharedProbing) sendOutbox() {
	for _, a := range s.outbox {
		switch t := a.(type) {
		case probing.SendReadings:
			s.peers.SendReadings(t.To, t.Readings)
		case probing.SendPlacements:
			s.peers.SendPlacements(t.To, t.Rows)
		}
	}
	s.outbox = s.outbox[:0]
}

package relay

import (
	"hash/fnv"
	"sync/atomic"

	"capersail/decide"
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

// Shared lets a relay probe servers by turns with its peers. It is the core loop's; other goroutines call Hear and Report.
type Shared struct {
	peers             Peers
	x                 *Exchange
	scheduler         *probing.Scheduler
	actions           []probing.Action
	outbox            []probing.Action // what is to be sent once the fleet is released
	participantsStamp uint64           // of the participants and the list that the scheduler has
	stepAt            float64
	participantsAt    float64
	reportAt          float64
	assigning         bool // a table is being made
	serverIDs         map[uint64]string
	queued            atomic.Int64
	report            atomic.Pointer[probing.Report]
	onQuarantine      func(name string)
}

// NewShared returns what is to be put into a Core and told to the peers. onQuarantine is told when a relay's readings are left out.
func NewShared(x *Exchange, relay string, seed uint64, peers Peers, onQuarantine func(name string)) *Shared {
	return &Shared{peers: peers, x: x, scheduler: probing.New(relay, seed), onQuarantine: onQuarantine, serverIDs: map[uint64]string{}}
}

// The core loop's inbox has the module's events; these two are the loop's own, on their way through it.
type (
	peerEvent struct {
		decide.Peer
		event probing.Event
	}
	participants struct {
		decide.Peer
		probing.Fleet
		serverIDs map[uint64]string
	}
)

// Hear takes what a peer has passed on: a probing.ReadingsReceived or PlacementsReceived.
func (s *Shared) Hear(ev probing.Event) {
	if s.queued.Add(1) > maxQueuedEvents {
		s.queued.Add(-1)
		return
	}
	s.x.mu.Lock()
	defer s.x.mu.Unlock()
	s.x.post(peerEvent{event: ev})
}

// Report is what was known within the last second; false before anything was.
func (s *Shared) Report() (probing.Report, bool) {
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
func (s *Shared) updateParticipants(now float64) {
	if s.assigning || now < s.participantsAt+participantsInterval {
		return
	}
	s.participantsAt = now
	relays, incarnation := s.peers.Participants()
	servers, ids := s.x.readyServers()
	stamp := fingerprint(relays, incarnation, servers)
	if stamp == s.participantsStamp {
		return
	}
	s.participantsStamp, s.assigning = stamp, true
	go func() {
		table := probing.Assign(relays, servers)
		s.x.mu.Lock()
		defer s.x.mu.Unlock()
		s.x.post(participants{Fleet: probing.Fleet{Relays: relays, Incarnation: incarnation, Servers: servers, Table: table}, serverIDs: ids})
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
func (x *Exchange) readyServers() (out []probing.Server, ids map[uint64]string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ids = make(map[uint64]string, len(x.roster.servers))
	for _, s := range x.roster.servers {
		if s.mode == decide.Ready {
			key := ServerKey(s.ID)
			out = append(out, probing.Server{Key: key, Zone: s.zone, Started: int64(s.started)})
			ids[key] = s.ID
		}
	}
	return out, ids
}

// takeProbing gives the scheduler what of the inbox is its own, and tells whether the module is to have it too.
func (c *Core) takeProbing(now float64, ev decide.Event) (modules bool) {
	switch e := ev.(type) {
	case peerEvent:
		c.Shared.queued.Add(-1)
		c.stepScheduler(now, e.event)
		return false
	case participants:
		c.Shared.assigning, c.Shared.serverIDs = false, e.serverIDs
		c.stepScheduler(now, e.Fleet)
		return false
	case decide.Outcome:
		c.stepScheduler(now, probing.Sent{ServerKey: c.serverKey(e.Backend), N: -1})
	case decide.Probed:
		if e.Status == decide.OK {
			load := probing.Load{Load: e.Report.Load, Inflight: e.Report.Inflight, Errors: e.Report.Errors, Busy: e.Report.Busy}
			c.stepScheduler(now, probing.Read{ServerKey: c.serverKey(e.Backend), Load: load})
		}
	}
	return true
}

func (c *Core) serverKey(id decide.Backend) uint64 {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return ServerKey(c.x.roster.servers[id].ID)
}

// stepScheduler lets the scheduler act. What goes to peers waits until the fleet is released.
func (c *Core) stepScheduler(now float64, ev probing.Event) {
	s := c.Shared
	s.actions = s.scheduler.Handle(now, ev, s.actions[:0])
	for _, a := range s.actions {
		switch a := a.(type) {
		case probing.Probe:
			if id, ok := c.x.readyServer(s.serverIDs[a.ServerKey]); ok {
				c.probe(id)
			}
		case probing.UseReading:
			if id, ok := c.x.readyServer(s.serverIDs[a.ServerKey]); ok {
				l := a.Reading.Load
				if c.x.Tap != nil {
					c.x.tapTold(id, a.Age, max(l.Load, l.Busy))
				}
				c.handle(now, decide.Told{Backend: id, Age: Duration(a.Age),
					Report: decide.Report{Load: l.Load, Inflight: l.Inflight, Errors: l.Errors, Busy: l.Busy}})
			}
		case probing.PeerPlacement:
			if id, ok := c.x.readyServer(s.serverIDs[a.ServerKey]); ok {
				c.handle(now, decide.Told{Backend: id, Age: Duration(a.Age), Sent: a.N})
			}
		case probing.Quarantine:
			s.onQuarantine(a.Name)
		default:
			s.outbox = append(s.outbox, a)
		}
	}
}

// readyServer is a server's number, while it is listed and ready.
func (x *Exchange) readyServer(id string) (decide.Backend, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.roster.byID[id]
	if s == nil || s.mode != decide.Ready {
		return 0, false
	}
	return s.Number, true
}

// stepIfDue lets the scheduler see whose turn it is, and returns how long until the next step.
func (c *Core) stepIfDue(now float64) float64 {
	s := c.Shared
	if now >= s.stepAt+stepInterval {
		s.stepAt = now
		s.disableCorroborationIfTold()
		c.stepScheduler(now, probing.Tick{})
	}
	if now >= s.reportAt+reportInterval {
		s.reportAt = now
		r := s.scheduler.Report(now)
		for i := range r.Servers {
			r.Servers[i].ID = s.serverIDs[r.Servers[i].ServerKey]
		}
		s.report.Store(&r)
	}
	return max(s.stepAt+stepInterval-now, 0)
}

// sendOutbox passes on what the scheduler wants passed on.
func (s *Shared) sendOutbox() {
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

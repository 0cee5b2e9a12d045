package relay

import "capersail/decide"

// Endpoint is one line of the list of servers, in names.
type Endpoint struct {
	ID             string
	Address        string
	Zone           string
	Cell           int32
	Mode           decide.EndpointState
	StartedAt      float64 // Unix time in milliseconds, 0 for long ago
	Load           float64 // load over capacity that the list itself tells, negative if it does not
	SupportsResume bool    // it takes streams up where they stopped
}

// Server is one server as the server side needs it.
type Server struct {
	Number          decide.ServerID
	ID              string
	Address         string
	Load            float64 // as the list told it last, negative if it does not
	SupportsResume  bool
	mode            decide.EndpointState // as the module is told: a server out by hand, or of a list that has lapsed, drains
	listedMode      decide.EndpointState // as the list has it
	ejectedManually bool                 // out by hand
	// unreadyAt is when mode was last seen to leave Ready, on the relay's clock.
	unreadyAt    float64
	delayNotedAt float64 // when the module was last told of a slow message there
	current      *Server // the roster's own, of which an attempt holds a copy

	startedUnix   float64 // Unix ms, as the list has it
	startedAt     float64 // the same on the relay's clock, as of when the list first had it
	zone          string
	cell          int32
	recorded      bool // the tap knows mode and start
	recordedMode  decide.EndpointState
	recordedStart float64
}

// endpointList turns names into the module's numbers and holds the newest list. The Exchange guards it.
type endpointList struct {
	deployment      *Deployment
	clock           *Clock
	byID            map[string]*Server
	servers         []*Server       // by number; a server keeps its number for this relay's life
	ejectedManually map[string]bool // the ids of servers that are out by hand
	leaseExpired    bool            // the list cannot be confirmed, and nothing new is sent by it
	complete        bool            // a whole list has come from discovery, or one with entries from the configuration
}

// apply writes a list into the roster and returns it in the module's numbers.
func (l *endpointList) apply(kind decide.WatchKind, list []Endpoint) decide.WatchEvent {
	if kind != decide.Delta && kind != decide.WatchFailed { // who is not in a whole list is gone
		listed := map[string]bool{}
		for _, e := range list {
			listed[e.ID] = true
		}
		for _, s := range l.servers {
			if !listed[s.ID] {
				s.listedMode = decide.Removed
				l.setMode(s)
			}
		}
	}
	m := decide.WatchEvent{Kind: kind}
	l.complete = l.complete || kind == decide.Snapshot || kind == decide.Cached && len(list) > 0
	for _, e := range list {
		s := l.byID[e.ID]
		if s == nil {
			s = &Server{Number: decide.ServerID(len(l.servers)), ID: e.ID, ejectedManually: l.ejectedManually[e.ID]}
			l.byID[e.ID] = s
			l.servers = append(l.servers, s)
		}
		s.listedMode, s.Load, s.SupportsResume, s.zone, s.cell = e.Mode, e.Load, e.SupportsResume, e.Zone, e.Cell
		if s.startedUnix != e.StartedAt {
			s.startedUnix, s.startedAt = e.StartedAt, l.clock.FromUnixMillis(e.StartedAt)
		}
		l.setMode(s)
		if e.Address != "" { // an entry that says Gone may come without one
			s.Address = e.Address
		}
		m.Endpoints = append(m.Endpoints, l.entry(s))
	}
	return m
}

// setMode sets the mode that the module is told from what is known of a server: a ready one drains that is out by hand, or
// stands on a list that has lapsed. It tells whether the mode has changed.
func (l *endpointList) setMode(s *Server) (changed bool) {
	now, mode := l.clock.NowMillis(), s.operatorMode()
	if mode == decide.Ready && l.leaseExpired {
		mode = decide.Draining
	}
	if s.mode == decide.Ready && mode != decide.Ready {
		s.unreadyAt = now
	}
	changed = s.mode != mode
	s.mode = mode
	return changed
}

// operatorMode is the server's mode as operators see it: by the list, or out by hand.
func (s *Server) operatorMode() decide.EndpointState {
	if s.ejectedManually && s.listedMode == decide.Ready {
		return decide.Draining
	}
	return s.listedMode
}

// refreshModes sets the mode of every server as of now, and returns what that changes for the module.
func (l *endpointList) refreshModes() decide.WatchEvent {
	m := decide.WatchEvent{Kind: decide.LocalDelta}
	for _, s := range l.servers {
		if l.setMode(s) {
			m.Endpoints = append(m.Endpoints, l.entry(s))
		}
	}
	return m
}

// entry is the server as the module is told of it.
func (l *endpointList) entry(s *Server) decide.Endpoint {
	return decide.Endpoint{Server: s.Number, State: s.mode, Zone: l.deployment.Zones[s.zone], Cell: s.cell, RendezvousKey: ServerKey(s.ID),
		StartedAt: Duration(s.startedAt)}
}

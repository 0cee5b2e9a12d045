package relay

import (
	"time"

	"capersail/decide"
)

// Endpoint is one line of the endpoint list, in names.
type Endpoint struct {
	ID             string
	Address        string
	Zone           string
	Cell           int32
	State          decide.EndpointState
	StartedAt      time.Time // the zero time for long ago
	Load           float64   // load over capacity that the list itself tells, negative if it does not
	SupportsResume bool      // it takes streams up where they stopped
}

// Server is one server that an endpoint list has named. What is not exported is the table's, under its lock.
type Server struct {
	Number         decide.ServerID // for this relay's life
	ID             string
	Address        string
	Load           float64 // as the list had it last, negative if it does not
	SupportsResume bool

	zone        string
	cell        int32
	startedWall time.Time     // as the list has it
	startedAt   time.Duration // the same on the relay's clock, as of when the list first had it

	listedState     decide.EndpointState // as the list has it
	ejectedManually bool                 // by an operator
	// state is what the decision module is notified of: a ready server that is ejected manually, or whose
	// list's lease has expired, drains.
	state     decide.EndpointState
	unreadyAt time.Duration // when state was last seen to leave Ready

	delayReportedAt time.Duration // when the decision module was last notified of a slow message there
	lastRecorded    recordedEndpoint
	listEntry       *Server // the endpoint list's own, of which an attempt holds a copy
}

// recordedEndpoint is what the event recorder last had of a server.
type recordedEndpoint struct {
	known     bool
	state     decide.EndpointState
	startedAt time.Time
}

// endpointList holds the newest endpoint list and gives servers their numbers. The table's lock guards it.
type endpointList struct {
	deployment *Deployment
	clock      *Clock
	byID       map[string]*Server
	servers    []*Server // by number; none is ever dropped
	ejectedIDs map[string]bool
	// leaseExpired: the list has not been confirmed for too long, and nothing new is sent by it.
	leaseExpired bool
	// hasList: a snapshot has come from discovery, or a list with entries from the configuration.
	hasList bool
}

// applyList takes in a list and returns it in the decision module's numbers. Whoever is not in a snapshot is
// removed.
func (l *endpointList) applyList(kind decide.WatchKind, list []Endpoint) decide.WatchEvent {
	if kind != decide.Delta && kind != decide.WatchFailed {
		l.removeOthers(list)
	}
	l.hasList = l.hasList || kind == decide.Snapshot || kind == decide.CachedSnapshot && len(list) > 0
	event := decide.WatchEvent{Kind: kind}
	for _, e := range list {
		s := l.byID[e.ID]
		if s == nil {
			s = l.add(e.ID)
		}
		l.update(s, e)
		event.Endpoints = append(event.Endpoints, l.decisionEndpoint(s))
	}
	return event
}

// byNumber returns a server by its number, nil if no list has named it.
func (l *endpointList) byNumber(n decide.ServerID) *Server {
	if n < 0 || int(n) >= len(l.servers) {
		return nil
	}
	return l.servers[n]
}

// removeOthers removes the servers that a snapshot does not list.
func (l *endpointList) removeOthers(snapshot []Endpoint) {
	listed := map[string]bool{}
	for _, e := range snapshot {
		listed[e.ID] = true
	}
	for _, s := range l.servers {
		if !listed[s.ID] {
			s.listedState = decide.Removed
			l.updateState(s)
		}
	}
}

// add gives a new server its number.
func (l *endpointList) add(id string) *Server {
	s := &Server{Number: decide.ServerID(len(l.servers)), ID: id, ejectedManually: l.ejectedIDs[id]}
	l.byID[id] = s
	l.servers = append(l.servers, s)
	return s
}

// update takes in what a list says of a server.
func (l *endpointList) update(s *Server, e Endpoint) {
	s.listedState = e.State
	s.Load = e.Load
	s.SupportsResume = e.SupportsResume
	s.zone = e.Zone
	s.cell = e.Cell
	if !s.startedWall.Equal(e.StartedAt) {
		s.startedWall = e.StartedAt
		s.startedAt = l.clock.FromWallTime(e.StartedAt)
	}
	if e.Address != "" { // an entry that removes a server may come without one
		s.Address = e.Address
	}
	l.updateState(s)
}

// setManualEjections sets the servers that are ejected manually, all of them, and returns what that changes
// for the decision module.
func (l *endpointList) setManualEjections(ids map[string]bool) decide.WatchEvent {
	l.ejectedIDs = ids
	event := decide.WatchEvent{Kind: decide.LocalDelta}
	for _, s := range l.servers {
		if s.ejectedManually == ids[s.ID] {
			continue
		}
		s.ejectedManually = ids[s.ID]
		l.updateState(s)
		event.Endpoints = append(event.Endpoints, l.decisionEndpoint(s))
	}
	return event
}

// refreshStates sets the state of every server as of now, and returns what that changes for the decision
// module.
func (l *endpointList) refreshStates() decide.WatchEvent {
	event := decide.WatchEvent{Kind: decide.LocalDelta}
	for _, s := range l.servers {
		if l.updateState(s) {
			event.Endpoints = append(event.Endpoints, l.decisionEndpoint(s))
		}
	}
	return event
}

// updateState sets the state that the decision module is notified of, from all that is known of a server. It
// tells whether the state has changed.
func (l *endpointList) updateState(s *Server) (changed bool) {
	state := s.operatorState()
	if state == decide.Ready && l.leaseExpired {
		state = decide.Draining
	}
	if s.state == decide.Ready && state != decide.Ready {
		s.unreadyAt = l.clock.Now()
	}
	changed = s.state != state
	s.state = state
	return changed
}

// operatorState returns the server's state as operators see it: by the list and their own ejections.
func (s *Server) operatorState() decide.EndpointState {
	if s.ejectedManually && s.listedState == decide.Ready {
		return decide.Draining
	}
	return s.listedState
}

// decisionEndpoint returns the server as the decision module gets it.
func (l *endpointList) decisionEndpoint(s *Server) decide.Endpoint {
	return decide.Endpoint{
		Server:        s.Number,
		State:         s.state,
		Zone:          l.deployment.Zones[s.zone],
		Cell:          s.cell,
		RendezvousKey: ServerKey(s.ID),
		StartedAt:     s.startedAt.Round(decisionPrecision),
	}
}

// UpdateEndpoints takes in a list or a watch event: at once for the check before an attempt's first byte,
// and in turn for the decision module.
func (t *RequestTable) UpdateEndpoints(kind decide.WatchKind, list []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.post(t.endpoints.applyList(kind, list))
	if t.Recorder != nil {
		t.recordWatchEvent(kind)
	}
	// Whoever has a connection to a server that drains now may want to know.
	for _, r := range t.requests.byID {
		if r.latest.inFlight && r.latest.conn != nil && r.latest.currentServer().state != decide.Ready {
			r.latest.conn.Wake()
		}
	}
}

// Server returns what is known of a server by its id; false if no list has named it.
func (t *RequestTable) Server(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints.byID[id]; s != nil {
		return *s, true
	}
	return Server{}, false
}

// ServerReady tells whether something new may go to a server, by the newest list.
func (t *RequestTable) ServerReady(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints.byID[id]
	return s != nil && s.state == decide.Ready
}

// EverListed tells whether any list has named a server of that id.
func (t *RequestTable) EverListed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints.byID[id] != nil
}

// HasEndpointList tells whether the relay has a list to go by: a snapshot from discovery, or one with
// entries from its configuration.
func (t *RequestTable) HasEndpointList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints.hasList
}

// ServerIDs appends the ids of the servers from a number on, in the order of their numbers.
func (t *RequestTable) ServerIDs(from int, out []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints.servers[min(from, len(t.endpoints.servers)):] {
		out = append(out, s.ID)
	}
	return out
}

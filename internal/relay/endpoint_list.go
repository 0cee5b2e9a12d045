package relay

import (
	"time"

	"capersail/decide"
)

// Endpoint is one entry of the endpoint list, as discovery delivers it.
type Endpoint struct {
	ID             string
	Address        string
	Zone           string
	Cell           int32
	State          decide.EndpointState
	StartedAt      time.Time // start of the server, the zero time for "long ago"
	Load           float64   // load divided by capacity as the list reports it, negative if it does not
	SupportsResume bool      // the server can resume interrupted streams
}

// Server is one server that an endpoint list has named. The table's lock guards the unexported fields.
type Server struct {
	Number         decide.ServerID // constant for the life of this process
	ID             string
	Address        string
	Load           float64 // load divided by capacity from the newest list, negative if the list has none
	SupportsResume bool

	zone        string
	cell        int32
	startedWall time.Time     // start of the server, from the list
	startedAt   time.Duration // startedWall on the relay's clock, converted when the list first reported it

	listedState     decide.EndpointState // state in the newest list
	ejectedManually bool                 // ejected by an operator
	// state is the state that the decision module is notified of. A ready server is draining to the module if
	// it is ejected manually, or if the lease of the endpoint list has expired.
	state     decide.EndpointState
	unreadyAt time.Duration // when state last changed from Ready to another state

	delayReportedAt time.Duration // when the decision module was last notified of a slow message
	lastRecorded    recordedEndpoint
	listEntry       *Server // this server's entry in endpointList; set in the copy that an attempt holds
}

// recordedEndpoint is the state of a server that was last passed to the event recorder.
type recordedEndpoint struct {
	known     bool
	state     decide.EndpointState
	startedAt time.Time
}

// endpointList contains the newest endpoint list and assigns numbers to servers. The table's lock guards it.
type endpointList struct {
	deployment *Deployment
	clock      *Clock
	byID       map[string]*Server
	servers    []*Server // indexed by number; entries are never deleted
	ejectedIDs map[string]bool
	// leaseExpired says that the lease of the list has expired, so that it is not used for new requests.
	leaseExpired bool
	// hasList says that discovery has delivered a snapshot, or that the configuration contains endpoints.
	hasList bool
}

// applyList applies a list or a watch event and returns it as an event for the decision module. A snapshot
// removes the servers that it does not contain.
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

// byNumber returns the server with a number, or nil if there is none.
func (l *endpointList) byNumber(n decide.ServerID) *Server {
	if n < 0 || int(n) >= len(l.servers) {
		return nil
	}
	return l.servers[n]
}

// removeOthers sets all servers that a snapshot does not contain to removed.
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

// add adds a new server and assigns its number.
func (l *endpointList) add(id string) *Server {
	s := &Server{Number: decide.ServerID(len(l.servers)), ID: id, ejectedManually: l.ejectedIDs[id]}
	l.byID[id] = s
	l.servers = append(l.servers, s)
	return s
}

// update applies a list entry to a server.
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
	if e.Address != "" { // an entry that removes a server may have no address
		s.Address = e.Address
	}
	l.updateState(s)
}

// setManualEjections replaces the set of servers that are ejected manually, and returns the changed servers
// as an event for the decision module.
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

// refreshStates recomputes the state of every server, and returns the changed servers as an event for the
// decision module.
func (l *endpointList) refreshStates() decide.WatchEvent {
	event := decide.WatchEvent{Kind: decide.LocalDelta}
	for _, s := range l.servers {
		if l.updateState(s) {
			event.Endpoints = append(event.Endpoints, l.decisionEndpoint(s))
		}
	}
	return event
}

// updateState recomputes the state of a server that the decision module is notified of. It reports whether
// the state has changed.
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

// operatorState returns the server's state as operators see it: the state in the list, changed by manual
// ejections.
func (s *Server) operatorState() decide.EndpointState {
	if s.ejectedManually && s.listedState == decide.Ready {
		return decide.Draining
	}
	return s.listedState
}

// decisionEndpoint returns a server in the form that the decision module uses.
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

// UpdateEndpoints applies an endpoint list or a watch event. The check before an attempt's first byte uses it
// at once; the decision module gets it as a queued event.
func (t *RequestTable) UpdateEndpoints(kind decide.WatchKind, list []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.post(t.endpoints.applyList(kind, list))
	if t.Recorder != nil {
		t.recordWatchEvent(kind)
	}
	// Wake the server sides whose server is no longer ready, so that they can react to the drain.
	for _, r := range t.requests.byID {
		if r.lastAttempt.inFlight && r.lastAttempt.conn != nil &&
			r.lastAttempt.currentServer().state != decide.Ready {
			r.lastAttempt.conn.Wake()
		}
	}
}

// Server returns a copy of the server with an id, and false if no list has named it.
func (t *RequestTable) Server(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints.byID[id]; s != nil {
		return *s, true
	}
	return Server{}, false
}

// ServerReady reports whether new requests may be sent to a server: it is ready in the newest list, not
// ejected manually, and the lease of the list has not expired.
func (t *RequestTable) ServerReady(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints.byID[id]
	return s != nil && s.state == decide.Ready
}

// EverListed reports whether any list has named a server with this id.
func (t *RequestTable) EverListed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints.byID[id] != nil
}

// HasEndpointList reports whether the relay has an endpoint list: a snapshot from discovery, or endpoints
// from its configuration.
func (t *RequestTable) HasEndpointList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints.hasList
}

// ServerIDs appends the ids of the servers to out, in the order of their numbers, starting with the number
// from.
func (t *RequestTable) ServerIDs(from int, out []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints.servers[min(from, len(t.endpoints.servers)):] {
		out = append(out, s.ID)
	}
	return out
}

package model

import (
	"fmt"
	"time"

	"capersail/decide"
)

// setupLatency is how long a connection takes to open.
const setupLatency = 20 * ms

// ServerState is whether a server works, and how it fails.
type ServerState uint8

// The states of a server.
const (
	Healthy ServerState = iota
	Dead                // rejects connections
	Silent              // answers nothing
	Failing             // answers with errors
)

// Server is a simulated server.
type Server struct {
	decide.Endpoint
	Capacity         float64 // work a second, once warm
	MaxConnections   int     // greatest number of connections, those of probes included; 0 for no limit
	state            ServerState
	runningSince     time.Duration
	connections      map[*client]bool
	probeConnections map[*Relay]time.Duration // by relay: until when its connection for probes is kept open
	recentForwards   []time.Duration
	loadHistory      []float64 // a sample for each loadInterval since runningSince
	Placed           int       // connections placed on it in all
	Probes           int
	idleSince        time.Duration // since when it has had no connection; negative while it has any
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.connections) }

// full reports whether a server has reached MaxConnections, connections of probes included.
func (s *Server) full(now time.Duration) bool {
	if s.MaxConnections == 0 {
		return false
	}
	n := len(s.connections)
	for _, until := range s.probeConnections {
		if until > now {
			n++
		}
	}
	return n >= s.MaxConnections
}

// rendezvousFactor spreads the servers' rendezvous keys over 64 bits; rendezvousInverse is its inverse modulo
// 1<<64.
const (
	rendezvousFactor  = 0x9e3779b97f4a7c15
	rendezvousInverse = 0xf1de83e19937733d
)

// AddServer adds a server that started at a time, or long ago if since is 0. No relay is notified.
func (f *Fleet) AddServer(zone decide.Zone, since time.Duration) *Server {
	id := decide.ServerID(len(f.Servers))
	s := &Server{
		Endpoint: decide.Endpoint{
			Server: id, State: decide.Ready, Zone: zone, Cell: int32(zone),
			RendezvousKey: (uint64(id) + 1) * rendezvousFactor, StartedAt: since,
		},
		Capacity:         1,
		runningSince:     f.Now,
		connections:      map[*client]bool{},
		probeConnections: map[*Relay]time.Duration{},
		idleSince:        f.Now,
	}
	f.Servers = append(f.Servers, s)
	f.discovery.list = append(f.discovery.list, s.Endpoint)
	return s
}

// serverByKey returns the server with a rendezvous key, nil if there is none.
func (f *Fleet) serverByKey(key uint64) *Server {
	i := int(key*rendezvousInverse) - 1
	if i < 0 || i >= len(f.Servers) {
		return nil
	}
	return f.Servers[i]
}

// FailServer puts a server into a failed state and resets its connections.
func (f *Fleet) FailServer(s *Server, state ServerState) {
	s.state = state
	for _, c := range f.sortedClients() {
		if c.server == s {
			f.closeConnection(c, decide.Reset)
			f.reconnectLater(c, f.returnDelay())
		}
	}
}

// RestartServer starts a failed server again as a new process, which is in slow start.
func (f *Fleet) RestartServer(s *Server) {
	s.state, s.StartedAt, s.runningSince, s.loadHistory = Healthy, f.Now, f.Now, nil
	f.AnnounceServer(s, decide.Ready)
}

// FailServerWithErrors makes a server answer every attempt with an error.
func (f *Fleet) FailServerWithErrors(s *Server) { s.state = Failing }

// ReplaceServer drains a server, stops it after the drain, and adds a server in slow start in the same zone.
func (f *Fleet) ReplaceServer(s *Server, drain time.Duration) {
	f.AnnounceServer(s, decide.Draining)
	for _, c := range f.sortedClients() { // the draining server asks its clients to leave, one by one
		if c.server == s {
			f.After(f.RandomDuration(0, drain), func() { f.migrate(c, s) })
		}
	}
	f.After(drain, func() {
		f.FailServer(s, Dead)
		f.AnnounceServer(s, decide.Removed)
		f.AnnounceServer(f.AddServer(s.Zone, f.Now), decide.Ready)
	})
}

// slowStartFactor returns the fraction of its capacity that a server has, by the time since its start.
func (f *Fleet) slowStartFactor(s *Server) float64 {
	rules := f.settings.Rules
	age := f.Now - s.StartedAt
	if s.StartedAt == 0 || age >= rules.SlowStartWindow {
		return 1
	}
	return rules.SlowStartCapacity + (1-rules.SlowStartCapacity)*float64(age)/float64(rules.SlowStartWindow)
}

// Utilisation returns the load of a server over its present capacity.
func (f *Fleet) Utilisation(s *Server) float64 {
	load := float64(len(s.connections)) * f.connectionLoad
	if f.cfg.GroupWork {
		groups := map[uint64]bool{}
		for c := range s.connections {
			groups[c.req.Group] = true
		}
		load += float64(len(groups)) * f.groupLoad
	}
	return load / s.Capacity / f.slowStartFactor(s)
}

// probe simulates a relay's probe of a server. The answer has the last load report, which is reportDelay old
// or older.
func (f *Fleet) probe(r *Relay, s *Server) {
	f.count("probes")
	s.Probes++
	ev := decide.ProbeResult{Server: s.Server, Latency: 2 * ms, Report: decide.NoLoadReport}
	if f.Now > s.probeConnections[r] && s.state == Healthy {
		f.count("probe connections")
		if s.full(f.Now) {
			ev.Status = decide.ConnectFailed
			f.count("probe connections refused")
		}
	}
	if s.probeConnections[r] = f.Now + 10*time.Second; ev.Status != decide.OK {
		delete(s.probeConnections, r)
	}
	switch {
	case s.state == Dead:
		ev.Status = decide.ConnectFailed
	case s.state == Silent || r.isUnreachable(s):
		ev.Status, ev.Latency = decide.TimedOut, 200*ms
	case ev.Status == decide.OK:
		at := (f.Now - reportDelay) / reportInterval * reportInterval
		if i := int((at - s.runningSince) / loadInterval); at >= s.runningSince && i < len(s.loadHistory) {
			ev.Report.Load = s.loadHistory[i]
		} else if s.StartedAt > 0 { // a new server has no load yet
			ev.Report.Load = 0
		}
	}
	f.deliverLater(r, ev.Latency, ev)
}

// forward simulates an attempt that a relay forwards to a server.
func (f *Fleet) forward(r *Relay, a decide.Forward) {
	f.count("sends")
	s, c := f.Servers[a.Server], f.requests[a.ID]
	if c.server != nil {
		f.Fatal(fmt.Sprintf("at %s: request %d has two attempts at once", f.Now, a.ID))
	}
	if knownAt := r.drainKnownAt[s.Server]; knownAt >= 0 {
		f.Tally.LatestDrainForward = max(f.Tally.LatestDrainForward, f.Now-knownAt)
	}
	c.server = s
	c.attempt++
	endAttempt := func(took time.Duration, status decide.Status) {
		f.count(status.String())
		c.server = nil
		f.deliverLater(r, took, decide.Outcome{
			ID: a.ID, Attempt: c.attempt, Server: s.Server,
			Status: status, Elapsed: took, Report: decide.NoLoadReport,
		})
	}
	switch {
	case s.state == Dead:
		endAttempt(ms, decide.ConnectFailed)
	case s.state == Silent || r.isUnreachable(s):
		endAttempt(min(a.Timeout, f.settings.ConnectTimeout), decide.ConnectFailed)
	case s.state == Failing:
		endAttempt(2*ms, decide.Errored)
	case s.State != decide.Ready:
		endAttempt(ms, decide.AtCapacity)
	case s.full(f.Now):
		endAttempt(ms, decide.ConnectFailed)
	default:
		s.connections[c] = true
		r.connections++
		s.Placed++
		s.idleSince = -1
		f.recordSlowStartForward(s)
		c.endsAt = f.Now + time.Duration(f.rng.ExpFloat64()*float64(f.meanLifetime))
		f.Tally.SetupWaits = append(f.Tally.SetupWaits, f.Now-c.openedAt)
		f.deliverLater(r, setupLatency, decide.Opened{
			ID: a.ID, Attempt: c.attempt, Server: s.Server, SetupLatency: setupLatency,
		})
	}
}

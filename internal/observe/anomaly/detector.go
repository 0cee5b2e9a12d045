package anomaly

import (
	"fmt"
	"slices"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

const (
	// tickInterval is the shortest time between two searches for patterns.
	tickInterval = 100 * time.Millisecond

	// minPeers is the number of servers that a comparison with peers must exceed.
	minPeers = 3
	// fleetFraction is the fraction of the ready servers beyond which an anomaly is one of the fleet, if at
	// least minPeers servers have it.
	fleetFraction = 0.5

	minListFailures   = 2
	listFailureWindow = 10 * time.Second
)

// Detector detects anomalies of all servers. It is not safe for concurrent use.
type Detector struct {
	servers    map[string]*serverState
	serverList []*serverState // in order of arrival
	fleet      *serverState
	maxServers int
	wall       func(time.Duration) time.Time
	now        time.Duration // of the newest record or tick
	lastTickAt time.Duration

	// Sorted values of all servers as of this tick. A server is compared with their median.
	peerLoads  []float64
	peerSetups []time.Duration
}

// eventState is the state of a kind's pattern and event at a server.
type eventState struct {
	presentSince time.Duration // since when the pattern is present, 0 if it is absent
	absentSince  time.Duration // since when it is absent while an event lasts, 0 if it is present
	active       *Event        // event that has not ended, nil if there is none
}

// New returns a Detector that keeps state for at most maxServers servers. The function wall converts an
// instant of the records' clock to wall clock time.
func New(maxServers int, wall func(time.Duration) time.Time) *Detector {
	return &Detector{
		servers:    map[string]*serverState{},
		fleet:      &serverState{},
		maxServers: maxServers,
		wall:       wall,
	}
}

// unixMs converts an instant to Unix milliseconds, the unit of the times of events.
func (d *Detector) unixMs(at time.Duration) float64 { return float64(d.wall(at).UnixNano()) / 1e6 }

// Observe updates the detector's state from one record. The name is that of the record's server.
func (d *Detector) Observe(name string, r *recorder.Record) {
	d.now = max(d.now, r.At)
	if r.Server >= 0 {
		d.serverStateFor(name).observe(r)
	} else if r.Kind == recorder.EndpointListUnreachable {
		d.fleet.history.brokenConnections.add(r.At)
	}
}

// serverStateFor returns the state of a server, and creates it if needed. If there are too many servers,
// another one is evicted.
func (d *Detector) serverStateFor(name string) *serverState {
	s := d.servers[name]
	if s == nil {
		if len(d.serverList) >= d.maxServers {
			d.evictServer()
		}
		s = &serverState{name: name, report: loadReport{load: -1}}
		d.servers[name] = s
		d.serverList = append(d.serverList, s)
	}
	s.lastRecordAt = d.now
	return s
}

// evictServer discards the state of the server whose last record is the oldest, preferring servers that the
// endpoint list has never shown.
func (d *Detector) evictServer() {
	first := 0
	for i, s := range d.serverList {
		o := d.serverList[first]
		if o.listed && !s.listed || o.listed == s.listed && s.lastRecordAt < o.lastRecordAt {
			first = i
		}
	}
	delete(d.servers, d.serverList[first].name)
	d.serverList = slices.Delete(d.serverList, first, first+1)
}

// Tick looks for all patterns, at most once per tickInterval. It appends the events that have begun or ended
// to out.
func (d *Detector) Tick(now time.Duration, out []Change) []Change {
	d.now = max(d.now, now)
	if d.now-d.lastTickAt < tickInterval {
		return out
	}
	d.lastTickAt = d.now
	d.comparePeers()
	for k := range EndpointListUnreachable {
		out = d.detectKind(k, out)
	}
	return d.updateEvent(d.fleet, EndpointListUnreachable, d.findEndpointListUnreachable(), out)
}

// findEndpointListUnreachable looks for the only pattern that no single server can have.
func (d *Detector) findEndpointListUnreachable() finding {
	n := d.fleet.history.brokenConnections.countSince(d.now - listFailureWindow)
	if n < minListFailures {
		return finding{}
	}
	return finding{fmt.Sprintf("%d calls in %.0f s failed", n, listFailureWindow.Seconds()), 0.9}
}

// comparePeers collects the values of all servers that each server is compared with.
func (d *Detector) comparePeers() {
	d.peerLoads, d.peerSetups = d.peerLoads[:0], d.peerSetups[:0]
	for _, s := range d.serverList {
		if s.hasFreshLoad(d.now) {
			d.peerLoads = append(d.peerLoads, s.report.load)
		}
		if s.setups.currentMedian = s.setups.recentMedian(d.now); s.setups.currentMedian > 0 {
			d.peerSetups = append(d.peerSetups, s.setups.currentMedian)
		}
	}
	slices.Sort(d.peerLoads)
	slices.Sort(d.peerSetups)
}

// detectKind looks for one kind at all servers. If most of them have it, it is one event of the fleet.
func (d *Detector) detectKind(k Kind, out []Change) []Change {
	ready, affected := 0, 0
	for _, s := range d.serverList {
		if s.endpointState == decide.Ready {
			ready++
		}
		s.finding = d.findPattern(k, s)
		// If the whole fleet is slow, no server is slower than its peers: count all that are slower than
		// typical.
		if s.finding.evidence != "" || k == SlowSetup && s.setups.isSlowerThanTypical() {
			affected++
		}
	}
	var ofFleet finding
	if affected >= minPeers && float64(affected) > fleetFraction*float64(ready) {
		ofFleet = finding{fmt.Sprintf("%d of %d servers at once", affected, ready), 0.9}
	}
	out = d.updateEvent(d.fleet, k, ofFleet, out)
	fleet := &d.fleet.events[k]
	fleetAffected := fleet.active != nil || fleet.presentSince != 0
	for _, s := range d.serverList {
		if fleetAffected {
			s.finding = finding{}
		}
		out = d.updateEvent(s, k, s.finding, out)
	}
	return out
}

// updateEvent begins, continues or ends a server's event of a kind, after the delays of the kind.
func (d *Detector) updateEvent(s *serverState, k Kind, f finding, out []Change) []Change {
	e := &s.events[k]
	present := f.evidence != ""
	switch {
	case present && e.active != nil:
		e.absentSince = 0
		e.active.Evidence = f.evidence
		e.active.Confidence = max(e.active.Confidence, f.confidence)
	case present:
		if e.presentSince == 0 {
			e.presentSince = d.now
		}
		if d.now-e.presentSince >= kindInfos[k].beginAfter {
			out = append(out, d.beginEvent(s, k, f))
		}
	case e.active != nil:
		if e.absentSince == 0 {
			e.absentSince = d.now
		}
		leavesList := s.endpointState != decide.Ready && s != d.fleet && k != Flapping
		if leavesList || d.now-e.absentSince >= kindInfos[k].endAfter {
			out = append(out, d.endEvent(e))
		}
	default:
		e.presentSince = 0
	}
	return out
}

func (d *Detector) beginEvent(s *serverState, k Kind, f finding) Change {
	e := &s.events[k]
	e.active = &Event{
		Server:     s.name,
		Kind:       k,
		Name:       k.String(),
		From:       d.unixMs(e.presentSince),
		Evidence:   f.evidence,
		Confidence: f.confidence,
	}
	return Change{*e.active}
}

func (d *Detector) endEvent(e *eventState) Change {
	e.active.To = d.unixMs(e.absentSince)
	ended := Change{*e.active}
	*e = eventState{}
	return ended
}

// ActiveEvents returns the events that have not ended, those of the fleet first.
func (d *Detector) ActiveEvents() (all []Event) {
	for _, s := range append([]*serverState{d.fleet}, d.serverList...) {
		for _, e := range s.events {
			if e.active != nil {
				all = append(all, *e.active)
			}
		}
	}
	return all
}

package anomaly

import (
	"fmt"
	"slices"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

const (
	// tickInterval is how often patterns are looked for.
	tickInterval = 100 * time.Millisecond

	// minPeers: a server is compared with more than so many peers.
	minPeers = 3
	// fleetFraction: what more than this part of the ready servers, and peersMin of them, do at once is the
	// fleet's.
	fleetFraction = 0.5

	minListFailures   = 2
	listFailureWindow = 10 * time.Second
)

// Detector looks for anomalies at all servers. It is not safe for concurrent use.
type Detector struct {
	servers    map[string]*serverState
	serverList []*serverState // as they came
	fleet      *serverState
	maxServers int
	wall       func(time.Duration) time.Time
	now        time.Duration // of the newest record or tick
	lastTickAt time.Duration

	// Of all servers as of this tick, in order: what is far from their median is far from its peers.
	peerLoads  []float64
	peerSetups []time.Duration
}

// eventState is how a kind's pattern and event stand at a server.
type eventState struct {
	presentSince time.Duration // the pattern is there, 0 if it is not
	absentSince  time.Duration // it is not, while an event lasts; 0 if it is
	active       *Event        // that lasts
}

// New returns a Detector that remembers so many servers at once at most. Wall turns an instant of the
// records' clock into the wall clock's.
func New(maxServers int, wall func(time.Duration) time.Time) *Detector {
	return &Detector{
		servers:    map[string]*serverState{},
		fleet:      &serverState{},
		maxServers: maxServers,
		wall:       wall,
	}
}

// unixMs is an instant as events have it.
func (d *Detector) unixMs(at time.Duration) float64 { return float64(d.wall(at).UnixNano()) / 1e6 }

// Observe takes one record; name is its server's.
func (d *Detector) Observe(name string, r *recorder.Record) {
	d.now = max(d.now, r.At)
	if r.Server >= 0 {
		d.serverStateFor(name).observe(r)
	} else if r.Kind == recorder.EndpointListUnreachable {
		d.fleet.history.brokenConnections.add(r.At)
	}
}

// serverStateFor finds or begins what is known of a serverStateFor. Another one is evicted if there are too many.
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

// evictServer forgets the server that nothing was heard of for the longest, one that is not listed first.
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

// Tick looks for all patterns, every tickEvery at most. It appends the events that have begun or ended to
// out.
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

// findEndpointListUnreachable is the pattern of the fleet alone.
func (d *Detector) findEndpointListUnreachable() finding {
	n := d.fleet.history.brokenConnections.countSince(d.now - listFailureWindow)
	if n < minListFailures {
		return finding{}
	}
	return finding{fmt.Sprintf("%d calls in %.0f s failed", n, listFailureWindow.Seconds()), 0.9}
}

// comparePeers gathers what servers are compared with, once for all of them.
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

// detectKind looks for one kind at all servers: what most of them do at once is the fleet's.
func (d *Detector) detectKind(k Kind, out []Change) []Change {
	ready, there := 0, 0
	for _, s := range d.serverList {
		if s.endpointState == decide.Ready {
			ready++
		}
		s.finding = d.findPattern(k, s)
		// A fleet that is slow has no peers to stand out from.
		if s.finding.evidence != "" || k == SlowSetup && s.setups.isSlowerThanTypical() {
			there++
		}
	}
	var ofFleet finding
	if there >= minPeers && float64(there) > fleetFraction*float64(ready) {
		ofFleet = finding{fmt.Sprintf("%d of %d servers at once", there, ready), 0.9}
	}
	out = d.updateEvent(d.fleet, k, ofFleet, out)
	fleet := &d.fleet.events[k]
	isFleets := fleet.active != nil || fleet.presentSince != 0
	for _, s := range d.serverList {
		if isFleets {
			s.finding = finding{}
		}
		out = d.updateEvent(s, k, s.finding, out)
	}
	return out
}

// updateEvent begins, goes on with or ends a server's event of a kind, by the kind's times.
func (d *Detector) updateEvent(s *serverState, k Kind, f finding, out []Change) []Change {
	e := &s.events[k]
	there := f.evidence != ""
	switch {
	case there && e.active != nil:
		e.absentSince = 0
		e.active.Evidence = f.evidence
		e.active.Confidence = max(e.active.Confidence, f.confidence)
	case there:
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
		leaves := s.endpointState != decide.Ready && s != d.fleet && k != Flapping
		if leaves || d.now-e.absentSince >= kindInfos[k].endAfter {
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

// ActiveEvents lists the events that last, the fleet's first.
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

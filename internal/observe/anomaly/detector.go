package anomaly

import (
	"fmt"
	"slices"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

const (
	// tickEvery is how often patterns are looked for.
	tickEvery = 100 * time.Millisecond

	// peersMin: a server is compared with more than so many peers.
	peersMin = 3
	// fleetPart: what more than this part of the ready servers, and peersMin of them, do at once is the
	// fleet's.
	fleetPart = 0.5

	listFailuresMin   = 2
	listFailureWindow = 10 * time.Second
)

// Detector looks for anomalies at all servers. It is not safe for concurrent use.
type Detector struct {
	servers    map[string]*serverState
	order      []*serverState // as they came
	fleet      *serverState
	maxServers int
	wall       func(time.Duration) time.Time
	now        time.Duration // of the newest record or tick
	tickedAt   time.Duration

	// Of all servers as of this tick, in order: what is far from their median is far from its peers.
	loads  []float64
	setups []time.Duration
}

// eventState is how a kind's pattern and event stand at a server.
type eventState struct {
	seenSince   time.Duration // the pattern is there, 0 if it is not
	absentSince time.Duration // it is not, while an event lasts; 0 if it is
	current     *Event        // that lasts
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
		d.server(name).observe(r)
	} else if r.Kind == recorder.EndpointListUnreachable {
		d.fleet.happened.breaks.add(r.At)
	}
}

// server finds or begins what is known of a server. Another one is evicted if there are too many.
func (d *Detector) server(name string) *serverState {
	s := d.servers[name]
	if s == nil {
		if len(d.order) >= d.maxServers {
			d.evictServer()
		}
		s = &serverState{name: name, report: loadReport{load: -1}}
		d.servers[name] = s
		d.order = append(d.order, s)
	}
	s.touchedAt = d.now
	return s
}

// evictServer forgets the server that nothing was heard of for the longest, one that is not listed first.
func (d *Detector) evictServer() {
	first := 0
	for i, s := range d.order {
		o := d.order[first]
		if o.listed && !s.listed || o.listed == s.listed && s.touchedAt < o.touchedAt {
			first = i
		}
	}
	delete(d.servers, d.order[first].name)
	d.order = slices.Delete(d.order, first, first+1)
}

// Tick looks for all patterns, every tickEvery at most. It appends the events that have begun or ended to
// out.
func (d *Detector) Tick(now time.Duration, out []Change) []Change {
	d.now = max(d.now, now)
	if d.now-d.tickedAt < tickEvery {
		return out
	}
	d.tickedAt = d.now
	d.comparePeers()
	for k := range EndpointListUnreachable {
		out = d.detectKind(k, out)
	}
	return d.updateEvent(d.fleet, EndpointListUnreachable, d.findListUnreachable(), out)
}

// findListUnreachable is the pattern of the fleet alone.
func (d *Detector) findListUnreachable() finding {
	n := d.fleet.happened.breaks.countSince(d.now - listFailureWindow)
	if n < listFailuresMin {
		return finding{}
	}
	return finding{fmt.Sprintf("%d calls in %.0f s failed", n, listFailureWindow.Seconds()), 0.9}
}

// comparePeers gathers what servers are compared with, once for all of them.
func (d *Detector) comparePeers() {
	d.loads, d.setups = d.loads[:0], d.setups[:0]
	for _, s := range d.order {
		if s.hasFreshLoad(d.now) {
			d.loads = append(d.loads, s.report.load)
		}
		if s.setups.latest = s.setups.recentMedian(d.now); s.setups.latest > 0 {
			d.setups = append(d.setups, s.setups.latest)
		}
	}
	slices.Sort(d.loads)
	slices.Sort(d.setups)
}

// detectKind looks for one kind at all servers: what most of them do at once is the fleet's.
func (d *Detector) detectKind(k Kind, out []Change) []Change {
	ready, there := 0, 0
	for _, s := range d.order {
		if s.mode == decide.Ready {
			ready++
		}
		s.finding = d.find(k, s)
		// A fleet that is slow has no peers to stand out from.
		if s.finding.evidence != "" || k == SlowSetup && s.setups.isSlow() {
			there++
		}
	}
	var ofFleet finding
	if there >= peersMin && float64(there) > fleetPart*float64(ready) {
		ofFleet = finding{fmt.Sprintf("%d of %d servers at once", there, ready), 0.9}
	}
	out = d.updateEvent(d.fleet, k, ofFleet, out)
	fleet := &d.fleet.events[k]
	isFleets := fleet.current != nil || fleet.seenSince != 0
	for _, s := range d.order {
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
	case there && e.current != nil:
		e.absentSince = 0
		e.current.Evidence = f.evidence
		e.current.Confidence = max(e.current.Confidence, f.confidence)
	case there:
		if e.seenSince == 0 {
			e.seenSince = d.now
		}
		if d.now-e.seenSince >= kinds[k].beginAfter {
			out = append(out, d.beginEvent(s, k, f))
		}
	case e.current != nil:
		if e.absentSince == 0 {
			e.absentSince = d.now
		}
		leaves := s.mode != decide.Ready && s != d.fleet && k != Flapping
		if leaves || d.now-e.absentSince >= kinds[k].endAfter {
			out = append(out, d.endEvent(e))
		}
	default:
		e.seenSince = 0
	}
	return out
}

func (d *Detector) beginEvent(s *serverState, k Kind, f finding) Change {
	e := &s.events[k]
	e.current = &Event{
		Server:     s.name,
		Kind:       k,
		Name:       k.String(),
		From:       d.unixMs(e.seenSince),
		Evidence:   f.evidence,
		Confidence: f.confidence,
	}
	return Change{*e.current}
}

func (d *Detector) endEvent(e *eventState) Change {
	e.current.To = d.unixMs(e.absentSince)
	ended := Change{*e.current}
	*e = eventState{}
	return ended
}

// ActiveEvents lists the events that last, the fleet's first.
func (d *Detector) ActiveEvents() (all []Event) {
	for _, s := range append([]*serverState{d.fleet}, d.order...) {
		for _, e := range s.events {
			if e.current != nil {
				all = append(all, *e.current)
			}
		}
	}
	return all
}

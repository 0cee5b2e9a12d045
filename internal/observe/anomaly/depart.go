// Package anomaly finds where a server departs from its baseline: against its own past, and against its peers in
// the same seconds. It does no I/O and has no clock; it is fed the recorder's records and told when time passes.
// Each kind of event is a named pattern with its evidence. A change of the whole fleet is one event of the fleet.
package anomaly

import (
	"fmt"
	"math"
	"slices"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// Kind is a way to depart.
type Kind uint8

// The kinds.
const (
	Unresponsive            Kind = iota // answers nothing, without a reset
	Unreachable                         // refuses connections, though the list has it
	LateProbeReplies                    // answers probes late, with the numbers of before
	FrozenReport                        // its report repeats while connections come and go there
	ErrorBurst                          // a burst of errors
	SlowSetup                           // sets up slower than its peers, and than it used to
	UnannouncedRestart                  // a new process, of which the list says nothing
	UnannouncedDrain                    // sends its clients away, of which the list says nothing
	Flapping                            // the list takes it out and in again
	UnevenLoad                          // loaded far beyond its peers
	RejectingAll                        // listed, but full to whoever comes
	EndpointListUnreachable             // of the fleet: the list is out of reach
	kindCount                           // that are found here
)

// RelayChanged is of the fleet: another relay has come, failed, left or changed. It is told, not found here.
const RelayChanged = kindCount

var kindNames = [kindCount + 1]string{"silent", "unreachable", "late answers", "frozen report", "errors", "slow", "restarted unsaid",
	"drain unsaid", "flapping", "uneven load", "refusing", "list out of reach", "relays"}

func (k Kind) String() string { return kindNames[min(k, RelayChanged)] }

// ParseKind finds a kind by its name.
func ParseKind(name string) (Kind, bool) {
	i := slices.Index(kindNames[:], name)
	return Kind(max(i, 0)), i >= 0
}

// beginAfter is how long a pattern must be there before its event begins, release how long it must be absent before the
// event ends, in ms: an event does not flutter.
var beginAfter, endAfter [kindCount]float64

func init() {
	for k := range kindCount {
		endAfter[k] = 3000
	}
	beginAfter[SlowSetup], beginAfter[UnevenLoad] = 300, 4000
	endAfter[SlowSetup], endAfter[UnevenLoad], endAfter[Flapping], endAfter[EndpointListUnreachable] = 5000, 5000, 30_000, 8000
}

// The figures of the patterns. Times are in milliseconds.
const (
	window      = 3000.0 // in which a burst falls
	burst       = 4      // so many make one
	inRow       = 3      // or so many without a success between them
	fullInRow   = 2      // the same of a server that says it is full, where its load does not
	fullLoad    = 0.7
	rowFor      = 60_000.0
	muteProbes  = 2      // unanswered in a row
	lateLeast   = 60.0   // an answer to a probe is never late under this
	lateTimes   = 5.0    // and late beyond this multiple of what is usual for the server
	frozenFor   = 4000.0 // a report that repeats for so long
	frozenReads = 5      // in so many readings
	frozenMoves = 4      // while so many connections came or went
	slowLeast   = 15.0   // a set-up is not slow by less than this
	slowTimes   = 3.0    // and slow beyond this multiple of its peers' and of its own past
	slowSamples = 4      // at least, and the newest slowMost, of the last slowFor
	slowMost    = 6
	slowFor     = 5000.0
	pastSamples = 12 // before there is a past
	pastWeight  = 1.0 / 32
	unevenBy    = 0.35   // load over the peers' median
	unevenPart  = 0.5    // and of that median
	freshFor    = 4000.0 // a reading that says something of now
	fewPeers    = 3
	flapTimes   = 4
	flapFor     = 60_000.0
	crashFor    = 1000.0    // breaks that come together
	backFor     = 120_000.0 // a relay that leaves it out may look again late

	listFails  = 2
	fleetPart  = 0.5 // beyond this part of the servers, and fewPeers, it is the fleet
	recallKept = 16  // times remembered of each sort
)

// Event is one departure.
type Event struct {
	Server     string  `cbor:"1,keyasint" json:"server"` // "" for the fleet
	Kind       Kind    `cbor:"2,keyasint" json:"-"`
	Name       string  `cbor:"-" json:"event"`
	From       float64 `cbor:"3,keyasint" json:"from"`
	To         float64 `cbor:"4,keyasint" json:"to"` // 0 while it lasts
	Evidence   string  `cbor:"5,keyasint" json:"evidence"`
	Confidence float64 `cbor:"6,keyasint" json:"confidence"` // 0 to 1
}

// recent remembers when things happened, the newest last.
type recent []float64

func (t *recent) add(at float64) {
	if len(*t) == recallKept {
		copy(*t, (*t)[1:])
		*t = (*t)[:recallKept-1]
	}
	*t = append(*t, at)
}

// since counts what happened after a time.
func (t recent) since(at float64) (n int) {
	for i := len(t) - 1; i >= 0 && t[i] > at; i-- {
		n++
	}
	return n
}

// first is when the first of the last n things happened.
func (t recent) first(n int) float64 { return t[len(t)-n] }

// last is when it happened last; 0 for never.
func (t recent) last() float64 {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1]
}

// found is a pattern that is there.
type found struct {
	evidence string
	sure     float64
}

type sample struct{ at, took float64 }

// serverState is what is known of one server.
type serverState struct {
	name    string
	mode    decide.EndpointState
	since   float64
	listed  bool
	mute    int
	refused int // connections refused in a row

	load      float64
	loadAt    float64 // 0 if there is no reading
	sameFrom  float64 // when the report that repeats came first
	sameReads int
	moves     int // connections that came or went since then
	lateRun   int // answers to probes in a row that came late
	lateSame  int // of them with the numbers of before

	probeTook []float64
	setups    []sample
	latest    float64 // median of the last seconds, as of this look
	past      float64 // mean of log set-up time
	pastCount int

	errors, ups, full, breaks, away, flaps recent
	crashed                                float64 // when breaks came together, 0 if not
	crashLoad                              float64
	restarted                              float64 // when it was found back, 0 if not
	restartWhy                             string

	seen    [kindCount]float64 // since when the pattern is there, 0 if it is not
	absent  [kindCount]float64 // since when it is not, while an event lasts
	current [kindCount]*Event
	found   found // the pattern that is looked at now
	touched float64
}

// Detector looks at all servers.
type Detector struct {
	servers    map[string]*serverState
	order      []*serverState
	fleet      *serverState
	maxServers int // servers at once
	now        float64
	lastTick   float64

	loads, setups []float64 // of all servers now, in order: whoever is far from their median is far from its peers
}

// New returns a Watch that knows so many servers at once at most.
func New(most int) *Detector {
	return &Detector{servers: map[string]*serverState{}, fleet: &serverState{}, maxServers: most}
}

func (w *Detector) server(name string) *serverState {
	s := w.servers[name]
	if s == nil {
		if len(w.order) >= w.maxServers {
			w.evictServer()
		}
		s = &serverState{name: name, load: -1}
		w.servers[name] = s
		w.order = append(w.order, s)
	}
	s.touched = w.now
	return s
}

// evictServer drops the server that nothing was heard of for the longest, one that is not listed first.
func (w *Detector) evictServer() {
	i := 0
	for j, s := range w.order {
		if o := w.order[i]; o.listed && !s.listed || o.listed == s.listed && s.touched < o.touched {
			i = j
		}
	}
	delete(w.servers, w.order[i].name)
	w.order = slices.Delete(w.order, i, i+1)
}

// Observe takes one record; name is its server's.
func (w *Detector) Observe(name string, r *recorder.Record) {
	w.now = max(w.now, r.At)
	if r.Server < 0 {
		if r.Kind == recorder.EndpointListUnreachable {
			w.fleet.breaks.add(r.At)
		}
		return
	}
	s := w.server(name)
	switch r.Kind {
	case recorder.EndpointChanged:
		s.list(r)
	case recorder.ProbeEnded:
		s.probe(r)
	case recorder.AttemptStarted:
		s.moves++
	case recorder.ConnectionUp:
		s.ups.add(r.At)
		s.refused, s.mute = 0, 0
		s.setup(r.At, r.Elapsed)
		s.back(r.At, "connections stand again")
	case recorder.AttemptEnded:
		s.moves++
		if r.Initiator == recorder.Server {
			s.ended(r)
		}
	case recorder.ClientMigrated:
		if r.Initiator == recorder.ServerSilent {
			s.mute = max(s.mute, muteProbes)
		}
	}
}

func (s *serverState) list(r *recorder.Record) {
	ready := r.Mode == decide.Ready
	if s.listed && (ready != (s.mode == decide.Ready)) {
		s.flaps.add(r.At)
	}
	if !ready || r.StartedAt != s.since { // it is another process, or leaves, and the list has said so
		s.mute, s.refused, s.crashed, s.lateRun = 0, 0, 0, 0
		s.errors, s.full, s.breaks, s.away = s.errors[:0], s.full[:0], s.breaks[:0], s.away[:0]
		s.loadAt, s.sameReads = 0, 0
	}
	s.listed, s.mode, s.since = true, r.Mode, r.StartedAt
}

func (s *serverState) probe(r *recorder.Record) {
	switch r.Status {
	case decide.OK:
		s.mute, s.refused = 0, 0
		load, same := float64(r.Load), s.loadAt != 0 && float64(r.Load) == s.load
		usual := best(s.probeTook)
		if len(s.probeTook) >= frozenReads && r.Elapsed > max(lateLeast, lateTimes*usual) {
			if s.lateRun++; same {
				s.lateSame++
			}
		} else {
			if s.lateRun > 0 { // what repeated meanwhile is told already
				s.sameFrom, s.sameReads, s.moves = r.At, 0, 0
			}
			s.lateRun, s.lateSame = 0, 0
			if len(s.probeTook) == 2*recallKept {
				s.probeTook = append(s.probeTook[:0], s.probeTook[1:]...)
			}
			s.probeTook = append(s.probeTook, r.Elapsed)
		}
		if load < 0 {
			return
		}
		if same {
			s.sameReads++
		} else {
			s.sameFrom, s.sameReads, s.moves = r.At, 1, 0
		}
		if s.crashed != 0 && load < s.crashLoad/2 {
			s.back(r.At, fmt.Sprintf("load %.2f after %.2f", load, s.crashLoad))
		} else if s.refused == 0 {
			s.back(r.At, "probes are answered again")
		}
		s.load, s.loadAt = load, r.At
	case decide.TimedOut:
		s.mute++
	case decide.ConnectFailed:
		s.refused++
		s.broke(r.At)
	case decide.Errored:
		s.errors.add(r.At)
	}
}

// broke notes a connection that broke or was refused: several at once are a crash.
func (s *serverState) broke(at float64) {
	s.breaks.add(at)
	if s.breaks.since(at-crashFor) >= 2 && s.mode == decide.Ready && s.crashed == 0 {
		s.crashed, s.crashLoad = at, s.load
	}
}

// back notes that a server that had crashed serves again, though the list has said nothing.
func (s *serverState) back(at float64, why string) {
	if s.crashed == 0 || at-s.crashed > backFor {
		s.crashed = 0
		return
	}
	refused := 0
	for _, b := range s.breaks {
		if b >= s.crashed-crashFor {
			refused++
		}
	}
	if at <= s.breaks[len(s.breaks)-1] {
		return
	}
	s.restarted, s.crashed = at, 0
	s.restartWhy = fmt.Sprintf("%d connections broke or were refused, then %s; the list has its old start", refused, why)
}

func (s *serverState) ended(r *recorder.Record) {
	switch r.Status {
	case decide.Errored:
		s.errors.add(r.At)
	case decide.AtCapacity:
		s.full.add(r.At)
	case decide.ConnectFailed:
		s.refused++
		s.broke(r.At)
	case decide.Reset:
		s.broke(r.At)
	case decide.Cancelled:
		if r.WasConnected {
			s.away.add(r.At)
		}
	}
}

func (s *serverState) setup(at, took float64) {
	if len(s.setups) == 2*recallKept {
		s.setups = append(s.setups[:0], s.setups[1:]...)
	}
	s.setups = append(s.setups, sample{at, took})
	// The past follows slowly, and not at all while it departs.
	x := math.Log(max(took, 0.1))
	switch s.pastCount++; {
	case s.pastCount <= pastSamples:
		s.past += (x - s.past) / float64(s.pastCount)
	case s.current[SlowSetup] == nil && x-s.past < math.Log(slowTimes):
		s.past += (x - s.past) * pastWeight
	}
}

// lately is the median set-up time of the last seconds; 0 if there are too few.
func (s *serverState) lately(now float64) float64 {
	var all [slowMost]float64
	n := 0
	for _, x := range s.setups[max(0, len(s.setups)-slowMost):] {
		if x.at > now-slowFor {
			all[n] = x.took
			n++
		}
	}
	if n < slowSamples {
		return 0
	}
	slices.Sort(all[:n])
	return all[n/2]
}

// slower tells whether its set-ups are slow against its own past.
func (s *serverState) slower() (took float64, yes bool) {
	took = s.latest
	if took == 0 {
		return 0, false
	}
	past := math.Exp(s.past)
	return took, took > 0 && s.pastCount >= pastSamples && took > slowTimes*past && took > past+slowLeast
}

// best is what a quarter of the answers stay under: a machine that was short of time for a while must not make lateness
// usual.
func best(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(all))[len(all)/4]
}

// detect says whether a kind's detect is there now, with its evidence and how sure it is.
func (w *Detector) detect(k Kind, s *serverState) (evidence string, sure float64) {
	now, ready := w.now, s.mode == decide.Ready
	if !ready && k != Flapping {
		return "", 0
	}
	grown := func(n, least int) float64 { return 1 - math.Pow(0.5, float64(n-least+2)) }
	switch k {
	case Unresponsive:
		if s.mute >= muteProbes {
			return fmt.Sprintf("%d probes in a row without an answer, no reset", s.mute), grown(s.mute, muteProbes)
		}
	case Unreachable:
		if s.refused >= muteProbes {
			return fmt.Sprintf("%d connections in a row refused; the list has it ready", s.refused), grown(s.refused, muteProbes)
		}
		// A relay that leaves it out may not ask again for long: that all broke together must do.
		if n := s.breaks.since(s.crashed - crashFor); s.crashed != 0 && n >= inRow && s.ups.last() < s.crashed {
			return fmt.Sprintf("%d connections broke or were refused together, and none stands since; the list has it ready", n), grown(n, inRow)
		}
	case LateProbeReplies:
		if s.lateRun >= 2 {
			return fmt.Sprintf("%d answers in a row over %.0f ms where %.1f are usual, %d with the numbers of before", s.lateRun,
				max(lateLeast, lateTimes*best(s.probeTook)), best(s.probeTook), s.lateSame), grown(s.lateRun, 2)
		}
	case FrozenReport:
		if s.lateRun > 0 { // that its numbers are old is part of answering late
			return "", 0
		}
		if s.loadAt != 0 && s.sameReads >= frozenReads && s.loadAt-s.sameFrom >= frozenFor && s.moves >= frozenMoves {
			return fmt.Sprintf("load %.3f in %d readings over %.1f s, while %d connections came or went", s.load, s.sameReads,
				(s.loadAt-s.sameFrom)/1000, s.moves), grown(s.moves, frozenMoves)
		}
	case ErrorBurst:
		if n := s.errors.since(now - window); n >= burst && n > s.ups.since(s.errors.first(n)) {
			return fmt.Sprintf("%d errors in %.0f s", n, window/1000), grown(n, burst)
		}
		if n := s.errors.since(max(now-rowFor, s.ups.last())); n >= inRow { // a relay that leaves it out asks seldom
			return fmt.Sprintf("%d errors in a row", n), grown(n, inRow)
		}
	case SlowSetup:
		took, slow := s.slower()
		if !slow {
			return "", 0
		}
		if m := middle(w.setups); len(w.setups) > fewPeers && took > slowTimes*m && took > m+slowLeast {
			return fmt.Sprintf("set-ups take %.0f ms; %.0f at %d peers, %.0f before", took, m, len(w.setups)-1, math.Exp(s.past)), 0.9
		}
	case UnannouncedRestart:
		if s.restarted != 0 && now-s.restarted < window {
			return s.restartWhy, 0.8
		}
	case UnannouncedDrain:
		if n := s.away.since(now - window); n >= 2 {
			return fmt.Sprintf("%d clients sent away in %.0f s; the list has it ready", n, window/1000), grown(n, 2)
		}
	case Flapping:
		if n := s.flaps.since(now - flapFor); n >= flapTimes {
			return fmt.Sprintf("out of the list or back %d times in %.0f s", n, flapFor/1000), grown(n, flapTimes)
		}
	case UnevenLoad:
		if m := middle(w.loads); s.reads(now) && len(w.loads) > fewPeers && s.load-m > max(unevenBy, unevenPart*m) {
			return fmt.Sprintf("load %.2f where the median of %d servers is %.2f", s.load, len(w.loads), m), min(0.95, 0.5+(s.load-m)/2)
		}
	case RejectingAll:
		if n := s.full.since(now - window); n >= burst && s.ups.since(s.full.first(n)) == 0 {
			return fmt.Sprintf("full to %d in %.0f s, and it takes none; the list has it ready", n, window/1000), grown(n, burst)
		}
		if n := s.full.since(max(now-rowFor, s.ups.last())); n >= fullInRow && s.load < fullLoad {
			return fmt.Sprintf("full to %d in a row at a load of %.2f; the list has it ready", n, s.load), grown(n, fullInRow)
		}
	}
	return "", 0
}

// reads tells whether there is a reading that says something of now.
func (s *serverState) reads(now float64) bool {
	return s.mode == decide.Ready && s.loadAt != 0 && s.load >= 0 && now-s.loadAt < freshFor
}

// middle is the median of what is in order already.
func middle(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// compare gathers what servers are compared with, once for all of them.
func (w *Detector) compare() {
	w.loads, w.setups = w.loads[:0], w.setups[:0]
	for _, s := range w.order {
		if s.reads(w.now) {
			w.loads = append(w.loads, s.load)
		}
		if s.latest = s.lately(w.now); s.latest > 0 {
			w.setups = append(w.setups, s.latest)
		}
	}
	slices.Sort(w.loads)
	slices.Sort(w.setups)
}

// Change is an event that has begun, or ended where To is set.
type Change struct{ Event }

// tickEvery is how often patterns are looked at, in ms.
const tickEvery = 100.0

// Tick looks at all patterns. It appends what has begun or ended to out.
func (w *Detector) Tick(now float64, out []Change) []Change {
	w.now = max(w.now, now)
	if w.now-w.lastTick < tickEvery {
		return out
	}
	w.lastTick = w.now
	w.compare()
	for k := Kind(0); k < EndpointListUnreachable; k++ {
		out = w.detectKind(k, out)
	}
	if n := w.fleet.breaks.since(w.now - 10_000); n >= listFails {
		out = w.updateEvent(w.fleet, EndpointListUnreachable, fmt.Sprintf("%d calls in 10 s failed", n), 0.9, out)
	} else {
		out = w.updateEvent(w.fleet, EndpointListUnreachable, "", 0, out)
	}
	return out
}

// detectKind looks at one kind at all servers: what most of them do at once is the fleet's.
func (w *Detector) detectKind(k Kind, out []Change) []Change {
	ready, there := 0, 0
	for _, s := range w.order {
		if s.mode == decide.Ready {
			ready++
		}
		if s.found.evidence, s.found.sure = w.detect(k, s); s.found.evidence != "" {
			there++
		} else if _, slow := s.slower(); k == SlowSetup && slow {
			there++ // a fleet that is slow has no peers to stand out from
		}
	}
	whole := there >= fewPeers && float64(there) > fleetPart*float64(ready)
	evidence, sure := "", 0.0
	if whole {
		evidence, sure = fmt.Sprintf("%d of %d servers at once", there, ready), 0.9
	}
	out = w.updateEvent(w.fleet, k, evidence, sure, out)
	taken := w.fleet.current[k] != nil || w.fleet.seen[k] != 0
	for _, s := range w.order {
		evidence, sure := "", 0.0
		if !taken {
			evidence, sure = s.found.evidence, s.found.sure
		}
		out = w.updateEvent(s, k, evidence, sure, out)
	}
	return out
}

// updateEvent begins or ends an event by its hold and release times.
func (w *Detector) updateEvent(s *serverState, k Kind, evidence string, sure float64, out []Change) []Change {
	e := s.current[k]
	switch {
	case evidence != "" && e != nil:
		s.absent[k] = 0
		e.Evidence, e.Confidence = evidence, max(e.Confidence, sure)
	case evidence != "":
		if s.seen[k] == 0 {
			s.seen[k] = w.now
		}
		if w.now-s.seen[k] >= beginAfter[k] {
			s.current[k] = &Event{Server: s.name, Kind: k, Name: k.String(), From: s.seen[k], Evidence: evidence, Confidence: sure}
			out = append(out, Change{*s.current[k]})
		}
	case e != nil:
		if s.absent[k] == 0 {
			s.absent[k] = w.now
		}
		if w.now-s.absent[k] >= endAfter[k] || s.mode != decide.Ready && s != w.fleet && k != Flapping {
			e.To = s.absent[k]
			out = append(out, Change{*e})
			s.current[k], s.seen[k], s.absent[k] = nil, 0, 0
		}
	default:
		s.seen[k] = 0
	}
	return out
}

// Active lists the events that last.
func (w *Detector) Active() (all []Event) {
	for _, s := range append([]*serverState{w.fleet}, w.order...) {
		for _, e := range s.current {
			if e != nil {
				all = append(all, *e)
			}
		}
	}
	return all
}

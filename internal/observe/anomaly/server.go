package anomaly

import (
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

const (
	crashWindow    = time.Second     // connection breaks within this time count as one crash
	minCrashBreaks = 2               // breaks within crashWindow that make a crash
	restartWindow  = 2 * time.Minute // long, since a relay that ejected the server may try it again late

	minLateReply    = 60 * time.Millisecond // a probe's reply is never late below this
	lateReplyFactor = 5.0                   // and is late only beyond this multiple of the typical time
	maxReplies      = 2 * maxRecentTimes
)

// serverState is the detector's state of one server, or of the fleet.
type serverState struct {
	name          string
	listed        bool
	endpointState decide.EndpointState
	startedAt     time.Duration // as the endpoint list says, 0 for long ago
	lastRecordAt  time.Duration

	missedProbes       int // in a row
	refusedConnections int // in a row
	report             loadReport
	replies            probeReplies
	setups             setupTimes
	history            history
	crash              crash
	restart            restart

	events  [kindCount]eventState
	finding finding // of the kind being detected in this tick
}

// history holds the instants of a server's most recent events.
type history struct {
	errors              recentTimes
	connections         recentTimes // established connections
	atCapacity          recentTimes // rejections because the server is at capacity
	brokenConnections   recentTimes // connections that broke or were refused
	disconnectedClients recentTimes // established connections that the server ended
	flaps               recentTimes // removals from the endpoint list and returns to it
}

// loadReport is a server's newest load report, and for how long it has been the same.
type loadReport struct {
	load              float64
	at                time.Duration // 0 if there is none
	unchangedSince    time.Duration // when this load was first reported
	unchangedReadings int
	connectionChanges int // connections that began or ended since then
}

// probeReplies holds the times that replies to probes took, and the number of late replies in a row.
type probeReplies struct {
	onTime        []time.Duration // times of the replies that were not late
	lateInARow    int
	lateUnchanged int // number of the late replies with an unchanged load report
}

// crash holds when several connections broke together. It is cleared once the server serves again.
type crash struct {
	at   time.Duration // 0 if there was no crash
	load float64       // last reported load before the crash
}

// restart holds when a server that had crashed was seen serving again.
type restart struct {
	at       time.Duration // 0 if there was no restart
	evidence string
}

// observe updates the server's state from one of its records.
func (s *serverState) observe(r *recorder.Record) {
	switch r.Kind {
	case recorder.EndpointChanged:
		s.observeEndpoint(r)
	case recorder.ProbeEnded:
		s.observeProbe(r)
	case recorder.AttemptStarted:
		s.report.connectionChanges++
	case recorder.ConnectionUp:
		s.history.connections.add(r.At)
		s.refusedConnections, s.missedProbes = 0, 0
		s.setups.add(r.At, r.Elapsed, s.events[SlowSetup].active != nil)
		s.recordReturn(r.At, "connections stand again")
	case recorder.AttemptEnded:
		s.report.connectionChanges++
		if r.Initiator == recorder.Server {
			s.observeServerEnd(r)
		}
	case recorder.ClientMigrated:
		if r.Initiator == recorder.ServerUnresponsive {
			s.missedProbes = max(s.missedProbes, minMissedProbes)
		}
	}
}

// observeEndpoint applies a change of the server's endpoint list entry. It discards the past of a server that
// is no longer ready or that runs as a new process.
func (s *serverState) observeEndpoint(r *recorder.Record) {
	ready := r.EndpointState == decide.Ready
	if s.listed && ready != (s.endpointState == decide.Ready) {
		s.history.flaps.add(r.At)
	}
	if !ready || r.StartedAt != s.startedAt {
		s.forgetPast()
	}
	s.listed, s.endpointState, s.startedAt = true, r.EndpointState, r.StartedAt
}

func (s *serverState) forgetPast() {
	s.missedProbes, s.refusedConnections = 0, 0
	s.replies.lateInARow = 0
	s.crash.at = 0
	s.report.at, s.report.unchangedReadings = 0, 0
	h := &s.history
	h.errors, h.atCapacity, h.brokenConnections, h.disconnectedClients =
		h.errors[:0], h.atCapacity[:0], h.brokenConnections[:0], h.disconnectedClients[:0]
}

// observeProbe applies the end of a probe.
func (s *serverState) observeProbe(r *recorder.Record) {
	switch r.Status {
	case decide.OK:
		s.missedProbes, s.refusedConnections = 0, 0
		s.observeReply(r)
	case decide.TimedOut:
		s.missedProbes++
	case decide.ConnectFailed:
		s.refusedConnections++
		s.recordBrokenConnection(r.At)
	case decide.Errored:
		s.history.errors.add(r.At)
	}
}

// observeReply applies a probe's reply and its load report; a negative load means that the reply has no
// report.
func (s *serverState) observeReply(r *recorder.Record) {
	load := float64(r.Load)
	same := s.report.at != 0 && load == s.report.load
	s.observeReplyTime(r, same)
	if load < 0 {
		return
	}
	if same {
		s.report.unchangedReadings++
	} else {
		s.report.unchangedSince, s.report.unchangedReadings, s.report.connectionChanges = r.At, 1, 0
	}
	if s.crash.at != 0 && load < s.crash.load/2 {
		s.recordReturn(r.At, fmt.Sprintf("load %.2f after %.2f", load, s.crash.load))
	} else {
		s.recordReturn(r.At, "probes are answered again")
	}
	s.report.load, s.report.at = load, r.At
}

// observeReplyTime counts a reply as late or adds its time to the typical times. Late replies do not change
// what is typical.
func (s *serverState) observeReplyTime(r *recorder.Record, same bool) {
	p := &s.replies
	if len(p.onTime) >= minFrozenReadings && r.Elapsed > p.lateThreshold() {
		p.lateInARow++
		if same {
			p.lateUnchanged++
		}
		return
	}
	if p.lateInARow > 0 { // do not report unchanged load reports of the late replies a second time
		s.report.unchangedSince, s.report.unchangedReadings, s.report.connectionChanges = r.At, 0, 0
	}
	p.lateInARow, p.lateUnchanged = 0, 0
	p.onTime = appendBounded(p.onTime, r.Elapsed, maxReplies)
}

// lateThreshold returns the time beyond which a reply is late.
func (p *probeReplies) lateThreshold() time.Duration {
	typical := float64(lowerQuartile(p.onTime))
	return max(minLateReply, time.Duration(lateReplyFactor*typical))
}

// recordBrokenConnection records a connection that broke or was refused. Several within crashWindow are a
// crash.
func (s *serverState) recordBrokenConnection(at time.Duration) {
	s.history.brokenConnections.add(at)
	together := s.history.brokenConnections.countSince(at-crashWindow) >= minCrashBreaks
	if together && s.endpointState == decide.Ready && s.crash.at == 0 {
		s.crash = crash{at: at, load: s.report.load}
	}
}

// recordReturn records that a server that had crashed serves again without an update of the endpoint list.
func (s *serverState) recordReturn(at time.Duration, how string) {
	if s.crash.at == 0 || at-s.crash.at > restartWindow {
		s.crash.at = 0
		return
	}
	breaks := s.history.brokenConnections
	if at <= breaks.newest() {
		return
	}
	broken := 0
	for _, b := range breaks {
		if b >= s.crash.at-crashWindow {
			broken++
		}
	}
	s.crash.at = 0
	s.restart = restart{
		at: at,
		evidence: fmt.Sprintf("%d connections broke or were refused, then %s; the list has its old start",
			broken, how),
	}
}

// observeServerEnd applies the end of an attempt or a connection that the server ended.
func (s *serverState) observeServerEnd(r *recorder.Record) {
	switch r.Status {
	case decide.Errored:
		s.history.errors.add(r.At)
	case decide.AtCapacity:
		s.history.atCapacity.add(r.At)
	case decide.ConnectFailed:
		s.refusedConnections++
		s.recordBrokenConnection(r.At)
	case decide.Reset:
		s.recordBrokenConnection(r.At)
	case decide.Cancelled:
		if r.WasConnected {
			s.history.disconnectedClients.add(r.At)
		}
	}
}

// hasFreshLoad reports whether the server is ready and its newest load report is recent.
func (s *serverState) hasFreshLoad(now time.Duration) bool {
	return s.endpointState == decide.Ready && s.report.at != 0 && s.report.load >= 0 &&
		now-s.report.at < maxLoadReportAge
}

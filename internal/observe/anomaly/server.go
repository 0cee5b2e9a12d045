package anomaly

import (
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

const (
	crashWindow    = time.Second     // breaks within it are one crash
	minCrashBreaks = 2               // so many make one
	restartWindow  = 2 * time.Minute // a relay that ejects the server may try it again late

	minLateReply    = 60 * time.Millisecond // a probe's reply is never late under this
	lateReplyFactor = 5.0                   // and late beyond this multiple of what is typical
	maxReplies      = 2 * maxRecentTimes
)

// serverState is what is known of one server, or of the fleet.
type serverState struct {
	name          string
	listed        bool
	endpointState decide.EndpointState
	startedAt     time.Duration // by the endpoint list, 0 for long ago
	lastRecordAt  time.Duration

	missedProbes       int // in a row
	refusedConnections int // connections
	report             loadReport
	replies            probeReplies
	setups             setupTimes
	history            history
	crash              crash
	restart            restart

	events  [kindCount]eventState
	finding finding // of the kind that is looked at now
}

// history is when what happened last.
type history struct {
	errors              recentTimes
	connections         recentTimes // that stood
	atCapacity          recentTimes // at capacity
	brokenConnections   recentTimes // connections that broke or were refused
	disconnectedClients recentTimes // clients whose connection the server ended
	flaps               recentTimes // out of the endpoint list, or back
}

// loadReport is a server's newest report, and for how long it repeats.
type loadReport struct {
	load              float64
	at                time.Duration // 0 if there is none
	unchangedSince    time.Duration // when the report that repeats came first
	unchangedReadings int
	connectionChanges int // connections that came or went since then
}

// probeReplies are the times that replies to probes took, and how many came late in a row.
type probeReplies struct {
	onTime        []time.Duration // those in time
	lateInARow    int
	lateUnchanged int // of the late ones, with the report of before
}

// crash is when connections broke together, while the server has not been found back.
type crash struct {
	at   time.Duration // 0 if they did not
	load float64       // before
}

// restart is when a server that had crashed was found back.
type restart struct {
	at       time.Duration // 0 if it was not
	evidence string
}

// observe takes one record of the server.
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

// observeEndpoint takes what the endpoint list says. A server that leaves, or another process, begins without
// a past.
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
	h.errors, h.atCapacity, h.brokenConnections, h.disconnectedClients = h.errors[:0], h.atCapacity[:0], h.brokenConnections[:0], h.disconnectedClients[:0]
}

// observeProbe takes the end of a probe.
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

// observeReply takes a probe's reply and its load report, which is negative where there is none.
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

// observeReplyTime tells a late reply from what is typical, which follows those in time only.
func (s *serverState) observeReplyTime(r *recorder.Record, same bool) {
	p := &s.replies
	if len(p.onTime) >= minFrozenReadings && r.Elapsed > p.lateThreshold() {
		p.lateInARow++
		if same {
			p.lateUnchanged++
		}
		return
	}
	if p.lateInARow > 0 { // a report that repeated meanwhile was found as late replies already
		s.report.unchangedSince, s.report.unchangedReadings, s.report.connectionChanges = r.At, 0, 0
	}
	p.lateInARow, p.lateUnchanged = 0, 0
	p.onTime = appendBounded(p.onTime, r.Elapsed, maxReplies)
}

// lateThreshold is the time beyond which a reply is late.
func (p *probeReplies) lateThreshold() time.Duration {
	typical := float64(lowerQuartile(p.onTime))
	return max(minLateReply, time.Duration(lateReplyFactor*typical))
}

// recordBrokenConnection notes a connection that broke or was refused: several at once are a crash.
func (s *serverState) recordBrokenConnection(at time.Duration) {
	s.history.brokenConnections.add(at)
	together := s.history.brokenConnections.countSince(at-crashWindow) >= minCrashBreaks
	if together && s.endpointState == decide.Ready && s.crash.at == 0 {
		s.crash = crash{at: at, load: s.report.load}
	}
}

// recordReturn notes that a server that had crashed serves again, though the endpoint list has said nothing.
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

// observeServerEnd takes the end of an attempt or a connection that the server ended.
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

// hasFreshLoad tells whether there is a report that says something of now.
func (s *serverState) hasFreshLoad(now time.Duration) bool {
	return s.endpointState == decide.Ready && s.report.at != 0 && s.report.load >= 0 && now-s.report.at < maxLoadReportAge
}

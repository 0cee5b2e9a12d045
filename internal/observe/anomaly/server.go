package anomaly

import (
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

const (
	crashWindow   = time.Second     // breaks within it are one crash
	crashBreaks   = 2               // so many make one
	restartWindow = 2 * time.Minute // a relay that ejects the server may try it again late

	minLateReply    = 60 * time.Millisecond // a probe's reply is never late under this
	lateReplyFactor = 5.0                   // and late beyond this multiple of what is typical
	repliesKept     = 2 * recentKept
)

// serverState is what is known of one server, or of the fleet.
type serverState struct {
	name      string
	listed    bool
	mode      decide.EndpointState
	startedAt time.Duration // by the endpoint list, 0 for long ago
	touchedAt time.Duration

	missedProbes  int // in a row
	refusedInARow int // connections
	report        loadReport
	replies       probeReplies
	setups        setupTimes
	happened      history
	crash         crash
	restart       restart

	events  [kindCount]eventState
	finding finding // of the kind that is looked at now
}

// history is when what happened last.
type history struct {
	errors      recent
	connections recent // that stood
	full        recent // at capacity
	breaks      recent // connections that broke or were refused
	sentAway    recent // clients whose connection the server ended
	flaps       recent // out of the endpoint list, or back
}

// loadReport is a server's newest report, and for how long it repeats.
type loadReport struct {
	load      float64
	at        time.Duration // 0 if there is none
	sameSince time.Duration // when the report that repeats came first
	sameReads int
	churn     int // connections that came or went since then
}

// probeReplies are the times that replies to probes took, and how many came late in a row.
type probeReplies struct {
	elapsed []time.Duration // those in time
	late    int
	lateOld int // of the late ones, with the report of before
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
		s.report.churn++
	case recorder.ConnectionUp:
		s.happened.connections.add(r.At)
		s.refusedInARow, s.missedProbes = 0, 0
		s.setups.add(r.At, r.Elapsed, s.events[SlowSetup].current != nil)
		s.noteReturn(r.At, "connections stand again")
	case recorder.AttemptEnded:
		s.report.churn++
		if r.Initiator == recorder.Server {
			s.observeServerEnd(r)
		}
	case recorder.ClientMigrated:
		if r.Initiator == recorder.ServerUnresponsive {
			s.missedProbes = max(s.missedProbes, probesMissedMin)
		}
	}
}

// observeEndpoint takes what the endpoint list says. A server that leaves, or another process, begins without
// a past.
func (s *serverState) observeEndpoint(r *recorder.Record) {
	ready := r.EndpointState == decide.Ready
	if s.listed && ready != (s.mode == decide.Ready) {
		s.happened.flaps.add(r.At)
	}
	if !ready || r.StartedAt != s.startedAt {
		s.forgetPast()
	}
	s.listed, s.mode, s.startedAt = true, r.EndpointState, r.StartedAt
}

func (s *serverState) forgetPast() {
	s.missedProbes, s.refusedInARow = 0, 0
	s.replies.late = 0
	s.crash.at = 0
	s.report.at, s.report.sameReads = 0, 0
	h := &s.happened
	h.errors, h.full, h.breaks, h.sentAway = h.errors[:0], h.full[:0], h.breaks[:0], h.sentAway[:0]
}

// observeProbe takes the end of a probe.
func (s *serverState) observeProbe(r *recorder.Record) {
	switch r.Status {
	case decide.OK:
		s.missedProbes, s.refusedInARow = 0, 0
		s.observeReply(r)
	case decide.TimedOut:
		s.missedProbes++
	case decide.ConnectFailed:
		s.refusedInARow++
		s.noteBreak(r.At)
	case decide.Errored:
		s.happened.errors.add(r.At)
	}
}

// observeReply takes a probe's reply and its load report, which is negative where there is none.
func (s *serverState) observeReply(r *recorder.Record) {
	load := float64(r.Load)
	same := s.report.at != 0 && load == s.report.load
	s.observeLateness(r, same)
	if load < 0 {
		return
	}
	if same {
		s.report.sameReads++
	} else {
		s.report.sameSince, s.report.sameReads, s.report.churn = r.At, 1, 0
	}
	if s.crash.at != 0 && load < s.crash.load/2 {
		s.noteReturn(r.At, fmt.Sprintf("load %.2f after %.2f", load, s.crash.load))
	} else {
		s.noteReturn(r.At, "probes are answered again")
	}
	s.report.load, s.report.at = load, r.At
}

// observeLateness tells a late reply from what is typical, which follows those in time only.
func (s *serverState) observeLateness(r *recorder.Record, same bool) {
	p := &s.replies
	if len(p.elapsed) >= frozenReadsMin && r.Elapsed > p.lateness() {
		p.late++
		if same {
			p.lateOld++
		}
		return
	}
	if p.late > 0 { // a report that repeated meanwhile was found as late replies already
		s.report.sameSince, s.report.sameReads, s.report.churn = r.At, 0, 0
	}
	p.late, p.lateOld = 0, 0
	p.elapsed = appendBounded(p.elapsed, r.Elapsed, repliesKept)
}

// lateness is the time beyond which a reply is late.
func (p *probeReplies) lateness() time.Duration {
	typical := float64(lowerQuartile(p.elapsed))
	return max(minLateReply, time.Duration(lateReplyFactor*typical))
}

// noteBreak notes a connection that broke or was refused: several at once are a crash.
func (s *serverState) noteBreak(at time.Duration) {
	s.happened.breaks.add(at)
	together := s.happened.breaks.countSince(at-crashWindow) >= crashBreaks
	if together && s.mode == decide.Ready && s.crash.at == 0 {
		s.crash = crash{at: at, load: s.report.load}
	}
}

// noteReturn notes that a server that had crashed serves again, though the endpoint list has said nothing.
func (s *serverState) noteReturn(at time.Duration, how string) {
	if s.crash.at == 0 || at-s.crash.at > restartWindow {
		s.crash.at = 0
		return
	}
	breaks := s.happened.breaks
	if at <= breaks.last() {
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
		s.happened.errors.add(r.At)
	case decide.AtCapacity:
		s.happened.full.add(r.At)
	case decide.ConnectFailed:
		s.refusedInARow++
		s.noteBreak(r.At)
	case decide.Reset:
		s.noteBreak(r.At)
	case decide.Cancelled:
		if r.WasConnected {
			s.happened.sentAway.add(r.At)
		}
	}
}

// hasFreshLoad tells whether there is a report that says something of now.
func (s *serverState) hasFreshLoad(now time.Duration) bool {
	return s.mode == decide.Ready && s.report.at != 0 && s.report.load >= 0 && now-s.report.at < freshLoad
}

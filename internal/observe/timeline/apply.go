package timeline

import (
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// minFaultsInARow is the number of faults in a row that change a server's state.
const minFaultsInARow = 2

// Apply adds one record to the timeline of its server, whose name is given. A record without a server is
// added to the timeline of the fleet.
func (t *Timelines) Apply(name string, r *recorder.Record) {
	t.now = max(t.now, r.At)
	if r.Server < 0 {
		name = FleetName
	}
	s := t.serverTimeline(name)
	i := t.intervalAt(s, r.At)
	switch r.Kind {
	case recorder.EndpointChanged:
		t.applyEndpoint(s, r)
	case recorder.ProbeEnded:
		t.applyProbe(s, i, r)
	case recorder.PeerReading: // shows the load only: that a server answers must be seen by this relay itself
		i.PeerReadings++
		if r.Load >= 0 {
			i.addLoad(r.Load)
		}
	case recorder.AttemptStarted:
		i.Placements++
		if r.Attempt > 0 {
			i.Retries++
		}
		s.openConnections++
	case recorder.ConnectionUp:
		i.Connections++
		s.setups.RecordValue(max(1, r.Elapsed.Microseconds()))
		t.recordRecovery(s, r.At, "a connection stands")
	case recorder.AttemptEnded:
		s.openConnections = max(0, s.openConnections-1)
		if r.Initiator == recorder.Server {
			i.EndsByStatus[min(r.Status, decide.Superseded)]++
			t.applyServerEnd(s, r)
		}
	case recorder.ClientMigrated:
		i.Migrations++
	case recorder.RequestRejected, recorder.RequestFailed:
		t.applyRejection(s, i, r)
	case recorder.MessageDelayed:
		i.SlowestMessage = max(i.SlowestMessage, float32(millis(r.Elapsed)))
	case recorder.RecordsDropped:
		i.DroppedRecords += r.Count
	}
	i.OpenConnections = s.openConnections
}

// applyRejection counts a rejection or a failure by reason, on the timelines of its server and of the fleet.
func (t *Timelines) applyRejection(s *ServerTimeline, i *Interval, r *recorder.Record) {
	i.Rejections++
	i.RejectReasons.add(r)
	if s.Name == FleetName {
		return
	}
	fleet := t.intervalAt(t.serverTimeline(FleetName), r.At)
	fleet.Rejections++
	fleet.RejectReasons.add(r)
}

// applyEndpoint applies a change of a server's endpoint list entry. A server that is new, has returned or has
// restarted begins without counted faults.
func (t *Timelines) applyEndpoint(s *ServerTimeline, r *recorder.Record) {
	s.endpointState = r.EndpointState
	switch r.EndpointState {
	case decide.Draining:
		t.enterState(s, r.At, Draining, "list")
		return
	case decide.Removed:
		t.enterState(s, r.At, Gone, "list")
		return
	}
	state := s.State()
	if r.StartedAt == s.startedAt && state != 0 && state != Gone && state != Draining {
		return
	}
	s.startedAt = r.StartedAt
	s.missedProbes, s.failuresInARow = 0, 0
	switch age := r.At - r.StartedAt; {
	case t.inSlowStart(s, r.At):
		t.enterState(s, r.At, Warming, fmt.Sprintf("list: started %.1f s ago", age.Seconds()))
	case s.probeAnswered:
		t.enterState(s, r.At, Warm, "list")
	default:
		t.enterState(s, r.At, Listed, "list")
	}
}

// inSlowStart reports whether a server started less than SlowStart ago.
func (t *Timelines) inSlowStart(s *ServerTimeline, at time.Duration) bool {
	return s.startedAt > 0 && at-s.startedAt < t.SlowStart
}

// applyProbe applies the end of a probe.
func (t *Timelines) applyProbe(s *ServerTimeline, i *Interval, r *recorder.Record) {
	i.Probes++
	switch r.Status {
	case decide.OK:
		if r.Load >= 0 {
			i.addLoad(r.Load)
		}
		s.probeAnswered = true
		t.recordRecovery(s, r.At, "a probe was answered")
	case decide.TimedOut:
		i.ProbesLost++
		s.missedProbes++
		if s.missedProbes >= minFaultsInARow && s.endpointState == decide.Ready {
			t.enterState(s, r.At, Unresponsive, fmt.Sprintf("%d probes without an answer", s.missedProbes))
		}
	case decide.ConnectFailed, decide.Reset:
		i.ProbesLost++
		t.countFailure(s, r.At, "probes: "+r.Status.String())
	case decide.Errored:
		i.ProbesLost++
		t.countFailure(s, r.At, "probes are answered with errors")
	}
}

// applyServerEnd applies the end of a connection or an attempt that the server ended.
func (t *Timelines) applyServerEnd(s *ServerTimeline, r *recorder.Record) {
	if r.Status == decide.ConnectFailed || r.Status == decide.Errored {
		t.countFailure(s, r.At, "connections: "+r.Status.String())
	}
}

// countFailure counts a failed connection or probe. After minFaultsInARow of them, a server that is ready in
// the endpoint list is shown as ejected.
func (t *Timelines) countFailure(s *ServerTimeline, at time.Duration, cause string) {
	s.failuresInARow++
	if s.failuresInARow >= minFaultsInARow && s.endpointState == decide.Ready {
		t.enterState(s, at, Ejected, cause)
	}
}

// recordRecovery ends a state of fault, or the Listed state in which the server had not answered yet.
func (t *Timelines) recordRecovery(s *ServerTimeline, at time.Duration, cause string) {
	s.missedProbes, s.failuresInARow = 0, 0
	state := s.State()
	if state != Unresponsive && state != Ejected && state != Listed {
		return
	}
	if s.endpointState == decide.Ready && t.inSlowStart(s, at) {
		t.enterState(s, at, Warming, "back: "+cause)
		return
	}
	t.enterState(s, at, Warm, cause)
}

package timeline

import (
	"fmt"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// Apply takes one record; name is its server's.
func (b *Timelines) Apply(name string, r *recorder.Record) {
	b.now = max(b.now, r.At)
	if r.Server < 0 {
		name = FleetName
	}
	l := b.server(name)
	s := b.newestInterval(l, r.At)
	switch r.Kind {
	case recorder.EndpointChanged:
		b.applyEndpoint(l, r)
	case recorder.ProbeEnded:
		s.Probes++
		if r.Status == decide.OK && r.Load >= 0 {
			addLoadSample(s, r.Load)
		}
		b.applyProbe(l, s, r)
	case recorder.PeerReading: // evidence of the load; that it answers is for this relay's own eyes
		if s.PeerReadings++; r.Load >= 0 {
			addLoadSample(s, r.Load)
		}
	case recorder.AttemptStarted:
		s.Placements++
		if r.Attempt > 0 {
			s.Retries++
		}
		l.openConnections++
	case recorder.ConnectionUp:
		s.Connections++
		l.setups.RecordValue(max(1, int64(r.Elapsed*1000)))
		b.recovered(l, r.At, "a connection stands")
	case recorder.AttemptEnded:
		l.openConnections = max(0, l.openConnections-1)
		if r.Initiator == recorder.Server {
			s.Ends[min(r.Status, decide.Superseded)]++
			b.applyServerEnd(l, r)
		}
	case recorder.ClientMigrated:
		s.Migrations++
	case recorder.RequestRejected, recorder.RequestFailed:
		s.Rejections++
		s.RejectReasons.add(r)
		if l.Name != FleetName {
			fleet := b.newestInterval(b.server(FleetName), r.At)
			fleet.Rejections++
			fleet.RejectReasons.add(r)
		}
	case recorder.MessageDelayed:
		s.SlowestMessage = max(s.SlowestMessage, float32(r.Elapsed))
	case recorder.RecordsDropped:
		s.Dropped += r.Count
	}
	s.OpenConnections = l.openConnections
}

func (b *Timelines) applyEndpoint(l *ServerTimeline, r *recorder.Record) {
	l.mode = r.Mode
	switch r.Mode {
	case decide.Draining:
		b.enterState(l, r.At, Draining, "list")
	case decide.Removed:
		b.enterState(l, r.At, Gone, "list")
	default:
		if r.StartedAt != l.startedAt || l.state() == Gone || l.state() == 0 || l.state() == Draining {
			l.startedAt, l.missedProbes, l.failuresInARow = r.StartedAt, 0, 0
			switch {
			case r.StartedAt > 0 && r.At-r.StartedAt < b.SlowStart:
				b.enterState(l, r.At, Warming, fmt.Sprintf("list: started %.1f s ago", (r.At-r.StartedAt)/1000))
			case l.probeAnswered:
				b.enterState(l, r.At, Warm, "list")
			default:
				b.enterState(l, r.At, Listed, "list")
			}
		}
	}
}

func (b *Timelines) applyProbe(l *ServerTimeline, s *Interval, r *recorder.Record) {
	switch r.Status {
	case decide.OK:
		l.probeAnswered = true
		b.recovered(l, r.At, "a probe was answered")
	case decide.TimedOut:
		s.ProbesLost++
		if l.missedProbes++; l.missedProbes >= 2 && l.mode == decide.Ready {
			b.enterState(l, r.At, Unresponsive, fmt.Sprintf("%d probes without an answer", l.missedProbes))
		}
	case decide.ConnectFailed, decide.Reset:
		s.ProbesLost++
		if l.failuresInARow++; l.mode == decide.Ready && l.failuresInARow >= 2 {
			b.enterState(l, r.At, Ejected, "probes: "+r.Status.String())
		}
	case decide.Errored:
		s.ProbesLost++
		if l.failuresInARow++; l.mode == decide.Ready && l.failuresInARow >= 2 {
			b.enterState(l, r.At, Ejected, "probes are answered with errors")
		}
	}
}

// applyServerEnd looks at a connection or an attempt that the server applyServerEnd.
func (b *Timelines) applyServerEnd(l *ServerTimeline, r *recorder.Record) {
	switch r.Status {
	case decide.ConnectFailed, decide.Errored:
		if l.failuresInARow++; l.failuresInARow >= 2 && l.mode == decide.Ready {
			b.enterState(l, r.At, Ejected, "connections: "+r.Status.String())
		}
	}
}

// recovered ends a state that was a fault.
func (b *Timelines) recovered(l *ServerTimeline, at float64, cause string) {
	l.missedProbes, l.failuresInARow = 0, 0
	if s := l.state(); s != Unresponsive && s != Ejected && s != Listed {
		return
	}
	if l.mode == decide.Ready && l.startedAt > 0 && at-l.startedAt < b.SlowStart {
		b.enterState(l, at, Warming, "back: "+cause)
		return
	}
	b.enterState(l, at, Warm, cause)
}

package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/fleet/probing"
)

// This file connects the probe scheduler of shared probing to the event loop and the decision module.

// routeProbingEvent passes a queued event to the scheduler if it concerns the scheduler. It reports whether
// the event also has to be passed to the decision module.
func (l *EventLoop) routeProbingEvent(now time.Duration, ev decide.Event) (forDecision bool) {
	switch e := ev.(type) {
	case peerEvent:
		l.SharedProbing.queuedBatches.Add(-1)
		l.stepScheduler(now, e.event)
		return false
	case participantsEvent:
		l.SharedProbing.assignmentPending = false
		l.SharedProbing.serverIDs = e.serverIDs
		l.stepScheduler(now, e.ParticipantsChanged)
		return false
	case decide.Outcome:
		l.stepScheduler(now, probing.LocalPlacement{ServerKey: l.table.serverKey(e.Server), Delta: -1})
	case decide.ProbeResult:
		if e.Status == decide.OK {
			key, report := l.table.serverKey(e.Server), toPeerReport(e.Report)
			l.stepScheduler(now, probing.OwnReading{ServerKey: key, LoadReport: report})
		}
	}
	return true
}

// stepSchedulerIfDue makes the scheduler check which probes are due, and updates the report, each at its own
// interval. It returns the time until the next check.
func (l *EventLoop) stepSchedulerIfDue(now time.Duration) time.Duration {
	s := l.SharedProbing
	if now >= s.steppedAt+stepInterval {
		s.steppedAt = now
		s.applyCorroborationFault()
		l.stepScheduler(now, probing.Tick{})
	}
	if now >= s.reportedAt+reportInterval {
		s.reportedAt = now
		r := s.scheduler.Report(now)
		for i := range r.Servers {
			r.Servers[i].ID = s.serverIDs[r.Servers[i].ServerKey]
		}
		s.report.Store(&r)
	}
	return max(s.steppedAt+stepInterval-now, 0)
}

// stepScheduler passes an event to the scheduler and carries out the resulting actions. Messages to peers are
// queued until the fleet status is unlocked.
func (l *EventLoop) stepScheduler(now time.Duration, ev probing.Event) {
	s := l.SharedProbing
	s.actions = s.scheduler.Handle(now, ev, s.actions[:0])
	for _, action := range s.actions {
		switch a := action.(type) {
		case probing.Probe:
			if id, ok := l.table.readyServer(s.serverIDs[a.ServerKey]); ok {
				l.table.probe(id)
			}
		case probing.UseReading:
			l.useReading(now, a)
		case probing.PeerPlacement:
			if id, ok := l.table.readyServer(s.serverIDs[a.ServerKey]); ok {
				age := a.Age.Round(decisionPrecision)
				l.handle(now, decide.GossipReading{Server: id, Age: age, PlacementDelta: a.Delta})
			}
		case probing.RelayQuarantined:
			s.onQuarantine(a.Name)
		default:
			s.outbox = append(s.outbox, a)
		}
	}
}

// useReading passes a reading of another relay to the decision module.
func (l *EventLoop) useReading(now time.Duration, u probing.UseReading) {
	id, ok := l.table.readyServer(l.SharedProbing.serverIDs[u.ServerKey])
	if !ok {
		return
	}
	age, report := u.Age.Round(decisionPrecision), u.Reading.LoadReport
	if l.table.Recorder != nil {
		l.table.recordPeerReading(id, age, max(report.Load, report.CPUUtilization))
	}
	l.handle(now, decide.GossipReading{Server: id, Age: age, Report: fromPeerReport(report)})
}

// toPeerReport converts a load report into the form that relays exchange.
func toPeerReport(r decide.LoadReport) probing.LoadReport {
	return probing.LoadReport{
		Load:            r.Load,
		InFlight:        r.InFlight,
		ErrorsPerSecond: r.ErrorsPerSecond,
		CPUUtilization:  r.CPUUtilization,
	}
}

// fromPeerReport converts a load report of another relay into the form that the decision module uses.
func fromPeerReport(r probing.LoadReport) decide.LoadReport {
	return decide.LoadReport{
		Load:            r.Load,
		InFlight:        r.InFlight,
		ErrorsPerSecond: r.ErrorsPerSecond,
		CPUUtilization:  r.CPUUtilization,
	}
}

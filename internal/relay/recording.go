package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file makes records for the tap. Callers hold the Exchange's lock and have looked that there is a tap.

// recordEndpointList tells what a list has changed.
func (t *RequestTable) recordEndpointList(kind decide.WatchKind) {
	now := t.Clock.NowMillis()
	if kind == decide.WatchFailed {
		t.Recorder.Put(&recorder.Record{At: now, Kind: recorder.EndpointListUnreachable, Server: -1})
		return
	}
	for _, s := range t.endpoints.servers {
		mode := s.operatorMode()
		if mode == s.recordedMode && s.startedUnix == s.recordedStart && s.recorded {
			continue
		}
		s.recorded, s.recordedMode, s.recordedStart = true, mode, s.startedUnix
		t.Recorder.Put(&recorder.Record{At: now, Kind: recorder.EndpointChanged, Server: int32(s.Number), Mode: mode, StartedAt: s.startedAt, Load: -1})
	}
}

// recordAnswer tells a final answer.
func (r *Request) recordAnswer(a Answer) {
	rec := recorder.Record{At: r.table.Clock.NowMillis(), Kind: recorder.RequestRejected, Request: uint64(r.ID), Server: -1, Status: a.Cause, Reason: a.reason, Initiator: a.decidedBy}
	switch a.Kind {
	case NoAnswer:
		return
	case Failed:
		rec.Kind = recorder.RequestFailed
	}
	if r.attempts > 0 {
		rec.Server = int32(r.attempt.Server.Number)
	}
	r.table.Recorder.Put(&rec)
}

// recordPlacement tells an attempt, and what else the module could have chosen.
func (r *Request) recordPlacement(pool []decide.PooledServer) {
	rec := recorder.Record{At: r.attempt.StartedAt, Kind: recorder.AttemptStarted, Request: uint64(r.ID), Server: int32(r.attempt.Server.Number),
		Attempt: uint8(min(r.attempt.Number, 255)), Load: -1}
	for _, v := range pool {
		if v.Server == r.attempt.Server.Number {
			rec.Load = float32(v.EstimatedLoad)
		} else if rec.PoolSize < recorder.MaxCandidates {
			rec.Pool[rec.PoolSize] = recorder.Candidate{Server: int32(v.Server), Load: float32(v.EstimatedLoad), AgeMs: float32(Millis(v.ReadingAge)), WarmingUp: v.InSlowStart}
			rec.PoolSize++
		}
	}
	r.table.Recorder.Put(&rec)
}

// recordAttemptEnd tells how an attempt ended, and who ended it: to the module a client that has left and a server that
// sends its clients away look alike.
func (r *Request) recordAttemptEnd(status decide.Status, report decide.LoadReport) {
	now := r.table.Clock.NowMillis()
	rec := recorder.Record{At: now, Kind: recorder.AttemptEnded, Request: uint64(r.ID), Server: int32(r.attempt.Server.Number), Status: status,
		Elapsed: now - r.attempt.StartedAt, Attempt: uint8(min(r.attempt.Number, 255)), Load: float32(report.Load), Queue: float32(report.InFlight),
		Errors: float32(report.ErrorsPerSecond), Initiator: recorder.Server}
	rec.WasConnected = r.wasEstablished
	switch {
	case r.serverSilent:
		rec.Initiator = recorder.ServerSilent
	case r.migrating:
		rec.Initiator = recorder.Module
	case r.state == Ended && !r.serverClosed:
		rec.Initiator = recorder.Client
	case r.canceled:
		rec.Initiator = recorder.Module
	}
	r.table.Recorder.Put(&rec)
}

// recordProbe tells a probe's end.
func (t *RequestTable) recordProbe(at float64, s decide.ServerID, status decide.Status, took float64, report decide.LoadReport) {
	t.Recorder.Put(&recorder.Record{At: at, Kind: recorder.ProbeEnded, Server: int32(s), Status: status, Elapsed: took, Load: float32(report.Load),
		Queue: float32(report.InFlight), Errors: float32(report.ErrorsPerSecond)})
}

// recordPeerReading tells that a reading of another relay is gone by.
func (t *RequestTable) recordPeerReading(s decide.ServerID, ageMs float64, load float64) {
	t.Recorder.Put(&recorder.Record{At: t.Clock.NowMillis() - ageMs, Kind: recorder.PeerReading, Server: int32(s), Elapsed: ageMs, Load: float32(load)})
}

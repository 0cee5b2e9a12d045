package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file makes records for the tap. Callers hold the Exchange's lock and have looked that there is a tap.

// recordEndpointList tells what a list has changed.
func (x *RequestTable) recordEndpointList(kind decide.WatchKind) {
	now := x.Clock.NowMillis()
	if kind == decide.WatchFailed {
		x.Recorder.Put(&recorder.Record{At: now, Kind: recorder.EndpointListUnreachable, Server: -1})
		return
	}
	for _, s := range x.endpoints.servers {
		mode := s.operatorMode()
		if mode == s.recordedMode && s.startedUnix == s.recordedStart && s.recorded {
			continue
		}
		s.recorded, s.recordedMode, s.recordedStart = true, mode, s.startedUnix
		x.Recorder.Put(&recorder.Record{At: now, Kind: recorder.EndpointChanged, Server: int32(s.Number), Mode: mode, StartedAt: s.startedAt, Load: -1})
	}
}

// recordAnswer tells a final answer.
func (c *Request) recordAnswer(a Answer) {
	r := recorder.Record{At: c.table.Clock.NowMillis(), Kind: recorder.RequestRejected, Request: uint64(c.ID), Server: -1, Status: a.Cause, Reason: a.reason, Initiator: a.decidedBy}
	switch a.Kind {
	case NoAnswer:
		return
	case Failed:
		r.Kind = recorder.RequestFailed
	}
	if c.attempts > 0 {
		r.Server = int32(c.attempt.Server.Number)
	}
	c.table.Recorder.Put(&r)
}

// recordPlacement tells an attempt, and what else the module could have chosen.
func (c *Request) recordPlacement(pool []decide.PooledServer) {
	r := recorder.Record{At: c.attempt.StartedAt, Kind: recorder.AttemptStarted, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number),
		Attempt: uint8(min(c.attempt.Number, 255)), Load: -1}
	for _, v := range pool {
		if v.Server == c.attempt.Server.Number {
			r.Load = float32(v.EstimatedLoad)
		} else if r.PoolSize < recorder.MaxCandidates {
			r.Pool[r.PoolSize] = recorder.Candidate{Server: int32(v.Server), Load: float32(v.EstimatedLoad), AgeMs: float32(Millis(v.ReadingAge)), WarmingUp: v.InSlowStart}
			r.PoolSize++
		}
	}
	c.table.Recorder.Put(&r)
}

// recordAttemptEnd tells how an attempt ended, and who ended it: to the module a client that has left and a server that
// sends its clients away look alike.
func (c *Request) recordAttemptEnd(status decide.Status, report decide.LoadReport) {
	now := c.table.Clock.NowMillis()
	r := recorder.Record{At: now, Kind: recorder.AttemptEnded, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number), Status: status,
		Elapsed: now - c.attempt.StartedAt, Attempt: uint8(min(c.attempt.Number, 255)), Load: float32(report.Load), Queue: float32(report.InFlight),
		Errors: float32(report.ErrorsPerSecond), Initiator: recorder.Server}
	r.WasConnected = c.wasEstablished
	switch {
	case c.serverSilent:
		r.Initiator = recorder.ServerSilent
	case c.migrating:
		r.Initiator = recorder.Module
	case c.state == Ended && !c.serverClosed:
		r.Initiator = recorder.Client
	case c.canceled:
		r.Initiator = recorder.Module
	}
	c.table.Recorder.Put(&r)
}

// recordProbe tells a probe's end.
func (x *RequestTable) recordProbe(at float64, s decide.ServerID, status decide.Status, took float64, report decide.LoadReport) {
	x.Recorder.Put(&recorder.Record{At: at, Kind: recorder.ProbeEnded, Server: int32(s), Status: status, Elapsed: took, Load: float32(report.Load),
		Queue: float32(report.InFlight), Errors: float32(report.ErrorsPerSecond)})
}

// recordPeerReading tells that a reading of another relay is gone by.
func (x *RequestTable) recordPeerReading(s decide.ServerID, ageMs float64, load float64) {
	x.Recorder.Put(&recorder.Record{At: x.Clock.NowMillis() - ageMs, Kind: recorder.PeerReading, Server: int32(s), Elapsed: ageMs, Load: float32(load)})
}

package relay

import (
	"math"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file creates records for the event recorder. Callers hold the table's lock and have checked that the
// recorder is not nil.

// recordWatchEvent records the changes by an endpoint list or a watch event, or a failure to obtain one.
func (t *RequestTable) recordWatchEvent(kind decide.WatchKind) {
	if kind != decide.WatchFailed {
		t.recordEndpointChanges()
		return
	}
	t.Recorder.Put(&recorder.Record{
		At:     t.Clock.Now(),
		Kind:   recorder.EndpointListUnreachable,
		Server: -1,
	})
}

// recordEndpointChanges records every server whose state or start time has changed since it was last
// recorded.
func (t *RequestTable) recordEndpointChanges() {
	now := t.Clock.Now()
	for _, s := range t.endpoints.servers {
		state := s.operatorState()
		last := s.lastRecorded
		if last.known && last.state == state && last.startedAt.Equal(s.startedWall) {
			continue
		}
		s.lastRecorded = recordedEndpoint{known: true, state: state, startedAt: s.startedWall}
		t.Recorder.Put(&recorder.Record{
			At:            now,
			Kind:          recorder.EndpointChanged,
			Server:        int32(s.Number),
			EndpointState: state,
			StartedAt:     s.startedAt,
			Load:          -1,
		})
	}
}

// recordConnLimitRejection records that a client was rejected because no file descriptor was left for it.
func (t *RequestTable) recordConnLimitRejection() {
	t.Recorder.Put(&recorder.Record{
		At:        t.Clock.Now(),
		Kind:      recorder.RequestRejected,
		Server:    -1,
		Initiator: recorder.DescriptorLimit,
	})
}

// recordProbe records the end of a probe.
func (t *RequestTable) recordProbe(p decide.ProbeResult) {
	t.Recorder.Put(&recorder.Record{
		At:              t.Clock.Now(),
		Kind:            recorder.ProbeEnded,
		Server:          int32(p.Server),
		Status:          p.Status,
		Elapsed:         p.Latency,
		Load:            float32(p.Report.Load),
		QueueLength:     float32(p.Report.InFlight),
		ErrorsPerSecond: float32(p.Report.ErrorsPerSecond),
	})
}

// recordPeerReading records that a reading of another relay was used.
func (t *RequestTable) recordPeerReading(s decide.ServerID, age time.Duration, load float64) {
	t.Recorder.Put(&recorder.Record{
		At:      t.Clock.Now() - age,
		Kind:    recorder.PeerReading,
		Server:  int32(s),
		Elapsed: age,
		Load:    float32(load),
	})
}

// recordAnswer records a final answer. Nothing is recorded if the client left before it was answered.
func (r *Request) recordAnswer(a Answer) {
	rec := recorder.Record{
		At:        r.table.Clock.Now(),
		Kind:      recorder.RequestRejected,
		Request:   uint64(r.ID),
		Server:    -1,
		Status:    a.Cause,
		Reason:    a.reason,
		Initiator: a.decidedBy,
	}
	switch a.Kind {
	case NoAnswer:
		return
	case Failed:
		rec.Kind = recorder.RequestFailed
	}
	if r.attemptsStarted > 0 {
		rec.Server = int32(r.lastAttempt.Server.Number)
	}
	r.table.Recorder.Put(&rec)
}

// recordPlacement records the start of an attempt, with the other servers that the decision module could have
// chosen.
func (r *Request) recordPlacement(candidates []decide.PooledServer) {
	rec := r.recordOfAttempt(recorder.AttemptStarted, r.lastAttempt.StartedAt)
	rec.Load = -1
	for _, c := range candidates {
		switch {
		case c.Server == r.lastAttempt.Server.Number:
			rec.Load = float32(c.EstimatedLoad)
		case rec.CandidateCount < recorder.MaxCandidates:
			rec.Candidates[rec.CandidateCount] = recorder.Candidate{
				Server:      int32(c.Server),
				Load:        float32(c.EstimatedLoad),
				AgeMs:       float32(Millis(c.ReadingAge)),
				InSlowStart: c.InSlowStart,
			}
			rec.CandidateCount++
		}
	}
	r.table.Recorder.Put(&rec)
}

// recordEstablished records that the latest attempt has established the request.
func (r *Request) recordEstablished() {
	now := r.table.Clock.Now()
	rec := r.recordOfAttempt(recorder.ConnectionUp, now)
	rec.Elapsed = now - r.lastAttempt.StartedAt
	r.table.Recorder.Put(&rec)
}

// recordMigration records that the migration of a client to another server has started.
func (r *Request) recordMigration(initiator recorder.Initiator) {
	r.table.Recorder.Put(&recorder.Record{
		At:        r.table.Clock.Now(),
		Kind:      recorder.ClientMigrated,
		Request:   uint64(r.ID),
		Server:    int32(r.lastAttempt.Server.Number),
		Initiator: initiator,
	})
}

func (r *Request) recordMessageDelay(now, delay time.Duration) {
	r.table.Recorder.Put(&recorder.Record{
		At:      now,
		Kind:    recorder.MessageDelayed,
		Request: uint64(r.ID),
		Server:  int32(r.lastAttempt.Server.Number),
		Elapsed: delay,
	})
}

// recordAttemptEnd records how the latest attempt ended, and who ended it. The outcome that the decision
// module gets does not distinguish a client that left from a server that migrates its clients away.
func (r *Request) recordAttemptEnd(status decide.Status, report decide.LoadReport) {
	now := r.table.Clock.Now()
	rec := r.recordOfAttempt(recorder.AttemptEnded, now)
	rec.Status = status
	rec.Elapsed = now - r.lastAttempt.StartedAt
	rec.Load = float32(report.Load)
	rec.QueueLength = float32(report.InFlight)
	rec.ErrorsPerSecond = float32(report.ErrorsPerSecond)
	rec.Initiator = r.endedBy()
	rec.WasConnected = r.connection.wasEstablished
	r.table.Recorder.Put(&rec)
}

// endedBy returns which party ended the latest attempt.
func (r *Request) endedBy() recorder.Initiator {
	switch {
	case r.connection.serverSilent:
		return recorder.ServerUnresponsive
	case r.connection.migrating:
		return recorder.Module
	case r.state == Ended && !r.connection.serverClosed:
		return recorder.Client
	case r.lastAttempt.canceled:
		return recorder.Module
	}
	return recorder.Server
}

// recordOfAttempt returns a record with the fields that identify the latest attempt.
func (r *Request) recordOfAttempt(kind recorder.Kind, at time.Duration) recorder.Record {
	return recorder.Record{
		At:      at,
		Kind:    kind,
		Request: uint64(r.ID),
		Server:  int32(r.lastAttempt.Server.Number),
		Attempt: uint8(min(r.lastAttempt.Number, math.MaxUint8)),
	}
}

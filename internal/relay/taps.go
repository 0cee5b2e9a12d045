package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file makes records for the tap. Callers hold the Exchange's lock and have looked that there is a tap.

// tapList tells what a list has changed.
func (x *Exchange) tapList(kind decide.ListKind) {
	now := x.Clock.Now()
	if kind == decide.Failed {
		x.Tap.Put(&recorder.Record{At: now, Kind: recorder.NoList, Server: -1})
		return
	}
	for _, s := range x.roster.servers {
		mode := s.shown()
		if mode == s.toldMode && s.started == s.toldStart && s.told {
			continue
		}
		s.told, s.toldMode, s.toldStart = true, mode, s.started
		x.Tap.Put(&recorder.Record{At: now, Kind: recorder.List, Server: int32(s.Number), Mode: mode, Since: s.since, Load: -1})
	}
}

// tapAnswer tells a final answer.
func (c *Call) tapAnswer(a Answer) {
	r := recorder.Record{At: c.x.Clock.Now(), Kind: recorder.Refuse, Request: uint64(c.ID), Server: -1, Status: a.Cause, Why: a.why, By: a.by}
	switch a.Kind {
	case NoAnswer:
		return
	case Failed:
		r.Kind = recorder.Fail
	}
	if c.sends > 0 {
		r.Server = int32(c.attempt.Server.Number)
	}
	c.x.Tap.Put(&r)
}

// tapPlace tells an attempt, and what else the module could have chosen.
func (c *Call) tapPlace(pool []decide.View) {
	r := recorder.Record{At: c.attempt.SentAt, Kind: recorder.Place, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number),
		Attempt: uint8(min(c.attempt.No, 255)), Load: -1}
	for _, v := range pool {
		if v.Backend == c.attempt.Server.Number {
			r.Load = float32(v.Load)
		} else if r.Inside < recorder.Peers {
			r.Pool[r.Inside] = recorder.Peer{Server: int32(v.Backend), Load: float32(v.Load), AgeMs: float32(Millis(v.Age)), Cold: v.Cold}
			r.Inside++
		}
	}
	c.x.Tap.Put(&r)
}

// tapEnd tells how an attempt ended, and who ended it: to the module a client that has left and a server that
// sends its clients away look alike.
func (c *Call) tapEnd(status decide.Status, report decide.Report) {
	now := c.x.Clock.Now()
	r := recorder.Record{At: now, Kind: recorder.End, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number), Status: status,
		Took: now - c.attempt.SentAt, Attempt: uint8(min(c.attempt.No, 255)), Load: float32(report.Load), Queue: float32(report.Inflight),
		Errors: float32(report.Errors), By: recorder.Server}
	r.WasUp = c.wasUp
	switch {
	case c.silent:
		r.By = recorder.Silence
	case c.moving:
		r.By = recorder.Module
	case c.state == Ended && !c.broken:
		r.By = recorder.Client
	case c.canceled:
		r.By = recorder.Module
	}
	c.x.Tap.Put(&r)
}

// tapProbe tells a probe's end.
func (x *Exchange) tapProbe(at float64, s decide.Backend, status decide.Status, took float64, report decide.Report) {
	x.Tap.Put(&recorder.Record{At: at, Kind: recorder.Probe, Server: int32(s), Status: status, Took: took, Load: float32(report.Load),
		Queue: float32(report.Inflight), Errors: float32(report.Errors)})
}

// tapTold tells that a reading of another relay is gone by.
func (x *Exchange) tapTold(s decide.Backend, ageMs float64, load float64) {
	x.Tap.Put(&recorder.Record{At: x.Clock.Now() - ageMs, Kind: recorder.Told, Server: int32(s), Took: ageMs, Load: float32(load)})
}

// TurnedAway tells that the door refused a client of the class for want of descriptors.
func (x *Exchange) TurnedAway(class decide.Class) {
	x.mu.Lock()
	x.figures.count(class, Refused)
	x.mu.Unlock()
	if x.Tap != nil {
		x.Tap.Put(&recorder.Record{At: x.Clock.Now(), Kind: recorder.Refuse, Server: -1, By: recorder.Door})
	}
}

// Names appends the ids of servers from number from on, in the order of their numbers.
func (x *Exchange) Names(from int, out []string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.roster.servers[min(from, len(x.roster.servers)):] {
		out = append(out, s.ID)
	}
	return out
}

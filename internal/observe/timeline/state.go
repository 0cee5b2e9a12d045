package timeline

import (
	"fmt"
	"time"
)

// State is the state of a server as this relay observed it.
type State uint8

// The states. 0 is the state of a server of which nothing is known.
const (
	Listed       State = iota + 1 // ready in the endpoint list, but has not answered yet
	Warming                       // in slow start
	Warm                          // in use
	Draining                      // draining in the endpoint list: gets no new requests
	Gone                          // removed from the endpoint list
	Unresponsive                  // does not answer, and does not reset the connection
	Ejected                       // refuses connections or fails: gets no requests
)

// stateNames holds the display names of the states.
var stateNames = [...]string{
	0:            "",
	Listed:       "listed",
	Warming:      "warming",
	Warm:         "warm",
	Draining:     "draining",
	Gone:         "gone",
	Unresponsive: "silent",
	Ejected:      "left out",
}

// String returns the display name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("unknown state %d", uint8(s))
}

// StatePeriod is a period for which a server was in a state. It is stored as a row: its times are Unix times
// in milliseconds.
type StatePeriod struct {
	State State   `cbor:"1,keyasint" json:"-"`
	Name  string  `cbor:"-" json:"state"`
	From  float64 `cbor:"2,keyasint" json:"from"`
	To    float64 `cbor:"3,keyasint" json:"to"` // 0 while it lasts
	Cause string  `cbor:"4,keyasint" json:"cause"`
}

// State returns the current state of the server, or 0 if nothing is known.
func (s *ServerTimeline) State() State {
	if len(s.States) == 0 {
		return 0
	}
	return s.States[len(s.States)-1].State
}

// enterState begins a period of a state, unless the server is already in that state.
func (t *Timelines) enterState(s *ServerTimeline, at time.Duration, state State, cause string) {
	if s.State() == state {
		return
	}
	from := t.unixMs(at)
	if n := len(s.States); n > 0 {
		s.States[n-1].To = from
		t.reportStateChange(s, s.States[n-1])
	}
	if len(s.States) == t.MaxStatePeriods {
		s.DiscardedBefore = max(s.DiscardedBefore, s.States[0].To)
		s.States = append(s.States[:0], s.States[1:]...)
	}
	period := StatePeriod{State: state, Name: state.String(), From: from, Cause: cause}
	s.States = append(s.States, period)
	s.stateSince = at
	s.StateChanges++
	t.reportStateChange(s, period)
}

func (t *Timelines) reportStateChange(s *ServerTimeline, p StatePeriod) {
	if t.Sink.StateChanged != nil {
		t.Sink.StateChanged(s.Name, p)
	}
}

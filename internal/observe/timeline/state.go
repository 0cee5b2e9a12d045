package timeline

// State is what a server is in, as this relay saw it.
type State uint8

// The states.
const (
	Listed       State = iota + 1 // ready by the list, nothing read yet
	Warming                       // just started
	Warm                          // in use
	Draining                      // wants nothing new, by the list
	Gone                          // by the list
	Unresponsive                  // answers nothing, without a reset
	Ejected                       // refuses connections or errs: nothing is sent there
)

var stateNames = [...]string{"", "listed", "warming", "warm", "draining", "gone", "silent", "left out"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// StatePeriod is a state from then to then.
type StatePeriod struct {
	State State   `cbor:"1,keyasint" json:"-"`
	Name  string  `cbor:"-" json:"state"`
	From  float64 `cbor:"2,keyasint" json:"from"`
	To    float64 `cbor:"3,keyasint" json:"to"` // 0 while it lasts
	Cause string  `cbor:"4,keyasint" json:"cause"`
}

// State is what the line's server is in now; 0 if nothing is known.
func (l *ServerTimeline) State() State { return l.state() }

// enterState begins a band, unless the state is the same.
func (b *Timelines) enterState(l *ServerTimeline, at float64, s State, cause string) {
	if l.state() == s {
		return
	}
	if n := len(l.States); n > 0 {
		l.States[n-1].To = at
		if b.Sink.StateChanged != nil {
			b.Sink.StateChanged(l.Name, l.States[n-1])
		}
	}
	if len(l.States) == b.MaxStatePeriods {
		l.DiscardedBefore = max(l.DiscardedBefore, l.States[0].To)
		l.States = append(l.States[:0], l.States[1:]...)
	}
	l.States = append(l.States, StatePeriod{State: s, Name: s.String(), From: at, Cause: cause})
	l.StateChanges++
	if b.Sink.StateChanged != nil {
		b.Sink.StateChanged(l.Name, l.States[len(l.States)-1])
	}
}

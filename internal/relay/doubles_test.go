package relay

import "capersail/decide"

// side stands for both wires: it notes what the Exchange asks of it.
type side struct {
	tries  []Attempt
	probes int
	closed int
	woken  int
	gone   bool // the client's end has come, and nobody has read it
}

func (s *side) StartAttempt(_ *Request, a Attempt) { s.tries = append(s.tries, a) }
func (s *side) Probe(_ Server, done func(decide.Status, decide.LoadReport)) {
	s.probes++
	done(decide.OK, decide.LoadReport{Load: 0.1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1})
}
func (s *side) Forward([]byte) error { return nil }
func (s *side) Close(CloseKind)      { s.closed++ }
func (s *side) Wake()                { s.woken++ }
func (s *side) HasUnread() bool      { return s.gone }

// claimed stands for what may give a call its claim.
type claimed struct{ begun, released int }

func (c *claimed) MustWait() bool   { return true }
func (c *claimed) Acquire(*Request) { c.begun++ }
func (c *claimed) Release()         { c.released++ }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

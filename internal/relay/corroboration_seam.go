//go:build !faults

package relay

// applyCorroborationFault is where tests take out the weighing of what peers tell.
func (s *SharedProbing) applyCorroborationFault() {}

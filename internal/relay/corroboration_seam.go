//go:build !faults

package relay

// applyCorroborationFault does nothing. In builds with the tag faults it can disable the corroboration of
// peers' readings.
func (s *SharedProbing) applyCorroborationFault() {}

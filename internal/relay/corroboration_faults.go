//go:build faults

package relay

import "capersail/internal/testing/faultpoint"

// applyCorroborationFault takes out the weighing of what peers tell, where the rules say so.
func (s *SharedProbing) applyCorroborationFault() {
	s.scheduler.DisableCorroboration(faultpoint.CurrentRules().NoCorroboration)
}

//go:build faults

package relay

import "capersail/internal/testing/faultpoint"

// applyCorroborationFault disables the corroboration of peers' readings if the current fault rules say so.
func (s *SharedProbing) applyCorroborationFault() {
	s.scheduler.DisableCorroboration(faultpoint.CurrentRules().NoCorroboration)
}

//go:build faults

package relay

import "capersail/internal/testing/faultpoint"

// disableCorroborationIfTold takes out the weighing of what peers tell, where the rules say so.
func (s *Shared) disableCorroborationIfTold() {
	s.scheduler.DisableCorroboration(faultpoint.Present().Gullible)
}

//go:build faults

package probing

// DisableCorroboration sets whether the Scheduler trusts all readings. Tests use it to show that their checks
// detect missing corroboration.
func (sc *Scheduler) DisableCorroboration(disabled bool) { sc.skipCorroboration = disabled }

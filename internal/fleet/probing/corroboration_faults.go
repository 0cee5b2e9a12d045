//go:build faults

package probing

// DisableCorroboration makes the Scheduler believe all that it receives, as tests do to see that they
// would find out.
func (sc *Scheduler) DisableCorroboration(disabled bool) { sc.skipCorroboration = disabled }

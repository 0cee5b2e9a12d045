//go:build faults

package subset

// TakeOutTrust makes the Keeper believe all that it is told, as tests do to see that they would find out.
func (k *Keeper) TakeOutTrust(out bool) { k.trust = out }

//go:build faults

package member

// TakeOutJoint takes the joint view out: shares grow without regard to what others may still take. Only tests want
// it, to see that they find out.
func (k *Keeper) TakeOutJoint() { k.joint = false }

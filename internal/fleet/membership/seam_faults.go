//go:build faults

package membership

// DisableJointViews takes the joint view out: shares grow without regard to what others may still take.
// Only tests want it, to see that they find out.
func (n *Node) DisableJointViews() { n.safeguards.jointViews = false }

//go:build faults

package membership

// DisableJointViews switches off the rule jointViews: shares grow without regard to what other relays may
// still take. Only tests call it, to check that they detect the violation.
func (n *Node) DisableJointViews() { n.safeguards.jointViews = false }

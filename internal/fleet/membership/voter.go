package membership

import "slices"

// voterName is the name by which a relay votes in the view held.
func (n *Node) voterName(name string, place int) string {
	if n.view.Epoch == 0 {
		return slotVoterName(place)
	}
	return name
}

// voterRelay is the relay that a voter is, "" for one that is not known.
func (n *Node) voterRelay(voter string) string {
	if n.view.Epoch > 0 {
		return voter
	}
	if slotVoterName(n.cfg.BootstrapSlot) == voter {
		return n.cfg.Name
	}
	for _, p := range n.sorted() {
		if p.StatusAt < 0 || p.Status.Epoch != 0 || p.Status.BootstrapSize != n.view.BootstrapSize {
			continue
		}
		if slotVoterName(p.Status.BootstrapSlot) == voter && n.isAlive(p.Name) {
			return p.Name
		}
	}
	return ""
}

// isVoter tells whether this relay is a voter of the view that it holds.
func (n *Node) isVoter() bool {
	return !n.storageFailed && slices.Contains(n.view.Voters, n.voterName(n.cfg.Name, n.cfg.BootstrapSlot))
}

// votersAlive is how many voters of the view held are taken for alive.
func (n *Node) votersAlive() (count int) {
	for _, v := range n.view.Voters {
		if name := n.voterRelay(v); name != "" && n.isAlive(name) {
			count++
		}
	}
	return count
}

//go:build !faults

package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// injectFaults returns the transport unchanged. With the build tag faults it adds network faults.
func (n *Node) injectFaults(t *countingTransport) memberlist.NodeAwareTransport { return t }

// recordHistory does nothing. With the build tag faults it records the relay's estimate of the fleet.
func (n *Node) recordHistory() {}

// adjustTiming returns the timing unchanged. With the build tag faults it shortens the leases of a cell.
func (n *Node) adjustTiming(p membership.Timing) membership.Timing { return p }

// cellTime converts a time of the Node's clock to the Coordinator's, and nodeTime converts it back. The
// clocks are the same, but with the build tag faults the Coordinator's may run faster.
func (n *Node) cellTime(now time.Duration) time.Duration { return now }
func (n *Node) nodeTime(at time.Duration) time.Duration  { return at }

// adjustStatus returns the status unchanged. With the build tag faults it converts it to another version.
func (n *Node) adjustStatus(d membership.Status) any { return d }

// falsifyReadings returns the readings unchanged. With the build tag faults it replaces them by false ones.
func (n *Node) falsifyReadings(readings []probing.Reading) []probing.Reading { return readings }

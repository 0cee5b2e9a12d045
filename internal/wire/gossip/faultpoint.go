//go:build !faults

package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// injectFaults is where tests put faults between relays; this program has none.
func (n *Node) injectFaults(t *countingTransport) memberlist.NodeAwareTransport { return t }

// recordHistory is where tests record the relay's estimate of the fleet; this program does not.
func (n *Node) recordHistory() {}

// adjustTiming is where tests have a cell go faster; this program goes by its pace.
func (n *Node) adjustTiming(p membership.Timing) membership.Timing { return p }

// cellTime is the Coordinator's clock by the Node's, and nodeTime the other way round; tests let it run
// faster.
func (n *Node) cellTime(now time.Duration) time.Duration { return now }
func (n *Node) nodeTime(at time.Duration) time.Duration  { return at }

// adjustStatus is where tests make a status one of another version; this program's are its own.
func (n *Node) adjustStatus(d membership.Status) any { return d }

// falsifyReadings is where tests have a relay tell nonsense.
func (n *Node) falsifyReadings(readings []probing.Reading) []probing.Reading { return readings }

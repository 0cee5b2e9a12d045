package gossip

import (
	"log"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
)

// LocalActivity is the current state of this relay, which the Node publishes in its status.
type LocalActivity struct {
	Lifecycle           membership.Lifecycle
	Arrivals            uint64 // requests since the process started
	OpenRequests        int
	EndpointListVersion int64 // version of the endpoint list in use; 0 for none
}

// Config configures a Node.
type Config struct {
	Name  string
	Site  string // memberlist's label: relays of different sites ignore each other
	Zone  string
	Seed  uint64
	Clock *relay.Clock
	Log   zerolog.Logger

	Bind      string // host:port, for UDP and TCP
	Advertise string // host:port that other relays connect to, "" for Bind
	Seeds     []string
	// Keys encrypt gossip: the first is used to encrypt and all are tried to decrypt. Without keys gossip is
	// plaintext, which the settings allow on loopback addresses only.
	Keys [][]byte
	// Transport creates the transport for packets and streams at a host and port; nil for UDP and TCP
	// sockets.
	Transport func(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error)

	StateFile        string // path of the file that stores the membership.Node's record
	BootstrapSlot    int    // this relay's slot in view 0, from 0; negative for none
	BootstrapSize    int    // number of slots of view 0
	ConfiguredRelays int    // number of relays in the settings; used until relays agree on a view
	// Cell is the name of this relay's cell and Plan divides the fleet's budgets among all cells. They are ""
	// and nil in a flat fleet.
	Cell   string
	Plan   *cellplan.Plan
	Timing membership.Timing // within the cell; the zero Timing is that of a flat fleet
	// Zones maps the names of zones in the settings, which a plan uses, to the decision module's numbers.
	Zones map[string]decide.Zone

	// LocalActivity returns the relay's current state. Neither it nor the functions below may block.
	LocalActivity func() LocalActivity
	// RefreshEndpoints has the endpoint list fetched at once; it may be nil.
	RefreshEndpoints func()
	// OnMembershipChange is called for each change of the membership; it may be nil.
	OnMembershipChange func(membership.StateChanged)
	// OnProbingEvent is called for readings and placements from a peer, with a probing.ReadingsReceived or
	// probing.PlacementsReceived; it may be nil.
	OnProbingEvent func(event probing.Event)
}

// wireCell returns the name of the cell as it is used on the wire and on disk. It is empty in a flat fleet,
// even if a plan lists that fleet as one of its cells: relays that have the plan must still exchange messages
// with those that do not have it yet.
func (c *Config) wireCell() string {
	if c.Plan == nil {
		return ""
	}
	if cell, _ := c.Plan.FindCell(c.Cell); cell.SpansRegions() {
		return ""
	}
	return c.Cell
}

// zoneNumber returns the decision module's number of a zone that a plan names; false if there is none.
func (c *Config) zoneNumber(name string) (decide.Zone, bool) {
	number, known := c.Zones[name]
	return number, known
}

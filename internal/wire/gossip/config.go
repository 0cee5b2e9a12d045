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

// LocalActivity is what this relay does now, as whoever starts the Node knows it.
type LocalActivity struct {
	Lifecycle           membership.Lifecycle
	Arrivals            uint64 // requests since the process started
	OpenRequests        int
	EndpointListVersion int64 // of the endpoint list held
}

// Config is what a Node is made from.
type Config struct {
	Name  string
	Site  string // relays of other sites are never merged with
	Zone  string
	Seed  uint64
	Clock *relay.Clock
	Log   zerolog.Logger

	Bind      string // host:port, for UDP and TCP
	Advertise string // host:port that others connect to, "" for Bind
	Seeds     []string
	Keys      [][]byte // the first seals; none binds loopback only
	// Transport makes what carries packets and streams from and to a host and port; nil for UDP and TCP
	// sockets.
	Transport func(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error)

	StateFile        string // the file that the membership.Node's record is kept in
	BootstrapSlot    int
	BootstrapSize    int // slots of view 0
	ConfiguredRelays int // by the settings
	// Cell is this relay's cell and Plan divides the fleet's budgets among all of them; "" and nil for a flat
	// fleet.
	Cell   string
	Plan   *cellplan.Plan
	Timing membership.Timing // within the cell; the zero Timing is a flat fleet's
	// Zones are the settings' zones by name, by which the plan's are known to the decision module.
	Zones map[string]decide.Zone

	// LocalActivity is asked for what the relay does. Neither it nor the functions below may block.
	LocalActivity func() LocalActivity
	// RefreshEndpoints polls for the endpoint list at once; nil for nobody.
	RefreshEndpoints func()
	// OnMembershipChange is called for each change of the fleet; nil for nobody.
	OnMembershipChange func(membership.StateChanged)
	// OnProbingEvent is called for what a peer passes on of servers, a probing.ReadingsReceived or
	// PlacementsReceived; nil for nobody.
	OnProbingEvent func(event probing.Event)
}

// wireCell is the cell's name on the wire and on disk. A flat fleet has none, also where a plan gives it a
// part: its relays go on hearing those that have no plan yet.
func (c *Config) wireCell() string {
	if c.Plan == nil {
		return ""
	}
	if cell, _ := c.Plan.FindCell(c.Cell); cell.SpansRegions() {
		return ""
	}
	return c.Cell
}

// zoneNumber finds the decision module's number of a zone that a plan names.
func (c *Config) zoneNumber(name string) (decide.Zone, bool) {
	number, known := c.Zones[name]
	return number, known
}

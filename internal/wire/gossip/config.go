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

// LocalActivity is what this relay does now, as whoever starts the Node knows it. It must not block.
type LocalActivity struct {
	Lifecycle    membership.Lifecycle
	Arrivals     uint64 // since the process started
	OpenRequests int
	ListVersion  int64
}

// Config is what a Node is told.
type Config struct {
	Name          string
	Site          string // relays of other sites are never merged with
	Zone          string
	Bind          string // host:port, for UDP and TCP
	Advertise     string // host:port that others are told, "" for Bind
	Seeds         []string
	Keys          [][]byte // the first seals; none binds loopback only
	State         string   // the file that the membership.Node's record is kept in
	BootstrapSlot int
	// Founders is how many places view 0 has, Relays the settings' number.
	BootstrapSize, ConfiguredRelays int
	Seed                            uint64
	Clock                           *relay.Clock
	LocalActivity                   func() LocalActivity
	RefreshEndpoints                func()                   // asks for the list of servers out of turn
	OnChange                        func(membership.Changed) // is told of each change; nil for nobody
	// Received is told of what a peer passes on of servers, a probing.ReadingsReceived or PlacementsReceived; nil for
	// nobody. It must not block.
	OnProbingEvent func(ev probing.Event)
	// Transport makes what carries packets and streams from and to a host and port; nil for UDP and TCP sockets.
	Transport func(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error)
	// Cell is this relay's cell and Plan divides the fleet's budgets among all of them; "" and nil for a flat fleet.
	Cell   string
	Plan   *cellplan.Plan
	Timing membership.Timing // within the cell; the zero Pace is a flat fleet's
	// Zones are the settings' zones by name, by which the plan's are known to the module.
	Zones map[string]decide.Zone
	Log   zerolog.Logger
}

// wireCell is the cell's name on the wire and on disk. A flat fleet has none, also where a plan gives it a part: its relays go on
// hearing those that have no plan yet.
func (c *Config) wireCell() string {
	if c.Plan == nil {
		return ""
	}
	if cell, _ := c.Plan.Find(c.Cell); cell.Spanning() {
		return ""
	}
	return c.Cell
}

// zoneNumber finds the module's number of a zone that a plan names.
func (c *Config) zoneNumber(name string) (decide.Zone, bool) {
	number, known := c.Zones[name]
	return number, known
}

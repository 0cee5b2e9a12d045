package gossip

import (
	"github.com/rs/zerolog"

	"capersail/internal/fleet/membership"
	"capersail/internal/relay"
)

// testConfig is the configuration of a relay that serves, by itself; tests change it before they make a Node
// of it.
func testConfig(name, state string) Config {
	return Config{
		Name:             name,
		Site:             "s",
		StateFile:        state,
		BootstrapSize:    3,
		ConfiguredRelays: 3,
		Clock:            relay.NewClock(),
		Log:              zerolog.Nop(),
		LocalActivity: func() LocalActivity {
			return LocalActivity{Lifecycle: membership.LifecycleServing, EndpointListVersion: 1}
		},
	}
}

package gossip

import (
	"github.com/rs/zerolog"

	"capersail/internal/fleet/membership"
	"capersail/internal/relay"
)

// testConfig returns the configuration of a relay that serves and has no seeds. Tests change it before they
// create a Node.
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

package lifecycle

import (
	"context"
	"errors"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"capersail/internal/control"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
	"capersail/internal/wire/gossip"
)

// membersPart makes the relay a member of a fleet. It joins only the platform's front.
type membersPart struct {
	path     string
	platform *Config
	config   *MembersConfig
	gossip   gossip.Config
	log      zerolog.Logger

	node          *gossip.Node
	sharedProbing *relay.SharedProbing // nil if each relay probes servers for itself
	joinErr       error
	control       controlSocket
	upgrade       bool               // the process that this one replaces may still run
	cancel        context.CancelFunc // stops the node; nil before start
}

func newMembersPart(path string, platform *Config, log zerolog.Logger) (part, error) {
	if platform == nil {
		return nil, errNeedsPlatform(path, "a relay with the platform's front can be a member")
	}
	config, err := ReadMembersConfig(path)
	if err != nil {
		return nil, err
	}
	log = log.With().Str("part", "members").Logger()
	node, err := config.gossipConfig(platform, log)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &membersPart{path: path, platform: platform, config: config, gossip: node, log: log}, nil
}

func (p *membersPart) name() string { return "members" }

func (p *membersPart) join(front *frontHooks) {
	if front.platform == nil {
		return
	}
	p.upgrade = front.upgrade
	c := &p.gossip
	c.Clock = front.clock
	c.RefreshEndpoints = front.discovery.RestartWatch
	c.OnMembershipChange = front.notifyChange
	c.LocalActivity = func() gossip.LocalActivity {
		return gossip.LocalActivity{
			Lifecycle:           front.lifecycleState(),
			Arrivals:            front.requests.Arrivals(),
			OpenRequests:        front.requests.OpenRequests(),
			EndpointListVersion: front.discovery.ListVersion(),
		}
	}
	if p.config.ShareProbes {
		c.OnProbingEvent = func(event probing.Event) { p.sharedProbing.Receive(event) }
	}
	p.node, p.joinErr = gossip.New(*c)
	if p.joinErr != nil {
		return
	}
	front.fleet = p.node
	if p.config.ShareProbes {
		quarantined := func(name string) { p.reportQuarantine(front, name) }
		p.sharedProbing = relay.NewSharedProbing(front.requests, c.Name, c.Seed, p.node, quarantined)
		front.sharedProbing = p.sharedProbing
	}
}

// reportQuarantine logs that the readings of a member are ignored, and notifies the parts that listen.
func (p *membersPart) reportQuarantine(front *frontHooks, name string) {
	p.log.Warn().Str("member", name).
		Msg("member quarantined, its load reports are ignored for 30 s: " +
			"check its clock, network and version")
	front.notifyChange(membership.StateChanged{
		Kind:  membership.ChangePeer,
		Name:  name,
		State: "doubted",
		Cause: "two others contradict its readings",
	})
}

// lifecycleState returns the state of this relay that it announces to the other members.
func (h *frontHooks) lifecycleState() membership.Lifecycle {
	switch {
	case h.requests.ShuttingDown():
		return membership.LifecycleLeaving
	case h.requests.Draining():
		return membership.LifecycleDraining
	case !h.requests.HasEndpointList():
		return membership.LifecycleStarting
	}
	return membership.LifecycleServing
}

// start runs the node in a context of its own, because the node has to run until the fronts have shut down.
func (p *membersPart) start(context.Context) error {
	if p.joinErr != nil {
		return p.joinErr
	}
	if p.config.ControlSocket != "" {
		sources := control.Sources{Fleet: p.node, Probing: p.sharedProbing.Report, Cells: p.node.CellsReport}
		if err := p.control.start(p.config.ControlSocket, sources, p.upgrade, p.log); err != nil {
			return &ConfigError{File: p.path, Key: "socket", Err: err}
		}
	}
	ctx, end := context.WithCancel(context.Background())
	p.cancel = end
	go p.node.Run(ctx)
	return nil
}

func (p *membersPart) metrics() []prometheus.Collector {
	return []prometheus.Collector{p.node.Collector(), newProbingMetrics(p.sharedProbing.Report)}
}

func (p *membersPart) reload() (apply func(), err error) {
	next, err := ReadMembersConfig(p.path)
	if err != nil {
		return nil, err
	}
	if (len(next.keys) > 0) != (len(p.config.keys) > 0) {
		return nil, &ConfigError{File: p.path, Key: "keys", Err: errEncryptionFixed}
	}
	err = errors.Join(p.config.checkReload(next), next.checkZones(zoneNames(p.platform)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.path, err)
	}
	return func() { p.apply(next) }, nil
}

var errEncryptionFixed = errors.New("gossip encryption is switched on or off only by a restart of the relay")

// apply applies a file that has been checked.
func (p *membersPart) apply(next *MembersConfig) {
	if len(next.keys) > 0 {
		if err := p.node.SetKeys(next.keys); err != nil {
			p.log.Error().Err(err).
				Msg("gossip keys not rotated, old keys stay in force: correct the key file, send SIGHUP")
		}
	}
	if next.Plan != nil {
		p.node.SetPlan(next.Cell, *next.Plan)
		p.config.cellSettings = next.cellSettings
	}
	p.log.Info().
		Int("keys", len(next.keys)).
		Bool("needs_restart", next.restartOnlySettings() != p.config.restartOnlySettings()).
		Msg("reloaded members")
}

func (p *membersPart) leave() { p.node.Leave() }

func (p *membersPart) stop() {
	p.control.stop()
	if p.cancel != nil {
		p.cancel()
		p.node.Wait()
	}
}

// gossipConfig returns the configuration of gossip by the file and the platform's settings. The error is a
// *ConfigError without a file.
func (m *MembersConfig) gossipConfig(platform *Config, log zerolog.Logger) (gossip.Config, error) {
	settings := platform.Deployment.Settings
	relays := max(settings.Relays, 1)
	c := gossip.Config{
		Name:             platform.Name,
		Site:             m.Site,
		Zone:             m.Zone,
		Zones:            platform.Deployment.Zones,
		Bind:             m.Bind,
		Advertise:        m.Advertise,
		Seeds:            m.Seeds,
		Keys:             m.keys,
		StateFile:        m.StateFile,
		BootstrapSlot:    settings.RelayIndex,
		BootstrapSize:    m.BootstrapSize,
		ConfiguredRelays: relays,
		Seed:             platform.Seed,
		Log:              log,
	}
	if c.BootstrapSize == 0 {
		c.BootstrapSize = relays
	}
	if c.Zone == "" {
		c.Zone = zoneName(platform)
	}
	if m.Plan != nil {
		if err := m.checkZones(zoneNames(platform)); err != nil {
			return c, err
		}
		m.configureCell(&c)
	}
	if !gossip.ValidRelayName(c.Name) {
		return c, keyError("name",
			"%q in the platform's file is not a valid member name: want 1 to 128 printable bytes", c.Name)
	}
	return c, nil
}

// zoneName returns the name of the relay's own zone in the platform's settings, or "" if they have none.
func zoneName(platform *Config) (own string) {
	for name, zone := range platform.Deployment.Zones {
		if zone == platform.Deployment.Settings.Zone {
			own = name
		}
	}
	return own
}

package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"capersail/internal/control"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
	"capersail/internal/wire/gossip"
)

// lifecycleState is what a relay tells the others that it does.
func (s *frontSeam) lifecycleState() membership.Lifecycle {
	switch {
	case s.requests.ShuttingDown():
		return membership.Leaving
	case s.requests.Draining():
		return membership.Draining
	case !s.requests.HasEndpointList():
		return membership.Starting
	}
	return membership.Serving
}

// membersPart is relays that know each other as a part.
func membersPart(path string, c *Config, log zerolog.Logger) (*part, error) {
	if c == nil {
		return nil, fmt.Errorf("%s: LB_CONFIG is not set: only relays of the platform's front know each other", path)
	}
	m, err := ReadMembersConfig(path)
	if err != nil {
		return nil, err
	}
	log = log.With().Str("part", "members").Logger()
	conf, err := m.gossipConfig(c, log)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var node *gossip.Node
	var door *control.Server
	var shared *relay.SharedProbing
	ctx, end := context.WithCancel(context.Background()) // of its own: it is there until the fronts have left
	started := false
	p := &part{name: "members"}
	p.join = func(s *frontSeam) {
		if s.platform == nil {
			return
		}
		conf.Clock, conf.RefreshEndpoints = s.clock, s.discovery.RestartWatch
		conf.LocalActivity = func() gossip.LocalActivity {
			return gossip.LocalActivity{Lifecycle: s.lifecycleState(), Arrivals: s.requests.Arrivals(), OpenRequests: s.requests.OpenRequests(), ListVersion: s.discovery.ListVersion()}
		}
		conf.OnChange = s.notifyChange
		if m.ShareProbes {
			conf.OnProbingEvent = func(ev probing.Event) { shared.Receive(ev) }
		}
		if node, err = gossip.New(conf); err == nil {
			s.fleet = node
			if m.ShareProbes {
				shared = relay.NewSharedProbing(s.requests, conf.Name, conf.Seed, node, func(name string) {
					log.Warn().Str("member", name).Msg("its readings of servers are left out for 30 s: two others contradict them")
					s.notifyChange(membership.Changed{Kind: membership.ChangePeer, Name: name, State: "doubted", Cause: "two others contradict its readings"})
				})
				s.probeSharing = shared
			}
		}
	}
	p.start = func(context.Context) error {
		if err != nil {
			return err
		}
		if m.Socket != "" {
			if door, err = control.Listen(m.Socket, control.Sources{Fleet: node, Probing: shared.Report, Cells: node.Cells}, log); err != nil {
				return fmt.Errorf("%s: socket: %w", path, err)
			}
		}
		started = true
		go node.Run(ctx)
		return nil
	}
	p.reload = func() (func(), error) {
		n, err := ReadMembersConfig(path)
		if err != nil {
			return nil, err
		}
		if (len(n.keys) > 0) != (len(m.keys) > 0) {
			return nil, fmt.Errorf("%s: keys: sealing cannot be switched on or off while the relay runs", path)
		}
		if err := errors.Join(m.checkReload(n), n.checkZones(zoneNames(c))); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		return func() {
			if len(n.keys) > 0 {
				if err := node.SetKeys(n.keys); err != nil {
					log.Error().Err(err).Msg("the keys stay as they were")
				}
			}
			if n.Plan != nil {
				node.SetPlan(n.Cell, *n.Plan)
				m.cellSettings = n.cellSettings
			}
			log.Info().Int("keys", len(n.keys)).Bool("needs_restart", n.restartOnly() != m.restartOnly()).Msg("reloaded members")
		}, nil
	}
	p.leave = func() { node.Leave() }
	p.metrics = func() prometheus.Collector { return collectors{node.Collector(), newProbingMetrics(shared.Report)} }
	p.stop = func() {
		if door != nil {
			door.Close()
			os.Remove(m.Socket)
		}
		if end(); started {
			node.Wait()
		}
	}
	return p, nil
}

// gossipConfig is what the file and the settings make of a relay.
func (m *MembersConfig) gossipConfig(c *Config, log zerolog.Logger) (gossip.Config, error) {
	set := c.Deployment.Settings
	g := gossip.Config{Name: c.Name, Site: m.Site, Zone: m.Zone, Bind: m.Bind, Advertise: m.Advertise, Seeds: m.Seeds, Keys: m.keys, State: m.State,
		InitialPlace: set.RelayIndex, Founders: m.Founders, Relays: max(set.Relays, 1), Seed: c.Seed, Log: log}
	if g.Founders == 0 {
		g.Founders = g.Relays
	}
	if g.Zone == "" {
		for name, z := range c.Deployment.Zones {
			if z == set.Zone {
				g.Zone = name
			}
		}
	}
	if m.Plan != nil {
		if err := m.checkZones(zoneNames(c)); err != nil {
			return g, err
		}
		m.configureCell(&g)
	}
	g.Zones = c.Deployment.Zones
	if !gossip.ValidName(c.Name) {
		return g, fmt.Errorf("name: %q of the platform's file cannot be a member's: 1 to 128 bytes that print are wanted", c.Name)
	}
	return g, nil
}

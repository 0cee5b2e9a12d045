package lifecycle

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"capersail/internal/control"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
	"capersail/internal/wire/gossip"
)

// MembersConfig is the operator's file for relays that know each other; deploy/members.toml says what each key means.
type MembersConfig struct {
	Site        string   `toml:"site"`
	Bind        string   `toml:"bind"`
	Advertise   string   `toml:"tell"`
	Seeds       []string `toml:"seeds"`
	Keys        string   `toml:"keys"`
	State       string   `toml:"state"`
	Socket      string   `toml:"socket"`
	Zone        string   `toml:"zone"`
	Founders    int      `toml:"founders"`
	ShareProbes bool     `toml:"looks"`
	cellSettings

	keys [][]byte
}

// maxFounders bounds the places of a fleet; so many relays are far beyond what gossip is made for.
const maxFounders = 10_000

// ReadMembersConfig reads the file and the keys that it names. The error has every problem, each with its key.
func ReadMembersConfig(path string) (*MembersConfig, error) {
	m := &MembersConfig{ShareProbes: true}
	f, err := decodeFile(path, m)
	if err != nil {
		return nil, err
	}
	bad := f.addIf
	bad(m.Site == "" || len(m.Site) > 100, "site: from 1 to 100 bytes; relays of other sites are never merged with")
	host, err := checkAddress(m.Bind)
	bad(err != nil, "bind: %v", err)
	if err == nil {
		bad(m.Keys == "" && !net.ParseIP(host).IsLoopback(), "bind: %s is not a loopback address, and without keys no other is allowed", host)
		bad(net.ParseIP(host).IsUnspecified() && m.Advertise == "", "tell: has to be set where bind is no one address that others can reach")
	}
	if m.Advertise != "" {
		_, err := checkAddress(m.Advertise)
		bad(err != nil, "tell: %v", err)
	}
	bad(len(m.Seeds) == 0 && !m.inRegion(), "seeds: at least one is wanted")
	for i, s := range m.Seeds {
		_, err := checkAddress(s)
		bad(err != nil, "seeds: entry %d: %v", i+1, err)
	}
	bad(!filepath.IsAbs(m.State), "state: %q is not a path from / on", m.State)
	bad(m.Socket != "" && !filepath.IsAbs(m.Socket), "socket: %q is not a path from / on", m.Socket)
	bad(len(m.Socket) > 100, "socket: over 100 bytes; the kernel takes no more")
	bad(m.Founders < 0 || m.Founders > maxFounders, "founders: from 1 to %d, or 0 for the settings' number", maxFounders)
	if m.Keys != "" {
		var err error
		m.keys, err = readGossipKeys(m.Keys)
		bad(err != nil, "keys: %v", err)
	}
	m.checkCells(f)
	return m, f.err()
}

// checkAddress checks host:port, the host an IP checkAddress: there is no name lookup in the way of a relay that starts.
func checkAddress(s string) (host string, err error) {
	host, port, err := net.SplitHostPort(s)
	switch n, bad := strconv.Atoi(port); {
	case err != nil:
		return "", err
	case net.ParseIP(host) == nil:
		return "", fmt.Errorf("%q: %q is not an IP address", s, host)
	case bad != nil || n < 1 || n > 65535:
		return "", fmt.Errorf("%q: the port is not from 1 to 65535", s)
	}
	return host, nil
}

// readGossipKeys reads the keys that seal packets: one a line as base64, 16, 24 or 32 bytes, the first seals. Errors never
// show a secret.
func readGossipKeys(path string) (keys [][]byte, err error) {
	text, err := readSecretFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: not base64", path, i+1)
		}
		if n := len(key); n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s: line %d: %d bytes; 16, 24 or 32 are wanted", path, i+1, n)
		}
		if slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			return nil, fmt.Errorf("%s: line %d: the key is there twice", path, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: no key", path)
	}
	return keys, nil
}

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

// restartOnly is what of the file a reload does not take in.
func (m *MembersConfig) restartOnly() string {
	return fmt.Sprint(m.Site, m.Bind, m.Advertise, m.Seeds, m.State, m.Socket, m.Zone, m.Founders, m.ShareProbes)
}

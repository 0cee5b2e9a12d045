package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"strings"
)

// configure writes a relay's files.
func (fleet *Cluster) configure(i int, example string) error {
	r := fleet.Relays[i]
	if fleet.Keys != "" {
		if err := os.WriteFile(r.path("keys"), []byte(fleet.Keys), 0o600); err != nil {
			return err
		}
	}
	r.membersText = fleet.membersText(r)
	return errors.Join(fleet.writeConfig(i, example), fleet.RemovePlan(i), r.writeFaults())
}

// writeConfig writes a relay's configuration: the example's, with what the layout changes.
func (fleet *Cluster) writeConfig(i int, example string) error {
	config, err := readConfig(example)
	if err != nil {
		return err
	}
	r := fleet.Relays[i]
	config["name"] = r.Name
	config["listen"] = r.Listen
	config["discovery"] = fleet.Discovery.Address
	config["seed"] = fmt.Sprintf("%x", i+1)
	settings := config["settings"].(map[string]any)
	settings["me"] = i
	settings["balancers"] = fleet.Layout.Relays
	if len(fleet.Zones) > 0 {
		settings["areas"] = fleet.Zones
		settings["zone"] = fleet.ZoneOf(i)
	}
	maps.Copy(settings, fleet.Settings)
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(r.path("config.json"), text, 0o600)
}

// membersText returns a relay's members' file without a plan.
func (fleet *Cluster) membersText(r *Relay) string {
	var seeds []string
	for _, other := range fleet.Relays[:min(3, len(fleet.Relays))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.Gossip))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "site = %q\n", fleet.Deployment)
	fmt.Fprintf(&b, "bind = %q\n", r.Gossip)
	fmt.Fprintf(&b, "seeds = [%s]\n", strings.Join(seeds, ", "))
	fmt.Fprintf(&b, "state = %q\n", r.path("state"))
	fmt.Fprintf(&b, "socket = %q\n", r.Socket)
	fmt.Fprintf(&b, "founders = %d\n", fleet.BootstrapSize)
	if fleet.SeparateProbes {
		b.WriteString("looks = false\n")
	}
	if fleet.Keys != "" {
		fmt.Fprintf(&b, "keys = %q\n", r.path("keys"))
	}
	return b.String()
}

// Reconfigure changes keys of a relay's configuration, for its next start or reload.
func (fleet *Cluster) Reconfigure(i int, changes map[string]any) error {
	path := fleet.Relays[i].path("config.json")
	config, err := readConfig(path)
	if err != nil {
		return err
	}
	maps.Copy(config, changes)
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

func readConfig(path string) (config map[string]any, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(text, &config)
	return config, err
}

package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
)

// configure writes a relay's files.
func (fleet *Cluster) configure(i int, example string) error {
	text, err := os.ReadFile(example)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	r := fleet.Relays[i]
	c["name"], c["listen"], c["discovery"], c["seed"] = r.Name, r.Listen, fleet.Discovery.Address, fmt.Sprintf("%x", i+1)
	settings := c["settings"].(map[string]any)
	settings["me"], settings["balancers"] = i, fleet.Layout.Relays
	if len(fleet.Zones) > 0 {
		settings["areas"], settings["zone"] = fleet.Zones, fleet.ZoneOf(i)
	}
	for k, v := range fleet.Settings {
		settings[k] = v
	}
	if text, err = json.Marshal(c); err != nil {
		return err
	}
	seeds := []string{}
	for j := range min(3, len(fleet.Relays)) {
		seeds = append(seeds, fmt.Sprintf("%q", fleet.Relays[j].Gossip))
	}
	members := fmt.Sprintf("site = %q\nbind = %q\nseeds = [%s]\nstate = %q\nsocket = %q\nfounders = %d\n", fleet.Deployment, r.Gossip, strings.Join(seeds, ", "),
		filepath.Join(r.dir, "state"), r.Socket, fleet.Founders)
	if fleet.OwnProbes {
		members += "looks = false\n"
	}
	if fleet.Keys != "" {
		members += fmt.Sprintf("keys = %q\n", r.path("keys"))
		if err := os.WriteFile(r.path("keys"), []byte(fleet.Keys), 0o600); err != nil {
			return err
		}
	}
	r.membersText = members
	return errors.Join(os.WriteFile(r.path("config.json"), text, 0o600), fleet.RemovePlan(i), r.writeFaults())
}

// Reconfigure changes keys of a relay's configuration. It counts from its next start or reload on.
func (fleet *Cluster) Reconfigure(i int, changes map[string]any) error {
	path := fleet.Relays[i].path("config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	maps.Copy(c, changes)
	if text, err = json.Marshal(c); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

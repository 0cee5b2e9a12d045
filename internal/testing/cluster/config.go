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
func (g *Cluster) configure(i int, example string) error {
	text, err := os.ReadFile(example)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	r := g.Relays[i]
	c["name"], c["listen"], c["discovery"], c["seed"] = r.Name, r.Listen, g.Discovery.Address, fmt.Sprintf("%x", i+1)
	settings := c["settings"].(map[string]any)
	settings["me"], settings["balancers"] = i, g.Plan.Relays
	if len(g.Zones) > 0 {
		settings["areas"], settings["zone"] = g.Zones, g.ZoneOf(i)
	}
	for k, v := range g.Settings {
		settings[k] = v
	}
	if text, err = json.Marshal(c); err != nil {
		return err
	}
	seeds := []string{}
	for j := range min(3, len(g.Relays)) {
		seeds = append(seeds, fmt.Sprintf("%q", g.Relays[j].Gossip))
	}
	members := fmt.Sprintf("site = %q\nbind = %q\nseeds = [%s]\nstate = %q\nsocket = %q\nfounders = %d\n", g.Site, r.Gossip, strings.Join(seeds, ", "),
		filepath.Join(r.dir, "state"), r.Socket, g.Founders)
	if g.OwnLooks {
		members += "looks = false\n"
	}
	if g.Keys != "" {
		members += fmt.Sprintf("keys = %q\n", r.file("keys"))
		if err := os.WriteFile(r.file("keys"), []byte(g.Keys), 0o600); err != nil {
			return err
		}
	}
	r.members = members
	return errors.Join(os.WriteFile(r.file("config.json"), text, 0o600), g.Flatten(i), r.apply())
}

// Reconfigure changes keys of a relay's configuration. It counts from its next start or reload on.
func (g *Cluster) Reconfigure(i int, changes map[string]any) error {
	path := g.Relays[i].file("config.json")
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

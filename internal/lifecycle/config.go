// Package lifecycle reads the configuration, starts the parts of a relay, follows signals, and stops it.
package lifecycle

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/internal/relay"
	"capersail/internal/wire/discovery"
	"capersail/internal/wire/simulator"
)

// Config is what a relay is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	// Admin is the operators' second address, "" where it is off: `admin` of the file, or $LB_ADMIN.
	Admin string
	// FD is the descriptor of a listening socket that the platform holds for the clients' address and hands to
	// every process of the relay ($LB_FD), or -1 where the relay binds the address itself.
	FD           int
	Seed         uint64
	MemoryMB     int
	Sockets      int
	CachedList   *discovery.EndpointList
	Deployment   *relay.Deployment
	settingsText string // as the file has them, to tell whether a new file changes them
}

// ReadConfig reads the platform's configuration: the file that LB_CONFIG names, and the variables that
// stand in for keys it lacks. An error names the key.
func ReadConfig(getenv func(string) string, log zerolog.Logger) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("LB_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %s: %w", path, err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("LB_CONFIG: %s: an object is wanted", path)
	}
	read := func(key, variable string) string {
		if s := string(v.GetStringBytes(key)); s != "" {
			return s
		}
		return getenv(variable)
	}
	c := &Config{Name: read("name", "LB_NAME"), Listen: read("listen", "LB_LISTEN"), Discovery: read("discovery", "LB_DISCOVERY"),
		Admin: read("admin", "LB_ADMIN"), FD: -1, MemoryMB: v.GetInt("limits", "memory_mb"), Sockets: v.GetInt("limits", "sockets")}
	for _, a := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"admin", c.Admin}} {
		if a.value == "" && a.key == "admin" {
			continue // off
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if fd := getenv("LB_FD"); fd != "" {
		if c.FD, err = strconv.Atoi(fd); err != nil || c.FD < 0 {
			return nil, fmt.Errorf("LB_FD: %q is not a descriptor", fd)
		}
	}
	if seed := string(v.GetStringBytes("seed")); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", seed)
		}
	}
	for _, key := range []string{"cores", "memory_mb", "sockets"} {
		if limit := v.Get("limits", key); limit != nil && (limit.Type() != fastjson.TypeNumber || limit.GetFloat64() < 0) {
			return nil, fmt.Errorf("limits.%s: %s is not a number from 0 on", key, limit)
		}
	}
	least := minSockets
	if c.Admin != "" {
		least += adminSockets
	}
	if c.Sockets > 0 && c.Sockets < least {
		return nil, fmt.Errorf("limits.sockets: %d are too few: %d at least are wanted", c.Sockets, least)
	}
	settings := v.Get("settings")
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("settings: an object is wanted")
	}
	if len(settings.GetArray("classes")) == 0 {
		return nil, fmt.Errorf("settings.classes: at least one class is wanted")
	}
	c.settingsText = settings.String()
	c.Deployment = simulator.DecodeSettings(settings)
	c.CachedList = &discovery.EndpointList{}
	if known := v.Get("known"); known != nil {
		if c.CachedList, err = discovery.ParseList(known.String(), log); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

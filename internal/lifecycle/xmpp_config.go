package lifecycle

import (
	"fmt"
	"net"
	"strings"

	"github.com/BurntSushi/toml"
)

// XMPPConfig is the operator's file for the XMPP front.
type XMPPConfig struct {
	Listen      string `toml:"listen"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Plaintext   bool   `toml:"plaintext"`
	Sockets     int    `toml:"sockets"`
	Zone        string `toml:"zone"`
	Zones       []string
	Me          int     `toml:"me"`
	Relays      int     `toml:"relays"`
	SilentMs    float64 `toml:"silent_ms"`
	ConnectMs   float64 `toml:"connect_ms"`
	MaxRetryMs  float64 `toml:"max_retry_after_ms"`
	ZooKeeper   struct {
		Servers   []string
		Path      string
		SessionMs float64 `toml:"session_ms"`
	}
	Class []struct {
		Name       string
		SetupMs    float64 `toml:"setup_ms"`
		DeadlineMs float64 `toml:"deadline_ms"`
		Worth      float64
	}
	Host []struct {
		To, Class, Tenant, Key string
	}
}

// ReadXMPPConfig reads the operator's file. An error names the key.
func ReadXMPPConfig(path string) (*XMPPConfig, error) {
	o := &XMPPConfig{Relays: 1, SilentMs: 5000, ConnectMs: 1000, MaxRetryMs: 5000, Sockets: 1024}
	meta, err := toml.DecodeFile(path, o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range meta.Undecoded() {
		return nil, fmt.Errorf("%s: %s: unknown key", path, key)
	}
	classes := map[string]bool{}
	for _, c := range o.Class {
		if c.Name == "" || !(c.SetupMs > 0) || !(c.DeadlineMs >= c.SetupMs) {
			return nil, fmt.Errorf("%s: class: name, setup_ms and a deadline_ms no shorter are wanted", path)
		}
		classes[c.Name] = true
	}
	for _, h := range o.Host {
		if h.To == "" || !classes[h.Class] {
			return nil, fmt.Errorf("%s: host.class: %q of host %q is no class of this file", path, h.Class, h.To)
		}
	}
	bad := ""
	_, _, address := net.SplitHostPort(o.Listen)
	switch {
	case address != nil:
		bad = "listen: " + address.Error()
	case o.Certificate == "" && !o.Plaintext:
		bad = "certificate: not set, and plaintext is not allowed"
	case (o.Certificate == "") != (o.Key == ""):
		bad = "key: certificate and key go together"
	case len(o.ZooKeeper.Servers) == 0:
		bad = "zookeeper.servers: at least one is wanted"
	case !strings.HasPrefix(o.ZooKeeper.Path, "/"):
		bad = "zookeeper.path: a path from / on is wanted"
	case !(o.ZooKeeper.SessionMs >= 100):
		bad = "zookeeper.session_ms: 100 at least"
	case len(o.Host) == 0:
		bad = "host: at least one is wanted"
	case !(o.SilentMs >= 100 && o.SilentMs <= 7000):
		bad = "silent_ms: from 100 to 7000"
	case !(o.ConnectMs > 0):
		bad = "connect_ms: more than 0"
	case o.Sockets < minSockets:
		bad = fmt.Sprintf("sockets: %d at least", minSockets)
	}
	if bad != "" {
		return nil, fmt.Errorf("%s: %s", path, bad)
	}
	return o, nil
}

// restartOnly is what of the file a reload does not take in: the module's settings and the address.
func (o *XMPPConfig) restartOnly() string {
	return fmt.Sprint(o.Listen, o.Zone, o.Zones, o.Me, o.Relays, o.SilentMs, o.ConnectMs, o.MaxRetryMs, o.Class, o.Host)
}

package lifecycle

import (
	"fmt"
	"net"
	"strings"
)

// XMPPConfig is the operator's file for the XMPP front.
type XMPPConfig struct {
	Listen          string        `toml:"listen"`
	CertificateFile string        `toml:"certificate"`
	KeyFile         string        `toml:"key"`
	Plaintext       bool          `toml:"plaintext"`
	Sockets         int           `toml:"sockets"`
	Zone            string        `toml:"zone"`
	Zones           []string      `toml:"zones"`
	RelayIndex      int           `toml:"me"`
	Relays          int           `toml:"relays"`
	SilenceMs       float64       `toml:"silent_ms"`
	ConnectMs       float64       `toml:"connect_ms"`
	MaxRetryAfterMs float64       `toml:"max_retry_after_ms"`
	ZooKeeper       xmppZooKeeper `toml:"zookeeper"`
	Classes         []xmppClass   `toml:"class"`
	Hosts           []xmppHost    `toml:"host"`
}

// xmppZooKeeper says where the endpoint list is.
type xmppZooKeeper struct {
	Servers   []string `toml:"servers"`
	Path      string   `toml:"path"`
	SessionMs float64  `toml:"session_ms"`
}

// xmppClass is a class of streams.
type xmppClass struct {
	Name           string  `toml:"name"`
	SetupMs        float64 `toml:"setup_ms"`
	DeadlineMs     float64 `toml:"deadline_ms"`
	PriorityWeight float64 `toml:"worth"`
}

// xmppHost says of whom the streams to a host name are.
type xmppHost struct {
	To     string `toml:"to"`
	Class  string `toml:"class"`
	Tenant string `toml:"tenant"`
	Key    string `toml:"key"` // of the rendezvous order, "" for the name
}

// ReadXMPPConfig reads the operator's file. An error is a *ConfigError for the first problem.
func ReadXMPPConfig(path string) (*XMPPConfig, error) {
	c := &XMPPConfig{Relays: 1, SilenceMs: 5000, ConnectMs: 1000, MaxRetryAfterMs: 5000, Sockets: 1024}
	problems, err := decodeFile(path, c)
	if err != nil {
		return nil, err
	}
	c.check(problems)
	if err := problems.first(); err != nil {
		return nil, err
	}
	return c, nil
}

// check finds what is wrong with the values. What is no number fails each comparison, so ranges are asked
// for, not their outside.
func (c *XMPPConfig) check(problems *configProblems) {
	c.checkClasses(problems)
	_, _, err := net.SplitHostPort(c.Listen)
	problems.add("listen", err)
	problems.addIf(c.CertificateFile == "" && !c.Plaintext, "certificate",
		"not set, and plaintext is not allowed")
	problems.addIf((c.CertificateFile == "") != (c.KeyFile == ""), "key", "certificate and key go together")
	problems.addIf(len(c.ZooKeeper.Servers) == 0, "zookeeper.servers", "at least one is wanted")
	problems.addIf(!strings.HasPrefix(c.ZooKeeper.Path, "/"), "zookeeper.path", "a path from / on is wanted")
	problems.addIf(!(c.ZooKeeper.SessionMs >= 100), "zookeeper.session_ms", "100 at least")
	problems.addIf(len(c.Hosts) == 0, "host", "at least one is wanted")
	problems.addIf(!(c.SilenceMs >= 100 && c.SilenceMs <= 7000), "silent_ms", "from 100 to 7000")
	problems.addIf(!(c.ConnectMs > 0), "connect_ms", "more than 0")
	problems.addIf(c.Sockets < minSockets, "sockets", "%d at least", minSockets)
}

// checkClasses finds what is wrong with the classes, and hosts that name none of them.
func (c *XMPPConfig) checkClasses(problems *configProblems) {
	known := map[string]bool{}
	for _, class := range c.Classes {
		good := class.Name != "" && class.SetupMs > 0 && class.DeadlineMs >= class.SetupMs
		problems.addIf(!good, "class", "name, setup_ms and a deadline_ms no shorter are wanted")
		known[class.Name] = true
	}
	for _, host := range c.Hosts {
		problems.addIf(host.To == "" || !known[host.Class], "host.class",
			"%q of host %q is no class of this file", host.Class, host.To)
	}
}

// restartOnlySettings is what of the file a reload does not take in: the module's settings and the address.
func (c *XMPPConfig) restartOnlySettings() string {
	return fmt.Sprint(
		c.Listen, c.Zone, c.Zones, c.RelayIndex, c.Relays, c.SilenceMs, c.ConnectMs, c.MaxRetryAfterMs,
		c.Classes, c.Hosts)
}

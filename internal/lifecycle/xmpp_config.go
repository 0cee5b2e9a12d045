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

// xmppZooKeeper says where in ZooKeeper the endpoint list is.
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

// xmppHost assigns the streams to a host name to a class and a tenant.
type xmppHost struct {
	To     string `toml:"to"`
	Class  string `toml:"class"`
	Tenant string `toml:"tenant"`
	Key    string `toml:"key"` // of the rendezvous order; "" for the host name
}

// ReadXMPPConfig reads and checks the operator's file. The error is the *ConfigError of the first problem.
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

// check adds the problems of the values. NaN fails every comparison, so the conditions test for values
// inside the range.
func (c *XMPPConfig) check(problems *configProblems) {
	c.checkClasses(problems)
	_, _, err := net.SplitHostPort(c.Listen)
	problems.add("listen", err)
	problems.addIf(c.CertificateFile == "" && !c.Plaintext, "certificate",
		"not set, which is allowed only with plaintext = true")
	problems.addIf((c.CertificateFile == "") != (c.KeyFile == ""), "key",
		"set certificate and key, or neither")
	problems.addIf(len(c.ZooKeeper.Servers) == 0, "zookeeper.servers", "at least one is needed")
	problems.addIf(!strings.HasPrefix(c.ZooKeeper.Path, "/"), "zookeeper.path", "want an absolute path")
	problems.addIf(!(c.ZooKeeper.SessionMs >= 100), "zookeeper.session_ms", "want at least 100")
	problems.addIf(len(c.Hosts) == 0, "host", "at least one is needed")
	problems.addIf(!(c.SilenceMs >= 100 && c.SilenceMs <= 7000), "silent_ms", "want 100 to 7000")
	problems.addIf(!(c.ConnectMs > 0), "connect_ms", "want more than 0")
	problems.addIf(c.Sockets < minSockets, "sockets", "want at least %d", minSockets)
}

// checkClasses adds the problems of the classes and of hosts whose class does not exist.
func (c *XMPPConfig) checkClasses(problems *configProblems) {
	known := map[string]bool{}
	for _, class := range c.Classes {
		good := class.Name != "" && class.SetupMs > 0 && class.DeadlineMs >= class.SetupMs
		problems.addIf(!good, "class", "want name, setup_ms above 0, deadline_ms not below setup_ms")
		known[class.Name] = true
	}
	for _, host := range c.Hosts {
		problems.addIf(host.To == "" || !known[host.Class], "host.class",
			"%q of host %q is not a class of this file", host.Class, host.To)
	}
}

// restartOnlySettings returns the values of the settings that change only by a restart, as one text to
// compare.
func (c *XMPPConfig) restartOnlySettings() string {
	return fmt.Sprint(
		c.Listen, c.Zone, c.Zones, c.RelayIndex, c.Relays, c.SilenceMs, c.ConnectMs, c.MaxRetryAfterMs,
		c.Classes, c.Hosts)
}

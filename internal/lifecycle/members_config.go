package lifecycle

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
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

// restartOnly is what of the file a reload does not take in.
func (m *MembersConfig) restartOnly() string {
	return fmt.Sprint(m.Site, m.Bind, m.Advertise, m.Seeds, m.State, m.Socket, m.Zone, m.Founders, m.ShareProbes)
}

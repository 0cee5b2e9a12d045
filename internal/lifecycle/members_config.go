package lifecycle

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
)

// MembersConfig is the operator's file for relays that know each other; deploy/members.toml says what each
// key means.
type MembersConfig struct {
	Site          string   `toml:"site"`
	Bind          string   `toml:"bind"`
	Advertise     string   `toml:"tell"`
	Seeds         []string `toml:"seeds"`
	KeysFile      string   `toml:"keys"`
	StateFile     string   `toml:"state"`
	ControlSocket string   `toml:"socket"`
	Zone          string   `toml:"zone"`
	BootstrapSize int      `toml:"founders"`
	ShareProbes   bool     `toml:"looks"`
	cellSettings

	keys [][]byte
}

const (
	// maxBootstrapSize bounds the slots of a fleet; so many relays are far beyond what gossip is made for.
	maxBootstrapSize = 10_000
	maxSiteBytes     = 100
	maxSocketPath    = 100 // bytes
)

// ReadMembersConfig reads the file and the keys that it names. The error joins a *ConfigError for each
// problem.
func ReadMembersConfig(path string) (*MembersConfig, error) {
	m := &MembersConfig{ShareProbes: true}
	problems, err := decodeFile(path, m)
	if err != nil {
		return nil, err
	}
	problems.addIf(m.Site == "" || len(m.Site) > maxSiteBytes, "site",
		"from 1 to %d bytes; relays of other sites are never merged with", maxSiteBytes)
	m.checkAddresses(problems)
	problems.addIf(!filepath.IsAbs(m.StateFile), "state", "%q is not a path from / on", m.StateFile)
	checkSocket(problems, m.ControlSocket)
	problems.addIf(m.BootstrapSize < 0 || m.BootstrapSize > maxBootstrapSize, "founders",
		"from 1 to %d, or 0 for the settings' number", maxBootstrapSize)
	if m.KeysFile != "" {
		var err error
		m.keys, err = readGossipKeys(m.KeysFile)
		problems.add("keys", err)
	}
	m.checkCells(problems)
	return m, problems.err()
}

// checkAddresses finds what is wrong with the addresses of this relay and of the seeds.
func (m *MembersConfig) checkAddresses(problems *configProblems) {
	host, err := checkAddress(m.Bind)
	problems.add("bind", err)
	if err == nil {
		ip := net.ParseIP(host)
		problems.addIf(m.KeysFile == "" && !ip.IsLoopback(), "bind",
			"%s is not a loopback address, and without keys no other is allowed", host)
		problems.addIf(ip.IsUnspecified() && m.Advertise == "", "tell",
			"has to be set where bind is no one address that others can reach")
	}
	if m.Advertise != "" {
		_, err := checkAddress(m.Advertise)
		problems.add("tell", err)
	}
	problems.addIf(len(m.Seeds) == 0 && !m.inRegion(), "seeds", "at least one is wanted")
	for i, seed := range m.Seeds {
		if _, err := checkAddress(seed); err != nil {
			problems.add("seeds", fmt.Errorf("entry %d: %w", i+1, err))
		}
	}
}

// checkSocket finds what is wrong with the path of a control socket; "" is none.
func checkSocket(problems *configProblems, path string) {
	problems.addIf(path != "" && !filepath.IsAbs(path), "socket", "%q is not a path from / on", path)
	problems.addIf(len(path) > maxSocketPath, "socket",
		"over %d bytes; the kernel takes no more", maxSocketPath)
}

// checkAddress checks host:port, the host an IP address: there is no name lookup in the way of a relay that
// starts.
func checkAddress(address string) (host string, err error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	if net.ParseIP(host) == nil {
		return "", fmt.Errorf("%q: %q is not an IP address", address, host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return "", fmt.Errorf("%q: the port is not from 1 to 65535", address)
	}
	return host, nil
}

// restartOnlySettings is what of the file a reload does not take in.
func (m *MembersConfig) restartOnlySettings() string {
	return fmt.Sprint(
		m.Site, m.Bind, m.Advertise, m.Seeds, m.StateFile, m.ControlSocket,
		m.Zone, m.BootstrapSize, m.ShareProbes)
}

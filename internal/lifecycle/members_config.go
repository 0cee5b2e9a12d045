package lifecycle

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
)

// MembersConfig is the operator's file for relays that are members of a fleet. The keys are described in
// deploy/members.toml.
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
	// maxBootstrapSize bounds the number of bootstrap slots. Gossip is designed for far fewer relays.
	maxBootstrapSize = 10_000
	maxSiteBytes     = 100
	maxSocketPath    = 100 // bytes
)

// ReadMembersConfig reads and checks the file and the key file that it names. The error joins a *ConfigError
// for each problem.
func ReadMembersConfig(path string) (*MembersConfig, error) {
	m := &MembersConfig{ShareProbes: true}
	problems, err := decodeFile(path, m)
	if err != nil {
		return nil, err
	}
	problems.addIf(m.Site == "" || len(m.Site) > maxSiteBytes, "site",
		"from 1 to %d bytes are needed; relays of different sites never form one fleet", maxSiteBytes)
	m.checkAddresses(problems)
	problems.addIf(!filepath.IsAbs(m.StateFile), "state", "%q is not an absolute path", m.StateFile)
	checkSocket(problems, m.ControlSocket)
	problems.addIf(m.BootstrapSize < 0 || m.BootstrapSize > maxBootstrapSize, "founders",
		"want 1 to %d, or 0 for the number of relays in the settings", maxBootstrapSize)
	if m.KeysFile != "" {
		var err error
		m.keys, err = readGossipKeys(m.KeysFile)
		problems.add("keys", err)
	}
	m.checkCells(problems)
	return m, problems.err()
}

// checkAddresses adds the problems of the addresses of this relay and of the seeds.
func (m *MembersConfig) checkAddresses(problems *configProblems) {
	host, err := checkAddress(m.Bind)
	problems.add("bind", err)
	if err == nil {
		ip := net.ParseIP(host)
		problems.addIf(m.KeysFile == "" && !ip.IsLoopback(), "bind",
			"%s is not a loopback address; any other address needs the setting keys", host)
		problems.addIf(ip.IsUnspecified() && m.Advertise == "", "tell",
			"has to be set, as other relays cannot reach the address of bind")
	}
	if m.Advertise != "" {
		_, err := checkAddress(m.Advertise)
		problems.add("tell", err)
	}
	problems.addIf(len(m.Seeds) == 0 && !m.inRegion(), "seeds", "at least one is needed")
	for i, seed := range m.Seeds {
		if _, err := checkAddress(seed); err != nil {
			problems.add("seeds", fmt.Errorf("entry %d: %w", i+1, err))
		}
	}
}

// checkSocket adds the problems of the path of a control socket; "" turns the socket off.
func checkSocket(problems *configProblems, path string) {
	problems.addIf(path != "" && !filepath.IsAbs(path), "socket", "%q is not an absolute path", path)
	problems.addIf(len(path) > maxSocketPath, "socket",
		"longer than %d bytes, the limit for the path of a unix socket", maxSocketPath)
}

// checkAddress checks an address of the form host:port. The host has to be an IP address, so that the start
// of a relay does not depend on name resolution.
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

// restartOnlySettings returns the values of the settings that change only by a restart, as one text to
// compare.
func (m *MembersConfig) restartOnlySettings() string {
	return fmt.Sprint(
		m.Site, m.Bind, m.Advertise, m.Seeds, m.StateFile, m.ControlSocket,
		m.Zone, m.BootstrapSize, m.ShareProbes)
}

package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"capersail/internal/testing/fake"
	"capersail/internal/testing/faultpoint"
)

// Layout says what a cluster consists of. Its zero values are those of most tests.
type Layout struct {
	Program string // the path of the program, as Build returns it
	Dir     string // where the relays' files go

	Relays        int
	BootstrapSize int    // 0 for Relays
	Deployment    string // "" for defaultDeployment
	Keys          string // the key file's text, "" for none

	Settings map[string]any     // replace those of the example
	Zones    []string           // in the settings; nil for the example's
	ZoneOf   func(i int) string // a relay's, one of Zones

	IgnoreHangup      bool             // processes are started with SIGHUP ignored, as they are deployed
	Admin             bool             // relays listen on their admin addresses
	Timeline          bool             // relays keep a time line
	WithoutMembership bool             // relays do not know each other
	SeparateProbes    bool             // relays know each other, but each probes servers for itself
	Faults            faultpoint.Rules // of each relay's process from its start on, without the seed
	AllowShareOverrun bool             // a protection is taken out: the shares may add up to over 1
}

// defaultDeployment is the deployment's name in the members' files.
const defaultDeployment = "ground"

// Cluster is a fleet of relays, each a process, with their discovery.
type Cluster struct {
	Layout
	Discovery *fake.Discovery
	Relays    []*Relay

	net        *loopbackNet
	cuts       map[[2]int]bool  // by the sending and the receiving relay
	cutServers map[int][]string // by relay: the addresses of servers that it cannot reach

	mu     sync.Mutex
	events []faultpoint.HistoryLine // what was done to processes
}

// New lays a cluster out and writes its files; no process runs yet. example is the path of the configuration
// that the relays' configurations are made from. The caller calls Close.
func New(layout Layout, example string) (*Cluster, error) {
	if layout.BootstrapSize == 0 {
		layout.BootstrapSize = layout.Relays
	}
	if layout.Deployment == "" {
		layout.Deployment = defaultDeployment
	}
	discovery, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	net, err := reserveNet()
	if err != nil {
		return nil, err
	}
	fleet := &Cluster{
		Layout:     layout,
		Discovery:  discovery,
		net:        net,
		cuts:       map[[2]int]bool{},
		cutServers: map[int][]string{},
	}
	for i := range layout.Relays {
		name := fmt.Sprintf("r%d", i)
		r := &Relay{Name: name, dir: filepath.Join(layout.Dir, name), faults: layout.Faults}
		r.faults.Seed = uint64(i)
		if err := os.MkdirAll(r.dir, 0o700); err != nil {
			return nil, err
		}
		r.Gossip, r.Listen, r.Admin = net.addresses(i + 1)
		r.Socket = filepath.Join(r.dir, "s")
		r.SetWeight(1)
		fleet.Relays = append(fleet.Relays, r)
	}
	for i := range fleet.Relays {
		if err := fleet.configure(i, example); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// Close ends all processes and gives the ports back. It may be called again.
func (fleet *Cluster) Close() {
	for i := range fleet.Relays {
		fleet.Kill(i)
	}
	fleet.net.release()
}

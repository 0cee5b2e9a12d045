package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"capersail/internal/testing/fake"
	"capersail/internal/testing/faultpoint"
)

// Layout says how a ground is laid out.
type Layout struct {
	Program        string
	Dir            string
	Relays         int
	Founders       int                // 0 for Relays
	Deployment     string             // "" for "ground"
	Keys           string             // text of the key file, "" for none
	Settings       map[string]any     // changes to the example's settings
	Admin          bool               // with second addresses
	Timeline       bool               // with time lines
	WithoutMembers bool               // relays do not know each other
	OwnProbes      bool               // they do, but each looks at servers for itself
	Zones          []string           // of the settings; nil for the example's
	ZoneOf         func(i int) string // a relay's, one of Zones
	Faults         faultpoint.Rules   // of each relay's process from its start on, but for the seed
	Unprotected    bool               // a protection is taken out: the shares are not expected to add up
}

// Cluster is a fleet of processes with its discovery.
type Cluster struct {
	Layout
	Discovery *fake.Discovery
	Relays    []*Relay

	net        *loopbackNet
	mu         sync.Mutex
	events     []faultpoint.Noted
	cuts       map[[2]int]bool
	cutServers map[int][]string // by relay: addresses of servers that it cannot reach
}

// New lays a ground out. No process runs yet. example is the path of the example's configuration.
func New(p Layout, example string) (*Cluster, error) {
	if p.Founders == 0 {
		p.Founders = p.Relays
	}
	if p.Deployment == "" {
		p.Deployment = "ground"
	}
	d, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	at, err := reserveNet()
	if err != nil {
		return nil, err
	}
	fleet := &Cluster{Layout: p, Discovery: d, cuts: map[[2]int]bool{}, cutServers: map[int][]string{}, net: at}
	for i := range p.Relays {
		r := &Relay{Name: fmt.Sprintf("r%d", i), dir: filepath.Join(p.Dir, fmt.Sprintf("r%d", i)), faults: p.Faults}
		r.faults.Seed = uint64(i)
		if err := os.MkdirAll(r.dir, 0o700); err != nil {
			return nil, err
		}
		host := fmt.Sprintf("%s%d:", at.prefix, i+1)
		r.Gossip, r.Listen, r.Admin = host+strconv.Itoa(at.gossip), host+strconv.Itoa(at.listen), host+strconv.Itoa(at.admin)
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

// Close ends all processes.
func (fleet *Cluster) Close() {
	for i := range fleet.Relays {
		fleet.Kill(i)
	}
	fleet.net.release()
}

func (fleet *Cluster) recordEvent(i int, event string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.events = append(fleet.events, faultpoint.Noted{T: Now(), Name: fleet.Relays[i].Name, Event: event})
}

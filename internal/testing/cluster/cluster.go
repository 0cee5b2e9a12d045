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

// Plan says how a ground is laid out.
type Plan struct {
	Program  string
	Dir      string
	Relays   int
	Founders int                // 0 for Relays
	Site     string             // "" for "ground"
	Keys     string             // text of the key file, "" for none
	Settings map[string]any     // changes to the example's settings
	Admin    bool               // with second addresses
	Timeline bool               // with time lines
	Alone    bool               // relays do not know each other
	OwnLooks bool               // they do, but each looks at servers for itself
	Zones    []string           // of the settings; nil for the example's
	ZoneOf   func(i int) string // a relay's, one of Zones
	Rules    faultpoint.Rules   // of each relay's process from its start on, but for the seed
	Unsafe   bool               // a protection is taken out: the shares are not expected to add up
}

// Cluster is a fleet of processes with its discovery.
type Cluster struct {
	Plan
	Discovery *fake.Discovery
	Relays    []*Relay

	at     *place
	mu     sync.Mutex
	events []faultpoint.Noted
	cut    map[[2]int]bool
	blind  map[int][]string // by relay: addresses of servers that it cannot reach
}

// New lays a ground out. No process runs yet. example is the path of the example's configuration.
func New(p Plan, example string) (*Cluster, error) {
	if p.Founders == 0 {
		p.Founders = p.Relays
	}
	if p.Site == "" {
		p.Site = "ground"
	}
	d, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	at, err := take()
	if err != nil {
		return nil, err
	}
	g := &Cluster{Plan: p, Discovery: d, cut: map[[2]int]bool{}, blind: map[int][]string{}, at: at}
	for i := range p.Relays {
		r := &Relay{Name: fmt.Sprintf("r%d", i), dir: filepath.Join(p.Dir, fmt.Sprintf("r%d", i)), rules: p.Rules}
		r.rules.Seed = uint64(i)
		if err := os.MkdirAll(r.dir, 0o700); err != nil {
			return nil, err
		}
		host := fmt.Sprintf("%s%d:", at.net, i+1)
		r.Gossip, r.Listen, r.Admin = host+strconv.Itoa(at.gossip), host+strconv.Itoa(at.listen), host+strconv.Itoa(at.admin)
		r.Socket = filepath.Join(r.dir, "s")
		r.Weigh(1)
		g.Relays = append(g.Relays, r)
	}
	for i := range g.Relays {
		if err := g.configure(i, example); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Close ends all processes.
func (g *Cluster) Close() {
	for i := range g.Relays {
		g.Kill(i)
	}
	g.at.release()
}

func (g *Cluster) note(i int, event string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, faultpoint.Noted{T: Now(), Name: g.Relays[i].Name, Event: event})
}

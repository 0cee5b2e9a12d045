package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/fleet/membership"
	"capersail/internal/relay"
	"capersail/internal/simulation/network"
	"capersail/internal/wire/gossip"
)

// Config configures a Fleet.
type Config struct {
	Relays       int
	Layout       Layout
	CellsPerZone int           // cells that the relays of each zone are divided into; 0 for a flat fleet
	Dir          string        // directory of the relays' state files
	StartSpread  time.Duration // time over which the starts of the relays are spread
	Keys         [][]byte      // keys that encrypt packets; encrypted traffic is not counted by kind
	Servers      int           // number of servers whose load reports the relays share; 0 for none
	Arrivals     float64       // requests a second that each relay's status reports
	// OnChange, if set, is called with each membership change at each relay. It must not block.
	OnChange func(relay int, c membership.StateChanged)
}

// Relay is a relay without client sockets.
type Relay struct {
	Index   int
	Address string
	Place   network.Place

	// Guarded by Fleet.mu.
	node   *gossip.Node // nil while the relay does not run
	stop   context.CancelFunc
	prober *prober // nil if there are no servers
}

// Fleet is a fleet of relays on a simulated network.
type Fleet struct {
	Network *network.Network

	cfg     Config
	cells   *cellLayout // nil for a flat fleet
	traffic trafficCounter

	mu     sync.Mutex
	relays []*Relay
}

// seedRelays is the number of relays that a flat fleet's relays use as seeds.
const seedRelays = 3

// Start starts a fleet and returns once its last relay has been started. Call Stop to end it.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{cfg: c}
	if c.CellsPerZone > 0 {
		f.cells = newCellLayout(c)
	}
	places := map[string]network.Place{}
	for i := range c.Relays {
		r := &Relay{Index: i, Address: Address(i), Place: c.Layout.Place(i)}
		places[r.Address] = r.Place
		f.relays = append(f.relays, r)
	}
	f.Network = network.New(network.Config{
		Place:         func(address string) network.Place { return places[address] },
		Delay:         c.Layout.Delay,
		Inspect:       f.traffic.countPacket,
		InspectStream: f.traffic.countStream,
	})
	for i := range f.relays {
		if err := f.StartRelay(i); err != nil {
			f.Stop()
			return nil, err
		}
		time.Sleep(c.StartSpread / time.Duration(c.Relays))
	}
	return f, nil
}

// StartRelay starts a relay that is not running. Call StopRelay to end its goroutines.
func (f *Fleet) StartRelay(i int) error {
	c := f.gossipConfig(i)
	var p *prober
	if f.cfg.Servers > 0 {
		p = newProber(f.cfg, c.Clock)
		c.OnProbingEvent = p.receive
	}
	node, err := gossip.New(c)
	if err != nil {
		return fmt.Errorf("start relay %s: %w", c.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	if p != nil {
		p.start(ctx, c.Name, uint64(i), node)
	}
	f.mu.Lock()
	r := f.relays[i]
	r.node = node
	r.stop = stop
	r.prober = p
	f.mu.Unlock()
	go node.Run(ctx)
	return nil
}

// gossipConfig returns the gossip configuration of a relay that starts now.
func (f *Fleet) gossipConfig(i int) gossip.Config {
	startedAt := time.Now()
	c := gossip.Config{
		Name:             Name(i),
		Site:             "hollow",
		Zone:             f.relays[i].Place.Zone,
		Bind:             f.relays[i].Address,
		StateFile:        filepath.Join(f.cfg.Dir, Name(i)),
		Keys:             f.cfg.Keys,
		BootstrapSlot:    i,
		BootstrapSize:    f.cfg.Relays,
		ConfiguredRelays: f.cfg.Relays,
		Seed:             uint64(i),
		Clock:            relay.NewClock(),
		Transport:        f.Network.Transport,
		Log:              zerolog.Nop(),
	}
	for s := range min(seedRelays, f.cfg.Relays) {
		c.Seeds = append(c.Seeds, Address(s*f.cfg.Relays/min(seedRelays, f.cfg.Relays)))
	}
	if f.cells != nil {
		f.cells.configure(&c, f.cfg.cellOf(i), i)
	}
	c.LocalActivity = func() gossip.LocalActivity {
		return gossip.LocalActivity{
			Lifecycle:           membership.LifecycleServing,
			Arrivals:            uint64(time.Since(startedAt).Seconds() * f.cfg.Arrivals),
			OpenRequests:        1000,
			EndpointListVersion: 1,
		}
	}
	if f.cfg.OnChange != nil {
		c.OnMembershipChange = func(changed membership.StateChanged) { f.cfg.OnChange(i, changed) }
	}
	return c
}

// StopRelay stops a relay, if it is running, and waits for its goroutines. With leave, the relay first
// notifies the others.
func (f *Fleet) StopRelay(i int, leave bool) {
	f.mu.Lock()
	r := f.relays[i]
	node, stop := r.node, r.stop
	r.node = nil
	f.mu.Unlock()
	if node == nil {
		return
	}
	if leave {
		node.Leave()
	} else {
		f.Network.SetEndpointDown(r.Address, true) // drops what the relay's goroutines still send
	}
	stop()
	node.Wait()
	f.Network.SetEndpointDown(r.Address, false)
}

// memberlistShutdownTime is how long memberlist's goroutines may continue after its shutdown.
const memberlistShutdownTime = 40 * time.Second

// Stop stops all relays and waits until all their goroutines have ended.
func (f *Fleet) Stop() {
	var stopping sync.WaitGroup
	for i := range f.relays {
		stopping.Go(func() { f.StopRelay(i, false) })
	}
	stopping.Wait()
	time.Sleep(memberlistShutdownTime)
}

// running returns the nodes of the relays that are running.
func (f *Fleet) running() (nodes []*gossip.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.relays {
		if r.node != nil {
			nodes = append(nodes, r.node)
		}
	}
	return nodes
}

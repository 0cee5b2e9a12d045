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

// Config is what a Fleet is made of.
type Config struct {
	Relays      int
	Layout      Layout
	Dir         string        // for the relays' state files
	StartSpread time.Duration // over which the starts are spread
	Keys        [][]byte      // that seal packets; with any, traffic is not told by kind
	// CellsPerZone divides the relays of each zone into so many cells; 0 for a flat fleet.
	CellsPerZone int
	// Servers is how many servers the relays look at by turns; 0 for none.
	Servers int
	// Arrivals is how many requests a second come to each relay, as it tells the others.
	Arrivals float64
	// Notice is told of each change at each relay; nil for nobody. It must not block.
	OnChange func(relay int, c membership.Changed)
}

// Relay is one hollow relay.
type Relay struct {
	Index   int
	Address string
	Place   network.Place
	node    *gossip.Node // nil while it does not run
	stop    context.CancelFunc
	prober  *prober
}

// Fleet is a fleet of hollow relays.
type Fleet struct {
	cfg     Config
	Network *network.Network
	traffic trafficCounter
	cells   *cellLayout // nil for a flat fleet

	mu     sync.Mutex
	relays []*Relay
}

// seeds are how many relays new ones join by.
const seeds = 3

// Start starts a fleet. It returns once the last relay has been started.
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
	f.Network = network.New(network.Config{Place: func(address string) network.Place { return places[address] }, Delay: c.Layout.Delay,
		Inspect: f.traffic.countPacket, InspectStream: f.traffic.countStream})
	for i := range f.relays {
		if err := f.StartRelay(i); err != nil {
			f.Stop()
			return nil, err
		}
		time.Sleep(c.StartSpread / time.Duration(c.Relays))
	}
	return f, nil
}

// StartRelay starts a relay that does not run.
func (f *Fleet) StartRelay(i int) error {
	r := f.relays[i]
	began := time.Now()
	c := gossip.Config{Name: Name(i), Site: "hollow", Zone: r.Place.Zone, Bind: r.Address, State: filepath.Join(f.cfg.Dir, Name(i)), Keys: f.cfg.Keys, BootstrapSlot: i,
		BootstrapSize: f.cfg.Relays, ConfiguredRelays: f.cfg.Relays, Seed: uint64(i), Clock: relay.NewClock(), Transport: f.Network.Transport, Log: zerolog.Nop()}
	for s := range min(seeds, f.cfg.Relays) {
		c.Seeds = append(c.Seeds, Address(s*f.cfg.Relays/min(seeds, f.cfg.Relays)))
	}
	if f.cells != nil {
		f.cells.configure(&c, f.cfg.cellOf(i), i)
	}
	c.LocalActivity = func() gossip.LocalActivity {
		return gossip.LocalActivity{Lifecycle: membership.Serving, Arrivals: uint64(time.Since(began).Seconds() * f.cfg.Arrivals), OpenRequests: 1000, ListVersion: 1}
	}
	if f.cfg.OnChange != nil {
		c.OnChange = func(changed membership.Changed) { f.cfg.OnChange(i, changed) }
	}
	var shared *prober
	if f.cfg.Servers > 0 {
		shared = newProber(f.cfg, c.Clock)
		c.OnProbingEvent = shared.receive
	}
	node, err := gossip.New(c)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	if shared != nil {
		shared.start(ctx, c.Name, uint64(i), node)
	}
	f.mu.Lock()
	r.node, r.stop, r.prober = node, stop, shared
	f.mu.Unlock()
	go node.Run(ctx)
	return nil
}

// StopRelay ends a relay; with leave it says so to the others first.
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
		f.Network.SetDown(r.Address, true) // what its goroutines still say is not heard
	}
	stop()
	node.Wait()
	f.Network.SetDown(r.Address, false)
}

// memberlistLinger is how long memberlist's own goroutines may go on after its end.
const memberlistLinger = 40 * time.Second

// Stop ends all relays, and waits until nothing of them is left.
func (f *Fleet) Stop() {
	var all sync.WaitGroup
	for i := range f.relays {
		all.Go(func() { f.StopRelay(i, false) })
	}
	all.Wait()
	time.Sleep(memberlistLinger)
}

// running are the relays that run and are not down, by their nodes.
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

// State is how far a fleet has come.
type State struct {
	Holding int // relays that hold a view of just those that run
	Agreed  int // relays whose shares are all at their target by such a view
	Epochs  int // how many views are held
	Highest uint64
}

// State looks at all relays that run.
func (f *Fleet) State() (s State) {
	nodes := f.running()
	epochs := map[uint64]bool{}
	for _, node := range nodes {
		r := node.Estimate()
		epochs[r.Epoch] = true
		s.Highest = max(s.Highest, r.Epoch)
		if r.Epoch > 0 && r.Relays == len(nodes) {
			s.Holding++
			if r.Phase == membership.PhaseAgreed {
				s.Agreed++
			}
		}
	}
	s.Epochs = len(epochs)
	return s
}

// Dropped are the messages that all running relays have dropped, by reason.
func (f *Fleet) Dropped() map[string]uint64 {
	sum := map[string]uint64{}
	for _, node := range f.running() {
		for reason, n := range node.Report().Dropped {
			sum[reason] += n
		}
	}
	return sum
}

// hasOneView tells whether all that run hold hasOneView view of just them: in cells, whether each holds its cell's, and knows of just the others.
func (f *Fleet) hasOneView() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := 0
	for _, r := range f.relays {
		if r.node != nil {
			running++
		}
	}
	epochs := map[string]uint64{}
	for i, r := range f.relays {
		if r.node == nil {
			continue
		}
		cell := ""
		if f.cells != nil {
			cell = f.cfg.cellOf(i)
		}
		e := r.node.Estimate()
		if known := epochs[cell]; known == 0 {
			epochs[cell] = e.Epoch
		} else if known != e.Epoch {
			return false
		}
		if e.Epoch == 0 || e.Relays != running {
			return false
		}
	}
	return true
}

// pollEvery is how often a fleet is looked at while something is waited for.
const pollEvery = 100 * time.Millisecond

// TimeoutError says that what was waited for did not come.
type TimeoutError struct {
	What   string
	Within time.Duration
	State  State
}

// Error is the error's text.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: not within %s; %+v", e.What, e.Within, e.State)
}

func (f *Fleet) await(within time.Duration, what string, ok func() bool) (time.Duration, error) {
	began := time.Now()
	for !ok() {
		if time.Since(began) > within {
			return 0, &TimeoutError{what, within, f.State()}
		}
		time.Sleep(pollEvery)
	}
	return time.Since(began), nil
}

// AwaitOneView waits until all relays that run hold one view of just them.
func (f *Fleet) AwaitOneView(within time.Duration) (time.Duration, error) {
	return f.await(within, "one view of all", f.hasOneView)
}

// SettledAfter is how long one view has to stand, with all shares at their target, for a fleet to count as settled.
const SettledAfter = 3 * time.Second

// AwaitSettled waits until one view has stood for Quiet.
func (f *Fleet) AwaitSettled(within time.Duration) (time.Duration, error) {
	stands, epoch := time.Now(), uint64(0)
	return f.await(within, "one view that stands", func() bool {
		s := f.State()
		if s.Agreed != len(f.running()) || !f.hasOneView() || s.Highest != epoch {
			stands, epoch = time.Now(), s.Highest
			return false
		}
		return time.Since(stands) >= SettledAfter
	})
}

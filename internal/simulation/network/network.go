// Package network is a simulated network in memory for tests of many relays in one process. It carries
// memberlist's packets and streams between endpoints that have a place, with delay, loss and partitions,
// and counts what goes in and out of each endpoint, by the second. It uses nothing but package time, so
// that it runs in the virtual time of testing/synctest too.
package network

import (
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Place is where an endpoint stands.
type Place struct {
	Region, Zone string
}

// Selector tells whether an endpoint is meant.
type Selector func(address string, place Place) bool

// InRegion selects a region's endpoints.
func InRegion(region string) Selector {
	return func(_ string, p Place) bool { return p.Region == region }
}

// InZone selects a zone's endpoints.
func InZone(zone string) Selector { return func(_ string, p Place) bool { return p.Zone == zone } }

// Not selects all but those of another Selector.
func Not(other Selector) Selector {
	return func(address string, p Place) bool { return !other(address, p) }
}

// Config is what a Network is configured with.
type Config struct {
	// Place tells where an address stands; nil for one place.
	Place func(address string) Place
	// Delay is how long a packet takes one way; nil for none.
	Delay func(from, to Place) time.Duration
	// Inspect sees each packet that is sent, lost or not, before it is copied; nil for nobody. It must not
	// keep or change it.
	Inspect func(from string, packet []byte)
	// InspectStream sees how much is written to a stream at a time, and how the first message on it began
	// (nil while only a label was written); nil for nobody.
	InspectStream func(from string, opening []byte, written int)
}

// Network is the simulated network. It is safe for use by many goroutines.
type Network struct {
	cfg            Config
	loss           atomic.Uint64 // in parts of packetLossScale
	recordingStart atomic.Int64  // of the recording, Unix ns; 0 for none
	delayed        delayQueue

	mu         sync.RWMutex
	endpoints  map[string]*endpoint
	meters     map[string]*meter // they outlive endpoints that are recordingStart again
	down       map[string]bool
	cuts       map[string]cut
	overflowed atomic.Uint64 // packets that came to a full endpoint
}

// lossScale is a loss of every packet.
const packetLossScale = 1 << 20

// cut stops what goes from one set of endpoints to another.
type cut struct {
	from, to Selector
}

// The errors of a Dial and of streams.
var (
	ErrRefused = errors.New("simnet: connection refused")
	ErrTimeout = errors.New("simnet: i/o timeout")
)

// New returns a network without endpoints.
func New(c Config) *Network {
	n := &Network{
		cfg:       c,
		endpoints: map[string]*endpoint{},
		meters:    map[string]*meter{},
		down:      map[string]bool{},
		cuts:      map[string]cut{},
	}
	n.delayed.slots = map[int64]*slot{}
	return n
}

// Transport adds an endpoint. It has the form that gossip.Config.Transport wants.
func (n *Network) Transport(host string, port int, _ *log.Logger) (memberlist.NodeAwareTransport, error) {
	address := fmt.Sprintf("%s:%d", host, port)
	from, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		network: n,
		address: address,
		from:    from,
		packets: make(chan *memberlist.Packet, packetQueueSize),
		streams: make(chan net.Conn, streamQueueSize),
	}
	if n.cfg.Place != nil {
		e.place = n.cfg.Place(address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endpoints[address] != nil {
		return nil, fmt.Errorf("simnet: %s is in use", address)
	}
	if e.meter = n.meters[address]; e.meter == nil {
		e.meter = &meter{network: n}
		n.meters[address] = e.meter
	}
	n.endpoints[address] = e
	return e, nil
}

// SetLoss sets which part of all packets is lost, 0 to 1.
func (n *Network) SetPacketLoss(part float64) { n.loss.Store(uint64(part * packetLossScale)) }

// SetDown takes an endpoint off the network, as if its process had died, or brings it back: its packets
// are lost, connections to it are rejected.
func (n *Network) SetEndpointDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if down {
		n.down[address] = true
	} else {
		delete(n.down, address)
	}
}

// Cut stops packets and new connections from some endpoints to others, one way, until Heal is called with
// the same name.
func (n *Network) Cut(name string, from, to Selector) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[name] = cut{from, to}
}

// CutOff stops packets and connections between some endpoints and all others, both ways, until Heal.
func (n *Network) Isolate(name string, inside Selector) {
	n.Cut(name+" out", inside, Not(inside))
	n.Cut(name+" in", Not(inside), inside)
}

// Heal ends a Cut or CutOff.
func (n *Network) Heal(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cut := range []string{name, name + " out", name + " in"} {
		delete(n.cuts, cut)
	}
}

// Overflowed is how many packets came to endpoints with full queues: their processes are too slow.
func (n *Network) OverflowedPackets() uint64 { return n.overflowed.Load() }

// route finds the endpoint at an address; reachable is false where nothing comes through to it from the
// sender.
func (n *Network) route(from *endpoint, to string) (peer *endpoint, reachable bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	peer = n.endpoints[to]
	if peer == nil || len(n.down) > 0 && (n.down[to] || n.down[from.address]) {
		return nil, true
	}
	for _, c := range n.cuts {
		if c.from(from.address, from.place) && c.to(to, peer.place) {
			return peer, false
		}
	}
	return peer, true
}

// lost draws whether a packet is lost.
func (n *Network) lost() bool {
	loss := n.loss.Load()
	return loss > 0 && rand.Uint64N(packetLossScale) < loss
}

// delay is how long a packet takes from one endpoint to another.
func (n *Network) delay(from, to *endpoint) time.Duration {
	if n.cfg.Delay == nil {
		return 0
	}
	return n.cfg.Delay(from.place, to.place)
}

// Package network is a simulated network in memory for tests of many relays in one process. It carries
// memberlist's packets and streams between endpoints in regions and zones, with delay, loss and partitions,
// and counts the traffic of each endpoint by the second. Its only clock is package time, so that it also runs
// in the virtual time of testing/synctest.
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

// Place is the location of an endpoint.
type Place struct {
	Region, Zone string
}

// Selector reports whether an endpoint is selected.
type Selector func(address string, place Place) bool

// InRegion selects the endpoints of a region.
func InRegion(region string) Selector {
	return func(_ string, p Place) bool { return p.Region == region }
}

// InZone selects the endpoints of a zone.
func InZone(zone string) Selector { return func(_ string, p Place) bool { return p.Zone == zone } }

// Not selects all endpoints that another Selector does not select.
func Not(other Selector) Selector {
	return func(address string, p Place) bool { return !other(address, p) }
}

// Config configures a Network.
type Config struct {
	// Place returns the location of an address; if nil, all endpoints are in one place.
	Place func(address string) Place
	// Delay returns the one-way delay of a packet; nil for no delay.
	Delay func(from, to Place) time.Duration
	// Inspect, if not nil, is called with each packet that is sent, also if it is lost. It must not keep or
	// change the packet, which is not copied yet.
	Inspect func(from string, packet []byte)
	// InspectStream, if not nil, is called with the number of bytes of each write to a stream, and with the
	// beginning of the first message on the stream (nil while only a label was written).
	InspectStream func(from string, opening []byte, written int)
}

// Network is the simulated network. It is safe for concurrent use.
type Network struct {
	cfg            Config
	loss           atomic.Uint64 // fraction of packets that is lost, times packetLossScale
	recordingStart atomic.Int64  // start of the current recording in Unix ns; 0 for none
	delayed        delayQueue

	mu         sync.RWMutex
	endpoints  map[string]*endpoint
	meters     map[string]*meter // by address; kept when an endpoint is shut down and started again
	down       map[string]bool
	cuts       map[string]cut
	overflowed atomic.Uint64 // packets dropped at endpoints with a full queue
}

// packetLossScale is the value of Network.loss at which every packet is lost.
const packetLossScale = 1 << 20

// cut drops the traffic from one set of endpoints to another.
type cut struct {
	from, to Selector
}

// Errors of dialling and of writes to streams.
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

// Transport adds an endpoint. Its signature is that of gossip.Config.Transport.
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
		return nil, fmt.Errorf("simnet: address %s is already in use", address)
	}
	if e.meter = n.meters[address]; e.meter == nil {
		e.meter = &meter{network: n}
		n.meters[address] = e.meter
	}
	n.endpoints[address] = e
	return e, nil
}

// SetPacketLoss sets the fraction of packets that is lost, from 0 to 1.
func (n *Network) SetPacketLoss(part float64) { n.loss.Store(uint64(part * packetLossScale)) }

// SetEndpointDown disconnects an endpoint from the network, as if its process had died, or connects it again.
// While it is down its packets are lost and connections to it are refused.
func (n *Network) SetEndpointDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if down {
		n.down[address] = true
	} else {
		delete(n.down, address)
	}
}

// Cut stops packets and new connections from some endpoints to others, in this direction only, until Heal is
// called with the same name.
func (n *Network) Cut(name string, from, to Selector) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[name] = cut{from, to}
}

// Isolate stops packets and new connections between some endpoints and all others, in both directions, until
// Heal is called with the same name.
func (n *Network) Isolate(name string, inside Selector) {
	n.Cut(name+" out", inside, Not(inside))
	n.Cut(name+" in", Not(inside), inside)
}

// Heal ends a Cut or Isolate.
func (n *Network) Heal(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cut := range []string{name, name + " out", name + " in"} {
		delete(n.cuts, cut)
	}
}

// OverflowedPackets returns how many packets were dropped at endpoints with full queues. A number above 0
// shows that their processes are too slow.
func (n *Network) OverflowedPackets() uint64 { return n.overflowed.Load() }

// route returns the endpoint at an address, nil if there is none or either end is down. reachable is false if
// a cut separates it from the sender.
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

// delay returns the one-way delay from one endpoint to another.
func (n *Network) delay(from, to *endpoint) time.Duration {
	if n.cfg.Delay == nil {
		return 0
	}
	return n.cfg.Delay(from.place, to.place)
}

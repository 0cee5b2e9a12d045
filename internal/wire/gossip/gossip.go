// Package gossip is the driver round internal/fleet/membership: it lets relays hear of each other by hashicorp/memberlist,
// carries what their Nodes say, and keeps what a membership.Node wants kept. It decides nothing.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
)

const (
	bindRetryInterval = 5 * time.Second // a taken port is tried again
	lockRetryInterval = 200 * time.Millisecond
	rejoinInterval    = 700 * time.Millisecond
	seedJoinPeriod    = 5 // so many rejoins, the last of which goes to a seed
	inboxSize         = 4096
	maxReliableSends  = 32   // messages over packet size under way at once
	maxPacketBytes    = 1100 // bytes of a message that goes as one packet; more goes over TCP
	maxPeers          = 4096 // names known at once
	maxEnvelopeBytes  = 1 << 18
	leaveTimeout      = 400 * time.Millisecond
	// otherCellRetryInterval is the time between two joins to an address where another cell's relay has answered, unless the relay that was
	// there is heard of in this cell again.
	otherCellRetryInterval = time.Minute
)

// LocalActivity is what this relay does now, as whoever starts the Node knows it. It must not block.
type LocalActivity struct {
	Lifecycle    membership.Lifecycle
	Arrivals     uint64 // since the process started
	OpenRequests int
	ListVersion  int64
}

// Config is what a Node is told.
type Config struct {
	Name         string
	Site         string // relays of other sites are never merged with
	Zone         string
	Bind         string // host:port, for UDP and TCP
	Advertise    string // host:port that others are told, "" for Bind
	Seeds        []string
	Keys         [][]byte // the first seals; none binds loopback only
	State        string   // the file that the membership.Node's record is kept in
	InitialPlace int
	// Founders is how many places view 0 has, Relays the settings' number.
	Founders, Relays int
	Seed             uint64
	Clock            *relay.Clock
	LocalActivity    func() LocalActivity
	RefreshEndpoints func()                   // asks for the list of servers out of turn
	OnChange         func(membership.Changed) // is told of each change; nil for nobody
	// Received is told of what a peer passes on of servers, a probing.ReadingsReceived or PlacementsReceived; nil for
	// nobody. It must not block.
	OnProbingEvent func(ev probing.Event)
	// Transport makes what carries packets and streams from and to a host and port; nil for UDP and TCP sockets.
	Transport func(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error)
	// Cell is this relay's cell and Plan divides the fleet's budgets among all of them; "" and nil for a flat fleet.
	Cell string
	Plan *cellplan.Plan
	Pace membership.Timing // within the cell; the zero Pace is a flat fleet's
	// Zones are the settings' zones by name, by which the plan's are known to the module.
	Zones map[string]decide.Zone
	Log   zerolog.Logger
}

// Node is one relay among the others.
type Node struct {
	cfg           Config
	log           zerolog.Logger
	record        *recordFile
	keyring       *memberlist.Keyring
	queue         *memberlist.TransmitLimitedQueue
	inbox         chan membership.Event
	dropped       *dropCounters
	traffic       *traffic
	batches       chan outgoingBatch // readings on their way out
	planUpdates   chan planUpdate    // plans that a reload has brought
	reliableSends chan struct{}      // a token for each message over TCP under way

	mu         sync.Mutex // held for each step of the membership.Node, and by Hold while decisions are made
	membership *membership.Node

	cell       string  // as the wire and the disk have it: "" in a flat fleet, also one that a plan gives a part
	key        cellKey // of cell
	cells      atomic.Pointer[cellLink]
	zoneNumber func(name string) (decide.Zone, bool) // the module's number of a zone

	list    atomic.Pointer[memberlist.Memberlist]
	seq     atomic.Uint64
	stopped chan struct{}

	peers struct {
		sync.Mutex
		nodes map[string]*memberlist.Node // by name, copies as last heard of: memberlist writes to its own
		there map[string]bool             // those of them that are alive
		// elsewhere are addresses where a relay of another cell has answered, and when that was.
		elsewhere map[string]time.Time
		digests   map[string][]byte // by name, as they came
		replays   map[string]*probing.DedupWindow
	}

	meter membership.Meter
	local membership.LocalState // as told last
}

// New reads the record and returns a Node that does not run yet. A record that cannot be read or kept is no reason
// not to serve: the relay then promises nothing, and goes on by the settings' number.
func New(c Config) (*Node, error) {
	if c.Transport == nil {
		c.Transport = socketTransport
	}
	n := &Node{cfg: c, log: c.Log, inbox: make(chan membership.Event, inboxSize), batches: make(chan outgoingBatch, batchQueueSize), planUpdates: make(chan planUpdate, 1), dropped: newDropCounters(c.Log), traffic: &traffic{},
		reliableSends: make(chan struct{}, maxReliableSends), stopped: make(chan struct{})}
	n.peers.nodes, n.peers.there = map[string]*memberlist.Node{}, map[string]bool{}
	n.peers.digests, n.peers.replays = map[string][]byte{}, map[string]*probing.DedupWindow{}
	n.peers.elsewhere = map[string]time.Time{}
	n.cell = c.wireCell()
	n.key = keyOfCell(n.cell)
	n.zoneNumber = n.cfg.zoneNumber
	n.queue = &memberlist.TransmitLimitedQueue{NumNodes: n.relayCount, RetransmitMult: 3}
	if len(c.Keys) > 0 {
		ring, err := memberlist.NewKeyring(c.Keys, c.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		n.keyring = ring
	}
	n.openRecord()
	return n, nil
}

// openRecord reads the record and makes the membership.Node; it says so of the disk if another process of the relay has the record
// still. Whoever cannot read what it may have promised takes no share; whoever has no record, and can keep none, goes on by the
// settings' number and promises nothing.
func (n *Node) openRecord() {
	c := n.cfg
	d, rec, err := openRecordFile(c.State, c.Site, n.cell, c.Name)
	place := c.InitialPlace
	switch {
	case errors.Is(err, errRecordInUse):
		place, d.inUse = -1, true
		if n.record != nil {
			n.record = d
			return
		}
		n.log.Info().Err(err).Msg("members: waiting for it; no share until then")
	case errors.Is(err, errRecordUnusable):
		place = -1
		n.log.Error().Err(err).Msg("what the relay has promised cannot be known; it takes no part in choices and no share")
	case err != nil:
		n.log.Error().Err(err).Msg("what the relay has promised cannot be kept; it takes no part in choices and no share but its own")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record = d
	n.membership = membership.New(n.now(), membership.Config{Name: c.Name, BootstrapSlot: place, BootstrapSize: c.Founders, ConfiguredRelays: c.Relays, Seed: c.Seed,
		Cell: c.Cell, Plan: c.Plan, Timing: n.adjustPace(c.Pace)}, rec)
	if err != nil {
		n.membership.Handle(n.now(), membership.RecordNotSaved{}, nil)
	}
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.stopped)
	for n.record.inUse {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lockRetryInterval):
		}
		n.openRecord()
	}
	var all sync.WaitGroup
	all.Go(func() { n.runMemberlist(ctx) })
	n.mu.Lock()
	acts := n.membership.Start(n.now(), nil)
	n.mu.Unlock()
	n.execute(acts)
	if n.cfg.Plan != nil {
		n.startCells(n.cfg.Cell, *n.cfg.Plan)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for looked := duration.Never; ; {
		select {
		case <-ctx.Done():
			all.Wait()
			n.record.close()
			return
		case ev := <-n.inbox:
			n.handle(ev)
		case w := <-n.batches:
			n.sendBatch(w)
			continue
		case update := <-n.planUpdates:
			n.applyPlan(update)
		case ev := <-n.cells.Load().events():
			n.handleCellEvent(ev)
		case <-timer.C:
			n.handle(membership.Tick{})
		}
		if now := n.now(); now >= looked+membership.MeterInterval {
			looked = now
			n.handle(n.localState(now))
		}
		n.tickCells()
		n.mu.Lock()
		next := min(n.membership.Next(), n.nextCellTick())
		n.mu.Unlock()
		timer.Reset(max(min(next, looked+membership.MeterInterval)-n.now(), time.Millisecond))
	}
}

func (n *Node) now() time.Duration { return n.cfg.Clock.Now() }

// localState is what this relay does.
func (n *Node) localState(now time.Duration) membership.LocalState {
	s := n.cfg.LocalActivity()
	own := n.meter.LocalState(now, s.Lifecycle, s.Arrivals, s.OpenRequests)
	own.Zone, own.EndpointListGeneration = n.cfg.Zone, s.ListVersion
	n.local = own
	return own
}

// enqueueEvent queues an event. When there is no room it is dropped: all that is said is said again.
func (n *Node) enqueueEvent(ev membership.Event) {
	select {
	case n.inbox <- ev:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// handle lets the membership.Node act, then carries out what it wants, in order.
func (n *Node) handle(ev membership.Event) {
	n.mu.Lock()
	acts := n.membership.Handle(n.now(), ev, nil)
	n.mu.Unlock()
	n.recordHistory()
	n.execute(acts)
}

func (n *Node) execute(acts []membership.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case membership.Save:
			if err := n.record.save(a.Record); err != nil {
				n.log.Error().Err(err).Msg("what the relay has promised cannot be kept; it takes no part in choices any more")
				n.handle(membership.RecordNotSaved{})
				return // what follows from it is not done
			}
		case membership.Send:
			n.send(a.To, a.Message)
		case membership.Publish:
			n.publish(a.Status)
		case membership.Changed:
			n.cells.Load().noteMembershipChange(a, n.now())
			n.log.Info().Str("what", a.Kind.String()).Str("member", a.Name).Str("state", a.State).Str("cause", a.Cause).Msg("fleet")
			if n.cfg.OnChange != nil {
				n.cfg.OnChange(a)
			}
		case membership.RefreshEndpointList:
			n.log.Info().Int64("generation", a.Generation).Msg("a peer has a newer list of servers; asking discovery")
			if n.cfg.RefreshEndpoints != nil {
				n.cfg.RefreshEndpoints()
			}
		}
	}
}

// LockStatus returns what the module is to reckon with at the moment, by the caller's clock, and keeps it so until Release.
func (n *Node) LockStatus(now time.Duration) decide.FleetStatus {
	n.mu.Lock()
	own := n.now()
	return relay.ToFleetStatus(now, own, n.membership.Estimate(own), n.zoneNumber)
}

// UnlockStatus ends a Hold.
func (n *Node) UnlockStatus() { n.mu.Unlock() }

// Estimate is what this relay reckons with now.
func (n *Node) Estimate() membership.FleetEstimate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Estimate(n.now())
}

// SetKeys rotates the keys while the Node runs: the first seals from now on, all open.
func (n *Node) SetKeys(keys [][]byte) error {
	if n.keyring == nil || len(keys) == 0 {
		return errors.New("sealing cannot be switched on or off while the relay runs")
	}
	for _, k := range keys {
		if err := n.keyring.AddKey(k); err != nil {
			return err
		}
	}
	if err := n.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, k := range n.keyring.GetKeys() {
		if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
			if err := n.keyring.RemoveKey(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// Wait waits for the end of Run.
func (n *Node) Wait() { <-n.stopped }

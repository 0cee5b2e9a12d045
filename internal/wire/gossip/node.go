package gossip

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
)

const (
	// recordLockRetryInterval is the time between two attempts to lock a record file that another process of
	// this relay holds.
	recordLockRetryInterval = 200 * time.Millisecond
	// inboxSize bounds the queue of membership events.
	inboxSize = 4096
)

// Node connects this relay to the other relays of the fleet.
type Node struct {
	cfg    Config
	log    zerolog.Logger
	record *recordFile

	gossip  gossipState
	peers   *peerTable
	dropped *dropCounters

	inbox           chan membership.Event
	outgoingBatches chan outgoingBatch // readings and placements to be sent
	planUpdates     chan planUpdate    // at most one, the newest plan that a reload has set
	stopped         chan struct{}      // closed when Run returns
	// leaveRequests asks Run to publish that this relay leaves. Run then closes the channel that it received.
	leaveRequests chan chan struct{}

	// mu guards the membership.Node and the Coordinator. LockStatus holds it while decisions are made.
	mu         sync.Mutex
	membership *membership.Node

	wireCell string   // see Config.wireCell
	cellHash cellHash // of wireCell
	cells    atomic.Pointer[cellDriver]

	meter          membership.Meter      // used by Run only
	lastLocalState membership.LocalState // last one handed to the membership.Node
	leaving        bool                  // whether Leave has been called; used by Run only
}

// gossipState holds memberlist and what a Node needs to send by it.
type gossipState struct {
	list          atomic.Pointer[memberlist.Memberlist] // nil until memberlist listens
	broadcasts    *broadcastQueue
	keyring       *memberlist.Keyring // nil if packets are not encrypted
	traffic       *traffic
	seq           atomic.Uint64 // last Seq of this incarnation's envelopes, except for statuses
	reliableSends chan struct{} // holds one token for each message that is being sent over TCP
}

// New reads the record and returns a Node that does not run yet. If the record cannot be read or stored, the
// relay still serves clients but does not vote; see openRecord. New fails only if the keys are invalid.
func New(c Config) (*Node, error) {
	if c.Transport == nil {
		c.Transport = socketTransport
	}
	n := &Node{
		cfg:             c,
		log:             c.Log,
		peers:           newPeerTable(),
		dropped:         newDropCounters(c.Log),
		inbox:           make(chan membership.Event, inboxSize),
		outgoingBatches: make(chan outgoingBatch, batchQueueSize),
		planUpdates:     make(chan planUpdate, 1),
		stopped:         make(chan struct{}),
		leaveRequests:   make(chan chan struct{}),
		wireCell:        c.wireCell(),
	}
	n.cellHash = hashCellName(n.wireCell)
	n.gossip.traffic = &traffic{}
	n.gossip.reliableSends = make(chan struct{}, maxReliableSends)
	n.gossip.broadcasts = newBroadcastQueue(statusRetransmitMult, n.relayCount)
	if len(c.Keys) > 0 {
		keyring, err := memberlist.NewKeyring(c.Keys, c.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		n.gossip.keyring = keyring
	}
	n.openRecord()
	return n, nil
}

// openRecord reads the record and creates the membership.Node. If another process of this relay holds the
// record file, it marks the record as in use.
//
// A relay that cannot read what it may have promised takes no budget share. A relay that has no record and
// cannot store one does not vote, and takes the budget share that follows from Config.ConfiguredRelays.
func (n *Node) openRecord() {
	c := n.cfg
	file, record, err := openRecordFile(c.StateFile, c.Site, n.wireCell, c.Name)
	slot := c.BootstrapSlot
	switch {
	case errors.Is(err, errRecordInUse):
		slot, file.inUse = -1, true
		if n.record != nil {
			n.record = file
			return
		}
		n.log.Info().Err(err).
			Msg("record in use by another process of this relay; no budget share until that process exits")
	case errors.Is(err, errRecordUnusable):
		slot = -1
		n.log.Error().Err(err).
			Msg("record cannot be read; no votes and no budget share: restore the state file and restart")
	case err != nil:
		n.log.Error().Err(err).
			Msg("record cannot be stored; no votes, configured budget share: repair its folder and restart")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record = file
	n.membership = membership.New(n.now(), membership.Config{
		Name:             c.Name,
		BootstrapSlot:    slot,
		BootstrapSize:    c.BootstrapSize,
		ConfiguredRelays: c.ConfiguredRelays,
		Seed:             c.Seed,
		Cell:             c.Cell,
		Plan:             c.Plan,
		Timing:           n.adjustTiming(c.Timing),
	}, record)
	if err != nil {
		n.membership.Handle(n.now(), membership.RecordNotSaved{}, nil)
	}
}

// Run takes part in the fleet until the context ends. It handles all events, one at a time.
func (n *Node) Run(ctx context.Context) {
	defer close(n.stopped)
	if !n.awaitRecord(ctx) {
		return
	}
	var gossiping sync.WaitGroup
	gossiping.Go(func() { n.runMemberlist(ctx) })
	n.mu.Lock()
	actions := n.membership.Start(n.now(), nil)
	n.mu.Unlock()
	n.execute(actions)
	if n.cfg.Plan != nil {
		n.startCells(n.cfg.Cell, *n.cfg.Plan)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for meteredAt := duration.DistantPast; ; {
		select {
		case <-ctx.Done():
			gossiping.Wait()
			n.record.close()
			return
		case event := <-n.inbox:
			n.handleMembershipEvent(event)
		case batch := <-n.outgoingBatches:
			n.sendBatch(batch)
			continue
		case published := <-n.leaveRequests:
			n.leaving = true
			n.handleMembershipEvent(n.localState(n.now()))
			close(published)
		case update := <-n.planUpdates:
			n.applyPlan(update)
		case event := <-n.cells.Load().events():
			n.handleCellEvent(event)
		case <-timer.C:
			n.handleMembershipEvent(membership.Tick{})
		}
		if now := n.now(); now >= meteredAt+membership.MeterInterval {
			meteredAt = now
			n.handleMembershipEvent(n.localState(now))
		}
		n.tickCells()
		next := min(n.nextTick(), meteredAt+membership.MeterInterval)
		timer.Reset(max(next-n.now(), time.Millisecond))
	}
}

// awaitRecord waits until no other process of this relay holds the record file. It returns false if the
// context ends first.
func (n *Node) awaitRecord(ctx context.Context) bool {
	for n.record.inUse {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(recordLockRetryInterval):
		}
		n.openRecord()
	}
	return true
}

// nextTick returns the time at which the membership.Node needs a Tick or tickCells is due.
func (n *Node) nextTick() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(n.membership.NextTickAt(), n.nextCellTick())
}

// Wait waits until Run has returned.
func (n *Node) Wait() { <-n.stopped }

func (n *Node) now() time.Duration { return n.cfg.Clock.Now() }

// localState measures this relay's current state.
func (n *Node) localState(now time.Duration) membership.LocalState {
	activity := n.cfg.LocalActivity()
	local := n.meter.LocalState(now, activity.Lifecycle, activity.Arrivals, activity.OpenRequests)
	local.Zone, local.EndpointListGeneration = n.cfg.Zone, activity.EndpointListVersion
	if n.leaving {
		local.Lifecycle = membership.LifecycleLeaving
	}
	n.lastLocalState = local
	return local
}

// enqueueMembershipEvent queues an event for the membership.Node. If the inbox is full, the event is dropped
// and counted: peers repeat their messages.
func (n *Node) enqueueMembershipEvent(event membership.Event) {
	select {
	case n.inbox <- event:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// handleMembershipEvent passes an event to the membership.Node and executes the actions that it returns, in
// their order.
func (n *Node) handleMembershipEvent(event membership.Event) {
	n.mu.Lock()
	actions := n.membership.Handle(n.now(), event, nil)
	n.mu.Unlock()
	n.recordHistory()
	n.execute(actions)
}

// execute executes actions in their order. It stops at a Save that fails, so that the relay never acts on a
// record that is not on disk.
func (n *Node) execute(actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.SaveRecord:
			if err := n.record.save(a.Record); err != nil {
				n.log.Error().Err(err).
					Msg("record cannot be stored; no more votes: repair its folder and restart")
				n.handleMembershipEvent(membership.RecordNotSaved{})
				return
			}
		case membership.SendMessage:
			n.sendMessage(a.To, a.Message)
		case membership.PublishStatus:
			n.publishStatus(a.Status)
		case membership.StateChanged:
			n.reportChange(a)
		case membership.RefreshEndpointList:
			n.log.Info().Int64("generation", a.Generation).
				Msg("a peer has a newer endpoint list; polling discovery")
			if n.cfg.RefreshEndpoints != nil {
				n.cfg.RefreshEndpoints()
			}
		}
	}
}

// reportChange logs a change of the membership and passes it to the Coordinator's driver and to
// Config.OnMembershipChange.
func (n *Node) reportChange(change membership.StateChanged) {
	n.cells.Load().recordMembershipChange(change, n.now())
	n.log.Info().
		Str("what", change.Kind.String()).
		Str("member", change.Name).
		Str("state", change.State).
		Str("cause", change.Cause).
		Msg("membership changed")
	if n.cfg.OnMembershipChange != nil {
		n.cfg.OnMembershipChange(change)
	}
}

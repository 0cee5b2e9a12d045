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
	// lockRetryInterval is the time between two attempts at a record that another process of the relay has.
	lockRetryInterval = 200 * time.Millisecond
	// inboxSize bounds the membership events that wait for Run.
	inboxSize = 4096
)

// Node is one relay among the others.
type Node struct {
	cfg    Config
	log    zerolog.Logger
	record *recordFile

	mesh    mesh
	peers   *peerTable
	dropped *dropCounters

	inbox       chan membership.Event
	batches     chan outgoingBatch // readings on their way out
	planUpdates chan planUpdate    // plans that a reload has brought
	stopped     chan struct{}      // closed at the end of Run
	// leaveRequests are for Run: it publishes that this relay leaves, then closes what it was handed.
	leaveRequests chan chan struct{}

	// mu is held for each step of the membership.Node, and by LockStatus while decisions are made.
	mu         sync.Mutex
	membership *membership.Node

	cell  string  // as the wire and the disk have it: "" in a flat fleet, also one that a plan gives a part
	key   cellKey // of cell
	cells atomic.Pointer[cellLink]

	meter     membership.Meter      // only Run uses it
	lastLocal membership.LocalState // as the membership.Node heard it last
	leaving   bool                  // Leave has been called; only Run uses it
}

// mesh is this relay's part of memberlist, and what goes out by it.
type mesh struct {
	list          atomic.Pointer[memberlist.Memberlist] // nil until it listens
	broadcasts    *broadcastQueue
	keyring       *memberlist.Keyring // nil where packets are not sealed
	traffic       *traffic
	seq           atomic.Uint64 // of the envelopes of this incarnation, but for statuses
	reliableSends chan struct{} // a token for each message over TCP under way
}

// New reads the record and returns a Node that does not run yet. A record that cannot be read or kept is no
// reason not to serve: the relay then promises nothing, and goes on by the settings' number. The error is one
// of the keys.
func New(c Config) (*Node, error) {
	if c.Transport == nil {
		c.Transport = socketTransport
	}
	n := &Node{
		cfg:           c,
		log:           c.Log,
		peers:         newPeerTable(),
		dropped:       newDropCounters(c.Log),
		inbox:         make(chan membership.Event, inboxSize),
		batches:       make(chan outgoingBatch, batchQueueSize),
		planUpdates:   make(chan planUpdate, 1),
		stopped:       make(chan struct{}),
		leaveRequests: make(chan chan struct{}),
		cell:          c.wireCell(),
	}
	n.key = keyOfCell(n.cell)
	n.mesh.traffic = &traffic{}
	n.mesh.reliableSends = make(chan struct{}, maxReliableSends)
	n.mesh.broadcasts = newBroadcastQueue(statusRetransmitMult, n.relayCount)
	if len(c.Keys) > 0 {
		keyring, err := memberlist.NewKeyring(c.Keys, c.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		n.mesh.keyring = keyring
	}
	n.openRecord()
	return n, nil
}

// openRecord reads the record and makes the membership.Node; it marks the record as in use if another process
// of the relay has it still. Whoever cannot read what it may have promised takes no budget share; whoever has
// no record, and can keep none, goes on by the settings' number and promises nothing.
func (n *Node) openRecord() {
	c := n.cfg
	file, record, err := openRecordFile(c.StateFile, c.Site, n.cell, c.Name)
	slot := c.BootstrapSlot
	switch {
	case errors.Is(err, errRecordInUse):
		slot, file.inUse = -1, true
		if n.record != nil {
			n.record = file
			return
		}
		n.log.Info().Err(err).Msg("record in use by this relay's other process, no budget share till it ends")
	case errors.Is(err, errRecordUnusable):
		slot = -1
		n.log.Error().Err(err).
			Msg("record cannot be read, no votes and no budget share: restore the state file and restart")
	case err != nil:
		n.log.Error().Err(err).
			Msg("record cannot be kept, no votes, the configured budget share: mend its folder, restart")
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

// Run takes part until the context ends.
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
			n.handle(event)
		case batch := <-n.batches:
			n.sendBatch(batch)
			continue
		case published := <-n.leaveRequests:
			n.leaving = true
			n.handle(n.localState(n.now()))
			close(published)
		case update := <-n.planUpdates:
			n.applyPlan(update)
		case event := <-n.cells.Load().events():
			n.handleCellEvent(event)
		case <-timer.C:
			n.handle(membership.Tick{})
		}
		if now := n.now(); now >= meteredAt+membership.MeterInterval {
			meteredAt = now
			n.handle(n.localState(now))
		}
		n.tickCells()
		next := min(n.nextTick(), meteredAt+membership.MeterInterval)
		timer.Reset(max(next-n.now(), time.Millisecond))
	}
}

// awaitRecord waits until no other process of the relay has the record; false if the context ends before
// that.
func (n *Node) awaitRecord(ctx context.Context) bool {
	for n.record.inUse {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(lockRetryInterval):
		}
		n.openRecord()
	}
	return true
}

// nextTick is when the membership.Node or the cells.Coordinator has a Tick due.
func (n *Node) nextTick() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(n.membership.NextTickAt(), n.nextCellTick())
}

// Wait waits for the end of Run.
func (n *Node) Wait() { <-n.stopped }

func (n *Node) now() time.Duration { return n.cfg.Clock.Now() }

// localState meters what this relay does.
func (n *Node) localState(now time.Duration) membership.LocalState {
	activity := n.cfg.LocalActivity()
	local := n.meter.LocalState(now, activity.Lifecycle, activity.Arrivals, activity.OpenRequests)
	local.Zone, local.EndpointListGeneration = n.cfg.Zone, activity.EndpointListVersion
	if n.leaving {
		local.Lifecycle = membership.LifecycleLeaving
	}
	n.lastLocal = local
	return local
}

// enqueueEvent queues an event. When the inbox is full it is dropped: all is sent again.
func (n *Node) enqueueEvent(event membership.Event) {
	select {
	case n.inbox <- event:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// handle lets the membership.Node act, then carries out what it wants, in order.
func (n *Node) handle(event membership.Event) {
	n.mu.Lock()
	actions := n.membership.Handle(n.now(), event, nil)
	n.mu.Unlock()
	n.recordHistory()
	n.execute(actions)
}

// execute carries out actions. What follows from a record that could not be kept is not done.
func (n *Node) execute(actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.SaveRecord:
			if err := n.record.save(a.Record); err != nil {
				n.log.Error().Err(err).
					Msg("record cannot be kept, no votes any more: mend its folder and restart")
				n.handle(membership.RecordNotSaved{})
				return
			}
		case membership.SendMessage:
			n.send(a.To, a.Message)
		case membership.PublishStatus:
			n.publish(a.Status)
		case membership.StateChanged:
			n.noteChange(a)
		case membership.RefreshEndpointList:
			n.log.Info().Int64("generation", a.Generation).
				Msg("peer has a newer endpoint list, polling discovery")
			if n.cfg.RefreshEndpoints != nil {
				n.cfg.RefreshEndpoints()
			}
		}
	}
}

// noteChange says what has changed in the fleet.
func (n *Node) noteChange(change membership.StateChanged) {
	n.cells.Load().noteMembershipChange(change, n.now())
	n.log.Info().
		Str("what", change.Kind.String()).
		Str("member", change.Name).
		Str("state", change.State).
		Str("cause", change.Cause).
		Msg("fleet changed")
	if n.cfg.OnMembershipChange != nil {
		n.cfg.OnMembershipChange(change)
	}
}

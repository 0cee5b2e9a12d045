package model

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// peering is a relay's state for membership and shared probing.
type peering struct {
	clockRate     float64 // rate of the relay's clock for membership and probing, relative to the fleet's
	record        membership.Record
	node          *membership.Node
	scheduler     *probing.Scheduler
	meter         membership.Meter
	health        map[*Relay]membership.Health
	schedulerView *membership.View // the view and the list's change count that the scheduler was last given
	schedulerList int
}

// Phase returns how far the relay's view is agreed.
func (r *Relay) Phase() membership.Phase { return r.node.Phase() }

// View returns the view that the relay holds.
func (r *Relay) View() *membership.View { return r.node.View() }

// localTime returns the time on the relay's clock for membership and probing, whose origin differs from the
// other relays'.
func (r *Relay) localTime() time.Duration {
	return duration.Scale(r.fleet.Now, r.clockRate) + 10*time.Second*time.Duration(r.index%7)
}

// startPeering starts membership and shared probing of a relay.
func (r *Relay) startPeering() {
	f, incarnation := r.fleet, r.incarnation
	seed := f.cfg.Seed + uint64(r.index)
	config := membership.Config{
		Name:             r.Name,
		BootstrapSlot:    r.index,
		BootstrapSize:    f.cfg.Relays,
		ConfiguredRelays: f.cfg.Relays,
		Seed:             seed,
	}
	r.node = membership.New(r.localTime(), config, r.record)
	r.scheduler = probing.New(r.Name, seed)
	r.meter, r.health, r.schedulerView = membership.Meter{}, map[*Relay]membership.Health{}, nil
	f.performNodeActions(r, r.node.Start(r.localTime(), nil))
	f.After(f.network.delay(maxPacketDelay), func() { f.runMembership(r, incarnation, 0) })
	f.After(f.network.delay(schedulerInterval), func() { f.runScheduler(r, incarnation, 0) })
	f.detectFailures(r)
}

// runMembership sends ticks to a relay's membership, at once and each time its next tick is due, until the
// given incarnation of the relay ends. meteredAt is when the relay last measured its own activity.
func (f *Fleet) runMembership(r *Relay, incarnation int, meteredAt time.Duration) {
	if !r.up || r.incarnation != incarnation {
		return
	}
	if f.Now >= meteredAt+membership.MeterInterval {
		meteredAt = f.Now
		lifecycle := membership.LifecycleServing
		if r.draining {
			lifecycle = membership.LifecycleDraining
		}
		local := r.meter.LocalState(r.localTime(), lifecycle, r.arrivedRequests, r.connections)
		local.EndpointListGeneration = 1
		f.handleNodeEvent(r, local)
	}
	f.handleNodeEvent(r, membership.Tick{})
	next := duration.Scale(r.node.NextTickAt()-r.localTime(), 1/r.clockRate).Round(time.Microsecond)
	f.After(max(next, ms), func() { f.runMembership(r, incarnation, meteredAt) })
}

// runScheduler sends a tick to a relay's probing scheduler once every schedulerInterval, as the event loop
// does. checkedAt is when the relay last compared the scheduler's participants with its view and list.
func (f *Fleet) runScheduler(r *Relay, incarnation int, checkedAt time.Duration) {
	if !r.up || r.incarnation != incarnation {
		return
	}
	if f.Now >= checkedAt+participantsInterval {
		checkedAt = f.Now
		r.updateParticipants()
	}
	f.handleSchedulerEvent(r, probing.Tick{})
	f.After(schedulerInterval, func() { f.runScheduler(r, incarnation, checkedAt) })
}

// updateParticipants gives the scheduler the members of the view and the servers of the list when either has
// changed. Many relays have the same ones, so each assignment table is computed once and shared.
func (r *Relay) updateParticipants() {
	view := r.node.View()
	if view == r.schedulerView && r.listChanges == r.schedulerList {
		return
	}
	r.schedulerView, r.schedulerList = view, r.listChanges
	var relays []probing.Relay
	if view.Epoch > 0 {
		for _, name := range view.MemberNames() {
			relays = append(relays, probing.Relay{Name: name, Zone: strconv.Itoa(relayNumber(name) % 3)})
		}
	}
	var servers []probing.Server
	stamp := fmt.Sprint(view.Hash(), ":")
	for _, e := range r.list {
		if e.State == decide.Ready {
			zone, started := strconv.Itoa(int(e.Zone)), int64(e.StartedAt)
			servers = append(servers, probing.Server{Key: e.RendezvousKey, Zone: zone, Started: started})
			stamp += fmt.Sprint(e.Server, "/", int64(e.StartedAt), " ")
		}
	}
	table := r.fleet.tables[stamp]
	if table == nil {
		if len(r.fleet.tables) > 64 {
			clear(r.fleet.tables)
		}
		table = probing.Assign(relays, servers)
		r.fleet.tables[stamp] = table
	}
	r.fleet.handleSchedulerEvent(r, probing.ParticipantsChanged{
		Relays: relays, Incarnation: uint64(r.incarnation), Servers: servers, Assignment: table,
	})
}

// handleSchedulerEvent passes an event to a relay's probing scheduler and performs the actions that it
// returns.
func (f *Fleet) handleSchedulerEvent(r *Relay, ev probing.Event) {
	for _, a := range r.scheduler.Handle(r.localTime(), ev, nil) {
		switch a := a.(type) {
		case probing.Probe:
			if s := f.serverByKey(a.ServerKey); s != nil {
				f.count("looks")
				f.probe(r, s)
			}
		case probing.UseReading:
			if s := f.serverByKey(a.ServerKey); s != nil {
				report := decide.LoadReport{
					Load: a.Reading.LoadReport.Load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1,
				}
				f.deliverPeerReading(r, decide.GossipReading{Server: s.Server, Age: a.Age, Report: report})
			}
		case probing.PeerPlacement:
			if s := f.serverByKey(a.ServerKey); s != nil {
				f.deliverPeerReading(r,
					decide.GossipReading{Server: s.Server, Age: a.Age, PlacementDelta: a.Delta})
			}
		case probing.SendPlacements:
			f.count("tells of placements")
			rows := slices.Clone(a.Deltas)
			f.sendToPeer(r, a.To, probing.PlacementsReceived{From: r.Name, Deltas: rows})
		case probing.RelayQuarantined:
			f.count("doubts of " + a.Name)
		case probing.SendReadings:
			f.count("tells")
			readings := slices.Clone(a.Readings)
			f.sendToPeer(r, a.To, probing.ReadingsReceived{From: r.Name, Readings: readings})
		}
	}
}

// deliverPeerReading passes a peer's reading or placement to a relay's decision module.
func (f *Fleet) deliverPeerReading(r *Relay, reading decide.GossipReading) {
	reading.Age = reading.Age.Round(time.Microsecond) // the module's times are whole microseconds
	f.performActions(r, r.balancer.Handle(f.Now, reading, nil))
}

// sendToPeer sends an event to another relay's probing scheduler.
func (f *Fleet) sendToPeer(from *Relay, name string, ev probing.Event) {
	to := f.relayByName(name)
	f.deliverMessageLater(from, to, maxPacketDelay, func() { f.handleSchedulerEvent(to, ev) })
}

// relayNumber returns the number in a relay's name, -1 if it has none.
func relayNumber(name string) int {
	n, err := strconv.Atoi(name[1:])
	if err != nil {
		return -1
	}
	return n
}

func (f *Fleet) relayByName(name string) *Relay { return f.Relays[relayNumber(name)] }

// handleNodeEvent passes an event to a relay's membership and performs the actions that it returns.
func (f *Fleet) handleNodeEvent(r *Relay, ev membership.Event) {
	f.performNodeActions(r, r.node.Handle(r.localTime(), ev, nil))
}

// performNodeActions performs the actions that a relay's membership returned.
func (f *Fleet) performNodeActions(r *Relay, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SaveRecord:
			r.record = a.Record
		case membership.SendMessage:
			to := f.relayByName(a.To)
			received := membership.MessageReceived{From: r.Name, Message: a.Message}
			f.deliverMessageLater(r, to, maxPacketDelay, func() { f.handleNodeEvent(to, received) })
		case membership.PublishStatus:
			received := membership.StatusReceived{Name: r.Name, Status: a.Status}
			for _, to := range f.Relays {
				if to != r {
					f.deliverMessageLater(r, to, maxStatusDelay, func() { f.handleNodeEvent(to, received) })
				}
			}
		}
	}
}

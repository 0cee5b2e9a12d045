// Package gossip is the driver round internal/fleet/membership: it lets relays hear of each other by hashicorp/memberlist,
// carries what their Nodes say, and keeps what a membership.Node wants kept. It decides nothing.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
)

const (
	bindEvery    = 5 * time.Second // a taken port is tried again
	stateEvery   = 200 * time.Millisecond
	rejoinEvery  = 700 * time.Millisecond
	seedsEvery   = 5 // so many rejoins, the last of which goes to a seed
	inboxRoom    = 4096
	reliableRoom = 32   // messages over packet size under way at once
	packetRoom   = 1100 // bytes of a message that goes as one packet; more goes over TCP
	maxPeers     = 4096 // names known at once
	maxBody      = 1 << 18
	leaveWithin  = 400 * time.Millisecond
	// elsewhereEvery is the time between two joins to an address where another cell's relay has answered, unless the relay that was
	// there is heard of in this cell again.
	elsewhereEvery = time.Minute
)

// Self is what this relay does now, as whoever starts the Node knows it. It must not block.
type Self struct {
	Lifecycle membership.Lifecycle
	Arrivals  uint64 // since the process started
	Held      int
	List      int64
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
	Self             func() Self
	Refresh          func()                   // asks for the list of servers out of turn
	Notice           func(membership.Changed) // is told of each change; nil for nobody
	// Received is told of what a peer passes on of servers, a probing.ReadingsReceived or PlacementsReceived; nil for
	// nobody. It must not block.
	Received func(ev probing.Event)
	// Transport makes what carries packets and streams from and to a host and port; nil for UDP and TCP sockets.
	Transport func(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error)
	// Cell is this relay's cell and Plan divides the fleet's budgets among all of them; "" and nil for a flat fleet.
	Cell string
	Plan *cellplan.Plan
	Pace membership.Pace // within the cell; the zero Pace is a flat fleet's
	// Zones are the settings' zones by name, by which the plan's are known to the module.
	Zones map[string]decide.Zone
	Log   zerolog.Logger
}

// Node is one relay among the others.
type Node struct {
	cfg     Config
	log     zerolog.Logger
	disk    *disk
	ring    *memberlist.Keyring
	queue   *memberlist.TransmitLimitedQueue
	inbox   chan membership.Event
	drops   *drops
	net     *traffic
	batches chan readingsBatch // readings on their way out
	plans   chan planUpdate    // plans that a reload has brought
	big     chan struct{}      // a token for each message over TCP under way

	mu         sync.Mutex // held for each step of the membership.Node, and by Hold while decisions are made
	membership *membership.Node

	cell  string  // as the wire and the disk have it: "" in a flat fleet, also one that a plan gives a part
	key   cellKey // of cell
	cells atomic.Pointer[cellLink]
	zone  func(name string) (decide.Zone, bool) // the module's number of a zone

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
		replays   map[string]*probing.Window
	}

	meter membership.Meter
	local membership.LocalState // as told last
}

// New reads the record and returns a Node that does not run yet. A record that cannot be read or kept is no reason
// not to serve: the relay then promises nothing, and goes on by the settings' number.
func New(c Config) (*Node, error) {
	if c.Transport == nil {
		c.Transport = overSockets
	}
	n := &Node{cfg: c, log: c.Log, inbox: make(chan membership.Event, inboxRoom), batches: make(chan readingsBatch, batchRoom), plans: make(chan planUpdate, 1), drops: newDrops(c.Log), net: &traffic{},
		big: make(chan struct{}, reliableRoom), stopped: make(chan struct{})}
	n.peers.nodes, n.peers.there = map[string]*memberlist.Node{}, map[string]bool{}
	n.peers.digests, n.peers.replays = map[string][]byte{}, map[string]*probing.Window{}
	n.peers.elsewhere = map[string]time.Time{}
	n.cell = c.wireCell()
	n.key = keyOfCell(n.cell)
	n.zone = n.cfg.zoneNumber
	n.queue = &memberlist.TransmitLimitedQueue{NumNodes: n.count, RetransmitMult: 3}
	if len(c.Keys) > 0 {
		ring, err := memberlist.NewKeyring(c.Keys, c.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		n.ring = ring
	}
	n.begin()
	return n, nil
}

// begin reads the record and makes the membership.Node; it says so of the disk if another process of the relay has the record
// still. Whoever cannot read what it may have promised takes no share; whoever has no record, and can keep none, goes on by the
// settings' number and promises nothing.
func (n *Node) begin() {
	c := n.cfg
	d, rec, err := openDisk(c.State, c.Site, n.cell, c.Name)
	place := c.InitialPlace
	switch {
	case errors.Is(err, errInUse):
		place, d.inUse = -1, true
		if n.disk != nil {
			n.disk = d
			return
		}
		n.log.Info().Err(err).Msg("members: waiting for it; no share until then")
	case errors.Is(err, errUnread):
		place = -1
		n.log.Error().Err(err).Msg("what the relay has promised cannot be known; it takes no part in choices and no share")
	case err != nil:
		n.log.Error().Err(err).Msg("what the relay has promised cannot be kept; it takes no part in choices and no share but its own")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disk = d
	n.membership = membership.New(n.now(), membership.Config{Name: c.Name, InitialPlace: place, Founders: c.Founders, Relays: c.Relays, Seed: c.Seed,
		Cell: c.Cell, Plan: c.Plan, Pace: n.paced(c.Pace)}, rec)
	if err != nil {
		n.membership.Handle(n.now(), membership.Unsaved{}, nil)
	}
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.stopped)
	for n.disk.inUse {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stateEvery):
		}
		n.begin()
	}
	var all sync.WaitGroup
	all.Go(func() { n.mesh(ctx) })
	n.mu.Lock()
	acts := n.membership.Start(n.now(), nil)
	n.mu.Unlock()
	n.do(acts)
	if n.cfg.Plan != nil {
		n.link(n.cfg.Cell, *n.cfg.Plan)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for looked := math.Inf(-1); ; {
		select {
		case <-ctx.Done():
			all.Wait()
			n.disk.close()
			return
		case ev := <-n.inbox:
			n.handle(ev)
		case w := <-n.batches:
			n.sendBatch(w)
			continue
		case update := <-n.plans:
			n.takePlan(update)
		case ev := <-n.cells.Load().received():
			n.handleCells(ev)
		case <-timer.C:
			n.handle(membership.Tick{})
		}
		if now := n.now(); now >= looked+membership.MeterInterval {
			looked = now
			n.handle(n.localState(now))
		}
		n.tickCells()
		n.mu.Lock()
		next := min(n.membership.Next(), n.nextOfCells())
		n.mu.Unlock()
		timer.Reset(relay.Duration(max(min(next, looked+membership.MeterInterval)-n.now(), 1)))
	}
}

func (n *Node) now() float64 { return n.cfg.Clock.Now() }

// localState is what this relay does.
func (n *Node) localState(now float64) membership.LocalState {
	s := n.cfg.Self()
	own := n.meter.LocalState(now, s.Lifecycle, s.Arrivals, s.Held)
	own.Zone, own.List = n.cfg.Zone, s.List
	n.local = own
	return own
}

// post queues an event. When there is no room it is dropped: all that is said is said again.
func (n *Node) post(ev membership.Event) {
	select {
	case n.inbox <- ev:
	default:
		n.drops.count(overrun, "")
	}
}

// handle lets the membership.Node act, then carries out what it wants, in order.
func (n *Node) handle(ev membership.Event) {
	n.mu.Lock()
	acts := n.membership.Handle(n.now(), ev, nil)
	n.mu.Unlock()
	n.history()
	n.do(acts)
}

func (n *Node) do(acts []membership.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case membership.Save:
			if err := n.disk.save(a.Record); err != nil {
				n.log.Error().Err(err).Msg("what the relay has promised cannot be kept; it takes no part in choices any more")
				n.handle(membership.Unsaved{})
				return // what follows from it is not done
			}
		case membership.Send:
			n.send(a.To, a.Message)
		case membership.Publish:
			n.publish(a.Status)
		case membership.Changed:
			n.cells.Load().changed(a, n.now())
			n.log.Info().Str("what", a.What.String()).Str("member", a.Name).Str("state", a.State).Str("cause", a.Cause).Msg("fleet")
			if n.cfg.Notice != nil {
				n.cfg.Notice(a)
			}
		case membership.Refresh:
			n.log.Info().Int64("generation", a.Generation).Msg("a peer has a newer list of servers; asking discovery")
			if n.cfg.Refresh != nil {
				n.cfg.Refresh()
			}
		}
	}
}

// Hold returns what the module is to reckon with at the moment, by the caller's clock, and keeps it so until Release.
func (n *Node) Hold(now float64) decide.Fleet {
	n.mu.Lock()
	own := n.now()
	return relay.Reckon(now, own, n.membership.Estimate(own), n.zone)
}

// Release ends a Hold.
func (n *Node) Release() { n.mu.Unlock() }

// Estimate is what this relay reckons with now.
func (n *Node) Estimate() membership.FleetEstimate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Estimate(n.now())
}

// SetKeys rotates the keys while the Node runs: the first seals from now on, all open.
func (n *Node) SetKeys(keys [][]byte) error {
	if n.ring == nil || len(keys) == 0 {
		return errors.New("sealing cannot be switched on or off while the relay runs")
	}
	for _, k := range keys {
		if err := n.ring.AddKey(k); err != nil {
			return err
		}
	}
	if err := n.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, k := range n.ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
			if err := n.ring.RemoveKey(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// Leave says that this relay goes, and waits a moment for the word to spread. The relay takes no share from here on.
func (n *Node) Leave() {
	if l := n.list.Load(); l != nil {
		if err := l.Leave(leaveWithin); err != nil {
			n.log.Info().Err(err).Msg("not all peers may have heard that this relay leaves")
		}
	}
}

// Wait waits for the end of Run.
func (n *Node) Wait() { <-n.stopped }

// count is how many relays there are, for how often a status is passed on.
func (n *Node) count() int {
	if l := n.list.Load(); l != nil {
		return max(l.NumMembers(), 1)
	}
	return 1
}

// mesh brings memberlist up, and joins it to the others, until the context ends.
func (n *Node) mesh(ctx context.Context) {
	var list *memberlist.Memberlist
	for said := false; list == nil; {
		var err error
		if list, err = n.create(); err == nil {
			break
		}
		if !said {
			n.log.Error().Err(err).Str("bind", n.cfg.Bind).Msg("members: cannot listen; serving alone and trying again")
			said = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bindEvery):
		}
	}
	n.list.Store(list)
	n.log.Info().Str("bind", n.cfg.Bind).Bool("sealed", n.ring != nil).Msg("members: listening")
	defer func() {
		if err := list.Shutdown(); err != nil {
			n.log.Info().Err(err).Msg("members: end")
		}
	}()
	said := false
	for round := 0; ; round++ {
		if target := n.missing(list, round); target != "" {
			_, err := list.Join([]string{target})
			if err != nil && strings.Contains(err.Error(), errOtherCell.Error()) {
				n.peers.Lock()
				n.peers.elsewhere[target] = time.Now()
				n.peers.Unlock()
			}
			if err != nil && !said && list.NumMembers() == 1 {
				said = true
				n.log.Warn().Str("error", strings.Join(strings.Fields(err.Error()), " ")).Str("seed", target).Msg("members: seed out of reach; serving alone and trying again")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rejoinEvery/2 + time.Duration(rand.Int64N(int64(rejoinEvery)))):
		}
	}
}

// missing is an address to join: that of a relay that was there and is not, or a seed that nobody answers at. After a
// cut both sides have given each other up, and only a new join heals that. Where a relay of another cell has answered, a while passes
// before it is tried again: a join costs both sides all they know.
func (n *Node) missing(list *memberlist.Memberlist, round int) string {
	there := map[string]bool{}
	n.peers.Lock()
	for address, at := range n.peers.elsewhere {
		there[address] = time.Since(at) < elsewhereEvery
	}
	there[n.cfg.Bind], there[n.cfg.Advertise] = true, true
	for name := range n.peers.there {
		there[n.peers.nodes[name].Address()] = true
	}
	n.peers.Unlock()
	var lost []string
	if list.NumMembers() == 1 || round%seedsEvery == 0 {
		for _, s := range n.cfg.Seeds {
			if !there[s] {
				lost = append(lost, s)
			}
		}
	}
	if len(lost) == 0 {
		n.peers.Lock()
		for name, m := range n.peers.nodes {
			if !n.peers.there[name] && !there[m.Address()] {
				lost = append(lost, m.Address())
			}
		}
		n.peers.Unlock()
	}
	if len(lost) == 0 {
		return ""
	}
	return lost[rand.IntN(len(lost))]
}

// create starts memberlist on its transport. The times suit relays of one site: a relay that has died is failed after
// about 2 s, one that loses a fifth of its packets is not.
func (n *Node) create() (*memberlist.Memberlist, error) {
	host, text, err := net.SplitHostPort(n.cfg.Bind)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Logger = n.drops.logger()
	transport, err := n.cfg.Transport(host, port, c.Logger)
	if err != nil {
		return nil, err
	}
	c.Name, c.Label, c.Keyring = n.cfg.Name, n.cfg.Site, n.ring
	c.Transport = n.seam(count(transport, n.net))
	c.BindAddr, c.BindPort = host, port
	c.AdvertiseAddr, c.AdvertisePort = host, port
	if n.cfg.Advertise != "" {
		told, port, _ := net.SplitHostPort(n.cfg.Advertise)
		c.AdvertiseAddr = told
		c.AdvertisePort, _ = strconv.Atoi(port)
	}
	c.TCPTimeout = time.Second
	c.ProbeInterval, c.ProbeTimeout, c.IndirectChecks = 500*time.Millisecond, 200*time.Millisecond, 3
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 2
	c.AwarenessMaxMultiplier = 3
	// Each relay passes word on RetransmitMult*log10(n+1) times, rounded up, to one drawn at random: of 300 relays 300*e^-9
	// = 0.04 miss a word passed on 9 times by all, as a refutation is, and take the suspect for dead; 300*e^-12 = 0.002 at 4.
	c.RetransmitMult, c.GossipInterval, c.GossipNodes = 4, 100*time.Millisecond, 3
	c.PushPullInterval, c.GossipToTheDeadTime = 15*time.Second, 15*time.Second
	if n.cell != "" {
		c.GossipInterval, c.PushPullInterval = cellGossip, cellPushPull
	}
	c.DeadNodeReclaimTime = time.Second
	c.EnableCompression = false
	c.Delegate, c.Events, c.Alive, c.Conflict, c.Merge = (*delegate)(n), (*delegate)(n), (*delegate)(n), (*delegate)(n), (*delegate)(n)
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, errors.Join(err, c.Transport.Shutdown())
	}
	return list, nil
}

// overSockets carries packets by UDP and streams by TCP.
func overSockets(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error) {
	return memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: log})
}

// send carries a membership.Node's message to a peer.
func (n *Node) send(to string, m membership.Message) { n.sendTo(to, kindMessage, m) }

// sendTo carries a message to a peer: as one packet, or over TCP where it is too large for that.
func (n *Node) sendTo(to string, k kind, m any) {
	list := n.list.Load()
	n.peers.Lock()
	node := n.peers.nodes[to]
	n.peers.Unlock()
	if list == nil || node == nil {
		return
	}
	n.mu.Lock()
	incarnation := n.membership.Incarnation()
	n.mu.Unlock()
	text, err := n.sealOwn(incarnation, n.seq.Add(1), k, m)
	if err != nil {
		n.log.Error().Err(err).Msg("members: a message cannot be written")
		return
	}
	if len(text) <= packetRoom {
		if err := list.SendBestEffort(node, text); err != nil {
			n.drops.count(unsent, err.Error())
		}
		return
	}
	select {
	case n.big <- struct{}{}:
	default:
		n.drops.count(unsent, "too many large messages under way")
		return
	}
	go func() {
		defer func() { <-n.big }()
		if err := list.SendReliable(node, text); err != nil {
			n.drops.count(unsent, err.Error())
		}
	}()
}

// publish tells this relay's status to all.
func (n *Node) publish(d membership.Status) {
	text, err := n.sealOwn(d.Incarnation, d.Seq, kindStatus, n.recode(d))
	if err != nil {
		n.log.Error().Err(err).Msg("members: the digest cannot be written")
		return
	}
	n.peers.Lock()
	n.peers.digests[n.cfg.Name] = text
	n.peers.Unlock()
	n.queue.QueueBroadcast(&statusBroadcast{n.cfg.Name, text})
}

// statusBroadcast is a status on its way round; a newer one of the same relay takes its place.
type statusBroadcast struct {
	name string
	text []byte
}

func (b *statusBroadcast) Name() string { return b.name }
func (b *statusBroadcast) Invalidates(o memberlist.Broadcast) bool {
	p, ok := o.(*statusBroadcast)
	return ok && p.name == b.name
}
func (b *statusBroadcast) Message() []byte { return b.text }
func (b *statusBroadcast) Finished()       {}

// take opens what a peer has sent. forward says that a status is to be passed on.
func (n *Node) take(text []byte, forward bool) {
	e, err := open(text)
	switch {
	case err != nil:
		n.drops.count(malformed, err.Error())
		return
	case e.From == n.cfg.Name:
		return
	}
	if e, err = n.unwrap(e); err != nil {
		n.drops.count(unwrapReason(err), e.From)
		return
	}
	switch e.Kind {
	case kindStatus:
		var d membership.Status
		if err := cbor.Unmarshal(e.Body, &d); err != nil || !validStatus(d) || d.Incarnation != e.Incarnation || d.Seq != e.Seq {
			n.drops.count(malformed, "a digest that makes no sense")
			return
		}
		if n.newer(e, text) {
			n.post(membership.StatusReceived{Name: e.From, Status: d})
			if forward {
				n.queue.QueueBroadcast(&statusBroadcast{e.From, text})
			}
		}
	case kindMessage:
		var m membership.Message
		if err := cbor.Unmarshal(e.Body, &m); err != nil || !validMessage(m) || m.From != e.Incarnation {
			n.drops.count(malformed, "a message that makes no sense")
			return
		}
		if !n.fresh(e) {
			n.drops.count(replayed, e.From)
			return
		}
		n.post(membership.MessageReceived{From: e.From, Message: m})
	case kindReadings, kindPlacements:
		if n.cfg.Received == nil {
			return
		}
		ev, err := readBatch(e)
		if err != nil {
			n.drops.count(malformed, err.Error())
			return
		}
		if !n.fresh(e) {
			n.drops.count(replayed, e.From)
			return
		}
		n.cfg.Received(ev)
	case kindSummary, kindDirectory:
		n.takeOfCells(e, text, forward)
	default: // of a later version
		n.drops.count(unknown, strconv.Itoa(int(e.Kind)))
	}
}

// newer notes a status, and tells whether it is news.
func (n *Node) newer(e envelope, text []byte) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	if old, ok := n.peers.digests[e.From]; ok {
		if o, err := open(old); err == nil && (o.Incarnation > e.Incarnation || o.Incarnation == e.Incarnation && o.Seq >= e.Seq) {
			return false
		}
	} else if len(n.peers.digests) >= maxPeers {
		return false
	}
	n.peers.digests[e.From] = text
	n.backInCell(e.From)
	return true
}

// backInCell has a peer that is missed joined again at once: its status has come, so it is in this cell whatever was found at its
// address before. The caller holds the lock.
func (n *Node) backInCell(name string) {
	if node := n.peers.nodes[name]; node != nil && !n.peers.there[name] {
		delete(n.peers.elsewhere, node.Address())
	}
}

// fresh tells whether a message has not come before.
func (n *Node) fresh(e envelope) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	w := n.peers.replays[e.From]
	if w == nil {
		if len(n.peers.replays) >= maxPeers {
			return false
		}
		w = &probing.Window{}
		n.peers.replays[e.From] = w
	}
	return w.Take(e.Incarnation, e.Seq)
}

// delegate is the Node as memberlist sees it. Its methods must not block.
type delegate Node

// NodeMeta is memberlist's: the relay's cell, nothing in a flat fleet. Statuses are carried apart, at a rate of their own.
func (d *delegate) NodeMeta(int) []byte {
	if d.cell == "" {
		return nil
	}
	return []byte(d.cell)
}

// NotifyMsg is memberlist's: a message, or a status that is passed on.
func (d *delegate) NotifyMsg(b []byte) { (*Node)(d).take(slices.Clone(b), true) }

// GetBroadcasts is memberlist's.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// LocalState is memberlist's: all statuses known, for a relay that joins or has missed some.
func (d *delegate) LocalState(bool) []byte {
	d.peers.Lock()
	defer d.peers.Unlock()
	all := make([][]byte, 0, len(d.peers.digests))
	for _, text := range d.peers.digests {
		all = append(all, text)
	}
	text, err := cbor.Marshal(all)
	if err != nil {
		return nil
	}
	return text
}

// MergeRemoteState is memberlist's.
func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	var all [][]byte
	if err := cbor.Unmarshal(b, &all); err != nil || len(all) > maxPeers {
		d.drops.count(malformed, "a state that makes no sense")
		return
	}
	for _, text := range all {
		(*Node)(d).take(text, false)
	}
}

func (d *delegate) note(m *memberlist.Node, w membership.Health) {
	c := *m
	d.peers.Lock()
	if d.peers.nodes[m.Name] != nil || len(d.peers.nodes) < maxPeers {
		d.peers.nodes[m.Name] = &c
	}
	if w == membership.Left { // it is not missed
		delete(d.peers.nodes, m.Name)
	}
	if d.peers.nodes[m.Name] != nil && w == membership.Alive {
		d.peers.there[m.Name] = true
	} else {
		delete(d.peers.there, m.Name)
	}
	d.peers.Unlock()
	(*Node)(d).post(membership.PeerHealth{Name: m.Name, Health: w})
}

// NotifyJoin is memberlist's.
func (d *delegate) NotifyJoin(m *memberlist.Node) { d.note(m, membership.Alive) }

// NotifyUpdate is memberlist's.
func (d *delegate) NotifyUpdate(m *memberlist.Node) { d.note(m, membership.Alive) }

// NotifyLeave is memberlist's, for one that failed and for one that said so.
func (d *delegate) NotifyLeave(m *memberlist.Node) {
	if m.State == memberlist.StateLeft {
		d.note(m, membership.Left)
	} else {
		d.note(m, membership.Failed)
	}
}

// NotifyAlive is memberlist's: a name that nobody could have is no peer, and neither is a relay of another cell.
func (d *delegate) NotifyAlive(m *memberlist.Node) error {
	if !GoodName(m.Name) {
		d.drops.count(malformed, "a name that makes no sense")
		return errors.New("bad name")
	}
	if !(*Node)(d).sameCell(m) {
		d.drops.count(foreign, m.Name+": "+errOtherCell.Error())
		return errOtherCell
	}
	return nil
}

// NotifyConflict is memberlist's: two relays of one name.
func (d *delegate) NotifyConflict(old, other *memberlist.Node) {
	d.drops.count(conflict, fmt.Sprintf("%s at %s and %s", old.Name, old.Address(), other.Address()))
}

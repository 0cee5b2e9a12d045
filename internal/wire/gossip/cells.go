package gossip

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/decide"
	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
)

const (
	cellGossipInterval = 200 * time.Millisecond // memberlist's rounds of gossip within a cell
	// cellPushPullInterval is the time between two exchanges of whole states within a cell. Each fills a second with more than 8 KB at both sides,
	// and a relay begins and answers one in this time on average: in fewer than one second of a hundred.
	cellPushPullInterval = 5 * time.Minute
	cellReportInterval   = time.Second      // between two tellings of the cell's figures
	departureRetention   = 20 * time.Second // for which relays that went are named to other cells
	cellInboxSize        = 512              // summaries and directories that wait
)

// cellLink is a Node's part in what cells know of each other. There is none in a flat fleet without a plan: its methods do nothing on
// nil. All but the inbox and the counts are used by Run only, or under the Node's lock.
type cellLink struct {
	cell           string // by the plan, also where the wire has none
	coordinator    *cells.Coordinator
	inbox          chan cells.Event
	lastReport     cells.LocalCell // as told last
	nextReportAt   time.Duration   // when it is to be told again
	othersKnown    bool            // figures of other cells have come
	departed       map[string]departure
	representative string // of this cell

	// seen are the newest directories by speaker, under the lock of the Node's peers.
	newestDirectories map[string]directoryMark

	bytesOut, bytesIn atomic.Uint64 // of summaries and directories, before memberlist's own framing
}

// departure is a relay that has gone from the cell.
type departure struct {
	at    time.Duration
	state string
}

// directoryMark orders the directories of a speaker.
type directoryMark struct{ incarnation, seq uint64 }

func (m directoryMark) before(o directoryMark) bool {
	return m.incarnation < o.incarnation || m.incarnation == o.incarnation && m.seq < o.seq
}

// planUpdate is what a reload has brought.
type planUpdate struct {
	cell string
	plan cellplan.Plan
}

// wireCell is the cell's name on the wire and on disk. A flat fleet has none, also where a plan gives it a part: its relays go on
// hearing those that have no plan yet.
func (c *Config) wireCell() string {
	if c.Plan == nil {
		return ""
	}
	if cell, _ := c.Plan.Find(c.Cell); cell.Spanning() {
		return ""
	}
	return c.Cell
}

// SetPlan hands a new plan over, to be taken in by Run. A plan that waits still is replaced.
func (n *Node) SetPlan(cell string, plan cellplan.Plan) {
	for {
		select {
		case n.planUpdates <- planUpdate{cell, plan}:
			return
		default:
		}
		select {
		case <-n.planUpdates:
		default:
		}
	}
}

// applyPlan takes in a plan that a reload has brought.
func (n *Node) applyPlan(u planUpdate) {
	n.handle(membership.PlanChanged{Plan: &u.plan, Cell: u.cell})
	if n.cells.Load() == nil {
		n.startCells(u.cell, u.plan)
		return
	}
	n.handleCellEvent(cells.PlanChanged{Plan: u.plan})
}

// startCells begins to take part in what cells know of each other.
func (n *Node) startCells(cell string, plan cellplan.Plan) {
	n.mu.Lock()
	c := cells.Config{Name: n.cfg.Name, Cell: cell, Incarnation: n.membership.Incarnation(), Plan: plan, Seed: n.cfg.Seed}
	l := &cellLink{cell: cell, coordinator: cells.New(n.cellTime(n.now()), c), inbox: make(chan cells.Event, cellInboxSize), departed: map[string]departure{},
		newestDirectories: map[string]directoryMark{}, nextReportAt: n.now()}
	n.mu.Unlock()
	n.cells.Store(l)
}

// events is the inbox, nil where there are no cells.
func (l *cellLink) events() <-chan cells.Event {
	if l == nil {
		return nil
	}
	return l.inbox
}

// nextCellTick is when tickCells is due.
func (n *Node) nextCellTick() time.Duration {
	l := n.cells.Load()
	if l == nil {
		return duration.Forever
	}
	return min(l.nextReportAt, n.nodeTime(l.coordinator.Next()))
}

// noteMembershipChange notes a change in the membership, which is told without waiting for the next round of figures.
func (l *cellLink) noteMembershipChange(c membership.Changed, now time.Duration) {
	if l == nil {
		return
	}
	l.nextReportAt = now
	if c.Kind != membership.ChangePeer {
		return
	}
	if c.State == membership.Failed.String() || c.State == membership.Left.String() {
		l.departed[c.Name] = departure{now, c.State}
	} else {
		delete(l.departed, c.Name)
	}
}

// tickCells tells the Coordinator of this cell where that is due, and lets time pass for it.
func (n *Node) tickCells() {
	l, now := n.cells.Load(), n.now()
	if l == nil || now < n.nextCellTick() {
		return
	}
	if now < l.nextReportAt {
		n.handleCellEvent(cells.Tick{})
		return
	}
	l.nextReportAt = now + cellReportInterval
	if local, ok := n.localCell(l, now); ok {
		l.lastReport = local
		n.handleCellEvent(local)
		n.updateOtherCells(l)
	}
}

// updateOtherCells hands on what is known of the other cells.
func (n *Node) updateOtherCells(l *cellLink) {
	n.mu.Lock()
	others := l.coordinator.Others(n.cellTime(n.now()))
	opened := l.coordinator.ActivatedPlan()
	allocation := n.membership.View().Allocation
	n.mu.Unlock()
	n.handle(membership.OtherCells{Relays: others.Relays, RequestRate: others.RequestRate, OpenConnections: others.OpenConnections, DrainRate: others.DrainRate, Known: l.othersKnown})
	if allocation != nil && !allocation.Activated && opened >= allocation.Plan {
		n.handle(membership.PlanActivated{Plan: allocation.Plan, Hash: allocation.PlanHash})
	}
}

// localCell is what this relay knows of its own cell; nothing before there is a view.
func (n *Node) localCell(l *cellLink, now time.Duration) (local cells.LocalCell, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.membership.View()
	if view.Epoch == 0 {
		return local, false
	}
	peers := map[string]membership.Peer{}
	for _, p := range n.membership.Peers() {
		peers[p.Name] = p
	}
	local = cells.LocalCell{Epoch: view.Epoch, JoinedPlan: n.membership.JoinedPlan(), RequestRate: n.local.RequestRate, OpenConnections: n.local.OpenConnections, DrainRate: n.local.DrainRate}
	if a := view.Allocation; a != nil {
		local.Plan, local.PlanHash, local.Cells, local.Bootstrapped = a.Plan, a.PlanHash, a.Cells, a.Bootstrapped
	}
	for _, name := range view.MemberNames() {
		local.Members++
		p := peers[name]
		if name == n.cfg.Name && n.local.Lifecycle == membership.Serving || name != n.cfg.Name && p.Status.Lifecycle == membership.Serving {
			local.Serving++
		}
		if name != n.cfg.Name && alive(p.Health) {
			local.RequestRate += p.Status.RequestRate
			local.OpenConnections += p.Status.OpenConnections
			local.DrainRate += p.Status.DrainRate
		}
	}
	for _, name := range view.Voters {
		local.Voters = append(local.Voters, cells.Voter{Name: name, Address: n.address(name), Alive: name == n.cfg.Name || alive(peers[name].Health)})
	}
	for name, d := range l.departed {
		if now-d.at > departureRetention {
			delete(l.departed, name)
			continue
		}
		local.Departed = append(local.Departed, name)
	}
	slices.Sort(local.Departed)
	return local, true
}

// alive tells whether a relay counts as there: a suspicion may yet be refuted.
func alive(h membership.Health) bool { return h == membership.Alive || h == membership.Suspected }

// address is where a relay of this cell is heard, "" if that isn't known.
func (n *Node) address(name string) string {
	if name == n.cfg.Name {
		if n.cfg.Advertise != "" {
			return n.cfg.Advertise
		}
		return n.cfg.Bind
	}
	n.peers.Lock()
	defer n.peers.Unlock()
	if m := n.peers.nodes[name]; m != nil {
		return m.Address()
	}
	return ""
}

// handleCellEvent lets the Coordinator act, then carries out what it wants.
func (n *Node) handleCellEvent(ev cells.Event) {
	defer n.recordHistory()
	l := n.cells.Load()
	if _, ok := ev.(cells.DirectoryReceived); ok {
		l.othersKnown = true
	}
	n.mu.Lock()
	acts := l.coordinator.Handle(n.cellTime(n.now()), ev, nil)
	n.mu.Unlock()
	for _, a := range acts {
		switch a := a.(type) {
		case cells.SendSummary:
			n.sendSummary(l, a)
		case cells.ForwardSummary:
			n.sendTo(a.To, kindSummary, a.Summary)
		case cells.PublishDirectory:
			l.othersKnown = true
			n.publishDirectory(l, a.Directory)
		case cells.Changed:
			n.logCellChange(l, a)
			l.nextReportAt = n.now() // the membership is told of the other cells, and of a plan that is open
		}
	}
}

// sendSummary sends a summary to an address of another cell, as one packet.
func (n *Node) sendSummary(l *cellLink, a cells.SendSummary) {
	list := n.list.Load()
	if list == nil {
		return
	}
	text, err := encodeEnvelope(n.cfg.Name, a.Summary.Incarnation, n.seq.Add(1), kindSummary, a.Summary)
	if err != nil {
		n.log.Error().Err(err).Msg("members: a summary cannot be written")
		return
	}
	l.bytesOut.Add(uint64(len(text)))
	if err := list.SendToAddress(memberlist.Address{Addr: a.Address}, text); err != nil {
		n.dropped.count(dropUnsent, err.Error())
	}
}

// publishDirectory tells this cell of all others.
func (n *Node) publishDirectory(l *cellLink, d cells.Directory) {
	text, err := n.encodeForCell(d.Incarnation, n.seq.Add(1), kindDirectory, d)
	if err != nil {
		n.log.Error().Err(err).Msg("members: the directory cannot be written")
		return
	}
	l.bytesOut.Add(uint64(len(text)))
	n.queue.QueueBroadcast(&directoryBroadcast{text})
}

// directoryBroadcast is a directory on its way round the cell; a newer one takes its place, whoever speaks.
type directoryBroadcast struct{ text []byte }

// Name is no relay's: those print.
func (b *directoryBroadcast) Name() string { return "\x00directory" }
func (b *directoryBroadcast) Invalidates(o memberlist.Broadcast) bool {
	_, ok := o.(*directoryBroadcast)
	return ok
}
func (b *directoryBroadcast) Message() []byte { return b.text }
func (b *directoryBroadcast) Finished()       {}

// receiveFromCell takes in a summary or a directory. forward says that a directory is to be passed on.
func (n *Node) receiveFromCell(e envelope, text []byte, forward bool) {
	l := n.cells.Load()
	if l == nil {
		n.dropped.count(dropUnknown, "of cells, and there is no plan here")
		return
	}
	l.bytesIn.Add(uint64(len(text)))
	if e.Kind == kindDirectory {
		var d cells.Directory
		if err := cbor.Unmarshal(e.Body, &d); err != nil || d.Check() != nil || d.Representative != e.From || d.Incarnation != e.Incarnation {
			n.dropped.count(dropMalformed, "a directory that makes no sense")
			return
		}
		if !n.noteDirectory(l, d) {
			return // gossip brings each several times
		}
		if forward {
			n.queue.QueueBroadcast(&directoryBroadcast{text})
		}
		n.enqueueCellEvent(l, cells.DirectoryReceived{From: e.From, Directory: d})
		return
	}
	var s cells.Summary
	if err := cbor.Unmarshal(e.Body, &s); err != nil || s.Check() != nil || !s.Forwarded && (s.Representative != e.From || s.Incarnation != e.Incarnation) {
		n.dropped.count(dropMalformed, "a summary that makes no sense")
		return
	}
	sender := e
	if !s.Forwarded { // a relay that has changed its cell counts anew
		sender.From = s.Cell + "\x00" + e.From
	}
	if !n.isFirstDelivery(sender) {
		n.dropped.count(dropReplayed, e.From)
		return
	}
	n.enqueueCellEvent(l, cells.SummaryReceived{From: e.From, Summary: s})
}

// noteDirectory notes a directory, and tells whether it is newer than all of its speaker's.
func (n *Node) noteDirectory(l *cellLink, d cells.Directory) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	mark := directoryMark{d.Incarnation, d.Seq}
	old, known := l.newestDirectories[d.Representative]
	if known && !old.before(mark) || !known && len(l.newestDirectories) >= maxPeers {
		return false
	}
	l.newestDirectories[d.Representative] = mark
	return true
}

// enqueueCellEvent queues an event. When there is no room it is dropped: all that is said is said again.
func (n *Node) enqueueCellEvent(l *cellLink, ev cells.Event) {
	select {
	case l.inbox <- ev:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// zoneNumber finds the module's number of a zone that a plan names.
func (c *Config) zoneNumber(name string) (decide.Zone, bool) {
	number, known := c.Zones[name]
	return number, known
}

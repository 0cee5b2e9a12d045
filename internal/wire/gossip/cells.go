package gossip

import (
	"sync/atomic"
	"time"

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

// planUpdate is what a reload has brought.
type planUpdate struct {
	cell string
	plan cellplan.Plan
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

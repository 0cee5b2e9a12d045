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
	// cellReportInterval is the time between two reports of this cell's figures to the Coordinator.
	cellReportInterval = time.Second
	// departureRetention is how long relays that went are named to other cells.
	departureRetention = 20 * time.Second
	// cellInboxSize bounds the summaries and directories that wait.
	cellInboxSize = 512
)

// cellLink is a Node's part in what cells know of each other. There is none in a flat fleet without a plan:
// its methods do nothing on nil. All but the inbox and the counts are used by Run only, or under the Node's
// lock.
type cellLink struct {
	cell           string // by the plan, also where the wire has none
	coordinator    *cells.Coordinator
	inbox          chan cells.Event
	lastReport     cells.LocalCell // as the Coordinator heard it last
	nextReportAt   time.Duration
	othersKnown    bool                 // figures of other cells have come
	departed       map[string]departure // by relay
	representative string               // of this cell

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
func (n *Node) applyPlan(update planUpdate) {
	n.handle(membership.PlanChanged{Plan: &update.plan, Cell: update.cell})
	if n.cells.Load() == nil {
		n.startCells(update.cell, update.plan)
		return
	}
	n.handleCellEvent(cells.PlanChanged{Plan: update.plan})
}

// startCells begins to take part in what cells know of each other.
func (n *Node) startCells(cell string, plan cellplan.Plan) {
	n.mu.Lock()
	config := cells.Config{
		Name:        n.cfg.Name,
		Cell:        cell,
		Incarnation: n.membership.Incarnation(),
		Plan:        plan,
		Seed:        n.cfg.Seed,
	}
	link := &cellLink{
		cell:         cell,
		coordinator:  cells.New(n.cellTime(n.now()), config),
		inbox:        make(chan cells.Event, cellInboxSize),
		departed:     map[string]departure{},
		nextReportAt: n.now(),
	}
	n.mu.Unlock()
	n.cells.Store(link)
}

// events is the inbox, nil where there are no cells.
func (l *cellLink) events() <-chan cells.Event {
	if l == nil {
		return nil
	}
	return l.inbox
}

// enqueueCellEvent queues an event. When the inbox is full it is dropped: all is sent again.
func (n *Node) enqueueCellEvent(link *cellLink, event cells.Event) {
	select {
	case link.inbox <- event:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// nextCellTick is when tickCells is due.
func (n *Node) nextCellTick() time.Duration {
	link := n.cells.Load()
	if link == nil {
		return duration.DistantFuture
	}
	return min(link.nextReportAt, n.nodeTime(link.coordinator.NextTickAt()))
}

// noteMembershipChange notes a change in the membership, which is reported without waiting for the next round
// of figures.
func (l *cellLink) noteMembershipChange(change membership.StateChanged, now time.Duration) {
	if l == nil {
		return
	}
	l.nextReportAt = now
	if change.Kind != membership.ChangePeer {
		return
	}
	if change.State == membership.HealthFailed.String() || change.State == membership.HealthLeft.String() {
		l.departed[change.Name] = departure{now, change.State}
	} else {
		delete(l.departed, change.Name)
	}
}

// tickCells reports this cell to the Coordinator where that is due, and lets time pass for it.
func (n *Node) tickCells() {
	link, now := n.cells.Load(), n.now()
	if link == nil || now < n.nextCellTick() {
		return
	}
	if now < link.nextReportAt {
		n.handleCellEvent(cells.Tick{})
		return
	}
	link.nextReportAt = now + cellReportInterval
	local, known := n.localCell(link, now)
	if !known {
		return
	}
	link.lastReport = local
	n.handleCellEvent(local)
	n.updateOtherCells(link)
}

// updateOtherCells hands what is known of the other cells to the membership.Node.
func (n *Node) updateOtherCells(link *cellLink) {
	n.mu.Lock()
	others := link.coordinator.OtherCellTotals(n.cellTime(n.now()))
	activated := link.coordinator.ActivatedPlan()
	allocation := n.membership.View().Allocation
	n.mu.Unlock()
	n.handle(membership.OtherCells{
		Relays:          others.Relays,
		RequestRate:     others.RequestRate,
		OpenConnections: others.OpenConnections,
		DrainRate:       others.DrainRate,
		Known:           link.othersKnown,
	})
	if allocation != nil && !allocation.Activated && activated >= allocation.Plan {
		n.handle(membership.PlanActivated{Plan: allocation.Plan, Hash: allocation.PlanHash})
	}
}

// handleCellEvent lets the Coordinator act, then carries out what it wants.
func (n *Node) handleCellEvent(event cells.Event) {
	defer n.recordHistory()
	link := n.cells.Load()
	if _, ok := event.(cells.DirectoryReceived); ok {
		link.othersKnown = true
	}
	n.mu.Lock()
	actions := link.coordinator.Handle(n.cellTime(n.now()), event, nil)
	n.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case cells.SendSummary:
			n.sendSummary(link, a)
		case cells.ForwardSummary:
			n.sendTo(a.To, kindSummary, a.Summary)
		case cells.PublishDirectory:
			link.othersKnown = true
			n.publishDirectory(link, a.Directory)
		case cells.CellChanged:
			n.logCellChange(link, a)
			// At the next report the membership.Node is notified of the other cells, and of a plan activated.
			link.nextReportAt = n.now()
		}
	}
}

// CellsReport reports what is known of the cells; nothing in a flat fleet without a plan.
func (n *Node) CellsReport() (cells.Report, bool) {
	link := n.cells.Load()
	if link == nil {
		return cells.Report{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return link.coordinator.Report(n.cellTime(n.now())), true
}

// CellTraffic is how many bytes of summaries and directories have gone out and come in.
func (n *Node) CellTraffic() (out, in uint64) {
	link := n.cells.Load()
	if link == nil {
		return 0, 0
	}
	return link.bytesOut.Load(), link.bytesIn.Load()
}

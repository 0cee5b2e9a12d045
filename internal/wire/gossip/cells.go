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
	// departureRetention is how long relays that have left or failed are reported to other cells.
	departureRetention = 20 * time.Second
	// cellInboxSize bounds the queue of received summaries and directories.
	cellInboxSize = 512
)

// cellDriver connects a Node to the cells.Coordinator, which exchanges summaries with other cells. It is nil
// in a flat fleet without a plan; its methods then do nothing. Fields other than the inbox and the byte
// counters are used by Run only, or under the Node's lock.
type cellDriver struct {
	cell            string // this relay's cell in the plan; set also if Node.wireCell is empty
	coordinator     *cells.Coordinator
	inbox           chan cells.Event
	lastLocalCell   cells.LocalCell // last one handed to the Coordinator
	nextReportAt    time.Duration
	otherCellsKnown bool                 // whether figures of other cells have been received
	departures      map[string]departure // by relay name
	representative  string               // of this cell

	bytesOut, bytesIn atomic.Uint64 // of summaries and directories, before memberlist's own framing
}

// departure records when a relay left the cell or failed, and its state since then.
type departure struct {
	at    time.Duration
	state string
}

// planUpdate is a plan from a reload of the settings, with the name of this relay's cell.
type planUpdate struct {
	cell string
	plan cellplan.Plan
}

// SetPlan queues a new plan, which Run applies. It replaces a plan that is still queued.
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

// applyPlan applies a plan from a reload to the membership.Node and to the Coordinator.
func (n *Node) applyPlan(update planUpdate) {
	n.handleMembershipEvent(membership.PlanChanged{Plan: &update.plan, Cell: update.cell})
	if n.cells.Load() == nil {
		n.startCells(update.cell, update.plan)
		return
	}
	n.handleCellEvent(cells.PlanChanged{Plan: update.plan})
}

// startCells creates the Coordinator, so that this relay takes part in the exchange between cells.
func (n *Node) startCells(cell string, plan cellplan.Plan) {
	n.mu.Lock()
	config := cells.Config{
		Name:        n.cfg.Name,
		Cell:        cell,
		Incarnation: n.membership.Incarnation(),
		Plan:        plan,
		Seed:        n.cfg.Seed,
	}
	driver := &cellDriver{
		cell:         cell,
		coordinator:  cells.New(n.cellTime(n.now()), config),
		inbox:        make(chan cells.Event, cellInboxSize),
		departures:   map[string]departure{},
		nextReportAt: n.now(),
	}
	n.mu.Unlock()
	n.cells.Store(driver)
}

// events returns the inbox; for a nil cellDriver it returns nil, a channel that never delivers.
func (l *cellDriver) events() <-chan cells.Event {
	if l == nil {
		return nil
	}
	return l.inbox
}

// enqueueCellEvent queues an event for the Coordinator. If the inbox is full, the event is dropped and
// counted: summaries and directories are sent again periodically.
func (n *Node) enqueueCellEvent(driver *cellDriver, event cells.Event) {
	select {
	case driver.inbox <- event:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// nextCellTick returns the time at which tickCells is due.
func (n *Node) nextCellTick() time.Duration {
	driver := n.cells.Load()
	if driver == nil {
		return duration.DistantFuture
	}
	return min(driver.nextReportAt, n.nodeTime(driver.coordinator.NextTickAt()))
}

// recordMembershipChange has this cell reported to the Coordinator without waiting for the next interval, and
// records relays that have left or failed.
func (l *cellDriver) recordMembershipChange(change membership.StateChanged, now time.Duration) {
	if l == nil {
		return
	}
	l.nextReportAt = now
	if change.Kind != membership.ChangePeer {
		return
	}
	if change.State == membership.HealthFailed.String() || change.State == membership.HealthLeft.String() {
		l.departures[change.Name] = departure{now, change.State}
	} else {
		delete(l.departures, change.Name)
	}
}

// tickCells does what is due at the Coordinator: a report of this cell, or else a Tick.
func (n *Node) tickCells() {
	driver, now := n.cells.Load(), n.now()
	if driver == nil || now < n.nextCellTick() {
		return
	}
	if now < driver.nextReportAt {
		n.handleCellEvent(cells.Tick{})
		return
	}
	driver.nextReportAt = now + cellReportInterval
	local, known := n.localCell(driver, now)
	if !known {
		return
	}
	driver.lastLocalCell = local
	n.handleCellEvent(local)
	n.updateOtherCells(driver)
}

// updateOtherCells passes the figures of the other cells, and a plan that has been activated, from the
// Coordinator to the membership.Node.
func (n *Node) updateOtherCells(driver *cellDriver) {
	n.mu.Lock()
	others := driver.coordinator.OtherCellTotals(n.cellTime(n.now()))
	activated := driver.coordinator.ActivatedPlan()
	allocation := n.membership.View().Allocation
	n.mu.Unlock()
	n.handleMembershipEvent(membership.OtherCells{
		Relays:          others.Relays,
		RequestRate:     others.RequestRate,
		OpenConnections: others.OpenConnections,
		DrainRate:       others.DrainRate,
		Known:           driver.otherCellsKnown,
	})
	if allocation != nil && !allocation.Activated && activated >= allocation.Plan {
		n.handleMembershipEvent(membership.PlanActivated{Plan: allocation.Plan, Hash: allocation.PlanHash})
	}
}

// handleCellEvent passes an event to the Coordinator and executes the actions that it returns.
func (n *Node) handleCellEvent(event cells.Event) {
	defer n.recordHistory()
	driver := n.cells.Load()
	if _, ok := event.(cells.DirectoryReceived); ok {
		driver.otherCellsKnown = true
	}
	n.mu.Lock()
	actions := driver.coordinator.Handle(n.cellTime(n.now()), event, nil)
	n.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case cells.SendSummary:
			n.sendSummary(driver, a)
		case cells.ForwardSummary:
			n.sendToPeer(a.To, kindSummary, a.Summary)
		case cells.PublishDirectory:
			driver.otherCellsKnown = true
			n.publishDirectory(driver, a.Directory)
		case cells.CellChanged:
			n.logCellChange(driver, a)
			// Have the next tickCells report at once, as only a report updates the membership.Node.
			driver.nextReportAt = n.now()
		}
	}
}

// CellsReport returns what this relay knows of all cells; false in a flat fleet without a plan.
func (n *Node) CellsReport() (cells.Report, bool) {
	driver := n.cells.Load()
	if driver == nil {
		return cells.Report{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return driver.coordinator.Report(n.cellTime(n.now())), true
}

// CellTraffic returns the bytes of summaries and directories that this relay has sent and received.
func (n *Node) CellTraffic() (out, in uint64) {
	driver := n.cells.Load()
	if driver == nil {
		return 0, 0
	}
	return driver.bytesOut.Load(), driver.bytesIn.Load()
}

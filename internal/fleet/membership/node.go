package membership

import (
	"math/rand/v2"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// Config configures a Node.
type Config struct {
	Name             string
	BootstrapSlot    int // this relay's slot in view 0, from 0
	BootstrapSize    int // how many slots view 0 has
	ConfiguredRelays int // by the settings; used until a view is agreed
	Seed             uint64
	Cell             string         // name of this relay's cell, "" without cells
	Plan             *cellplan.Plan // of the members file, nil without cells; passed its Check, names Cell
	Timing           Timing
}

// Node is the part of one relay in the fleet. It routes events to its components and keeps their actions in
// order. It is not safe for concurrent use.
//
// Invariants: a SaveRecord is emitted before any action that follows from the record; the view of the record
// is the one held, or nil for view 0; now never goes back.
type Node struct {
	cfg       Config
	rng       *rand.Rand
	startedAt time.Duration
	now       time.Duration // time of the event being handled
	actions   []Action      // emitted for that event so far

	record        Record
	storageFailed bool // the record could not be stored: this relay must not vote any more
	chain
	localState       LocalState
	slot             slot
	peers            peerTable
	voting           voting
	lease            lease
	deferredRenewals deferredRenewals
	plans            planState
	phases           phaseState
	publisher        statusPublisher
	refreshTimers    refreshTimers
	safeguards       safeguards
}

// slot is this relay's slot in view 0. Until it is released the relay takes its part of the full budget by
// the configured number of relays alone. After that it takes only what a view grants.
type slot struct {
	number     int           // negative if the chain has no slot for this relay
	releasedAt time.Duration // when this process released it, or when the process started
}

// New returns the Node of a relay that starts. rec is the stored record, the zero Record if there is none.
// The first action of Start stores it with the next incarnation.
func New(now time.Duration, cfg Config, rec Record) *Node {
	cfg.BootstrapSize = max(cfg.BootstrapSize, 1)
	cfg.Timing = cfg.Timing.withFlatDefaults()
	n := &Node{
		cfg:              cfg,
		rng:              rand.New(rand.NewPCG(cfg.Seed, 0x6d656d626572)),
		startedAt:        now,
		now:              now,
		record:           rec,
		chain:            chain{view: rec.View, viewAdoptedAt: now},
		slot:             slot{number: cfg.BootstrapSlot, releasedAt: now},
		peers:            peerTable{self: cfg.Name, byName: map[string]*Peer{}},
		voting:           voting{changeWantedSince: -1, viewAcceptedAt: -1},
		lease:            lease{renewalSentAt: map[string]time.Duration{}, validUntil: duration.DistantPast},
		deferredRenewals: deferredRenewals{},
		plans:            planState{filePlan: cfg.Plan, cell: cfg.Cell, adoptedAt: now},
		phases:           phaseState{agreedAt: -1},
		safeguards:       allSafeguards(),
	}
	n.record.Incarnation++
	if rec.AcceptedView != nil {
		n.voting.viewAcceptedAt = now
	}
	if n.view == nil {
		n.view = bootstrapView(cfg.BootstrapSize)
		if cfg.Plan != nil {
			n.plans.bootstrappedByPlan = true
			n.view.UnreleasedSlots = nil
		}
	}
	n.viewHash = n.view.Hash()
	if a := n.view.Allocation; a != nil && a.Activated {
		n.plans.activatedPlan = a.Plan
	}
	if n.slot.number >= n.view.BootstrapSize {
		n.slot.number = -1
	}
	return n
}

// Start appends the first actions to out.
func (n *Node) Start(now time.Duration, out []Action) []Action {
	n.now, n.actions = now, out
	n.saveRecord()
	n.publish(true)
	return n.actions
}

// Handle handles one event and appends the resulting actions to out.
func (n *Node) Handle(now time.Duration, ev Event, out []Action) []Action {
	n.now, n.actions = max(now, n.now), out
	switch e := ev.(type) {
	case PeerHealth:
		n.onPeerHealth(e)
	case StatusReceived:
		if !n.onStatus(e) {
			return n.actions
		}
	case MessageReceived:
		n.onMessage(e.From, e.Message)
		if e.Kind == RenewLease || e.Kind == LeaseRenewed { // most messages; they affect only leases
			return n.actions
		}
	case LocalState:
		n.localState = e
	case RecordNotSaved:
		n.storageFailed = true
		n.voting.proposal = nil
	case PlanChanged:
		n.plans.setFilePlan(e, n.view.Allocation)
	case PlanActivated:
		n.onPlanActivated(e)
	case OtherCells:
		n.plans.otherCells = e
		return n.actions
	}
	n.runDueTasks()
	return n.actions
}

const (
	maxTickInterval = 100 * time.Millisecond
	minTickInterval = 10 * time.Millisecond
)

// NextTickAt returns when the next Tick is due at the latest.
func (n *Node) NextTickAt() time.Duration {
	next := n.now + maxTickInterval
	if n.lease.valid(n.now) {
		next = min(next, n.lease.validUntil)
	}
	return min(next, max(n.lease.nextRenewalAt, n.now+minTickInterval))
}

// runDueTasks does what is due because time has passed or because of the event just handled.
func (n *Node) runDueTasks() {
	n.noteJoinedPlan()
	n.requestNewerView()
	n.releaseSlot()
	n.renewLease()
	n.propose()
	n.updatePhase()
	n.publish(false)
	n.refreshStaleEndpointList()
}

// emit adds an action to those of the event being handled.
func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// saveRecord asks for the record to be stored. It does nothing once storing has failed.
func (n *Node) saveRecord() {
	if !n.storageFailed {
		n.emit(SaveRecord{n.record})
	}
}

// send sends a message. A message to this relay itself is handled at once.
func (n *Node) send(to string, m Message) {
	m.FromIncarnation, m.BootstrapSlot = n.record.Incarnation, n.slot.number
	if to == n.cfg.Name {
		n.onMessage(to, m)
		return
	}
	n.emit(SendMessage{to, m})
}

// Incarnation returns the incarnation of this process.
func (n *Node) Incarnation() uint64 { return n.record.Incarnation }

// ViewHash returns the hash of the view held.
func (n *Node) ViewHash() uint64 { return n.viewHash }

// View returns the view held.
func (n *Node) View() *View { return n.view }

// Phase returns how far the view held is agreed.
func (n *Node) Phase() Phase { return n.phases.phase }

// LastAgreedAt returns when the phase was last PhaseAgreed or PhaseSettling; negative for never.
func (n *Node) LastAgreedAt() time.Duration { return n.phases.agreedAt }

package membership

import (
	"math/rand/v2"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// Config is what a Node is configured with.
type Config struct {
	Name             string
	BootstrapSlot    int // this relay's slot in view 0, from 0
	BootstrapSize    int // how many slots view 0 has
	ConfiguredRelays int // how many relays there are by the settings; counts before any agreement
	Seed             uint64
	Cell             string         // the name of this relay's cell, "" without cells
	Plan             *cellplan.Plan // the file's; nil without cells. It has passed its Check and names Cell
	Timing           Timing
}

// Node is one relay's part in the fleet: it routes events to its parts and keeps the order of what they
// want done. It is not safe for concurrent use.
//
// Invariants: what a Save keeps is emitted before anything that follows from it; the record's view is the
// one held, or nil for view 0; now never goes back.
type Node struct {
	cfg       Config
	rng       *rand.Rand
	startedAt time.Duration
	now       time.Duration // of the event that is handled
	actions   []Action      // of that event, so far

	record        Record
	storageFailed bool // the record cannot be kept: nothing may be promised any more
	chain
	local      LocalState
	slot       slot
	peers      peerTable
	voting     voting
	lease      lease
	deferred   deferredRenewals
	plans      planState
	phases     phaseState
	publisher  statusPublisher
	freshness  freshness
	safeguards safeguards
}

// slot is this relay's slot in view 0. Until it is released the relay takes its part of the full budget by
// the configured number of relays alone; from then on it takes only what a view grants.
type slot struct {
	number     int           // negative: the chain has none for it
	releasedAt time.Duration // by this process, or when it started
}

// New returns the Node of a relay that starts. rec is what was kept, the zero Record for none; the first
// action of the first event keeps it with the next incarnation.
func New(now time.Duration, cfg Config, rec Record) *Node {
	cfg.BootstrapSize = max(cfg.BootstrapSize, 1)
	cfg.Timing = cfg.Timing.withFlatDefaults()
	n := &Node{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0x6d656d626572)),
		startedAt:  now,
		now:        now,
		record:     rec,
		chain:      chain{view: rec.View, viewAdoptedAt: now},
		slot:       slot{number: cfg.BootstrapSlot, releasedAt: now},
		peers:      peerTable{self: cfg.Name, byName: map[string]*Peer{}},
		voting:     voting{changeWantedSince: -1, viewAcceptedAt: -1},
		lease:      lease{renewalSentAt: map[string]time.Duration{}, validUntil: duration.DistantPast},
		deferred:   deferredRenewals{},
		plans:      planState{file: cfg.Plan, cell: cfg.Cell, adoptedAt: now},
		phases:     phaseState{agreedAt: -1},
		safeguards: allSafeguards(),
	}
	n.record.Incarnation++
	if rec.AcceptedView != nil {
		n.voting.viewAcceptedAt = now
	}
	if n.view == nil {
		n.view = bootstrapView(cfg.BootstrapSize)
		if cfg.Plan != nil {
			n.plans.bootstrapped = true
			n.view.UnreleasedSlots = nil
		}
	}
	n.viewHash = n.view.Hash()
	if a := n.view.Allocation; a != nil && a.Activated {
		n.plans.activated = a.Plan
	}
	if n.slot.number >= n.view.BootstrapSize {
		n.slot.number = -1
	}
	return n
}

// Start returns the first actions.
func (n *Node) Start(now time.Duration, out []Action) []Action {
	n.now, n.actions = now, out
	n.saveRecord()
	n.publish(true)
	return n.actions
}

// Handle takes one event and appends what is to be done about it to out.
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
		if e.Kind == RenewLease || e.Kind == LeaseRenewed { // most of what comes, and nothing but the lease hangs on it
			return n.actions
		}
	case LocalState:
		n.local = e
	case RecordNotSaved:
		n.storageFailed = true
		n.voting.proposal = nil
	case PlanChanged:
		n.plans.change(e, n.view.Allocation)
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

// NextTickAt is when a Tick is due at the latest.
func (n *Node) NextTickAt() time.Duration {
	next := n.now + maxTickInterval
	if n.lease.valid(n.now) {
		next = min(next, n.lease.validUntil)
	}
	return min(next, max(n.lease.nextRenewalAt, n.now+minTickInterval))
}

// runDueTasks does what time, or what has just come, has made due.
func (n *Node) runDueTasks() {
	n.noteJoinedPlan()
	n.catchUp()
	n.releaseSlot()
	n.renewLease()
	n.propose()
	n.updatePhase()
	n.publish(false)
	n.refreshEndpointList()
}

// emit adds an action to those of the event that is handled.
func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// saveRecord wants the record kept; nothing once that has failed.
func (n *Node) saveRecord() {
	if !n.storageFailed {
		n.emit(SaveRecord{n.record})
	}
}

// send sends a message; one to this relay itself is taken in at once.
func (n *Node) send(to string, m Message) {
	m.FromIncarnation, m.BootstrapSlot = n.record.Incarnation, n.slot.number
	if to == n.cfg.Name {
		n.onMessage(to, m)
		return
	}
	n.emit(SendMessage{to, m})
}

// Incarnation is this process's.
func (n *Node) Incarnation() uint64 { return n.record.Incarnation }

// ViewHash is the view's.
func (n *Node) ViewHash() uint64 { return n.viewHash }

// View returns the view held.
func (n *Node) View() *View { return n.view }

// Phase returns how far it is agreed.
func (n *Node) Phase() Phase { return n.phases.phase }

// LastAgreedAt is when the view was last agreed or settling, negative for never.
func (n *Node) LastAgreedAt() time.Duration { return n.phases.agreedAt }

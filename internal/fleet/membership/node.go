// Package membership decides who is in the fleet and what share of a fleet-wide budget each relay may take. A Node is
// one relay's part in that: it is fed events, takes time as an argument, returns actions, and does no I/O. Views are
// chosen by Paxos among a few voters, and shares are held under leases.
// docs/design/members.md has the promise, the reasons and the proof's outline.
//
// All times are durations since an arbitrary origin of one relay's monotonic clock; no two relays' clocks are ever compared.
package membership

import (
	"math/rand/v2"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// Config is what a Node is told at its start.
type Config struct {
	Name             string
	BootstrapSlot    int // this relay's number, from 0
	BootstrapSize    int // how many places view 0 has
	ConfiguredRelays int // the settings' number, reckoned with before any agreement
	Seed             uint64
	Cell             string         // the name of this relay's cell, "" without cells
	Plan             *cellplan.Plan // the file's; nil without cells. It has passed its Check and names Cell
	Timing           Timing
}

// Node is one relay's part in the fleet. It is not safe for concurrent use.
type Node struct {
	cfg           Config
	rng           *rand.Rand
	record        Record
	view          *View // record.View, or view 0
	viewHash      uint64
	local         LocalState
	peers         map[string]*Peer
	sortedPeers   []*Peer // all of them but this relay, by name
	storageFailed bool    // its record cannot be kept
	// What keeps the shares' sum, as tests take it out to see that they would find out.
	jointViews, releasesSlots    bool
	leaseDuration, waitOut       time.Duration
	safetyMargin, maxEffectDelay time.Duration
	// And what keeps the sum over all cells.
	jointPlans, awaitsCells, awaitsEarlierViews, inSequence, checksVersions bool

	bootstrappedByPlan bool           // view 0 has no places: the chain is, or is to be, founded by a plan
	otherCells         OtherCells     // what the other cells do
	activatedPlan      uint64         // the newest plan that all its cells are known to have entered
	joinedPlan         uint64         // the newest that nobody in this cell acts by an earlier one of
	planAdoptedAt      time.Duration  // when a view of the present plan was first held in this life
	previousPlan       *cellplan.Plan // the plan that the file had before, while the view is by it

	startedAt      time.Duration
	now            time.Duration
	actions        []Action
	viewAdoptedAt  time.Duration // when the view was adopted in this life
	slotReleasedAt time.Duration // when the relay handed its place over in this life, or this life began

	renewalSentAt     map[string]time.Duration // by voter: when the newest renewal that it answered was sent
	leaseValidUntil   time.Duration            // until when the share may be taken
	nextRenewalAt     time.Duration
	proposal          *proposal
	highestRound      uint64        // the highest met
	nextProposalAt    time.Duration // not before this
	changeWantedSince time.Duration // negative: nothing is to change
	viewAcceptedAt    time.Duration // since when a view is accepted here and not chosen, negative if none is
	agreedAt          time.Duration
	phase             Phase
	nextStatusAt      time.Duration
	nextCatchUpAt     time.Duration // not before this is a view asked for
	lastStatus        Status
	statusSeq         uint64        // of the statuses
	refreshListAt     time.Duration // from when on a newer list at a peer is asked for
}

// New returns the Node of a relay that starts. rec is what was kept, the zero Record for none; the first action
// of the first event keeps it with the next incarnation.
func New(now time.Duration, cfg Config, rec Record) *Node {
	cfg.BootstrapSize = max(cfg.BootstrapSize, 1)
	n := &Node{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d656d626572)), record: rec, peers: map[string]*Peer{},
		jointViews: true, releasesSlots: true, leaseDuration: LeaseDuration, waitOut: WaitOut, safetyMargin: LeaseSafetyMargin, maxEffectDelay: MaxEffectDelay,
		jointPlans: true, awaitsCells: true, awaitsEarlierViews: true, inSequence: true, checksVersions: true, planAdoptedAt: now,
		startedAt: now, now: now, viewAdoptedAt: now, slotReleasedAt: now,
		renewalSentAt: map[string]time.Duration{}, leaseValidUntil: duration.Never,
		changeWantedSince: -1, viewAcceptedAt: -1, agreedAt: -1,
	}
	if n.view = rec.View; n.view == nil {
		n.view = bootstrapView(cfg.BootstrapSize)
		if n.bootstrappedByPlan = cfg.Plan != nil; n.bootstrappedByPlan {
			n.view.UnreleasedSlots = nil
		}
	}
	n.cfg.Timing = cfg.Timing.withFlatDefaults()
	if a := n.view.Allocation; a != nil && a.Activated {
		n.activatedPlan = a.Plan
	}
	if n.cfg.BootstrapSlot >= n.view.BootstrapSize {
		n.cfg.BootstrapSlot = -1
	}
	n.viewHash = n.view.Hash()
	n.record.Incarnation++
	if rec.Accepted != nil {
		n.viewAcceptedAt = now
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
	case LocalState:
		n.local = e
	case RecordNotSaved:
		n.storageFailed, n.proposal = true, nil
	case PlanChanged:
		n.onPlanChanged(e)
	case PlanActivated:
		n.onPlanActivated(e)
	case OtherCells:
		n.otherCells = e
		return n.actions
	}
	switch e := ev.(type) {
	case MessageReceived:
		if e.Kind == Renew || e.Kind == Renewed { // most of what comes, and nothing but the lease hangs on it
			return n.actions
		}
	}
	n.runDueTasks()
	return n.actions
}

// Next is when a Tick is due at the latest.
func (n *Node) Next() time.Duration {
	next := n.now + 100*time.Millisecond
	if n.leaseValidUntil > n.now {
		next = min(next, n.leaseValidUntil)
	}
	return min(next, max(n.nextRenewalAt, n.now+10*time.Millisecond))
}

// runDueTasks is what time brings.
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

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) saveRecord() {
	if !n.storageFailed {
		n.emit(Save{n.record})
	}
}

func (n *Node) send(to string, m Message) {
	m.From, m.BootstrapSlot = n.record.Incarnation, n.cfg.BootstrapSlot
	if to == n.cfg.Name {
		n.onMessage(to, m)
		return
	}
	n.emit(Send{to, m})
}

// Incarnation is this process's.
func (n *Node) Incarnation() uint64 { return n.record.Incarnation }

// Hash is the view's.
func (n *Node) Hash() uint64 { return n.viewHash }

// View returns the view held.
func (n *Node) View() *View { return n.view }

// Phase returns how far it is agreed.
func (n *Node) Phase() Phase { return n.phase }

// AgreedAt is when the view was last agreed or settling, negative for never.
func (n *Node) AgreedAt() time.Duration { return n.agreedAt }

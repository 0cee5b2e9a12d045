package membership

import (
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// drainStatusInterval is how often a relay that sends its clients away says so.
	drainStatusInterval = 500 * time.Millisecond
	// drainStatusValidFor is how long it is believed.
	drainStatusValidFor = 1500 * time.Millisecond
	// statusIntervalPerPeer is by how much the time between two statuses grows with each peer.
	statusIntervalPerPeer = 50 * time.Millisecond
)

// Lifecycle is what a relay says it does.
type Lifecycle uint8

// The stages of a relay's lifecycle.
const (
	LifecycleStarting Lifecycle = iota // it has no list of servers yet
	LifecycleServing                   // it takes clients
	LifecycleDraining                  // it is drained manually
	LifecycleLeaving                   // it takes nothing any more and will go
)

var lifecycleTexts = [...]string{
	LifecycleStarting: "starting", LifecycleServing: "serving",
	LifecycleDraining: "draining", LifecycleLeaving: "leaving",
}

// String is the text of logs and reports.
func (l Lifecycle) String() string {
	return textOf(lifecycleTexts[:], uint8(l))
}

// Status is what a relay tells all others of itself. Fields that a reader does not know are skipped,
// those that a writer did not know are zero.
type Status struct {
	Version                int       `cbor:"1,keyasint"`
	Incarnation            uint64    `cbor:"2,keyasint"` // of the process: rises with each start
	Lifecycle              Lifecycle `cbor:"3,keyasint"`
	Zone                   string    `cbor:"4,keyasint,omitempty"`
	RequestRate            float64   `cbor:"5,keyasint"` // requests a second that clients bring it
	OpenConnections        int       `cbor:"6,keyasint"` // connections
	EndpointListGeneration int64     `cbor:"7,keyasint"` // generation of its list of servers
	Epoch                  uint64    `cbor:"8,keyasint"` // of the view that it holds, on its disk
	ViewHash               uint64    `cbor:"9,keyasint"` // of that view
	BootstrapSize          int       `cbor:"10,keyasint"`
	BootstrapSlot          int       `cbor:"11,keyasint"` // from 0; negative for none
	SlotReleased           bool      `cbor:"12,keyasint"` // its slot is the fleet's to divide
	Seq                    uint64    `cbor:"13,keyasint"` // rises with each status of an incarnation
	// DrainRate is the connections a second that it sends away, in a drain or as it leaves.
	DrainRate float64 `cbor:"14,keyasint,omitempty"`
	// ActivatedPlan is the newest plan that all its cells are known to have joined.
	ActivatedPlan uint64 `cbor:"15,keyasint,omitempty"`
}

// The versions that this program writes: StatusVersionCells where a plan of cells is configured or acted
// by. Older programs don't know of plans.
const (
	StatusVersion      = 1
	StatusVersionCells = 2
)

// newerThan tells whether a status is of a later process of its relay, or a later one of the same: one
// that was overtaken on its way, or has come before, is not.
func (s Status) newerThan(old Status) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Seq > old.Seq
}

// sameState tells whether two statuses differ at most in figures.
func (s Status) sameState(old Status) bool {
	return s.Incarnation == old.Incarnation && s.Version == old.Version && s.Lifecycle == old.Lifecycle &&
		s.Epoch == old.Epoch && s.SlotReleased == old.SlotReleased && s.ActivatedPlan == old.ActivatedPlan &&
		s.EndpointListGeneration == old.EndpointListGeneration
}

// statusPublisher keeps the pace of this relay's statuses.
type statusPublisher struct {
	last   Status // that was published
	seq    uint64 // of it
	nextAt time.Duration
}

// publishBy brings the next status forward.
func (p *statusPublisher) publishBy(at time.Duration) { p.nextAt = min(p.nextAt, at) }

// status is what this relay tells of itself.
func (n *Node) status() Status {
	return Status{
		Version:                n.statusVersion(),
		Incarnation:            n.record.Incarnation,
		Lifecycle:              n.local.Lifecycle,
		Zone:                   n.local.Zone,
		RequestRate:            n.local.RequestRate,
		OpenConnections:        n.local.OpenConnections,
		EndpointListGeneration: n.local.EndpointListGeneration,
		Epoch:                  n.view.Epoch,
		ViewHash:               n.viewHash,
		BootstrapSize:          n.view.BootstrapSize,
		BootstrapSlot:          n.slot.number,
		SlotReleased:           n.record.SlotReleased,
		DrainRate:              n.local.DrainRate,
		ActivatedPlan:          n.statusActivatedPlan(),
	}
}

// statusVersion is that of the statuses that this relay tells: an older program than 2 knows of no
// Allocation.
func (n *Node) statusVersion() int {
	if n.plans.file != nil || n.view.Allocation != nil {
		return StatusVersionCells
	}
	return StatusVersion
}

// statusActivatedPlan is what a status tells of activated plans; nothing without cells.
func (n *Node) statusActivatedPlan() uint64 {
	if n.view.Allocation == nil {
		return 0
	}
	return n.plans.activated
}

// statusInterval is the time between two statuses: it grows with the fleet, so that what a relay gets
// does not. In a cell it is drawn anew each time, from half to one and a half of the pace: all relays
// tell a new view at once, and would else go on telling at once.
func (n *Node) statusInterval() time.Duration {
	interval := max(n.cfg.Timing.StatusInterval, statusIntervalPerPeer*time.Duration(len(n.peers.byName)))
	if n.view.Allocation != nil {
		interval = duration.Scale(interval, 0.5+n.rng.Float64())
	}
	return interval
}

// publish publishes the status: at once where that is asked for or its state is new, else where it is due.
func (n *Node) publish(atOnce bool) {
	status, last := n.status(), n.publisher.last
	drainChanged := (status.DrainRate > 0) != (last.DrainRate > 0)
	if !atOnce && !drainChanged && status.sameState(last) && n.now < n.publisher.nextAt {
		return
	}
	n.publisher.seq++
	status.Seq = n.publisher.seq
	n.publisher.last = status
	n.publisher.nextAt = n.now + n.statusInterval()
	if status.DrainRate > 0 {
		n.publisher.nextAt = n.now + drainStatusInterval
	}
	n.emit(PublishStatus{status})
}

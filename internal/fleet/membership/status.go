package membership

import (
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// drainStatusInterval is how often a relay publishes its status while it closes its clients' connections.
	drainStatusInterval = 500 * time.Millisecond
	// drainStatusValidFor is for how long the drain rate of such a status counts.
	drainStatusValidFor = 1500 * time.Millisecond
	// statusIntervalPerPeer is by how much each peer lengthens the time between two statuses.
	statusIntervalPerPeer = 50 * time.Millisecond
)

// Lifecycle is the stage of a relay's life as its status reports it.
type Lifecycle uint8

// The stages of a relay's lifecycle.
const (
	LifecycleStarting Lifecycle = iota // it has no endpoint list yet
	LifecycleServing                   // it accepts clients
	LifecycleDraining                  // it is drained manually
	LifecycleLeaving                   // it accepts nothing any more and will exit
)

var lifecycleTexts = [...]string{
	LifecycleStarting: "starting", LifecycleServing: "serving",
	LifecycleDraining: "draining", LifecycleLeaving: "leaving",
}

// String returns the text for logs and reports.
func (l Lifecycle) String() string {
	return textOf(lifecycleTexts[:], uint8(l))
}

// Status is what a relay publishes about itself. A reader skips fields that it does not know; fields that a
// writer did not know are zero.
type Status struct {
	Version                int       `cbor:"1,keyasint"`
	Incarnation            uint64    `cbor:"2,keyasint"` // of the process; rises with each start
	Lifecycle              Lifecycle `cbor:"3,keyasint"`
	Zone                   string    `cbor:"4,keyasint,omitempty"`
	RequestRate            float64   `cbor:"5,keyasint"` // requests per second from clients
	OpenConnections        int       `cbor:"6,keyasint"`
	EndpointListGeneration int64     `cbor:"7,keyasint"` // generation of its endpoint list
	Epoch                  uint64    `cbor:"8,keyasint"` // of the view that it holds on disk
	ViewHash               uint64    `cbor:"9,keyasint"` // of that view
	BootstrapSize          int       `cbor:"10,keyasint"`
	BootstrapSlot          int       `cbor:"11,keyasint"` // from 0; negative for none
	SlotReleased           bool      `cbor:"12,keyasint"` // the fleet may divide its slot's share
	Seq                    uint64    `cbor:"13,keyasint"` // rises with each status of an incarnation
	// DrainRate is how many connections per second the relay closes while it drains or leaves.
	DrainRate float64 `cbor:"14,keyasint,omitempty"`
	// ActivatedPlan is the newest plan that all cells of the plan are known to have joined.
	ActivatedPlan uint64 `cbor:"15,keyasint,omitempty"`
}

// Versions of the status that this program writes: StatusVersionCells if the members file or the view has a
// plan of cells, else StatusVersion. Programs that write only version 1 know no plans.
const (
	StatusVersion      = 1
	StatusVersionCells = 2
)

// newerThan reports whether a status is of a later process of its relay, or a later one of the same process.
// A status that was overtaken on its way, or that arrives again, is not newer.
func (s Status) newerThan(old Status) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Seq > old.Seq
}

// sameState reports whether two statuses differ at most in load figures.
func (s Status) sameState(old Status) bool {
	return s.Incarnation == old.Incarnation && s.Version == old.Version && s.Lifecycle == old.Lifecycle &&
		s.Epoch == old.Epoch && s.SlotReleased == old.SlotReleased && s.ActivatedPlan == old.ActivatedPlan &&
		s.EndpointListGeneration == old.EndpointListGeneration
}

// statusPublisher decides when this relay publishes its status.
type statusPublisher struct {
	last   Status // the last status that was published
	seq    uint64 // its number
	nextAt time.Duration
}

// publishBy makes the next status due at a time at the latest.
func (p *statusPublisher) publishBy(at time.Duration) { p.nextAt = min(p.nextAt, at) }

// status returns the present status of this relay.
func (n *Node) status() Status {
	return Status{
		Version:                n.statusVersion(),
		Incarnation:            n.record.Incarnation,
		Lifecycle:              n.localState.Lifecycle,
		Zone:                   n.localState.Zone,
		RequestRate:            n.localState.RequestRate,
		OpenConnections:        n.localState.OpenConnections,
		EndpointListGeneration: n.localState.EndpointListGeneration,
		Epoch:                  n.view.Epoch,
		ViewHash:               n.viewHash,
		BootstrapSize:          n.view.BootstrapSize,
		BootstrapSlot:          n.slot.number,
		SlotReleased:           n.record.SlotReleased,
		DrainRate:              n.localState.DrainRate,
		ActivatedPlan:          n.statusActivatedPlan(),
	}
}

// statusVersion returns the version of the statuses that this relay publishes. Programs that know only
// version 1 know no Allocation.
func (n *Node) statusVersion() int {
	if n.plans.filePlan != nil || n.view.Allocation != nil {
		return StatusVersionCells
	}
	return StatusVersion
}

// statusActivatedPlan returns the activated plan that the status reports, 0 without cells.
func (n *Node) statusActivatedPlan() uint64 {
	if n.view.Allocation == nil {
		return 0
	}
	return n.plans.activatedPlan
}

// statusInterval returns the time between two statuses. It grows with the fleet, so that the rate at which a
// relay receives statuses does not. In a cell it is drawn anew each time, from half to one and a half of the
// normal interval: all relays publish at once when a new view is adopted, and would otherwise keep publishing
// at the same time.
func (n *Node) statusInterval() time.Duration {
	interval := max(n.cfg.Timing.StatusInterval, statusIntervalPerPeer*time.Duration(len(n.peers.byName)))
	if n.view.Allocation != nil {
		interval = duration.Scale(interval, 0.5+n.rng.Float64())
	}
	return interval
}

// publish publishes the status: at once if atOnce is set or its state has changed, else when it is due.
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

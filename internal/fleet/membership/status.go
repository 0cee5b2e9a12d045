package membership

import (
	"time"

	"capersail/internal/fleet/duration"
)

const (
	drainStatusInterval = 500 * time.Millisecond  // a relay that sends its clients away says so as often
	drainStatusValidFor = 1500 * time.Millisecond // and is believed for so long
)

// Lifecycle is what a relay says it does.
type Lifecycle uint8

// The stages of a relay's lifecycle.
const (
	Starting Lifecycle = iota // it has no list of servers yet
	Serving                   // it takes clients
	Draining                  // it is drained by hand
	Leaving                   // it takes nothing any more and will go
)

func (d Lifecycle) String() string {
	return [...]string{"starting", "serving", "draining", "leaving"}[min(d, Leaving)]
}

// Status is what a relay tells all others of itself. Fields that a reader does not know are skipped, those that a
// writer did not know are zero.
type Status struct {
	Version                int       `cbor:"1,keyasint"`
	Incarnation            uint64    `cbor:"2,keyasint"` // of the process: rises with each start
	Lifecycle              Lifecycle `cbor:"3,keyasint"`
	Zone                   string    `cbor:"4,keyasint,omitempty"`
	RequestRate            float64   `cbor:"5,keyasint"` // requests a second that clients bring it
	OpenConnections        int       `cbor:"6,keyasint"` // connections
	EndpointListGeneration int64     `cbor:"7,keyasint"` // generation of its list of servers
	Epoch                  uint64    `cbor:"8,keyasint"` // of the view that it holds, on its disk
	Hash                   uint64    `cbor:"9,keyasint"` // of that view
	BootstrapSize          int       `cbor:"10,keyasint"`
	BootstrapSlot          int       `cbor:"11,keyasint"`           // from 0; negative for none
	SlotReleased           bool      `cbor:"12,keyasint"`           // its place is the fleet's to divide
	Seq                    uint64    `cbor:"13,keyasint"`           // rises with each status of an incarnation
	DrainRate              float64   `cbor:"14,keyasint,omitempty"` // connections a second that it sends away, in a drain or as it leaves
	ActivatedPlan          uint64    `cbor:"15,keyasint,omitempty"` // the newest plan that all its cells are known to have entered
}

// The versions that this program writes: StatusVersionCells where a plan of cells is configured or acted by. Older programs don't know
// of plans.
const (
	StatusVersion      = 1
	StatusVersionCells = 2
)

// status is what this relay tells of itself.
func (n *Node) status() Status {
	return Status{
		Version: n.statusVersion(), Incarnation: n.record.Incarnation, ActivatedPlan: n.statusActivatedPlan(),
		Lifecycle: n.local.Lifecycle, Zone: n.local.Zone, RequestRate: n.local.RequestRate, OpenConnections: n.local.OpenConnections, EndpointListGeneration: n.local.EndpointListGeneration, DrainRate: n.local.DrainRate,
		Epoch: n.view.Epoch, Hash: n.viewHash,
		BootstrapSize: n.view.BootstrapSize, BootstrapSlot: n.cfg.BootstrapSlot, SlotReleased: n.record.SlotReleased,
	}
}

// statusInterval is the time between two statuses: it grows with the fleet, so that what a relay gets does not. In a cell it is drawn
// anew each time, from half to one and a half of the pace: all relays tell a new view at once, and would else go on telling at once.
func (n *Node) statusInterval() time.Duration {
	every := max(n.cfg.Timing.StatusInterval, 50*time.Millisecond*time.Duration(len(n.peers)))
	if n.view.Allocation != nil {
		every = duration.Scale(every, 0.5+n.rng.Float64())
	}
	return every
}

// publish publishes the status: at once where the state, the list, the view or HandedOver is new, else now and then.
func (n *Node) publish(now bool) {
	d, t := n.status(), n.lastStatus
	now = now || d.Lifecycle != t.Lifecycle || d.EndpointListGeneration != t.EndpointListGeneration || (d.DrainRate > 0) != (t.DrainRate > 0) ||
		d.Epoch != t.Epoch || d.SlotReleased != t.SlotReleased || d.Version != t.Version || d.ActivatedPlan != t.ActivatedPlan
	if !now && n.now < n.nextStatusAt {
		return
	}
	n.statusSeq++
	d.Seq = n.statusSeq
	n.lastStatus, n.nextStatusAt = d, n.now+n.statusInterval()
	if d.DrainRate > 0 {
		n.nextStatusAt = n.now + drainStatusInterval
	}
	n.emit(Publish{d})
}

package membership

// Ballot is the number of a proposal. Two relays never use the same one.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
}

// less reports whether a ballot is lower than another.
func (b Ballot) less(c Ballot) bool {
	return b.Round < c.Round || b.Round == c.Round && b.Name < c.Name
}

// Record is what must be on disk before any message or action that follows from it.
//
// Invariants: PromisedBallot is not lower than AcceptedBallot; AcceptedView has the epoch after that of View.
type Record struct {
	Incarnation    uint64 `cbor:"1,keyasint"`
	SlotReleased   bool   `cbor:"2,keyasint"`
	PromisedBallot Ballot `cbor:"3,keyasint"`
	AcceptedBallot Ballot `cbor:"4,keyasint"`
	AcceptedView   *View  `cbor:"5,keyasint,omitempty"` // the view after the one held
	// View is the newest view that is known to be chosen, nil for view 0.
	View *View `cbor:"6,keyasint,omitempty"`
}

// promise records that no view by a lower ballot is accepted from now on. It returns false, and records
// nothing, if a higher ballot is promised already.
func (r *Record) promise(b Ballot) bool {
	if b.less(r.PromisedBallot) {
		return false
	}
	r.PromisedBallot = b
	return true
}

// accept records a view as accepted by a ballot. It returns false, and records nothing, if a higher ballot is
// promised already.
func (r *Record) accept(b Ballot, view *View) bool {
	if !r.promise(b) {
		return false
	}
	r.AcceptedBallot, r.AcceptedView = b, view
	return true
}

// MessageKind is the kind of a message between two relays.
type MessageKind uint8

// The kinds of messages.
const (
	// RenewLease asks a voter to renew the sender's lease in Epoch. SentAtMillis is by the sender's clock.
	RenewLease MessageKind = iota + 1
	// LeaseRenewed says that the voter renews the lease. It repeats SentAtMillis from the request.
	LeaseRenewed
	// Prepare asks a voter to promise Ballot for the view after Epoch, and to report which of the members and
	// of the relays in Joining are unavailable.
	Prepare
	// Promise says that the voter promises Ballot. AcceptedBallot and View are what it has accepted;
	// Unavailable lists the members and the relays of Joining that it takes for unavailable.
	Promise
	// Accept asks a voter to accept View by Ballot.
	Accept
	// Accepted says that the voter has accepted the view and stored it on disk.
	Accepted
	// Learn says that View is chosen.
	Learn
	// Reject says that the sender has promised a higher Ballot, or that it holds the view of Epoch.
	Reject
)

// Message is sent from the Node of one relay to that of another. It is encoded as it stands.
type Message struct {
	Kind            MessageKind `cbor:"1,keyasint"`
	Epoch           uint64      `cbor:"2,keyasint"`
	SentAtMillis    float64     `cbor:"3,keyasint,omitempty"`
	ToIncarnation   uint64      `cbor:"4,keyasint,omitempty"` // of an answer: the incarnation that has asked
	Ballot          Ballot      `cbor:"5,keyasint,omitempty"`
	AcceptedBallot  Ballot      `cbor:"6,keyasint,omitempty"`
	View            *View       `cbor:"7,keyasint,omitempty"`
	Unavailable     []string    `cbor:"8,keyasint,omitempty"`
	FromIncarnation uint64      `cbor:"9,keyasint"` // the sender's incarnation
	BootstrapSlot   int         `cbor:"10,keyasint"`
	Plan            uint64      `cbor:"11,keyasint,omitempty"` // of a RenewLease: that of the sender's view
	Joining         []string    `cbor:"12,keyasint,omitempty"` // of a Prepare: relays it would add
}

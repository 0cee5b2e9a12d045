package membership

// Ballot orders proposals; two relays never use the same one.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
}

// less tells whether a ballot is lower than another.
func (b Ballot) less(c Ballot) bool {
	return b.Round < c.Round || b.Round == c.Round && b.Name < c.Name
}

// Record is what has to be on disk before anything that follows from it is said or done.
//
// Invariants: Promised is no lower than AcceptedBallot; Accepted is of the epoch after View's.
type Record struct {
	Incarnation    uint64 `cbor:"1,keyasint"`
	SlotReleased   bool   `cbor:"2,keyasint"`
	PromisedBallot Ballot `cbor:"3,keyasint"`
	AcceptedBallot Ballot `cbor:"4,keyasint"`
	AcceptedView   *View  `cbor:"5,keyasint,omitempty"` // the view after the one held
	// View is the newest that is known to be chosen; nil for view 0.
	View *View `cbor:"6,keyasint,omitempty"`
}

// promise notes that nothing by a lower ballot is accepted any more; it tells whether the ballot is not
// too low itself.
func (r *Record) promise(b Ballot) bool {
	if b.less(r.PromisedBallot) {
		return false
	}
	r.PromisedBallot = b
	return true
}

// accept notes a view that is accepted by a ballot, and tells whether the ballot is not too low.
func (r *Record) accept(b Ballot, view *View) bool {
	if !r.promise(b) {
		return false
	}
	r.AcceptedBallot, r.AcceptedView = b, view
	return true
}

// MessageKind is the kind of a message between two relays.
type MessageKind uint8

// The messages.
const (
	// RenewLease asks a voter to renew the sender's lease in Epoch; SentAtMillis is by the sender's clock.
	RenewLease MessageKind = iota + 1
	// LeaseRenewed is the voter's yes, with SentAtMillis as it came.
	LeaseRenewed
	// Prepare asks whether the sender may propose by Ballot what follows Epoch, and who of the members and of
	// Joining is unavailable.
	Prepare
	// Promise is the voter's yes: AcceptedBallot and View are what it has accepted, Unavailable those of the
	// members and of Joining that it takes for gone.
	Promise
	// Accept asks a voter to accept View by Ballot.
	Accept
	// Accepted says that it has, on disk.
	Accepted
	// Learn says that View is chosen.
	Learn
	// Reject says that a higher Ballot is promised, or that the sender holds Epoch.
	Reject
)

// Message is what one relay's Node says to another's. It is encoded as it stands.
type Message struct {
	Kind            MessageKind `cbor:"1,keyasint"`
	Epoch           uint64      `cbor:"2,keyasint"`
	SentAtMillis    float64     `cbor:"3,keyasint,omitempty"`
	ToIncarnation   uint64      `cbor:"4,keyasint,omitempty"` // the incarnation that an answer is for
	Ballot          Ballot      `cbor:"5,keyasint,omitempty"`
	AcceptedBallot  Ballot      `cbor:"6,keyasint,omitempty"`
	View            *View       `cbor:"7,keyasint,omitempty"`
	Unavailable     []string    `cbor:"8,keyasint,omitempty"`
	FromIncarnation uint64      `cbor:"9,keyasint"` // the sender's incarnation
	BootstrapSlot   int         `cbor:"10,keyasint"`
	Plan            uint64      `cbor:"11,keyasint,omitempty"` // of a Renew: the plan that the asker's view has
	Joining         []string    `cbor:"12,keyasint,omitempty"` // of a Prepare: whom the sender would take in
}

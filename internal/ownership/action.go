package ownership

import (
	"capersail/internal/token"
)

// RequestKind is what is asked of the service.
type RequestKind uint8

// The requests to the service. Holder is the ephemeral node under a stream's record.
const (
	ReadRecord       RequestKind = iota // the record and its version
	CreateAndAcquire                    // in one: create the record, create the holder
	UpdateAndAcquire                    // in one: set the record if it has Version, create the holder
	CheckHolder                         // who owns the holder, after a sync
	DeleteHolder                        // the holder
	UpdateRecord                        // set the record if it has Version
)

// ReplyCode is how a request to the service ended.
type ReplyCode uint8

// The codes.
const (
	OK              ReplyCode = iota
	NotFound                  // the record, or with Look and Delete the holder, is not there
	AlreadyExists             // the holder, or with Make the record, is there already
	VersionMismatch           // another has changed the record meanwhile
	NoReply                   // no answer: it may have been done, or may not
	ServiceError              // refused for a reason that says nothing of the claim
)

// Action is something a Keeper wants done.
type Action interface{ action() }

type (
	// Request is a request to the service. Requests are sent in the order in which they are asked.
	Request struct {
		ID      uint64
		Kind    RequestKind
		Stream  token.StreamID
		Version int32
		Record  Record
	}
	// Acquired says that the stream is the caller's, in this generation, until it drops it or it lapses.
	Acquired struct{ Handle, FencingToken uint64 }
	// Rejected says that it is not. After is when to come again, 0 if that would not help.
	Rejected struct {
		Handle     uint64
		Reason     RejectReason
		RetryAfter float64
	}
	// LeaseExpired says that the claim may be lost: the stream is to be ended within Grace, then dropped.
	LeaseExpired struct{ Handle uint64 }
	// Released says that a dropped claim is another's to win.
	Released struct{ Handle uint64 }
)

func (Request) action()      {}
func (Acquired) action()     {}
func (Rejected) action()     {}
func (LeaseExpired) action() {}
func (Released) action()     {}

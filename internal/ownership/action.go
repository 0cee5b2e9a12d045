package ownership

import (
	"fmt"
	"time"

	"capersail/internal/token"
)

// Action is something that a Lease wants done.
type Action interface{ action() }

// Request is a request to the service. Requests are sent in the order in which they are emitted.
type Request struct {
	ID      uint64
	Kind    RequestKind
	Stream  token.StreamID
	Version int32 // that the record must have
	Record  Record
}

// StreamAcquired says that the caller owns the stream, with this fencing token, until it releases it or
// LeaseExpired comes.
type StreamAcquired struct{ Handle, FencingToken uint64 }

// AcquisitionRejected says that the caller does not get the stream. RetryAfter is 0 if a retry would not
// help.
type AcquisitionRejected struct {
	Handle     uint64
	Reason     RejectReason
	RetryAfter time.Duration
}

// LeaseExpired says that ownership may be lost: the caller ends the stream within ExpiryMargin, then releases
// it.
type LeaseExpired struct{ Handle uint64 }

// StreamReleased says that another relay can acquire the stream of a handle that was released.
type StreamReleased struct{ Handle uint64 }

func (Request) action()             {}
func (StreamAcquired) action()      {}
func (AcquisitionRejected) action() {}
func (LeaseExpired) action()        {}
func (StreamReleased) action()      {}

// RequestKind is what is asked of the service.
type RequestKind uint8

// The requests to the service. The holder is the ephemeral node under a stream's record.
const (
	ReadRecord       RequestKind = iota // the record and its version
	CreateAndAcquire                    // one transaction: create the record, create the holder
	UpdateAndAcquire                    // one transaction: set the record of Version, create the holder
	CheckHolder                         // who owns the holder, after a sync
	DeleteHolder                        // the holder
	UpdateRecord                        // set the record if it has Version
)

var requestKindNames = [...]string{
	ReadRecord:       "read record",
	CreateAndAcquire: "create and acquire",
	UpdateAndAcquire: "update and acquire",
	CheckHolder:      "check holder",
	DeleteHolder:     "delete holder",
	UpdateRecord:     "update record",
}

// String names the kind.
func (k RequestKind) String() string { return nameOf(requestKindNames[:], int(k), "request kind") }

// ReplyCode is how a request to the service ended.
type ReplyCode uint8

// The reply codes.
const (
	OK              ReplyCode = iota
	NotFound                  // no record; of CheckHolder and DeleteHolder no holder
	AlreadyExists             // the holder, or of CreateAndAcquire the record, exists
	VersionMismatch           // another relay has changed the record meanwhile
	NoReply                   // it may have been done, or may not
	ServiceError              // failed for a reason that says nothing of the ownership
)

var replyCodeNames = [...]string{
	OK:              "ok",
	NotFound:        "not found",
	AlreadyExists:   "already exists",
	VersionMismatch: "version mismatch",
	NoReply:         "no reply",
	ServiceError:    "service error",
}

// String names the code.
func (c ReplyCode) String() string { return nameOf(replyCodeNames[:], int(c), "reply code") }

// nameOf is a value's name in its type's table, and the number of one that is not there.
func nameOf(names []string, value int, what string) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown %s %d", what, value)
}

package ownership

import (
	"fmt"
	"time"

	"capersail/internal/token"
)

// Action is an instruction of a Lease to the code that drives it.
type Action interface{ action() }

// Request is a request to the ownership service. Requests must be sent in the order in which they are
// emitted.
type Request struct {
	ID      uint64
	Kind    RequestKind
	Stream  token.StreamID
	Version int32 // version that the record must have for the request to succeed
	Record  Record
}

// StreamAcquired tells the caller that it owns the stream under FencingToken, until it releases the stream or
// receives LeaseExpired.
type StreamAcquired struct{ Handle, FencingToken uint64 }

// AcquisitionRejected tells the caller that the stream was not acquired. RetryAfter is 0 if a retry would not
// help.
type AcquisitionRejected struct {
	Handle     uint64
	Reason     RejectReason
	RetryAfter time.Duration
}

// LeaseExpired tells the caller that its ownership may be lost. The caller must end the stream within
// ExpiryMargin and then release it.
type LeaseExpired struct{ Handle uint64 }

// StreamReleased tells the caller that other relays can now acquire the stream that it released.
type StreamReleased struct{ Handle uint64 }

func (Request) action()             {}
func (StreamAcquired) action()      {}
func (AcquisitionRejected) action() {}
func (LeaseExpired) action()        {}
func (StreamReleased) action()      {}

// RequestKind is the operation that a Request asks for.
type RequestKind uint8

// The kinds of requests. The holder is the ephemeral node below a stream's record.
const (
	ReadRecord       RequestKind = iota // read the record and its version
	CreateAndAcquire                    // create the record and the holder, atomically
	UpdateAndAcquire                    // if the record has Version: set it, create the holder, atomically
	CheckHolder                         // sync, then read which session owns the holder
	DeleteHolder                        // delete the holder
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

// String returns the name of the kind.
func (k RequestKind) String() string { return nameOf(requestKindNames[:], int(k), "request kind") }

// ReplyCode is the result of a request to the ownership service.
type ReplyCode uint8

// The reply codes.
const (
	OK              ReplyCode = iota
	NotFound                  // no record; for CheckHolder and DeleteHolder: no holder
	AlreadyExists             // the holder exists; for CreateAndAcquire also: the record exists
	VersionMismatch           // another relay has changed the record in the meantime
	NoReply                   // the connection was lost; the request may or may not have been executed
	ServiceError              // failed for a reason that does not tell who owns the stream
)

var replyCodeNames = [...]string{
	OK:              "ok",
	NotFound:        "not found",
	AlreadyExists:   "already exists",
	VersionMismatch: "version mismatch",
	NoReply:         "no reply",
	ServiceError:    "service error",
}

// String returns the name of the code.
func (c ReplyCode) String() string { return nameOf(replyCodeNames[:], int(c), "reply code") }

// nameOf returns the name of a value from its type's table, or the number of a value that is not in the
// table.
func nameOf(names []string, value int, what string) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown %s %d", what, value)
}

package ownership

import (
	"time"

	"capersail/internal/token"
)

// Event is something that a Lease is notified of.
type Event interface{ event() }

// Acquire asks for a stream. It is answered by one StreamAcquired or one AcquisitionRejected; only a new
// stream's may wait for the service without bound.
type Acquire struct {
	Handle        uint64 // names the caller; never used twice
	Stream        token.StreamID
	FencingToken  uint64        // of the client's token; 0 for a new stream
	Deadline      time.Duration // instant at which a stream that is resumed is rejected at the latest
	ExpiresUnixMs int64         // for the record
}

// Release says that the caller is done with a handle: the stream's last connection to a server is closed. It
// is answered by one StreamReleased.
type Release struct{ Handle uint64 }

// ExtendRecord moves the end of an owned stream's record. With TokenDelivered, the client is known to have
// the token of this acquisition, and earlier ones become stale.
type ExtendRecord struct {
	Handle         uint64
	TokenDelivered bool
	ExpiresUnixMs  int64
}

// SessionConnected says that a session stands, a new one or one taken up again, by a request sent at SentAt.
type SessionConnected struct {
	SessionID int64
	Timeout   time.Duration // as the service granted it
	SentAt    time.Duration
}

// SessionDisconnected says that no replies come. Every request without a reply has been replied to with
// NoReply.
type SessionDisconnected struct{}

// SessionExpired says that the service has forgotten the session, and its holder nodes with it.
type SessionExpired struct{}

// SessionRenewed says that something sent at SentAt was answered: the session's timeout began no earlier.
type SessionRenewed struct{ SentAt time.Duration }

// Reply ends a Request.
type Reply struct {
	RequestID    uint64
	Code         ReplyCode
	Version      int32  // of the record after the request
	Record       Record // of ReadRecord
	OwnerSession int64  // of CheckHolder: the session that owns the holder
}

// Tick says that time has passed; NextTick says when the next is due.
type Tick struct{}

func (Acquire) event()             {}
func (Release) event()             {}
func (ExtendRecord) event()        {}
func (SessionConnected) event()    {}
func (SessionDisconnected) event() {}
func (SessionExpired) event()      {}
func (SessionRenewed) event()      {}
func (Reply) event()               {}
func (Tick) event()                {}

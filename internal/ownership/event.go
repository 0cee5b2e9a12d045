package ownership

import (
	"time"

	"capersail/internal/token"
)

// Event is an input of a Lease.
type Event interface{ event() }

// Acquire requests ownership of a stream. It is answered by one StreamAcquired or one AcquisitionRejected.
// For a new stream the answer may take as long as the service is unreachable.
type Acquire struct {
	Handle        uint64 // identifies the caller; never reused
	Stream        token.StreamID
	FencingToken  uint64        // from the client's resume token; 0 for a new stream
	Deadline      time.Duration // instant at which the acquisition of a resumed stream is rejected
	ExpiresUnixMs int64         // expiry time to store in the record
}

// Release gives up a handle. The caller must have closed the stream's last connection to a server. It is
// answered by one StreamReleased.
type Release struct{ Handle uint64 }

// ExtendRecord sets a later expiry time for the record of an owned stream. TokenDelivered means that the
// client is known to have the resume token of this acquisition, so that earlier tokens become stale.
type ExtendRecord struct {
	Handle         uint64
	TokenDelivered bool
	ExpiresUnixMs  int64
}

// SessionConnected reports that a new or resumed session is connected; the request for it was sent at SentAt.
type SessionConnected struct {
	SessionID int64
	Timeout   time.Duration // as granted by the service
	SentAt    time.Duration
}

// SessionDisconnected reports that the connection to the service was lost. The driver has passed a Reply with
// NoReply for every request that had no reply.
type SessionDisconnected struct{}

// SessionExpired reports that the service has expired the session and deleted its holder nodes.
type SessionExpired struct{}

// SessionRenewed reports that the service has answered a message sent at SentAt, so the session's timeout
// runs from SentAt or later.
type SessionRenewed struct{ SentAt time.Duration }

// Reply is the service's reply to a Request.
type Reply struct {
	RequestID    uint64
	Code         ReplyCode
	Version      int32  // version of the record after the request
	Record       Record // for ReadRecord: the record
	OwnerSession int64  // for CheckHolder: the session that owns the holder
}

// Tick lets a Lease act on the passing of time; NextTick returns when the next one is due.
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

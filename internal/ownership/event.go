package ownership

import (
	"capersail/internal/token"
)

// Event is something a Keeper is told.
type Event interface{ event() }

type (
	// Acquire asks for a stream. It gets one Won or one Refused, but for a new stream that waits for the service.
	Acquire struct {
		Handle        uint64 // never used twice
		Stream        token.StreamID
		FencingToken  uint64  // of the token; 0 for a new stream, which is never refused for want of the service
		Deadline      float64 // when it is refused at the latest
		ExpiresUnixMs int64   // for the record
	}
	// Release says that the caller has done with a handle: its last connection to a server is closed.
	Release struct{ Handle uint64 }
	// ExtendRecord says that the client has the token of the generation that it was given, and moves the record's end.
	ExtendRecord struct {
		Handle         uint64
		TokenDelivered bool
		ExpiresUnixMs  int64
	}
	// SessionConnected says that a session stands, a new one or one taken up again, by a request sent at At.
	SessionConnected struct {
		SessionID int64
		Timeout   float64
		SentAt    float64
	}
	// SessionDisconnected says that no answers come. Every request without an answer has been replied to with Lost.
	SessionDisconnected struct{}
	// SessionExpired says that the service has forgotten the session, and its nodes with it.
	SessionExpired struct{}
	// Renewed says that something sent at At was answered.
	Renewed struct{ SentAt float64 }
	// Reply answers an Ask.
	Reply struct {
		RequestID    uint64
		Code         ReplyCode
		Version      int32  // of the record after the request
		Record       Record // with Read
		OwnerSession int64  // with Look: the session that owns the holder
	}
	// Tick says that time has passed; see Next.
	Tick struct{}
)

func (Acquire) event()             {}
func (Release) event()             {}
func (ExtendRecord) event()        {}
func (SessionConnected) event()    {}
func (SessionDisconnected) event() {}
func (SessionExpired) event()      {}
func (Renewed) event()             {}
func (Reply) event()               {}
func (Tick) event()                {}

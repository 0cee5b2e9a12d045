package decide

import "time"

// Status is how an attempt or a probe ended.
type Status uint8

// The ways in which an attempt or a probe ends.
const (
	OK            Status = iota
	Errored              // the server answered with an error; it may have run
	AtCapacity           // the server sent it back unseen
	TimedOut             // no answer in time; it may run still
	ConnectFailed        // no connection could be made; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	Superseded           // never sent
	statuses
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == AtCapacity || s == ConnectFailed || s == Superseded }

// statusNames are the names that time lines are stored with.
var statusNames = [statuses]string{
	OK:            "ok",
	Errored:       "error",
	AtCapacity:    "full",
	TimedOut:      "timed out",
	ConnectFailed: "connect failed",
	Reset:         "reset",
	Cancelled:     "cancelled",
	Superseded:    "moot",
}

// String is the status as time lines have it.
func (s Status) String() string {
	if s >= statuses {
		return "unknown"
	}
	return statusNames[s]
}

// EndpointState is a server's state as discovery lists it.
type EndpointState uint8

// The states of a server. Only one that is ready is given anything new.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	Server        ServerID
	State         EndpointState
	Zone          Zone
	Cell          int32         // servers of a cell may share idempotency keys, see ScopeCell
	RendezvousKey uint64        // the same at every relay, and says nothing of the server
	StartedAt     time.Duration // clock time of its last start, 0 for long ago
}

// WatchKind says what a WatchEvent brings.
type WatchKind uint8

// The kinds of watch event.
const (
	Delta          WatchKind = iota // changed endpoints only
	Snapshot                        // the complete list
	CachedSnapshot                  // the complete list as last held, perhaps old
	WatchFailed                     // no list: a poll failed or the subscription broke
	LocalDelta                      // changes that the relay itself knows of; discovery has said nothing
)

// LoadReport is what a server says of its load. A field that did not come is negative.
type LoadReport struct {
	Load            float64 // load asked of it over what it can do
	InFlight        float64 // requests and connections it holds
	ErrorsPerSecond float64
	CPUUtilization  float64 // part of its cores that is busy, 0 to 1
}

// NoLoadReport is the report of a server that gave none.
var NoLoadReport = LoadReport{Load: -1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}

// Event is something that a Balancer is notified of. The types that implement it are all in this file.
type Event interface{ event() }

type (
	// WatchEvent is a new endpoint list, a change of it, or the failure of a poll.
	WatchEvent struct {
		Kind      WatchKind
		Endpoints []Endpoint // read only during the call
	}
	// Request is a new request; it gets one final answer.
	Request struct {
		ID           RequestID
		Class        Class
		Tenant       Tenant
		Key          uint64        // idempotency key, 0 if none
		TimeLeft     time.Duration // of its client's deadline
		LoadHint     float64       // usual load, in seconds of work a second, 0 if not known
		Group        uint64        // connections of one group share work, 0 if none
		Returning    bool          // the client comes back after a break or a migration, or retries
		ExistingFlow bool          // packets of an open connection reach this relay now
	}
	// Inherited is a connection that is open through this relay at its start.
	Inherited struct {
		Request Request
		Server  ServerID
	}
	// Opened says that an attempt's connection is up.
	Opened struct {
		ID           RequestID
		Attempt      int // from 0
		Server       ServerID
		SetupLatency time.Duration
	}
	// Outcome is the end of an attempt; each Forward gets one.
	Outcome struct {
		ID      RequestID
		Attempt int // from 0
		Server  ServerID
		Status  Status
		Elapsed time.Duration // since it was sent
		Closed  bool          // the request is over
		Report  LoadReport
	}
	// ClientGone says that the client has left; the request is over.
	ClientGone struct{ ID RequestID }
	// TimerFired is a Timer that has come due.
	TimerFired struct{ Token uint64 }
	// ProbeResult is the end of a Probe.
	ProbeResult struct {
		Server  ServerID
		Status  Status
		Latency time.Duration
		Report  LoadReport
	}
	// GossipReading is what another relay read at a server so long ago, or, if PlacementDelta is not 0, how
	// many connections it placed there then, less those that ended.
	GossipReading struct {
		Server         ServerID
		Age            time.Duration
		Report         LoadReport
		PlacementDelta int
	}
	// ConnectionLoad tells a connection's load now, in seconds of work a second.
	ConnectionLoad struct {
		ID     RequestID
		Server ServerID
		Load   float64
	}
	// MessageDelay tells how long a message of a connection takes at a server now.
	MessageDelay struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}
	// FleetStatus is what the relays know of each other. Before the first, Settings.Relays holds for all.
	FleetStatus struct {
		Relays            int           // that are there, this one too
		BudgetShare       float64       // this relay's part, 0 to 1, of a slow-start budget in NearZones
		FarBudgetShare    float64       // its part in other zones
		NearZones         []Zone        // nil: every zone is near
		BudgetExpiresAt   time.Duration // both parts are 0 from then on, until another comes; 0 for never
		PeerRequestRate   float64       // requests a second to the other relays, negative if not known
		PeerConnections   int           // open through the other relays, negative if not known
		PeerMigrationRate float64       // connections a second that the other relays send away as they drain
		SharesReadings    bool          // GossipReadings come with load reports
		SharesPlacements  bool          // GossipReadings come with placements
	}
	// PeerMessage is a message from another relay.
	PeerMessage struct {
		From int
		Data []byte
	}
)

func (WatchEvent) event()     {}
func (Request) event()        {}
func (Inherited) event()      {}
func (Opened) event()         {}
func (Outcome) event()        {}
func (ClientGone) event()     {}
func (TimerFired) event()     {}
func (ProbeResult) event()    {}
func (GossipReading) event()  {}
func (ConnectionLoad) event() {}
func (MessageDelay) event()   {}
func (FleetStatus) event()    {}
func (PeerMessage) event()    {}

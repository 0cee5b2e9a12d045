package decide

import "time"

// Status is how an attempt or a probe ended.
type Status uint8

// The ways in which an attempt or a probe ends.
const (
	OK            Status = iota
	Errored              // the backend answered with an error; it may have run
	AtCapacity           // sent back unseen
	TimedOut             // no answer in time; it may run still
	ConnectFailed        // no connection could be made; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	Superseded           // never sent
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == AtCapacity || s == ConnectFailed || s == Superseded }

func (s Status) String() string {
	return [...]string{"ok", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[min(s, Superseded)]
}

// EndpointState is a backend's state as discovery lists it.
type EndpointState uint8

// The states of a backend.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one line of discovery's list.
type Endpoint struct {
	Server        ServerID
	State         EndpointState
	Zone          Zone
	Cell          int32
	RendezvousKey uint64        // a number that is this backend's at every relay and says nothing of it
	StartedAt     time.Duration // clock time of its last start, 0 for long ago
}

// WatchKind says what a Members event brings.
type WatchKind uint8

// The kinds of list.
const (
	Delta       WatchKind = iota // changed entries only
	Snapshot                     // the complete list
	Cached                       // the complete list as last held, perhaps old
	WatchFailed                  // no list: a call failed or the subscription broke
	LocalDelta                   // changed entries by what the relay itself knows; discovery has said nothing
)

// LoadReport is what a backend says of its load. A field that did not come is negative.
type LoadReport struct {
	Load            float64 // load asked over what it can do
	InFlight        float64 // requests held
	ErrorsPerSecond float64 // errors a second
	CPUUtilization  float64 // part of its cores that is busy
}

// NoLoadReport is the report of a backend that gave none.
var NoLoadReport = LoadReport{Load: -1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}

// Event is something a Balancer is told. The types that implement it are all in this file.
type Event interface{ event() }

type (
	// WatchEvent is news from discovery.
	WatchEvent struct {
		Kind      WatchKind
		Endpoints []Endpoint // read only during the call
	}
	// Request is a new request; it is owed one final answer.
	Request struct {
		ID        RequestID
		Class     Class
		Tenant    Tenant
		Key       uint64 // 0 if none
		TimeLeft  time.Duration
		LoadHint  float64 // usual load, 0 if not told
		Group     uint64  // connections of one group share work, 0 if none
		Returning bool    // the client came back after a break or a move, or repeats a try
		Flow      bool    // packets of an open connection reach this relay now
	}
	// Inherited is a connection that is open through this relay at its start.
	Inherited struct {
		Request Request
		Server  ServerID
	}
	// Opened says that an attempt's connection is up.
	Opened struct {
		ID           RequestID
		Attempt      int
		Server       ServerID
		SetupLatency time.Duration
	}
	// Outcome is the end of an attempt; each Send gets one.
	Outcome struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Status  Status
		Elapsed time.Duration
		Closed  bool // the request is over
		Report  LoadReport
	}
	// ClientGone says that the client has left; the request is over.
	ClientGone struct{ ID RequestID }
	// TimerFired is a timer that has come due.
	TimerFired struct{ Token uint64 }
	// ProbeResult is a probe's result.
	ProbeResult struct {
		Server  ServerID
		Status  Status
		Latency time.Duration
		Report  LoadReport
	}
	// GossipReading is what another relay read at a backend so long ago, or, with Sent, how many connections it sent there then, less
	// those that ended.
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
	// MessageDelay tells how long a message takes at a backend now.
	MessageDelay struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}
	// FleetStatus is what the relays know of each other. Before the first of these the settings' number holds for all.
	FleetStatus struct {
		Relays            int           // that are there, this one too
		BudgetShare       float64       // the part of a cold backend's budget that is this relay's, in the zones that are near
		FarBudgetShare    float64       // the part elsewhere
		NearZones         []Zone        // nil: every zone is near
		BudgetUntil       time.Duration // the share lapses then, unless another Fleet comes; 0 for never
		PeerRequestRate   float64       // requests a second that come to the other relays, negative if that is not known
		PeerConnections   int           // connections that the other relays hold, negative if that is not known
		PeerMigrationRate float64       // connections a second that the other relays send away, as one that drains does
		SharesReadings    bool          // other relays' readings come
		SharesPlacements  bool          // and what they send to backends
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

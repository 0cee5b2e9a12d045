package decide

import "time"

// Status is the result of an attempt or a probe.
type Status uint8

// The results of an attempt or a probe.
const (
	OK            Status = iota
	Errored              // the server answered with an error; the attempt may have run
	AtCapacity           // the server returned it unprocessed; the attempt never ran
	TimedOut             // no answer in time; the attempt may still run
	ConnectFailed        // no connection could be made; the attempt never ran
	Reset                // the connection broke; the attempt may have run
	Cancelled            // cancelled before its end; the attempt may have run
	Superseded           // never sent
	statusCount
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == AtCapacity || s == ConnectFailed || s == Superseded }

// statusNames are the names under which time lines store statuses.
var statusNames = [statusCount]string{
	OK:            "ok",
	Errored:       "error",
	AtCapacity:    "full",
	TimedOut:      "timed out",
	ConnectFailed: "connect failed",
	Reset:         "reset",
	Cancelled:     "cancelled",
	Superseded:    "moot",
}

// String returns the name of the status in time lines.
func (s Status) String() string {
	if s >= statusCount {
		return "unknown"
	}
	return statusNames[s]
}

// EndpointState is a server's state as discovery lists it.
type EndpointState uint8

// The states of a server. Only a server that is Ready gets new attempts.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server        ServerID
	State         EndpointState
	Zone          Zone
	Cell          int32         // servers of a cell may share idempotency keys, see ScopeCell
	RendezvousKey uint64        // the same at every relay; carries no other information about the server
	StartedAt     time.Duration // time of the server's last start, 0 if that is long ago
}

// WatchKind is the kind of a WatchEvent.
type WatchKind uint8

// The kinds of watch event.
const (
	Delta          WatchKind = iota // changed endpoints only
	Snapshot                        // the complete list
	CachedSnapshot                  // the complete list as last stored by this relay; may be outdated
	WatchFailed                     // no list: a poll failed or the subscription broke
	LocalDelta                      // changes that the relay itself has detected; not an answer of discovery
)

// LoadReport is the load that a server reports. A field that was not reported is negative.
type LoadReport struct {
	Load            float64 // load asked of the server over its capacity
	InFlight        float64 // requests and connections that the server holds
	ErrorsPerSecond float64
	CPUUtilization  float64 // fraction of its cores that is busy, 0 to 1
}

// NoLoadReport stands for a report that did not come.
var NoLoadReport = LoadReport{Load: -1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}

// Event is an input of a Balancer. All types that implement it are in this file.
type Event interface{ event() }

type (
	// WatchEvent is a new endpoint list, a change of the list, or the failure of a poll.
	WatchEvent struct {
		Kind      WatchKind
		Endpoints []Endpoint // not kept after the call of Handle
	}
	// Request is a new request; it gets exactly one final answer.
	Request struct {
		ID           RequestID
		Class        Class
		Tenant       Tenant
		Key          uint64        // idempotency key, 0 if none
		TimeLeft     time.Duration // until its client's deadline
		LoadHint     float64       // usual load, in seconds of work per second, 0 if not known
		Group        uint64        // connections of one group share work at a server; 0 if it has no group
		Returning    bool          // the client reconnects after a break or a migration, or retries
		ExistingFlow bool          // packets of a connection that is already open reach this relay now
	}
	// Inherited is a connection that was already open through this relay when it started.
	Inherited struct {
		Request Request
		Server  ServerID
	}
	// Opened reports that an attempt's connection is established.
	Opened struct {
		ID           RequestID
		Attempt      int // from 0
		Server       ServerID
		SetupLatency time.Duration
	}
	// Outcome is the end of an attempt; each Forward gets exactly one.
	Outcome struct {
		ID      RequestID
		Attempt int // from 0
		Server  ServerID
		Status  Status
		Elapsed time.Duration // since the attempt was sent
		Closed  bool          // the request has ended
		Report  LoadReport
	}
	// ClientGone reports that the client has disconnected, which ends the request.
	ClientGone struct{ ID RequestID }
	// TimerFired reports that a Timer has expired.
	TimerFired struct{ Token uint64 }
	// ProbeResult is the result of a Probe.
	ProbeResult struct {
		Server  ServerID
		Status  Status
		Latency time.Duration
		Report  LoadReport
	}
	// GossipReading is a load report that another relay received from a server, Age ago. If PlacementDelta is
	// not 0, it is instead the number of connections that the relay placed on the server then, minus those
	// that ended.
	GossipReading struct {
		Server         ServerID
		Age            time.Duration
		Report         LoadReport
		PlacementDelta int
	}
	// ConnectionLoad reports the present load of a connection, in seconds of work per second.
	ConnectionLoad struct {
		ID     RequestID
		Server ServerID
		Load   float64
	}
	// MessageDelay reports the present delay of a message of a connection at a server.
	MessageDelay struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}
	// FleetStatus is what this relay knows of the fleet. Before the first one, Settings.Relays is used.
	FleetStatus struct {
		Relays            int           // present relays, including this one
		BudgetShare       float64       // this relay's fraction, 0 to 1, of slow-start budgets in NearZones
		FarBudgetShare    float64       // its fraction of slow-start budgets in other zones
		NearZones         []Zone        // nil if every zone is near
		BudgetExpiresAt   time.Duration // both shares are 0 from then until the next FleetStatus; 0 for never
		PeerRequestRate   float64       // requests per second to the other relays, negative if not known
		PeerConnections   int           // open connections of the other relays, negative if not known
		PeerMigrationRate float64       // connections per second that other relays migrate away as they drain
		SharesReadings    bool          // GossipReading events with load reports come
		SharesPlacements  bool          // GossipReading events with placements come
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

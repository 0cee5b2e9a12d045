package decide

import "time"

// Zones, classes, tenants and backends are small integers, given out by whoever feeds the module. No
// name ever reaches a decision.
type (
	// ServerID is a backend's number at this relay, dense from 0 in the order of first mention.
	ServerID int32
	// Zone is a place where relays and backends stand.
	Zone int32
	// Class is an index into Settings.Classes.
	Class int32
	// Tenant is an index into Settings.Tenants, or NoTenant.
	Tenant int32
	// RequestID names a request; the caller never uses one twice in a Balancer's life.
	RequestID uint64
)

// NoTenant marks a request at a site without tenants.
const NoTenant Tenant = -1

// Idempotency says what a repeat of a request would do.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated and refused freely
	IdempotentWithKey                    // repeats are dropped by the backends of a group, for a while
	NonIdempotent                        // may be sent again only if no earlier attempt can have run
)

// DedupScope is the group of backends that share the keys they have seen.
type DedupScope uint8

// The scopes of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// ClassInfo describes a class of requests.
type ClassInfo struct {
	LatencyObjective        time.Duration // set-up within this is on time
	Deadline                time.Duration // the client's patience over all its tries
	Idempotency             Idempotency
	DedupScope              DedupScope    // for Keyed
	DedupWindow             time.Duration // for Keyed: how long repeats are remembered
	PriorityWeight          float64
	MessageLatencyObjective time.Duration // aim for one message on an open connection, 0 if not told
}

// TenantInfo describes a tenant.
type TenantInfo struct {
	ServiceShare    float64 // its part of the service
	ConnectionQuota float64 // its open connections over all relays within its share, 0 if not told
}

// Prices are points taken off the result for each unit.
type Prices struct {
	CrossZone float64 // an attempt that crosses zones
	Probe     float64 // a probe for each first try
	Move      float64 // a move for each first try
}

// Rules are the figures of the four rules.
type Rules struct {
	PollWithin        time.Duration // unsubscribed for this long, a relay counts as told
	SlowStartCapacity float64       // least part of its capacity that a cold backend has
	SlowStartWindow   time.Duration // it is warm no later than this
	OverloadFactor    float64       // sent more than this multiple of its present capacity
	OverloadWindow    time.Duration // for this long, it falls over
}

// Settings are all that a Balancer is told at its start.
type Settings struct {
	RelayIndex int // this relay's number, from 0
	Relays     int // how many relays there are
	Zone       Zone
	Zones      int

	Classes                 []ClassInfo
	Tenants                 []TenantInfo
	OverQuotaPriorityWeight float64 // worth of a request beyond its tenant's share, as a part of the usual

	MaxAttempts         int // attempts a request may have
	Probes              bool
	RetryAfter          bool // clients are told when to come again
	MaxRetryAfter       time.Duration
	ConnectTimeout      time.Duration
	Tick                time.Duration // least time between two batches of events
	GroupAffinity       bool          // a backend pays once for all connections of a group
	ReportsMessageDelay bool          // delay notes come
	MustSubscribe       bool          // discovery tells only those who subscribe

	Rules  Rules
	Prices Prices
}

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

// RejectReason says what stood in the way of a request that gets no server. It is told to people; nothing is decided by it.
type RejectReason uint8

// The reasons.
const (
	NoReason             RejectReason = iota
	NoServer                          // none is listed, well and allowed
	NoCapacity                        // the best one found has no room, or others will fill it
	AttemptsExhausted                 // its attempt failed, and its tries are used up
	RetryBudgetExhausted              // its attempt failed, and its tenant has no retry token
	DeadlineNear                      // its attempt failed too near its deadline
	MayHaveRun                        // its attempt may have run, and the class may not run twice
)

func (w RejectReason) String() string {
	return [...]string{"", "no server", "no room", "no retry", "no retry tokens", "no time", "may have run"}[min(w, MayHaveRun)]
}

func (s Status) String() string {
	return [...]string{"ok", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[min(s, Superseded)]
}

// Action is something a Balancer wants done. The types that implement it are all in this file.
type Action interface{ action() }

type (
	// Forward starts the request's next attempt.
	Forward struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration
	}
	// Reject is a final answer: no, and a new try does no harm.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration
		Reason     RejectReason
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     RequestID
		Reason RejectReason
	}
	// Migrate ends an open connection politely; its client comes again.
	Migrate struct{ ID RequestID }
	// Probe asks a backend for its load.
	Probe struct{ Server ServerID }
	// Timer asks for an Alarm.
	Timer struct {
		After time.Duration
		Token uint64
	}
	// Subscribe asks discovery for changes from now on.
	Subscribe struct{}
	// FetchSnapshot asks discovery for the whole list once.
	FetchSnapshot struct{}
	// CancelAttempt stops the wait for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// CloseIdleConnections closes this relay's idle connections to a backend.
	CloseIdleConnections struct{ Server ServerID }
	// SendToPeer sends bytes to a peer, or to all of them if Peer is negative.
	SendToPeer struct {
		Peer int
		Data []byte
	}
	// Log adds a line to the report.
	Log struct{ Text string }
)

func (Forward) action()              {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Migrate) action()              {}
func (Probe) action()                {}
func (Timer) action()                {}
func (Subscribe) action()            {}
func (FetchSnapshot) action()        {}
func (CancelAttempt) action()        {}
func (CloseIdleConnections) action() {}
func (SendToPeer) action()           {}
func (Log) action()                  {}

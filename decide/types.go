package decide

import "time"

// Zones, classes, tenants and backends are small integers, given out by whoever feeds the module. No
// name ever reaches a decision.
type (
	// Backend is a backend's number at this relay, dense from 0 in the order of first mention.
	Backend int32
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

// Effect says what a repeat of a request would do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // repeats are dropped by the backends of a group, for a while
	Unsafe               // may be sent again only if no earlier attempt can have run
)

// Scope is the group of backends that share the keys they have seen.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// ClassInfo describes a class of requests.
type ClassInfo struct {
	Aim      time.Duration // set-up within this is on time
	Deadline time.Duration // the client's patience over all its tries
	Effect   Effect
	Scope    Scope         // for Keyed
	Window   time.Duration // for Keyed: how long repeats are remembered
	Worth    float64
	Message  time.Duration // aim for one message on an open connection, 0 if not told
}

// TenantInfo describes a tenant.
type TenantInfo struct {
	Share float64 // its part of the service
	Quota float64 // its open connections over all relays within its share, 0 if not told
}

// Prices are points taken off the result for each unit.
type Prices struct {
	CrossZone float64 // an attempt that crosses zones
	Probe     float64 // a probe for each first try
	Move      float64 // a move for each first try
}

// Rules are the figures of the four rules.
type Rules struct {
	AskWithin     time.Duration // unsubscribed for this long, a relay counts as told
	StartCapacity float64       // least part of its capacity that a cold backend has
	Cold          time.Duration // it is warm no later than this
	FallMultiple  float64       // sent more than this multiple of its present capacity
	FallFor       time.Duration // for this long, it falls over
}

// Settings are all that a Balancer is told at its start.
type Settings struct {
	Me     int // this relay's number, from 0
	Relays int // how many relays there are
	Zone   Zone
	Zones  int

	Classes        []ClassInfo
	Tenants        []TenantInfo
	OverShareWorth float64 // worth of a request beyond its tenant's share, as a part of the usual

	MaxAttempts    int // attempts a request may have
	Probes         bool
	RetryAfter     bool // clients are told when to come again
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	Tick           time.Duration // least time between two batches of events
	Groups         bool          // a backend pays once for all connections of a group
	TellsDelay     bool          // delay notes come
	Ask            bool          // discovery tells only those who subscribe

	Rules  Rules
	Prices Prices
}

// Status is how an attempt or a probe ended.
type Status uint8

// The ways in which an attempt or a probe ends.
const (
	OK            Status = iota
	Errored              // the backend answered with an error; it may have run
	Full                 // sent back unseen
	TimedOut             // no answer in time; it may run still
	ConnectFailed        // no connection could be made; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	Moot                 // never sent
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Full || s == ConnectFailed || s == Moot }

// Mode is a backend's state as discovery lists it.
type Mode uint8

// The states of a backend.
const (
	GoneMode Mode = iota
	Ready
	Draining
)

// Entry is one line of discovery's list.
type Entry struct {
	Backend Backend
	Mode    Mode
	Zone    Zone
	Cell    int32
	Spot    uint64        // a number that is this backend's at every relay and says nothing of it
	Since   time.Duration // clock time of its last start, 0 for long ago
}

// ListKind says what a Members event brings.
type ListKind uint8

// The kinds of list.
const (
	Delta   ListKind = iota // changed entries only
	Whole                   // the complete list
	Cached                  // the complete list as last held, perhaps old
	Failed                  // no list: a call failed or the subscription broke
	Revised                 // changed entries by what the relay itself knows; discovery has said nothing
)

// Report is what a backend says of its load. A field that did not come is negative.
type Report struct {
	Load     float64 // load asked over what it can do
	Inflight float64 // requests held
	Errors   float64 // errors a second
	Busy     float64 // part of its cores that is busy
}

// NoReport is the report of a backend that gave none.
var NoReport = Report{Load: -1, Inflight: -1, Errors: -1, Busy: -1}

// Event is something a Balancer is told. The types that implement it are all in this file.
type Event interface{ event() }

type (
	// Members is news from discovery.
	Members struct {
		Kind    ListKind
		Entries []Entry // read only during the call
	}
	// Request is a new request; it is owed one final answer.
	Request struct {
		ID       RequestID
		Class    Class
		Tenant   Tenant
		Key      uint64 // 0 if none
		Left     time.Duration
		Hint     float64 // usual load, 0 if not told
		Group    uint64  // connections of one group share work, 0 if none
		Returned bool    // the client came back after a break or a move, or repeats a try
		Flow     bool    // packets of an open connection reach this relay now
	}
	// Inherited is a connection that is open through this relay at its start.
	Inherited struct {
		Request Request
		Backend Backend
	}
	// Opened says that an attempt's connection is up.
	Opened struct {
		ID      RequestID
		Attempt int
		Backend Backend
		Took    time.Duration
	}
	// Outcome is the end of an attempt; each Send gets one.
	Outcome struct {
		ID      RequestID
		Attempt int
		Backend Backend
		Status  Status
		Took    time.Duration
		Closed  bool // the request is over
		Report  Report
	}
	// Gone says that the client has left; the request is over.
	Gone struct{ ID RequestID }
	// Alarm is a timer that has come due.
	Alarm struct{ Token uint64 }
	// Probed is a probe's result.
	Probed struct {
		Backend Backend
		Status  Status
		Took    time.Duration
		Report  Report
	}
	// Told is what another relay read at a backend so long ago, or, with Sent, how many connections it sent there then, less
	// those that ended.
	Told struct {
		Backend Backend
		Age     time.Duration
		Report  Report
		Sent    int
	}
	// LoadNote tells a connection's load now, in seconds of work a second.
	LoadNote struct {
		ID      RequestID
		Backend Backend
		Load    float64
	}
	// DelayNote tells how long a message takes at a backend now.
	DelayNote struct {
		ID      RequestID
		Backend Backend
		Delay   time.Duration
	}
	// Fleet is what the relays know of each other. Before the first of these the settings' number holds for all.
	Fleet struct {
		Relays int           // that are there, this one too
		Share  float64       // the part of a cold backend's budget that is this relay's, in the zones that are near
		Far    float64       // the part elsewhere
		Near   []Zone        // nil: every zone is near
		Until  time.Duration // the share lapses then, unless another Fleet comes; 0 for never
		Others float64       // requests a second that come to the other relays, negative if that is not known
		Held   int           // connections that the other relays hold, negative if that is not known
		Sent   float64       // connections a second that the other relays send away, as one that drains does
		Shared bool          // other relays' readings come
		Summed bool          // and what they send to backends
	}
	// Peer is a message from another relay.
	Peer struct {
		From int
		Data []byte
	}
)

func (Members) event()   {}
func (Request) event()   {}
func (Inherited) event() {}
func (Opened) event()    {}
func (Outcome) event()   {}
func (Gone) event()      {}
func (Alarm) event()     {}
func (Probed) event()    {}
func (Told) event()      {}
func (LoadNote) event()  {}
func (DelayNote) event() {}
func (Fleet) event()     {}
func (Peer) event()      {}

// Why says what stood in the way of a request that gets no server. It is told to people; nothing is decided by it.
type Why uint8

// The reasons.
const (
	NoReason Why = iota
	NoServer     // none is listed, well and allowed
	NoRoom       // the best one found has no room, or others will fill it
	NoRetry      // its attempt failed, and its tries are used up
	NoTokens     // its attempt failed, and its tenant has no retry token
	NoTime       // its attempt failed too near its deadline
	NotAgain     // its attempt may have run, and the class may not run twice
)

func (w Why) String() string {
	return [...]string{"", "no server", "no room", "no retry", "no retry tokens", "no time", "may have run"}[min(w, NotAgain)]
}

func (s Status) String() string {
	return [...]string{"ok", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}[min(s, Moot)]
}

// Action is something a Balancer wants done. The types that implement it are all in this file.
type Action interface{ action() }

type (
	// Send starts the request's next attempt.
	Send struct {
		ID      RequestID
		Backend Backend
		Timeout time.Duration
	}
	// Refuse is a final answer: no, and a new try does no harm.
	Refuse struct {
		ID         RequestID
		RetryAfter time.Duration
		Why        Why
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID  RequestID
		Why Why
	}
	// Move ends an open connection politely; its client comes again.
	Move struct{ ID RequestID }
	// Probe asks a backend for its load.
	Probe struct{ Backend Backend }
	// Timer asks for an Alarm.
	Timer struct {
		After time.Duration
		Token uint64
	}
	// Subscribe asks discovery for changes from now on.
	Subscribe struct{}
	// Fetch asks discovery for the whole list once.
	Fetch struct{}
	// Cancel stops the wait for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// CloseIdle closes this relay's idle connections to a backend.
	CloseIdle struct{ Backend Backend }
	// Tell sends bytes to a peer, or to all of them if Peer is negative.
	Tell struct {
		Peer int
		Data []byte
	}
	// Log adds a line to the report.
	Log struct{ Text string }
)

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Move) action()      {}
func (Probe) action()     {}
func (Timer) action()     {}
func (Subscribe) action() {}
func (Fetch) action()     {}
func (Cancel) action()    {}
func (CloseIdle) action() {}
func (Tell) action()      {}
func (Log) action()       {}

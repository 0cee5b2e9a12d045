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
